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

// transfer is one case of testdata/transfers.yaml: a large request over a
// network with given faults, and bounds for the parts repeated and the simulated
// time until the owner held all.
type transfer struct {
	Name    string       `yaml:"name"`
	Size    int          `yaml:"size"`    // bytes
	Loss    int          `yaml:"loss"`    // percent
	LossUp  int          `yaml:"up"`      // percent, on the way to instances besides
	Delay   clock.Millis `yaml:"delay"`   // packets take up to this time longer, each its own
	Repeats int          `yaml:"repeats"` // most parts repeated, in percent of all
	Time    clock.Millis `yaml:"time"`    // most time, in simulated ms
}

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
	w := newWorld(seed, faults{Loss: c.Loss, LossUp: c.LossUp, Delay: c.Delay, Spare: clock.Minute})
	r := &sentRequest{id: 1, size: c.Size}
	w.requests = append(w.requests, r)
	w.handle(OpenRequested{})
	w.at(1000, func() {
		w.handle(RequestStarted{CallID: 1, Request: Request{Body: bodyOf(r), Deadline: clock.Minute}})
	})
	held, repeats := clock.Millis(0), 0
	for at := clock.Millis(0); at < worldEnd; at += TickPeriod {
		w.at(at, func() {
			w.handle(Tick{})
			if held == 0 && len(w.engine.calls) == 1 && w.engine.calls[0].number != 0 && w.engine.calls[0].upload.window.Done() {
				held, repeats = w.now-1000, int(w.engine.counters.Repeats)
			}
		})
	}
	w.run()
	w.check(t)
	require.NoError(t, r.ended.Err)
	parts := int(packet.CountParts(c.Size))
	figures := fmt.Sprintf("seed %d: %d of %d parts repeated, held after %d ms", seed, repeats, parts, held)
	t.Log(figures)
	require.LessOrEqual(t, repeats*100, parts*c.Repeats, figures)
	require.LessOrEqual(t, held, c.Time, figures)
}
