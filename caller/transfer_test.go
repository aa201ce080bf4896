package caller

import (
	"fmt"
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// transfer is one case of testdata/transfers.yaml: a large request on a network with
// faults, and the limits for the parts resent and for the simulated time until the
// owner has acknowledged all parts.
type transfer struct {
	Name            string       `yaml:"name"`
	Size            int          `yaml:"size"`    // bytes
	Loss            int          `yaml:"loss"`    // percent
	LossToInstances int          `yaml:"up"`      // percent, further loss on the way to instances
	Delay           clock.Millis `yaml:"delay"`   // largest extra delay, drawn for each packet
	MaxRepeats      int          `yaml:"repeats"` // resent parts, in percent of all parts
	MaxTime         clock.Millis `yaml:"time"`    // simulated ms
}

// TestTransfers guards against needless resends, and against slow transfers, when parts
// are lost or reordered.
func TestTransfers(t *testing.T) {
	data, err := os.ReadFile("testdata/transfers.yaml")
	require.NoError(t, err)
	var transfers []transfer
	require.NoError(t, yaml.UnmarshalWithOptions(data, &transfers, yaml.Strict()))
	for _, c := range transfers {
		t.Run(c.Name, func(t *testing.T) {
			for seed := range uint64(5) {
				runTransfer(t, c, seed)
			}
		})
	}
}

func runTransfer(t *testing.T, c transfer, seed uint64) {
	s := newSimulation(seed, faults{Loss: c.Loss, LossToInstances: c.LossToInstances, Delay: c.Delay, ExtraDeadline: clock.Minute})
	r := &sentRequest{id: 1, size: c.Size}
	s.requests = append(s.requests, r)
	s.handle(OpenRequested{})
	s.schedule(1000, func() {
		s.handle(RequestStarted{CallID: 1, Request: Request{Body: requestBody(r), Deadline: clock.Minute}})
	})
	received, repeats := clock.Millis(0), 0
	for at := clock.Millis(0); at < simulationEnd; at += TickPeriod {
		s.schedule(at, func() {
			s.handle(Tick{})
			if received == 0 && len(s.engine.calls) == 1 && s.engine.calls[0].number != 0 && s.engine.calls[0].upload.window.Done() {
				received, repeats = s.now-1000, int(s.engine.counters.Repeats)
			}
		})
	}
	s.run()
	s.check(t)
	require.NoError(t, r.ended.Err)
	parts := int(packet.CountParts(c.Size))
	summary := fmt.Sprintf("seed %d: %d of %d parts resent, acknowledged after %d ms", seed, repeats, parts, received)
	t.Log(summary)
	require.LessOrEqual(t, repeats*100, parts*c.MaxRepeats, summary)
	require.LessOrEqual(t, received, c.MaxTime, summary)
}
