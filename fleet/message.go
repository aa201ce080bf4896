package fleet

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/demand"
	"github.com/tanagerdock/tanagerdock/steering"
)

// ErrMessage reports a datagram that is not a valid message, or a message that is too
// large to send.
var ErrMessage = errors.New("message is invalid")

// MaxMessageSize is the largest size of a message in bytes. A datagram of this size isn't
// fragmented on any link.
const MaxMessageSize = 1400

// RecordState describes how recent a member's records are.
type RecordState struct {
	_                     struct{} `cbor:",toarray"`
	ConfigurationRevision uint64   // revision of the configuration
	ConfirmedRevision     uint64   // revision up to which the configuration is the newest
	ChangeRevision        uint64   // revision of the latest change of an endpoint
	EndpointsRevision     uint64   // revision up to which all changes of endpoints are known
	// How long ago the store confirmed the configuration and the endpoints.
	ConfigurationAge clock.Millis
	EndpointsAge     clock.Millis
	RecoveredAge     clock.Millis // how long ago the last outage of the store ended; 0 for none
}

// Message is the content of a datagram from one member to another.
type Message interface{ message() }

// Hello introduces the sender, which the receiver adds to its members. It is sent to
// members that are new in the store's list, to the configured seed addresses, and to
// members that sent nothing for some time. If a reply is wanted, the receiver sends a Hello with members that it knows.
type Hello struct {
	WantReply bool     `cbor:"answer,omitempty"`  // the receiver has to reply
	Members   []Member `cbor:"members,omitempty"` // some of the members that the sender knows
}

// Heartbeat is sent by a watcher at a fixed period, and once when it stops. The receiver
// compares its records with the watcher's, and fetches what it lacks.
type Heartbeat struct {
	State       RecordState      `cbor:"state"`
	Evacuations *EvacuationState `cbor:"evacuations,omitempty"` // nil if the sender knows no orders
	Leaving     bool             `cbor:"leaving,omitempty"`     // the sender stops watching
	Relay       bool             `cbor:"relay,omitempty"`       // the receiver has to relay it
	// Sum of the load of the data centre, or a part of it; nil if the sender adds up none.
	Demand *demand.Summary `cbor:"load,omitempty"`
}

// RelayedHeartbeat is a watcher's heartbeat relayed by another member, in a large data
// centre. The receiver handles it like the watcher's own.
type RelayedHeartbeat struct {
	Watcher     Member           `cbor:"watcher"`
	State       RecordState      `cbor:"state"`
	Evacuations *EvacuationState `cbor:"evacuations,omitempty"`
	Demand      *demand.Summary  `cbor:"load,omitempty"`
}

// HeartbeatMissed tells a watcher that its heartbeats don't reach the sender. The watcher
// then sends them directly for a while.
type HeartbeatMissed struct{}

// EndpointChanges is broadcast by the watcher. It has all changes of endpoints after
// revision Since, up to the EndpointsRevision of State. A receiver whose records end
// before Since fetches instead.
type EndpointChanges struct {
	Since   uint64                    `cbor:"from"`
	Changes []steering.EndpointChange `cbor:"changes"`
	State   RecordState               `cbor:"state"`
}

// ConfigurationChange is broadcast by the watcher when it has read a newer configuration.
// A receiver with another revision than Delta starts from fetches instead.
type ConfigurationChange struct {
	Delta steering.Delta `cbor:"delta"`
	State RecordState    `cbor:"state"`
}

// EndpointFault is broadcast by a member that found a fault of an endpoint. The receiver
// passes it to steering.
type EndpointFault struct{ steering.EndpointFault }

// EndpointTallies has the sender's counts of answers and unanswered requests, since its
// previous message, for some endpoints. The receiver passes them to steering.
type EndpointTallies struct {
	Tallies []steering.Tally `cbor:"tallies"`
}

// FlowQuery asks all members which of the flows, whose requests the sender suspects to be
// lost, progressed there.
type FlowQuery struct {
	Flows []steering.FlowProgress `cbor:"sights"`
}

// FlowReply answers a FlowQuery with the flows that progressed at the sender.
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
func (EndpointFault) message()       {}

// envelope is the encoding of a datagram: the sender and exactly one message.
type envelope struct {
	From                Member               `cbor:"from"`
	Hello               *Hello               `cbor:"hello,omitempty"`
	Heartbeat           *Heartbeat           `cbor:"beat,omitempty"`
	RelayedHeartbeat    *RelayedHeartbeat    `cbor:"relayed,omitempty"`
	HeartbeatMissed     *HeartbeatMissed     `cbor:"missed,omitempty"`
	EndpointChanges     *EndpointChanges     `cbor:"news,omitempty"`
	ConfigurationChange *ConfigurationChange `cbor:"revised,omitempty"`
	EndpointFault       *EndpointFault       `cbor:"silent,omitempty"`
	EndpointTallies     *EndpointTallies     `cbor:"seen,omitempty"`
	FlowQuery           *FlowQuery           `cbor:"doubted,omitempty"`
	FlowReply           *FlowReply           `cbor:"found,omitempty"`
	DemandReport        *DemandReport        `cbor:"load,omitempty"`
}

// Encode returns a message as a datagram, or ErrMessage if it is larger than
// MaxMessageSize.
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
	case EndpointFault:
		e.EndpointFault = &v
	case EndpointTallies:
		e.EndpointTallies = &v
	case FlowQuery:
		e.FlowQuery = &v
	case FlowReply:
		e.FlowReply = &v
	case DemandReport:
		e.DemandReport = &v
	}
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrapf(ErrMessage, "encode %T: %v", m, err)
	}
	if len(data) > MaxMessageSize {
		return nil, errors.Wrapf(ErrMessage, "%T: message has %d bytes, at most %d are allowed", m, len(data), MaxMessageSize)
	}
	return data, nil
}

// maxRevision is the greatest revision of the store in messages.
const maxRevision = 1 << 62

// Check returns ErrMessage if a revision or an age exceeds its limits. An age below 0 would
// make records look confirmed in the future.
func (s *RecordState) Check() error {
	for _, r := range []uint64{s.ConfigurationRevision, s.ConfirmedRevision, s.ChangeRevision, s.EndpointsRevision} {
		if r > maxRevision {
			return errors.Wrapf(ErrMessage, "revision %d is greater than %d", r, uint64(maxRevision))
		}
	}
	for _, age := range []clock.Millis{s.ConfigurationAge, s.EndpointsAge} {
		if age < 0 || age > maxRecordAge {
			return errors.Wrapf(ErrMessage, "age of %d ms is not within 0 to %d", age, maxRecordAge)
		}
	}
	if s.RecoveredAge < 0 {
		return errors.Wrapf(ErrMessage, "age of %d ms is negative", s.RecoveredAge)
	}
	return nil
}

// check returns an error for the first field of the message that exceeds its limits. Invalid
// endpoints in EndpointChanges cost no other: they become unreadable entries.
func (e *envelope) check() error {
	for _, s := range e.recordStates() {
		if err := s.Check(); err != nil {
			return err
		}
	}
	if err := e.checkDemand(); err != nil {
		return err
	}
	switch {
	case e.Heartbeat != nil:
		return e.Heartbeat.Evacuations.Check()
	case e.RelayedHeartbeat != nil:
		if err := e.RelayedHeartbeat.Evacuations.Check(); err != nil {
			return err
		}
		return e.RelayedHeartbeat.Watcher.Check()
	case e.EndpointChanges != nil:
		for i := range e.EndpointChanges.Changes {
			c := &e.EndpointChanges.Changes[i]
			if c.Endpoint.Revision > maxRevision {
				return errors.Wrapf(ErrMessage, "revision %d is greater than %d", c.Endpoint.Revision, uint64(maxRevision))
			}
			c.CheckEndpoint()
		}
	case e.ConfigurationChange != nil:
		return e.ConfigurationChange.Delta.Check()
	case e.EndpointTallies != nil:
		for i := range e.EndpointTallies.Tallies {
			if err := e.EndpointTallies.Tallies[i].Check(); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDemand returns an error if a report of load or a sum exceeds its limits.
func (e *envelope) checkDemand() error {
	switch {
	case e.Heartbeat != nil && e.Heartbeat.Demand != nil:
		return e.Heartbeat.Demand.Check()
	case e.RelayedHeartbeat != nil && e.RelayedHeartbeat.Demand != nil:
		return e.RelayedHeartbeat.Demand.Check()
	case e.DemandReport != nil:
		return e.DemandReport.Check()
	}
	return nil
}

// recordStates returns the record states of the message.
func (e *envelope) recordStates() (list []*RecordState) {
	if e.Heartbeat != nil {
		list = append(list, &e.Heartbeat.State)
	}
	if e.RelayedHeartbeat != nil {
		list = append(list, &e.RelayedHeartbeat.State)
	}
	if e.EndpointChanges != nil {
		list = append(list, &e.EndpointChanges.State)
	}
	if e.ConfigurationChange != nil {
		list = append(list, &e.ConfigurationChange.State)
	}
	return list
}

// Decode returns the sender and the message of a datagram, or ErrMessage if it isn't valid.
func Decode(data []byte) (Member, Message, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Member{}, nil, errors.Wrapf(ErrMessage, "decode datagram of %d bytes: %v", len(data), err)
	}
	if err := e.From.Check(); err != nil {
		return Member{}, nil, errors.Wrapf(ErrMessage, "%v", err)
	}
	if err := e.check(); err != nil {
		return Member{}, nil, errors.Wrapf(ErrMessage, "message of %q: %v", e.From.Name, err)
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
	case e.EndpointFault != nil:
		return e.From, *e.EndpointFault, nil
	case e.EndpointTallies != nil:
		return e.From, *e.EndpointTallies, nil
	case e.FlowQuery != nil:
		return e.From, *e.FlowQuery, nil
	case e.FlowReply != nil:
		return e.From, *e.FlowReply, nil
	case e.DemandReport != nil:
		return e.From, *e.DemandReport, nil
	}
	return Member{}, nil, errors.Wrapf(ErrMessage, "datagram from %q contains no known message", e.From.Name)
}
