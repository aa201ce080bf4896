package instance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/packet"
)

type classCase struct {
	Name   string `yaml:"name"`
	Told   string `yaml:"told"`
	Record string `yaml:"record"`
	Seen   []struct {
		Size  int     `yaml:"size"`
		Took  float64 `yaml:"took"`
		Times int     `yaml:"times"`
	} `yaml:"seen"`
	Size int    `yaml:"size"`
	Want string `yaml:"want"`
}

func TestClassOfRequest(t *testing.T) {
	var cases []classCase
	script.Read(t, "testdata/class.yaml", &cases)
	classes := map[string]packet.Class{"": packet.ClassUnknown, "short": packet.ClassShort, "long": packet.ClassLong}
	for _, c := range cases {
		s := &Service{}
		s.Record.Class = c.Record
		for _, seen := range c.Seen {
			for range seen.Times {
				s.RunTimesBySize[sizeBucket(seen.Size)].Add(seen.Took)
			}
		}
		got := (&EngineState{}).classOf(s, classes[c.Told], c.Size)
		require.Equal(t, classes[c.Want], got, c.Name)
	}
}
