package measure

import (
	"context"
	"flag"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/packet"
)

var relayVerb = verb{
	name:    "relay",
	summary: "packets a second through one instance, against a bare UDP relay",
	usage: `Drives one entry daemon and a bare relay in turn and prints, for each, the
datagrams that came out a second and the processor time of each.

  bare_pps, bare_us          the bare relay: datagrams a second, CPU in us each
  forward_pps, forward_us    packets of flows that another instance owns
  owned_pps, owned_us        probes of flows owned here, answered
  *_ratio                    against the bare relay in the same round
  *_lost                     share of datagrams that never came out`,
	setUp: func(flags *flag.FlagSet) work {
		var r relay
		bin := binFlag(flags)
		flags.IntVar(&r.rounds, "rounds", 5, "rounds")
		flags.DurationVar(&r.span, "span", 1500*time.Millisecond, "time of each drive")
		flags.IntVar(&r.flows, "flows", 1000, "flows that the packets belong to")
		flags.IntVar(&r.senders, "senders", 2, "sockets that send")
		flags.IntVar(&r.readers, "readers", 2, "goroutines of the bare relay; the daemon has 2")
		flags.StringVar(&r.profile, "profile", "", "write a CPU profile of the daemon to `FILE`")
		flags.StringVar(&r.only, "only", "", "drive only the lane of this name, without a ratio")
		return func(ctx context.Context, p *printer) error { return r.run(ctx, p, *bin) }
	},
}

type relay struct {
	rounds, flows, senders, readers int
	span                            time.Duration
	profile, only                   string

	stage *stage
	entry *process
	bare  *process
	peer  *peer
	// echoes counts the answers to probes.
	echoes atomic.Int64
}

// lane is one way through a process.
type lane struct {
	name    string
	process *process
	driver  *driver
	pps     []float64
	micros  []float64
	lost    []float64
}

func (r *relay) run(ctx context.Context, p *printer, bin string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if r.stage, err = openStage(ctx, bin); err != nil {
		return err
	}
	defer r.stage.close()
	r.stage.profile = r.profile
	if err := r.start(ctx); err != nil {
		return err
	}
	lanes, err := r.lanes(ctx)
	if err != nil {
		return err
	}
	for range r.rounds {
		for _, l := range lanes {
			if r.only != "" && r.only != l.name {
				continue
			}
			if err := l.measure(ctx, r.span); err != nil {
				return err
			}
		}
	}
	printLanes(p, lanes)
	return nil
}

func (r *relay) start(ctx context.Context) error {
	if err := r.stage.putService(ctx); err != nil {
		return err
	}
	var err error
	if r.peer, err = startPeer(ctx, "owner", r.stage.client); err != nil {
		return err
	}
	if r.entry, err = r.stage.addEntry(ctx); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return errors.WithStack(err)
	}
	r.bare, err = startProcess(ctx, self, "bare", "-to", r.peer.self.PeerAddress, "-readers", itoa(r.readers))
	if err != nil {
		return err
	}
	r.stage.others = append(r.stage.others, r.bare)
	return nil
}

// lanes prepares the datagrams of each way, and waits until the daemon passes
// packets on.
func (r *relay) lanes(ctx context.Context) ([]*lane, error) {
	owner, err := r.stage.described(ctx, entryName(1))
	if err != nil {
		return nil, err
	}
	var parts, probes [][]byte
	for flow := range uint64(r.flows) {
		part, err := packet.Encode(packet.Packet{
			Kind: packet.KindPart, Token: r.stage.seal(r.peer.self, flow+1), Request: 1, Part: 1, Count: 1000,
			Deadline: 1000, Payload: make([]byte, packet.MaxPayload),
		})
		if err != nil {
			return nil, err
		}
		probe, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Token: r.stage.seal(owner, flow+1), Nonce: flow + 1})
		if err != nil {
			return nil, err
		}
		parts, probes = append(parts, part), append(probes, probe)
	}
	sockets, err := openSockets(r.senders)
	if err != nil {
		return nil, err
	}
	for _, c := range sockets {
		go receive(c, func(net.Addr, []byte) { r.echoes.Add(1) })
	}
	turn := func(list [][]byte) func(int64) []byte {
		return func(n int64) []byte { return list[n%int64(len(list))] }
	}
	bare, entry := mustAddrPort(r.bare.ready["listen"]), mustAddrPort(r.entry.ready["packets"])
	lanes := []*lane{
		{name: "bare", process: r.bare, driver: &driver{to: bare, arrived: &r.peer.passed, sockets: sockets, next: turn(parts)}},
		{name: "forward", process: r.entry, driver: &driver{to: entry, arrived: &r.peer.passed, sockets: sockets, next: turn(parts)}},
		{name: "owned", process: r.entry, driver: &driver{to: entry, arrived: &r.echoes, sockets: sockets, next: turn(probes)}},
	}
	return lanes, warm(ctx, lanes)
}

// warm drives each lane until datagrams come out.
func warm(ctx context.Context, lanes []*lane) error {
	for _, l := range lanes {
		for limit := time.Now().Add(joinPatience); l.driver.drive(ctx, 200*time.Millisecond).arrived == 0; {
			if time.Now().After(limit) {
				return errors.Errorf("nothing came out of lane %q within %v", l.name, joinPatience)
			}
		}
	}
	return nil
}

func (l *lane) measure(ctx context.Context, span time.Duration) error {
	before, err := l.process.cpu()
	if err != nil {
		return err
	}
	o := l.driver.drive(ctx, span)
	after, err := l.process.cpu()
	if err != nil {
		return err
	}
	l.pps = append(l.pps, o.rate())
	l.micros = append(l.micros, float64((after-before).Microseconds())/float64(max(1, o.arrived)))
	l.lost = append(l.lost, float64(o.lost)/float64(max(1, o.sent)))
	return nil
}

func printLanes(p *printer, lanes []*lane) {
	bare := lanes[0]
	for _, l := range lanes {
		if len(l.pps) == 0 {
			continue
		}
		p.spread(l.name+"_pps", l.pps)
		p.spread(l.name+"_us", l.micros)
		p.spread(l.name+"_lost", l.lost)
		if l == bare || len(bare.pps) == 0 {
			continue
		}
		var ratios, costs []float64
		for i := range l.pps {
			ratios = append(ratios, l.pps[i]/bare.pps[i])
			costs = append(costs, bare.micros[i]/l.micros[i])
		}
		p.spread(l.name+"_ratio", ratios)
		p.spread(l.name+"_cpu_ratio", costs)
	}
}
