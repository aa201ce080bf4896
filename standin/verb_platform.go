package standin

import (
	"flag"

	"github.com/tanagerdock/tanagerdock/clock"
)

var platformVerb = verb{
	name:    "platform",
	summary: "the platform's object API, in memory",
	usage: `Serves the platform's object API over HTTP. Objects are kept in memory only.
The same address serves PUT /fault and GET /calls.

Faults: down, slow (ms), lose, drop (probabilities), stale, replica (revisions),
cut (list of callers).`,
	start: startPlatformVerb,
}

// defaultInstanceListLag is the default delay until changes show in the list of instances, in ms.
const defaultInstanceListLag = 2 * clock.Second

func startPlatformVerb(flags *flag.FlagSet, args []string) (runningServer, error) {
	var s PlatformSettings
	listen := flags.String("listen", "127.0.0.1:0", "IP address and TCP port")
	lag := flags.Int64("lag", int64(defaultInstanceListLag), "delay until changes show in the list of instances, in ms")
	flags.IntVar(&s.HistoryLength, "history", DefaultHistoryLength, "number of changes kept for watches")
	flags.Uint64Var(&s.Seed, "seed", 0, "seed of the random number generator")
	if err := parseFlags(flags, args); err != nil {
		return runningServer{}, err
	}
	s.InstanceListLag = clock.Millis(*lag)
	err := firstError(checkPositive("-history", float64(s.HistoryLength)), checkNotNegative("-lag", float64(*lag)))
	if err != nil {
		return runningServer{}, err
	}
	address, server, err := listenHTTP(*listen, NewPlatform(s))
	if err != nil {
		return runningServer{}, err
	}
	return runningServer{listen: address, control: address, close: func() { server.Close() }}, nil
}
