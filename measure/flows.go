package measure

import (
	"context"
	"flag"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

var flowsVerb = verb{
	name:    "flows",
	summary: "memory per open flow, and new flows per second on one instance",
	usage: `Lets one entry daemon hold open flows, each probed once, and then opens new ones
at a steady rate, each with one request that a backend server answers.

  flow_bytes          growth of resident memory per open flow
  flows_held          open flows, by the answered probes
  new_flows_answered  new flows per second whose first request was answered
  answers_per_flow    answer packets per flow; above 1 if answers are repeated
  new_flow_us         processor time of the daemon per new flow
  new_flow_cores      processor time of the daemon per second, in cores`,
	defineFlags: func(flags *flag.FlagSet) measureFunc {
		var f flowsRun
		bin := binFlag(flags)
		flags.IntVar(&f.heldFlows, "flows", 300_000, "open flows")
		flags.IntVar(&f.openRate, "rate", 5000, "new flows per second")
		flags.DurationVar(&f.duration, "span", 10*time.Second, "time during which new flows are opened")
		return func(ctx context.Context, p *printer) error { return f.run(ctx, p, *bin) }
	},
}

type flowsRun struct {
	heldFlows, openRate int
	duration            time.Duration
	testbed             *testbed
	entry               *process
	answeredFlows       atomic.Int64
	answerPackets       atomic.Int64 // including repeated answers
	probeReplies        atomic.Int64
}

func (f *flowsRun) run(ctx context.Context, p *printer, bin string) error {
	var err error
	if f.testbed, err = startTestbed(ctx, bin); err != nil {
		return err
	}
	defer f.testbed.close()
	if err := f.testbed.putService(ctx); err != nil {
		return err
	}
	for range 2 {
		if err := f.testbed.addBackend(ctx, 200); err != nil {
			return err
		}
	}
	if f.entry, err = f.testbed.addEntry(ctx); err != nil {
		return err
	}
	owner, err := f.testbed.waitListed(ctx, entryName(1))
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // until the daemon places flows at the endpoints
	if err := f.holdFlows(ctx, p, owner); err != nil {
		return err
	}
	return f.openFlows(ctx, p)
}

// settleTime is the wait after a burst or a start until memory and traffic are steady.
const settleTime = 5 * time.Second

// holdFlows makes the daemon hold flows by probing each once, and prints the memory that
// they take.
func (f *flowsRun) holdFlows(ctx context.Context, p *printer, owner record.Instance) error {
	time.Sleep(settleTime)
	before, err := f.entry.resident()
	if err != nil {
		return err
	}
	sent := 0
	sockets, err := openSockets(1)
	if err != nil {
		return err
	}
	defer sockets[0].Close()
	go receive(sockets[0], func(net.Addr, []byte) { f.probeReplies.Add(1) })
	to := net.UDPAddrFromAddrPort(mustAddrPort(f.entry.ready["packets"]))
	for ; sent < f.heldFlows && ctx.Err() == nil; sent++ {
		probe, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Token: f.testbed.sealToken(owner, uint64(sent+1)), Nonce: 1})
		if err != nil {
			return err
		}
		if _, err := sockets[0].WriteTo(probe, to); err != nil {
			return errors.WithStack(err)
		}
		for deadline := time.Now().Add(lossTimeout); int64(sent)-f.probeReplies.Load() > maxInFlight && time.Now().Before(deadline); {
			time.Sleep(pollInterval)
		}
	}
	time.Sleep(settleTime)
	after, err := f.entry.resident()
	if err != nil {
		return err
	}
	p.integer("flows_sent", int64(sent))
	p.integer("flows_held", f.probeReplies.Load())
	p.integer("resident_before", before)
	p.integer("resident_after", after)
	p.line("flow_bytes", float64(after-before)/float64(max(1, f.probeReplies.Load())))
	return nil
}

// openFlows opens new flows at the configured rate and prints how many were answered and
// the processor time of the daemon.
func (f *flowsRun) openFlows(ctx context.Context, p *printer) error {
	const sockets = 2
	before, err := f.entry.cpu()
	if err != nil {
		return err
	}
	var opened atomic.Int64
	var openers sync.WaitGroup
	start := time.Now()
	for i := range sockets {
		c, err := listenLoopback()
		if err != nil {
			return err
		}
		defer c.Close()
		go receive(c, f.answerHandler(c))
		openers.Go(func() { f.sendOpens(ctx, c, i, sockets, start, &opened) })
	}
	openers.Wait()
	elapsed := time.Since(start)
	time.Sleep(500 * time.Millisecond)
	after, err := f.entry.cpu()
	if err != nil {
		return err
	}
	p.line("answers_per_flow", float64(f.answerPackets.Load())/float64(max(1, f.answeredFlows.Load())))
	cpuSeconds := (after - before).Seconds()
	p.line("new_flows_sent", float64(opened.Load())/elapsed.Seconds())
	p.line("new_flows_answered", float64(f.answeredFlows.Load())/elapsed.Seconds())
	p.line("new_flow_us", cpuSeconds*1e6/float64(max(1, f.answeredFlows.Load())))
	p.line("new_flow_cores", cpuSeconds/elapsed.Seconds())
	return nil
}

// sendOpens sends the opening packet of each flow when it is due.
func (f *flowsRun) sendOpens(ctx context.Context, c *net.UDPConn, first, step int, start time.Time, opened *atomic.Int64) {
	to := net.UDPAddrFromAddrPort(mustAddrPort(f.entry.ready["packets"]))
	total := int(f.duration.Seconds() * float64(f.openRate))
	for n := first; n < total && ctx.Err() == nil; n += step {
		due := start.Add(time.Duration(float64(n) / float64(f.openRate) * float64(time.Second)))
		if wait := time.Until(due); wait > time.Millisecond {
			time.Sleep(wait)
		}
		data, err := packet.Encode(packet.Packet{Kind: packet.KindOpen, Service: service, Nonce: uint64(n + 1)})
		if err != nil {
			return
		}
		_, _ = c.WriteTo(data, to)
		opened.Add(1)
	}
}

// answerHandler returns the caller's side of new flows: it sends a request on each opened
// flow and acknowledges the answer.
func (f *flowsRun) answerHandler(c *net.UDPConn) func(net.Addr, []byte) {
	seen := make(map[uint64]bool) // flows answered, since answers are repeated
	return func(from net.Addr, data []byte) {
		p, err := packet.Decode(data)
		if err != nil {
			return
		}
		var reply packet.Packet
		switch p.Kind {
		case packet.KindOpened:
			body := fmt.Appendf(nil, "work=0 answer=64 id=%d\n", p.Nonce)
			reply = packet.Packet{Kind: packet.KindPart, Token: p.Token, Request: 1, Count: 1, Deadline: 5000, Payload: body}
		case packet.KindAnswer:
			f.answerPackets.Add(1)
			if t, err := token.Peek(p.Token); err == nil && !seen[t.Flow] {
				seen[t.Flow] = true
				f.answeredFlows.Add(1)
			}
			reply = packet.Packet{Kind: packet.KindGot, Token: p.Token, Request: p.Request, Next: p.Count, Count: p.Count}
		default:
			return
		}
		if data, err := packet.Encode(reply); err == nil {
			_, _ = c.WriteTo(data, from)
		}
	}
}
