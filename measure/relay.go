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
	summary: "packets per second through one instance, against a plain UDP relay",
	usage: `Sends datagrams through one entry daemon and a plain relay in turn and prints, for
each, the datagrams that arrived per second and the processor time per datagram.

  bare_pps, bare_us          the plain relay: datagrams per second, CPU time in us
  forward_pps, forward_us    packets of flows that another instance owns
  owned_pps, owned_us        probes of the daemon's own flows, which it answers
  *_ratio                    relative to the plain relay in the same round
  *_lost                     share of datagrams that never arrived`,
	defineFlags: func(flags *flag.FlagSet) measureFunc {
		var r relayRun
		bin := binFlag(flags)
		flags.IntVar(&r.rounds, "rounds", 5, "rounds")
		flags.DurationVar(&r.duration, "span", 1500*time.Millisecond, "time for which each path is driven in a round")
		flags.IntVar(&r.flows, "flows", 1000, "flows that the packets belong to")
		flags.IntVar(&r.senders, "senders", 2, "sending sockets")
		flags.IntVar(&r.readers, "readers", 2, "goroutines of the plain relay; the daemon has 2")
		flags.StringVar(&r.profile, "profile", "", "write a CPU profile of the daemon to `FILE`")
		flags.StringVar(&r.onlyPath, "only", "", "drive only the path of this name (bare, forward or owned), without a ratio")
		return func(ctx context.Context, p *printer) error { return r.run(ctx, p, *bin) }
	},
}

type relayRun struct {
	rounds, flows, senders, readers int
	duration                        time.Duration
	profile, onlyPath               string

	testbed *testbed
	entry   *process
	bare    *process
	peer    *peer
	// probeReplies counts the daemon's answers to probes.
	probeReplies atomic.Int64
}

// path is one measured way of datagrams through a process.
type path struct {
	name       string
	process    *process
	driver     *driver
	rates      []float64
	cpuMicros  []float64
	lostShares []float64
}

func (r *relayRun) run(ctx context.Context, p *printer, bin string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if r.testbed, err = startTestbed(ctx, bin); err != nil {
		return err
	}
	defer r.testbed.close()
	r.testbed.profile = r.profile
	if err := r.start(ctx); err != nil {
		return err
	}
	paths, err := r.preparePaths(ctx)
	if err != nil {
		return err
	}
	for range r.rounds {
		for _, pt := range paths {
			if r.onlyPath != "" && r.onlyPath != pt.name {
				continue
			}
			if err := pt.measure(ctx, r.duration); err != nil {
				return err
			}
		}
	}
	printPaths(p, paths)
	return nil
}

func (r *relayRun) start(ctx context.Context) error {
	if err := r.testbed.putService(ctx); err != nil {
		return err
	}
	var err error
	if r.peer, err = startPeer(ctx, "owner", r.testbed.client); err != nil {
		return err
	}
	if r.entry, err = r.testbed.addEntry(ctx); err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return errors.WithStack(err)
	}
	r.bare, err = startProcess(ctx, executable, "bare", "-to", r.peer.self.PeerAddress, "-readers", itoa(r.readers))
	if err != nil {
		return err
	}
	r.testbed.others = append(r.testbed.others, r.bare)
	return nil
}

// preparePaths prepares the datagrams of each path, and waits until they arrive.
func (r *relayRun) preparePaths(ctx context.Context) ([]*path, error) {
	owner, err := r.testbed.waitListed(ctx, entryName(1))
	if err != nil {
		return nil, err
	}
	var parts, probes [][]byte
	for flow := range uint64(r.flows) {
		part, err := packet.Encode(packet.Packet{
			Kind: packet.KindPart, Token: r.testbed.sealToken(r.peer.self, flow+1), Request: 1, Part: 1, Count: 1000,
			Deadline: 1000, Payload: make([]byte, packet.MaxPayload),
		})
		if err != nil {
			return nil, err
		}
		probe, err := packet.Encode(packet.Packet{Kind: packet.KindProbe, Token: r.testbed.sealToken(owner, flow+1), Nonce: flow + 1})
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
		go receive(c, func(net.Addr, []byte) { r.probeReplies.Add(1) })
	}
	rotate := func(list [][]byte) func(int64) []byte {
		return func(n int64) []byte { return list[n%int64(len(list))] }
	}
	bare, entry := mustAddrPort(r.bare.ready["listen"]), mustAddrPort(r.entry.ready["packets"])
	paths := []*path{
		{name: "bare", process: r.bare, driver: &driver{target: bare, arrived: &r.peer.forwardedPackets, sockets: sockets, datagram: rotate(parts)}},
		{name: "forward", process: r.entry, driver: &driver{target: entry, arrived: &r.peer.forwardedPackets, sockets: sockets, datagram: rotate(parts)}},
		{name: "owned", process: r.entry, driver: &driver{target: entry, arrived: &r.probeReplies, sockets: sockets, datagram: rotate(probes)}},
	}
	return paths, awaitTraffic(ctx, paths)
}

// awaitTraffic drives each path until datagrams arrive.
func awaitTraffic(ctx context.Context, paths []*path) error {
	for _, pt := range paths {
		for deadline := time.Now().Add(joinTimeout); pt.driver.drive(ctx, 200*time.Millisecond).arrived == 0; {
			if time.Now().After(deadline) {
				return errors.Errorf("no datagram arrived on path %q within %v", pt.name, joinTimeout)
			}
		}
	}
	return nil
}

func (pt *path) measure(ctx context.Context, duration time.Duration) error {
	before, err := pt.process.cpu()
	if err != nil {
		return err
	}
	o := pt.driver.drive(ctx, duration)
	after, err := pt.process.cpu()
	if err != nil {
		return err
	}
	pt.rates = append(pt.rates, o.rate())
	pt.cpuMicros = append(pt.cpuMicros, float64((after-before).Microseconds())/float64(max(1, o.arrived)))
	pt.lostShares = append(pt.lostShares, float64(o.lost)/float64(max(1, o.sent)))
	return nil
}

func printPaths(p *printer, paths []*path) {
	bare := paths[0]
	for _, pt := range paths {
		if len(pt.rates) == 0 {
			continue
		}
		p.spread(pt.name+"_pps", pt.rates)
		p.spread(pt.name+"_us", pt.cpuMicros)
		p.spread(pt.name+"_lost", pt.lostShares)
		if pt == bare || len(bare.rates) == 0 {
			continue
		}
		var ratios, cpuRatios []float64
		for i := range pt.rates {
			ratios = append(ratios, pt.rates[i]/bare.rates[i])
			cpuRatios = append(cpuRatios, bare.cpuMicros[i]/pt.cpuMicros[i])
		}
		p.spread(pt.name+"_ratio", ratios)
		p.spread(pt.name+"_cpu_ratio", cpuRatios)
	}
}
