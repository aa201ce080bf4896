package caller

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// partsPerGot is the number of new answer parts at which a Got is sent at once.
const partsPerGot = 2

// maxAssemblies limits the different answers collected for one request.
const maxAssemblies = 4

// answerKey identifies one answer. Parts of different answers are never mixed.
type answerKey struct {
	owner   owner
	nonce   uint64
	attempt uint8
	status  uint16
	count   uint32
}

// assembly collects the parts of one owner's answer.
type assembly struct {
	answerKey  answerKey
	flowToken  flowToken // newest token of that owner, sent with Got
	parts      *packet.Assembly
	unreported int // new parts that no Got has reported
}

// assemblyFor returns the assembly that a part of an answer belongs to. At the limit, a
// new assembly replaces the one with the fewest bytes.
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

// answerSize returns the size of all answer parts collected for the request.
func (c *call) answerSize() int {
	sum := 0
	for _, a := range c.answers {
		sum += a.parts.Size
	}
	return sum
}

// gotPacket returns the Got that reports the parts received so far.
func (a *assembly) gotPacket(request uint64) packet.Packet {
	a.unreported = 0
	return packet.Packet{
		Kind: packet.KindGot, Token: a.flowToken.sealed, Request: request,
		Next: a.parts.Next, Mask: a.parts.Mask(), Attempt: a.answerKey.attempt, Nonce: a.answerKey.nonce,
	}
}
