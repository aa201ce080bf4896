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

// flowToken is a flow token and what it says.
type flowToken struct {
	sealed []byte
	parsed token.Token
}

// permit is the one permit of a request. A nonce of 0 means none.
type permit struct {
	nonce        uint64
	owner        owner
	flowToken    flowToken // newest token of that owner
	ownerAtGrant owner     // owner of the flow already when an earlier one got the permit
}

// call is one request on its way.
type call struct {
	id       uint64
	request  Request
	deadline clock.Millis

	flowID  uint64 // flow it travels on, while number is set
	number  uint64 // request number, 0 while it waits for a flow or for a retry
	attempt uint8
	upload  upload

	retries uint8
	retryAt clock.Millis  // when to send it again
	refusal packet.Reason // why it is sent again
	moved   bool          // it was moved to a reopened flow

	permit      permit
	graceEnd    clock.Millis // when the request ends as unknown for the claim, or 0
	graceDetail string       // what another owner did

	sentWhole         bool    // every part was sent
	holders           []owner // owners that may hold the whole request
	mayHaveRunEarlier bool    // an owner of an earlier attempt may have run it
	answers           []*assembly
}

// mayHaveRun reports whether an instance may have started the request.
func (c *call) mayHaveRun() bool {
	if c.request.Once {
		return c.permit.nonce != 0
	}
	return c.mayHaveRunEarlier || len(c.holders) > 0
}

// addHolder notes that an owner may hold the whole request, once that has left.
func (c *call) addHolder(o owner) {
	if !c.sentWhole {
		return
	}
	for _, known := range c.holders {
		if known == o {
			return
		}
	}
	c.holders = append(c.holders, o)
}

// removeHolder notes that an owner says it did not run the request.
func (c *call) removeHolder(o owner) {
	for i, known := range c.holders {
		if known == o {
			c.holders = append(c.holders[:i], c.holders[i+1:]...)
			return
		}
	}
}

// restartUpload sends the body from the start, to a new owner.
func (c *call) restartUpload(now clock.Millis) {
	c.graceEnd, c.graceDetail = 0, ""
	c.upload = newUpload(len(c.request.Body), now)
	if c.attempt < maxAttempt {
		c.attempt++
	}
}

// detach takes the request off its flow, to be sent under a new number.
func (c *call) detach() {
	if len(c.holders) > 0 && !c.request.Once {
		c.mayHaveRunEarlier = true
	}
	c.number, c.flowID = 0, 0
	c.permit, c.graceEnd, c.graceDetail = permit{}, 0, ""
	c.sentWhole, c.holders, c.answers = false, nil, nil
}

const maxAttempt = 255

// partPacket returns the packet for one partPacket.
func (c *call) partPacket(now clock.Millis, part uint32) packet.Packet {
	return packet.Packet{
		Kind: packet.KindPart, Request: c.number, Part: part, Count: c.upload.window.Count,
		Once: c.request.Once, Attempt: c.attempt, Class: c.request.Class,
		Deadline: c.deadline - now, Payload: packet.PartOf(c.request.Body, part),
	}
}
