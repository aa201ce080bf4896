package caller

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// partsPerGot is the number of new answer parts reported by one Got.
const partsPerGot = 2

// maxAssemblies bounds the answers of different owners collected for a request.
const maxAssemblies = 4

// answerKey identifies one answer: parts of different answers are never mixed.
type answerKey struct {
	owner   owner
	nonce   uint64
	attempt uint8
	status  uint16
	count   uint32
}

// assembly collects the answer of one owner.
type assembly struct {
	answerKey  answerKey
	flowToken  flowToken // newest token of that owner, for Got
	parts      *packet.Assembly
	unreported int // parts not yet reported
}

// assemblyFor returns the assembly of an answer part. The one that holds least
// makes room for a new one.
func (c *call) assemblyFor(key answerKey, t flowToken) *assembly {
	for _, a := range c.answers {
		if a.answerKey == key {
			a.flowToken = t
			return a
		}
	}
	a := &assembly{answerKey: key, flowToken: t, parts: packet.NewAssembly(key.count)}
	if len(c.answers) < maxAssemblies {
		c.answers = append(c.answers, a)
		return a
	}
	smallest := 0
	for i, other := range c.answers {
		if other.parts.Size < c.answers[smallest].parts.Size {
			smallest = i
		}
	}
	c.answers[smallest] = a
	return a
}

// answerSize returns the answer bytes held for the request.
func (c *call) answerSize() int {
	sum := 0
	for _, a := range c.answers {
		sum += a.parts.Size
	}
	return sum
}

// gotPacket returns the report of what is held.
func (a *assembly) gotPacket(request uint64) packet.Packet {
	a.unreported = 0
	return packet.Packet{
		Kind: packet.KindGot, Token: a.flowToken.sealed, Request: request,
		Next: a.parts.Next, Mask: a.parts.Mask(), Attempt: a.answerKey.attempt, Nonce: a.answerKey.nonce,
	}
}
