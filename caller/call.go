package caller

import (
	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

// owner is one process of an instance.
type owner struct {
	instance    uint64
	incarnation uint64
}

func ownerOf(t token.Token) owner { return owner{t.Owner, t.Incarnation} }

// held is a flow token and what it says.
type held struct {
	sealed []byte
	token  token.Token
}

// grant is the one permit of a request. A nonce of 0 means none.
type grant struct {
	nonce uint64
	owner owner
	held  held  // newest token of that owner
	rival owner // owner of the flow already when an earlier one got the permit
}

// call is one request on its way.
type call struct {
	id      uint64
	request Request
	due     clock.Millis

	flow    uint64 // flow it travels on, while number is set
	number  uint64 // request number, 0 while it waits for a flow or for a retry
	attempt uint8
	upload  upload

	retries uint8
	retryAt clock.Millis  // when to send it again
	refusal packet.Reason // why it is sent again
	moved   bool          // it was moved to a reopened flow

	grant     grant
	contested clock.Millis // when the request ends as unknown for the claim, or 0
	claim     string       // what another owner did

	left    bool    // every part was sent
	exposed []owner // owners that may hold the whole request
	doubt   bool    // an owner of an earlier attempt may have run it
	answers []*assembly
}

// mayHaveRun reports whether an instance may have started the request.
func (c *call) mayHaveRun() bool {
	if c.request.Once {
		return c.grant.nonce != 0
	}
	return c.doubt || len(c.exposed) > 0
}

// expose notes that an owner may hold the whole request, once that has left.
func (c *call) expose(o owner) {
	if !c.left {
		return
	}
	for _, known := range c.exposed {
		if known == o {
			return
		}
	}
	c.exposed = append(c.exposed, o)
}

// clear notes that an owner says it did not run the request.
func (c *call) clear(o owner) {
	for i, known := range c.exposed {
		if known == o {
			c.exposed = append(c.exposed[:i], c.exposed[i+1:]...)
			return
		}
	}
}

// restart sends the body from the start, to a new owner.
func (c *call) restart(now clock.Millis) {
	c.contested, c.claim = 0, ""
	c.upload = newUpload(len(c.request.Body), now)
	if c.attempt < maxAttempt {
		c.attempt++
	}
}

// detach takes the request off its flow, to be sent under a new number.
func (c *call) detach() {
	if len(c.exposed) > 0 && !c.request.Once {
		c.doubt = true
	}
	c.number, c.flow = 0, 0
	c.grant, c.contested, c.claim = grant{}, 0, ""
	c.left, c.exposed, c.answers = false, nil, nil
}

const maxAttempt = 255

// part returns the packet for one part.
func (c *call) part(now clock.Millis, part uint32) packet.Packet {
	return packet.Packet{
		Kind: packet.KindPart, Request: c.number, Part: part, Count: c.upload.window.Count,
		Once: c.request.Once, Attempt: c.attempt, Class: c.request.Class,
		Deadline: c.due - now, Payload: packet.PartOf(c.request.Body, part),
	}
}
