package standin

import (
	"flag"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/record"
)

var backendVerb = verb{
	name:    "backend",
	summary: "a backend server",
	usage: `Serves one host over HTTP/1.1. A request whose body starts with the line
"work=<ms> answer=<bytes> id=<id>" occupies a slot for that time; any other body
is echoed. The control address serves PUT /fault, GET /calls and GET /ledger.

Faults: drain, mark, shed, down, reset, silent ("all", "open"), slow (factor),
lie ("fine", "bad"), host (name), kill (probability).`,
	start: startBackendVerb,
}

func startBackendVerb(flags *flag.FlagSet, args []string) (runningServer, error) {
	var s BackendSettings
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:0", "IP address and TCP port for requests")
	control := flags.String("control", "127.0.0.1:0", "IP address and TCP port of the control handler")
	flags.StringVar(&s.Host, "host", "", "the host to serve (required)")
	flags.IntVar(&s.Slots, "slots", record.DefaultSlots, "maximum number of concurrent requests")
	flags.IntVar(&s.MaxConnections, "connections", record.DefaultConnections, "maximum number of open connections")
	flags.Float64Var(&s.Speed, "speed", 1, "ms of work done per ms")
	cold := flags.Int64("cold", 0, "duration of the warm-up after the start, in ms")
	flags.Float64Var(&s.WarmupSlowdown, "chill", DefaultWarmupSlowdown, "factor by which requests take longer during the warm-up")
	flags.Uint64Var(&s.Seed, "seed", 0, "seed of the random number generator")
	if err := parseFlags(flags, args); err != nil {
		return runningServer{}, err
	}
	s.WarmupTime = clock.Millis(*cold)
	if err := checkBackendFlags(s); err != nil {
		return runningServer{}, err
	}
	b, err := StartBackend(s)
	if err != nil {
		return runningServer{}, err
	}
	address, server, err := listenHTTP(*control, b.Control())
	if err != nil {
		b.Close()
		return runningServer{}, err
	}
	stop := func() {
		server.Close()
		b.Close()
	}
	return runningServer{listen: b.Address(), control: address, close: stop}, nil
}

func checkBackendFlags(s BackendSettings) error {
	if s.Host == "" {
		return errors.Wrap(errUsage, "flag -host is missing")
	}
	return firstError(
		checkPositive("-slots", float64(s.Slots)),
		checkPositive("-connections", float64(s.MaxConnections)),
		checkPositive("-speed", s.Speed),
		checkNotNegative("-cold", float64(s.WarmupTime)),
		checkPositive("-chill", s.WarmupSlowdown),
	)
}
