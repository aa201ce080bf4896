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
	summary: "memory a held flow, and new flows a second on one instance",
	usage: `Lets one entry daemon hold open flows, each probed once, and then opens new ones
at a steady rate, each with one request answered by a backend server.

  flow_bytes          growth of resident memory a held flow
  flows_held          flows held
  new_flows_answered  new flows a second whose first request was answered
  answers_per_flow    answers received a flow; above 1 when they are repeated
  new_flow_us         processor time of the daemon a new flow
  new_flow_cores      the same, in cores`,
	setUp: func(flags *flag.FlagSet) work {
		var f flows
		bin := binFlag(flags)
		flags.IntVar(&f.held, "flows", 300_000, "flows to hold")
		flags.IntVar(&f.rate, "rate", 5000, "new flows a second")
		flags.DurationVar(&f.span, "span", 10*time.Second, "time in which new flows are opened")
		return func(ctx context.Context, p *printer) error { return f.run(ctx, p, *bin) }
	},
}

type flows struct {
	held, rate int
	span       time.Duration
	stage      *stage
	entry      *process
	answered   atomic.Int64 // flows
	packets    atomic.Int64 // answers, with those repeated
	echoes     atomic.Int64
}

func (f *flows) run(ctx context.Context, p *printer, bin string) error {
	var err error
	if f.stage, err = openStage(ctx, bin); err != nil {
		return err
	}
	defer f.stage.close()
	if err := f.stage.putService(ctx); err != nil {
		return err
	}
	for range 2 {
		if err := f.stage.addBackend(ctx, 200); err != nil {
			return err
		}
	}
	if f.entry, err = f.stage.addEntry(ctx); err != nil {
		return err
	}
	owner, err := f.stage.described(ctx, entryName(1))
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // until it dispatches the endpoints
	if err := f.hold(ctx, p, owner); err != nil {
		return err
	}
	return f.open(ctx, p)
}

// settle is how long memory may come to rest after a burst.
const settle = 5 * time.Second

// hold lets the daemon hold flows and prints the memory that took.
func (f *flows) hold(ctx context.Context, p *printer, owner record.Instance) error {
	time.Sleep(settle)
	before, err := f.entry.resident()
	if err != nil {
		return err
	}
	held := 0
	sockets, err := openSockets(1)
	if err != nil {
		return err
	}
	defer sockets[0].Close()
	go receive(sockets[0], func(net.Addr, []byte) { f.echoes.Add(1) })
	to := net.UDPAddrFromAddrPort(mustAddrPort(f.entry.ready["packets"]))
	for ; held < f.held && ctx.Err() == nil; held++ {
		probe, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Token: f.stage.seal(owner, uint64(held+1)), Nonce: 1})
		if err != nil {
			return err
		}
		if _, err := sockets[0].WriteTo(probe, to); err != nil {
			return errors.WithStack(err)
		}
		for limit := time.Now().Add(stalled); int64(held)-f.echoes.Load() > window && time.Now().Before(limit); {
			time.Sleep(poll)
		}
	}
	time.Sleep(settle)
	after, err := f.entry.resident()
	if err != nil {
		return err
	}
	p.whole("flows_sent", int64(held))
	p.whole("flows_held", f.echoes.Load())
	p.whole("resident_before", before)
	p.whole("resident_after", after)
	p.line("flow_bytes", float64(after-before)/float64(max(1, f.echoes.Load())))
	return nil
}

// open opens new flows at the rate asked for and prints what came of them.
func (f *flows) open(ctx context.Context, p *printer) error {
	const sockets = 2
	cpu, err := f.entry.cpu()
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
		go receive(c, f.answerer(c))
		openers.Go(func() { f.openAll(ctx, c, i, sockets, start, &opened) })
	}
	openers.Wait()
	took := time.Since(start)
	time.Sleep(500 * time.Millisecond)
	after, err := f.entry.cpu()
	if err != nil {
		return err
	}
	p.line("answers_per_flow", float64(f.packets.Load())/float64(max(1, f.answered.Load())))
	cost := (after - cpu).Seconds()
	p.line("new_flows_sent", float64(opened.Load())/took.Seconds())
	p.line("new_flows_answered", float64(f.answered.Load())/took.Seconds())
	p.line("new_flow_us", cost*1e6/float64(max(1, f.answered.Load())))
	p.line("new_flow_cores", cost/took.Seconds())
	return nil
}

// openAll sends an Open for each flow that is due.
func (f *flows) openAll(ctx context.Context, c *net.UDPConn, first, step int, start time.Time, opened *atomic.Int64) {
	to := net.UDPAddrFromAddrPort(mustAddrPort(f.entry.ready["packets"]))
	total := int(f.span.Seconds() * float64(f.rate))
	for n := first; n < total && ctx.Err() == nil; n += step {
		due := start.Add(time.Duration(float64(n) / float64(f.rate) * float64(time.Second)))
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

// answerer plays the caller's side: a request on each opened flow, and the report
// that its answer is held.
func (f *flows) answerer(c *net.UDPConn) func(net.Addr, []byte) {
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
			f.packets.Add(1)
			if t, err := token.Peek(p.Token); err == nil && !seen[t.Flow] {
				seen[t.Flow] = true
				f.answered.Add(1)
			}
			reply = packet.Packet{Kind: packet.KindGot, Token: p.Token, Request: p.Request, Next: p.Count, Count: p.Count}
		default:
			return
		}
		if sent, err := packet.Encode(reply); err == nil {
			_, _ = c.WriteTo(sent, from)
		}
	}
}
