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

// flowToken is a sealed flow token with its content.
type flowToken struct {
	sealed []byte
	parsed token.Token
}

// permit is the permission to run a request that must not be repeated. It is granted
// for one nonce; a nonce of 0 means that none was granted.
type permit struct {
	nonce        uint64
	owner        owner
	flowToken    flowToken // newest token of that owner
	ownerAtGrant owner     // newest owner of the flow when the permit was granted
}

// call is the state of one request in flight.
type call struct {
	id       uint64
	request  Request
	deadline clock.Millis // when the answer is due

	flowID  uint64 // flow it was sent on, while number is set
	number  uint64 // request number, 0 while it waits for a flow or for a retry
	attempt uint8  // how often its body was sent again from the start
	upload  upload

	retries uint8
	retryAt clock.Millis  // not sent before this time
	refusal packet.Reason // reason of the latest refusal
	moved   bool          // it was moved to a reopened flow once

	permit      permit
	graceEnd    clock.Millis // end of the grace period, or 0 if there is none
	graceDetail string       // detail of the error if no answer came by then

	sentWhole         bool    // every part was sent at least once
	holders           []owner // owners of this attempt that may hold the whole request
	mayHaveRunEarlier bool    // an owner of an earlier attempt may have run it
	answers           []*assembly
}

// mayHaveRun reports whether an instance may have started the request: one that must
// not be repeated only with a permit.
func (c *call) mayHaveRun() bool {
	if c.request.Once {
		return c.permit.nonce != 0
	}
	return c.mayHaveRunEarlier || len(c.holders) > 0
}

// addHolder records that an owner may hold the whole request, if every part was sent.
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

// removeHolder records that an owner reported that it did not run the request.
func (c *call) removeHolder(o owner) {
	for i, known := range c.holders {
		if known == o {
			c.holders = append(c.holders[:i], c.holders[i+1:]...)
			return
		}
	}
}

// restartUpload resets the upload, so that the body is sent from the start, and ends a
// grace period.
func (c *call) restartUpload(now clock.Millis) {
	c.graceEnd, c.graceDetail = 0, ""
	c.upload = newUpload(len(c.request.Body), now)
	if c.attempt < maxAttempt {
		c.attempt++
	}
}

// detach removes the request from its flow, so that it is sent under a new number.
func (c *call) detach() {
	if len(c.holders) > 0 && !c.request.Once {
		c.mayHaveRunEarlier = true
	}
	c.number, c.flowID = 0, 0
	c.permit, c.graceEnd, c.graceDetail = permit{}, 0, ""
	c.sentWhole, c.holders, c.answers = false, nil, nil
}

// maxAttempt is the largest attempt that fits the packet's field.
const maxAttempt = 255

// partPacket returns the packet that carries one part.
func (c *call) partPacket(now clock.Millis, part uint32) packet.Packet {
	return packet.Packet{
		Kind: packet.KindPart, Request: c.number, Part: part, Count: c.upload.window.Count,
		Once: c.request.Once, Attempt: c.attempt, Class: c.request.Class,
		Deadline: c.deadline - now, Payload: packet.PartOf(c.request.Body, part),
	}
}
