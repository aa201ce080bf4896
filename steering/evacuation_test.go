package steering

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/evacuation"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// An engine that takes evacuation orders and has none decides as one that takes none, and leaves
// its random choices as they are, on the packets and events of all scripts.
func TestDecisionsWithoutEvacuationsStayTheSame(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		var cases []scriptCase
		script.Read(t, file, &cases)
		for _, c := range cases {
			if !c.Evacuate {
				comparePlays(t, file+", "+c.Name, c)
			}
		}
	}
}

func comparePlays(t *testing.T, name string, c scriptCase) {
	t.Helper()
	settings := Settings{Centre: "here", StaleAfter: 1650, TickPeriod: c.TickPeriod, Seed: 1}
	off := NewEngine(settings)
	settings.Evacuations = true
	on := NewEngine(settings)
	on.Handle(startTime, EvacuationsRead{Orders: evacuation.Orders{Revision: 1}})
	for i, s := range c.Steps {
		s.Orders = "" // off ignores them
		step, now := fmt.Sprintf("%s, step %d", name, i+1), startTime+s.At
		for _, v := range s.events(t, off, now) {
			off.Handle(now, v)
			on.Handle(now, v)
		}
		if s.Packet != "" {
			p := parsePacket(t, s.Packet)
			require.Equal(t, off.Steer(now, &p), on.Steer(now, &p), step)
		}
		if s.Answers != "" {
			s.steerAnswers(t, off, step, now)
			s.steerAnswers(t, on, step, now)
		}
	}
	require.Equal(t, off.random.Uint64(), on.random.Uint64(), name)
}
