package instance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
)

type memoryCase struct {
	Name      string           `yaml:"name"`
	HeldBytes map[uint64]int64 `yaml:"held"`
	Service   uint64           `yaml:"ask"`
	Size      int64            `yaml:"size"`
	Want      bool             `yaml:"want"`
}

// Guards against one service that uses up the memory for bodies.
func TestServicesShareMemory(t *testing.T) {
	var cases []memoryCase
	script.Read(t, "testdata/memory.yaml", &cases)
	for _, c := range cases {
		st := &EngineState{BodyBytesByService: make(map[uint64]int64), Services: map[uint64]*Service{1: {}, 2: {}, 3: {}}}
		st.Settings.MemoryLimit = 1200
		for service, n := range c.HeldBytes {
			st.addBodyBytes(service, n)
		}
		require.Equal(t, c.Want, st.hasMemory(c.Service, c.Size), c.Name)
		for service, n := range c.HeldBytes {
			st.addBodyBytes(service, -n)
		}
		require.Zero(t, st.BodyBytes)
		require.Empty(t, st.BodyBytesByService)
	}
}
