package fleet

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// ErrMessage reports a datagram that is no message of a member.
var ErrMessage = errors.New("message is invalid")

// MaxMessageSize bounds a message, in bytes: it passes any link in one piece.
const MaxMessageSize = 1400

// RecordState is how far a member's records go.
type RecordState struct {
	_                     struct{} `cbor:",toarray"`
	ConfigurationRevision uint64   // revision of the configuration
	ConfirmedRevision     uint64   // revision up to which the configuration is the newest
	ChangeRevision        uint64   // revision of the latest change of an endpoint
	EndpointsRevision     uint64   // revision up to which all changes of endpoints are known
	// How long ago the store said so, in ms.
	ConfigurationAge clock.Millis
	EndpointsAge     clock.Millis
	// How long ago the store answered again after it had not; 0 when it never failed.
	RecoveredAge clock.Millis
}

// Message is what one member tells another.
type Message interface{ message() }

// Hello introduces a member. A member that is asked to answers with its own.
type Hello struct {
	WantReply bool     `cbor:"answer,omitempty"`  // please answer
	Members   []Member `cbor:"members,omitempty"` // others that the sender knows, some of them
}

// Heartbeat tells how far a watcher's records go.
type Heartbeat struct {
	State   RecordState `cbor:"state"`
	Leaving bool        `cbor:"leaving,omitempty"` // it stops watching
	Relay   bool        `cbor:"relay,omitempty"`   // please pass it on
}

// RelayedHeartbeat is a beat that was passed on.
type RelayedHeartbeat struct {
	Watcher Member      `cbor:"watcher"`
	State   RecordState `cbor:"state"`
}

// HeartbeatMissed tells a watcher that its beats don't arrive.
type HeartbeatMissed struct{}

// EndpointChanges brings changes of endpoints after From, up to the state's Complete.
type EndpointChanges struct {
	Since   uint64                    `cbor:"from"`
	Changes []steering.EndpointChange `cbor:"changes"`
	State   RecordState               `cbor:"state"`
}

// ConfigurationChange brings what a newer configuration changes.
type ConfigurationChange struct {
	Delta steering.Delta `cbor:"delta"`
	State RecordState    `cbor:"state"`
}

// EndpointFinding tells what the sender found of an endpoint.
type EndpointFinding struct{ steering.EndpointFault }

// EndpointTallies brings what the sender saw of endpoints in a while.
type EndpointTallies struct {
	Tallies []steering.Tally `cbor:"tallies"`
}

// FlowQuery asks which of these flows went on at the receiver.
type FlowQuery struct {
	Flows []steering.FlowProgress `cbor:"sights"`
}

// FlowReply answers that: these did.
type FlowReply struct {
	Flows []steering.FlowProgress `cbor:"sights"`
}

func (EndpointTallies) message()     {}
func (FlowQuery) message()           {}
func (FlowReply) message()           {}
func (Hello) message()               {}
func (Heartbeat) message()           {}
func (RelayedHeartbeat) message()    {}
func (HeartbeatMissed) message()     {}
func (EndpointChanges) message()     {}
func (ConfigurationChange) message() {}
func (EndpointFinding) message()     {}

// envelope is a message on its way: the sender and one of the messages.
type envelope struct {
	From                Member               `cbor:"from"`
	Hello               *Hello               `cbor:"hello,omitempty"`
	Heartbeat           *Heartbeat           `cbor:"beat,omitempty"`
	RelayedHeartbeat    *RelayedHeartbeat    `cbor:"relayed,omitempty"`
	HeartbeatMissed     *HeartbeatMissed     `cbor:"missed,omitempty"`
	EndpointChanges     *EndpointChanges     `cbor:"news,omitempty"`
	ConfigurationChange *ConfigurationChange `cbor:"revised,omitempty"`
	EndpointFinding     *EndpointFinding     `cbor:"silent,omitempty"`
	EndpointTallies     *EndpointTallies     `cbor:"seen,omitempty"`
	FlowQuery           *FlowQuery           `cbor:"doubted,omitempty"`
	FlowReply           *FlowReply           `cbor:"found,omitempty"`
}

// Encode returns a message as a datagram. A message that is too large is
// refused with ErrMessage.
func Encode(from Member, m Message) ([]byte, error) {
	e := envelope{From: from}
	switch v := m.(type) {
	case Hello:
		e.Hello = &v
	case Heartbeat:
		e.Heartbeat = &v
	case RelayedHeartbeat:
		e.RelayedHeartbeat = &v
	case HeartbeatMissed:
		e.HeartbeatMissed = &v
	case EndpointChanges:
		e.EndpointChanges = &v
	case ConfigurationChange:
		e.ConfigurationChange = &v
	case EndpointFinding:
		e.EndpointFinding = &v
	case EndpointTallies:
		e.EndpointTallies = &v
	case FlowQuery:
		e.FlowQuery = &v
	case FlowReply:
		e.FlowReply = &v
	}
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrapf(ErrMessage, "%T: %v", m, err)
	}
	if len(data) > MaxMessageSize {
		return nil, errors.Wrapf(ErrMessage, "%T: %d bytes, at most %d are sent", m, len(data), MaxMessageSize)
	}
	return data, nil
}

// Decode reads a datagram.
func Decode(data []byte) (Member, Message, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Member{}, nil, errors.Wrapf(ErrMessage, "%d bytes: %v", len(data), err)
	}
	if err := e.From.Check(); err != nil {
		return Member{}, nil, errors.Wrapf(ErrMessage, "%v", err)
	}
	switch {
	case e.Hello != nil:
		return e.From, *e.Hello, nil
	case e.Heartbeat != nil:
		return e.From, *e.Heartbeat, nil
	case e.RelayedHeartbeat != nil:
		return e.From, *e.RelayedHeartbeat, nil
	case e.HeartbeatMissed != nil:
		return e.From, *e.HeartbeatMissed, nil
	case e.EndpointChanges != nil:
		return e.From, *e.EndpointChanges, nil
	case e.ConfigurationChange != nil:
		return e.From, *e.ConfigurationChange, nil
	case e.EndpointFinding != nil:
		return e.From, *e.EndpointFinding, nil
	case e.EndpointTallies != nil:
		return e.From, *e.EndpointTallies, nil
	case e.FlowQuery != nil:
		return e.From, *e.FlowQuery, nil
	case e.FlowReply != nil:
		return e.From, *e.FlowReply, nil
	}
	return Member{}, nil, errors.Wrapf(ErrMessage, "from %q: it says nothing", e.From.Name)
}
