package fleet

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/steering"
)

// ErrMessage reports a datagram that is no message of a member.
var ErrMessage = errors.New("message is invalid")

// MaxMessage bounds a message, in bytes: it passes any link in one piece.
const MaxMessage = 1400

// State is how far a member's records go.
type State struct {
	_             struct{} `cbor:",toarray"`
	Configuration uint64   // revision of the configuration
	Confirmed     uint64   // revision up to which the configuration is the newest
	Change        uint64   // revision of the latest change of an endpoint
	Complete      uint64   // revision up to which all changes of endpoints are known
	// How long ago the store said so, in ms.
	ConfigurationAge clock.Millis
	EndpointsAge     clock.Millis
	// How long ago the store answered again after it had not; 0 when it never failed.
	ReturnedAge clock.Millis
}

// Message is what one member tells another.
type Message interface{ message() }

// Hello introduces a member. A member that is asked to answers with its own.
type Hello struct {
	Answer  bool     `cbor:"answer,omitempty"`  // please answer
	Members []Member `cbor:"members,omitempty"` // others that the sender knows, some of them
}

// Beat tells how far a watcher's records go.
type Beat struct {
	State   State `cbor:"state"`
	Leaving bool  `cbor:"leaving,omitempty"` // it stops watching
	Relay   bool  `cbor:"relay,omitempty"`   // please pass it on
}

// Relayed is a beat that was passed on.
type Relayed struct {
	Watcher Member `cbor:"watcher"`
	State   State  `cbor:"state"`
}

// BeatMissed tells a watcher that its beats don't arrive.
type BeatMissed struct{}

// News brings changes of endpoints after From, up to the state's Complete.
type News struct {
	From    uint64                    `cbor:"from"`
	Changes []steering.EndpointChange `cbor:"changes"`
	State   State                     `cbor:"state"`
}

// Revised brings what a newer configuration changes.
type Revised struct {
	Delta steering.Delta `cbor:"delta"`
	State State          `cbor:"state"`
}

// Silent tells what the sender found of an endpoint.
type Silent struct{ steering.EndpointFault }

// Seen brings what the sender saw of endpoints in a while.
type Seen struct {
	Tallies []steering.Tally `cbor:"tallies"`
}

// Doubted asks which of these flows went on at the receiver.
type Doubted struct {
	Sights []steering.FlowProgress `cbor:"sights"`
}

// Found answers that: these did.
type Found struct {
	Sights []steering.FlowProgress `cbor:"sights"`
}

func (Seen) message()       {}
func (Doubted) message()    {}
func (Found) message()      {}
func (Hello) message()      {}
func (Beat) message()       {}
func (Relayed) message()    {}
func (BeatMissed) message() {}
func (News) message()       {}
func (Revised) message()    {}
func (Silent) message()     {}

// envelope is a message on its way: the sender and one of the messages.
type envelope struct {
	From       Member      `cbor:"from"`
	Hello      *Hello      `cbor:"hello,omitempty"`
	Beat       *Beat       `cbor:"beat,omitempty"`
	Relayed    *Relayed    `cbor:"relayed,omitempty"`
	BeatMissed *BeatMissed `cbor:"missed,omitempty"`
	News       *News       `cbor:"news,omitempty"`
	Revised    *Revised    `cbor:"revised,omitempty"`
	Silent     *Silent     `cbor:"silent,omitempty"`
	Seen       *Seen       `cbor:"seen,omitempty"`
	Doubted    *Doubted    `cbor:"doubted,omitempty"`
	Found      *Found      `cbor:"found,omitempty"`
}

// Encode returns a message as a datagram. A message that is too large is
// refused with ErrMessage.
func Encode(from Member, m Message) ([]byte, error) {
	e := envelope{From: from}
	switch v := m.(type) {
	case Hello:
		e.Hello = &v
	case Beat:
		e.Beat = &v
	case Relayed:
		e.Relayed = &v
	case BeatMissed:
		e.BeatMissed = &v
	case News:
		e.News = &v
	case Revised:
		e.Revised = &v
	case Silent:
		e.Silent = &v
	case Seen:
		e.Seen = &v
	case Doubted:
		e.Doubted = &v
	case Found:
		e.Found = &v
	}
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrapf(ErrMessage, "%T: %v", m, err)
	}
	if len(data) > MaxMessage {
		return nil, errors.Wrapf(ErrMessage, "%T: %d bytes, at most %d are sent", m, len(data), MaxMessage)
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
	case e.Beat != nil:
		return e.From, *e.Beat, nil
	case e.Relayed != nil:
		return e.From, *e.Relayed, nil
	case e.BeatMissed != nil:
		return e.From, *e.BeatMissed, nil
	case e.News != nil:
		return e.From, *e.News, nil
	case e.Revised != nil:
		return e.From, *e.Revised, nil
	case e.Silent != nil:
		return e.From, *e.Silent, nil
	case e.Seen != nil:
		return e.From, *e.Seen, nil
	case e.Doubted != nil:
		return e.From, *e.Doubted, nil
	case e.Found != nil:
		return e.From, *e.Found, nil
	}
	return Member{}, nil, errors.Wrapf(ErrMessage, "from %q: it says nothing", e.From.Name)
}
