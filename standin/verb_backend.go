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
"work=<ms> answer=<bytes> id=<id>" holds a slot for that time; any other body
is sent back. On the control address: PUT /fault, GET /calls, GET /ledger.

Faults: drain, mark, shed, down, reset, silent ("all", "open"), slow (factor),
lie ("fine", "bad"), host (name), kill (probability).`,
	start: startBackendVerb,
}

func startBackendVerb(flags *flag.FlagSet, args []string) (running, error) {
	var s BackendSettings
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:0", "IP address and TCP port for requests")
	control := flags.String("control", "127.0.0.1:0", "IP address and TCP port of the control address")
	flags.StringVar(&s.Host, "host", "", "the host to serve (required)")
	flags.IntVar(&s.Slots, "slots", record.DefaultSlots, "requests worked on at once")
	flags.IntVar(&s.MaxConnections, "connections", record.DefaultConnections, "connections accepted")
	flags.Float64Var(&s.Speed, "speed", 1, "work done a ms")
	cold := flags.Int64("cold", 0, "time after the start in which work is slower, in ms")
	flags.Float64Var(&s.WarmupSlowdown, "chill", DefaultWarmupSlowdown, "how much slower it is then")
	flags.Uint64Var(&s.Seed, "seed", 0, "seed of random choices")
	if err := parse(flags, args); err != nil {
		return running{}, err
	}
	s.WarmupTime = clock.Millis(*cold)
	if err := checkBackendFlags(s); err != nil {
		return running{}, err
	}
	b, err := StartBackend(s)
	if err != nil {
		return running{}, err
	}
	address, server, err := listenHTTP(*control, b.Control())
	if err != nil {
		b.Close()
		return running{}, err
	}
	stop := func() {
		server.Close()
		b.Close()
	}
	return running{listen: b.Address(), control: address, close: stop}, nil
}

func checkBackendFlags(s BackendSettings) error {
	if s.Host == "" {
		return errors.Wrap(errUsage, "flag -host is missing")
	}
	return firstError(
		positive("-slots", float64(s.Slots)),
		positive("-connections", float64(s.MaxConnections)),
		positive("-speed", s.Speed),
		notNegative("-cold", float64(s.WarmupTime)),
		positive("-chill", s.WarmupSlowdown),
	)
}
