package caller

import (
	"github.com/tanagerdock/tanagerdock/packet"
)

// gotBatch is the number of new answer parts reported by one Got.
const gotBatch = 2

// maxAssemblies bounds the answers of different owners collected for a request.
const maxAssemblies = 4

// source identifies one answer: parts of different answers are never mixed.
type source struct {
	owner   owner
	nonce   uint64
	attempt uint8
	status  uint16
	count   uint32
}

// assembly collects the answer of one owner.
type assembly struct {
	source source
	held   held // newest token of that owner, for Got
	parts  *packet.Assembly
	fresh  int // parts not yet reported
}

// assemble returns the assembly of an answer part. The one that holds least
// makes room for a new one.
func (c *call) assemble(s source, h held) *assembly {
	for _, a := range c.answers {
		if a.source == s {
			a.held = h
			return a
		}
	}
	a := &assembly{source: s, held: h, parts: packet.NewAssembly(s.count)}
	if len(c.answers) < maxAssemblies {
		c.answers = append(c.answers, a)
		return a
	}
	least := 0
	for i, other := range c.answers {
		if other.parts.Size < c.answers[least].parts.Size {
			least = i
		}
	}
	c.answers[least] = a
	return a
}

// size returns the answer bytes held for the request.
func (c *call) size() int {
	sum := 0
	for _, a := range c.answers {
		sum += a.parts.Size
	}
	return sum
}

// got returns the report of what is held.
func (a *assembly) got(request uint64) packet.Packet {
	a.fresh = 0
	return packet.Packet{
		Kind: packet.KindGot, Token: a.held.sealed, Request: request,
		Next: a.parts.Next, Mask: a.parts.Mask(), Attempt: a.source.attempt, Nonce: a.source.nonce,
	}
}
