package standin

import (
	"flag"

	"github.com/tanagerdock/tanagerdock/clock"
)

var platformVerb = verb{
	name:    "platform",
	summary: "the platform's object API, in memory",
	usage: `Serves the platform's object API over HTTP. Nothing is kept on disk.
On the same address: PUT /fault, GET /calls.

Faults: down, slow (ms), lose, drop (probabilities), stale, replica (revisions),
cut (list of callers).`,
	start: startPlatformVerb,
}

// defaultLag is how far the list of instances lags behind unless told, in ms.
const defaultLag = 2 * clock.Second

func startPlatformVerb(flags *flag.FlagSet, args []string) (running, error) {
	var s PlatformSettings
	listen := flags.String("listen", "127.0.0.1:0", "IP address and TCP port")
	lag := flags.Int64("lag", int64(defaultLag), "how far the list of instances lags behind, in ms")
	flags.IntVar(&s.HistoryLength, "history", DefaultHistoryLength, "changes kept for watches")
	flags.Uint64Var(&s.Seed, "seed", 0, "seed of random choices")
	if err := parse(flags, args); err != nil {
		return running{}, err
	}
	s.InstanceListLag = clock.Millis(*lag)
	err := firstError(positive("-history", float64(s.HistoryLength)), notNegative("-lag", float64(*lag)))
	if err != nil {
		return running{}, err
	}
	address, server, err := listenHTTP(*listen, NewPlatform(s))
	if err != nil {
		return running{}, err
	}
	return running{listen: address, control: address, close: func() { server.Close() }}, nil
}
