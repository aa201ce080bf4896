package standin

import (
	"flag"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

var fabricVerb = verb{
	name:    "fabric",
	summary: "a relay that sprays datagrams over entry instances",
	usage: `Passes each datagram of a caller to a random entry instance, and answers back.
On the control address: PUT /fault, GET /calls, GET and PUT /entries (a JSON list
of IP addresses with ports).

Faults: loss, duplicate, reorder (probabilities), delay, jitter (ms), block (list
of entry instances' addresses).`,
	start: startFabricVerb,
}

func startFabricVerb(flags *flag.FlagSet, args []string) (running, error) {
	var s FabricSettings
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:0", "IP address and UDP port for callers")
	control := flags.String("control", "127.0.0.1:0", "IP address and TCP port of the control address")
	entries := flags.String("entries", "", "IP addresses and UDP ports of entry instances, separated by commas")
	flags.IntVar(&s.MaxCallers, "callers", DefaultMaxCallers, "callers at once")
	idle := flags.Int64("idle", int64(DefaultIdleTimeout), "time after which a silent caller is forgotten, in ms")
	flags.Uint64Var(&s.Seed, "seed", 0, "seed of random choices")
	if err := parse(flags, args); err != nil {
		return running{}, err
	}
	s.IdleTimeout = clock.Millis(*idle)
	err := firstError(positive("-callers", float64(s.MaxCallers)), positive("-idle", float64(*idle)))
	if err != nil {
		return running{}, err
	}
	if *entries != "" {
		s.Entries = strings.Split(*entries, ",")
	}
	f, err := StartFabric(s)
	if err != nil {
		return running{}, err
	}
	address, server, err := listenHTTP(*control, f.Control())
	if err != nil {
		f.Close()
		return running{}, err
	}
	stop := func() {
		server.Close()
		f.Close()
	}
	return running{listen: f.Address(), control: address, close: stop}, nil
}
