package standin

import (
	"flag"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

var fabricVerb = verb{
	name:    "fabric",
	summary: "a relay that distributes datagrams over entry instances",
	usage: `Forwards each datagram of a caller to a random entry instance, and the replies
to the caller. The control address serves PUT /fault, GET /calls, and GET and PUT
/entries (a JSON list of IP addresses with ports).

Faults: loss, duplicate, reorder (probabilities), delay, jitter (ms), block (list
of entry instances' addresses).`,
	start: startFabricVerb,
}

func startFabricVerb(flags *flag.FlagSet, args []string) (runningServer, error) {
	var s FabricSettings
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:0", "IP address and UDP port for callers")
	control := flags.String("control", "127.0.0.1:0", "IP address and TCP port of the control handler")
	entries := flags.String("entries", "", "IP addresses and UDP ports of entry instances, separated by commas")
	flags.IntVar(&s.MaxCallers, "callers", DefaultMaxCallers, "maximum number of concurrent callers")
	idle := flags.Int64("idle", int64(DefaultIdleTimeout), "time without datagrams after which a caller is removed, in ms")
	flags.Uint64Var(&s.Seed, "seed", 0, "seed of the random number generator")
	if err := parseFlags(flags, args); err != nil {
		return runningServer{}, err
	}
	s.IdleTimeout = clock.Millis(*idle)
	err := firstError(checkPositive("-callers", float64(s.MaxCallers)), checkPositive("-idle", float64(*idle)))
	if err != nil {
		return runningServer{}, err
	}
	if *entries != "" {
		s.Entries = strings.Split(*entries, ",")
	}
	f, err := StartFabric(s)
	if err != nil {
		return runningServer{}, err
	}
	address, server, err := listenHTTP(*control, f.Control())
	if err != nil {
		f.Close()
		return runningServer{}, err
	}
	stop := func() {
		server.Close()
		f.Close()
	}
	return runningServer{listen: f.Address(), control: address, close: stop}, nil
}
