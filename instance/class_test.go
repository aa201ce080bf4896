package instance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/packet"
)

type classCase struct {
	Name        string `yaml:"name"`
	CallerClass string `yaml:"told"`
	RecordClass string `yaml:"record"`
	Earlier     []struct {
		Size    int     `yaml:"size"`
		RunTime float64 `yaml:"took"`
		Count   int     `yaml:"times"`
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
		s.Record.Class = c.RecordClass
		for _, seen := range c.Earlier {
			for range seen.Count {
				s.RunTimesBySize[sizeBucket(seen.Size)].Add(seen.RunTime)
			}
		}
		got := (&EngineState{}).classOf(s, classes[c.CallerClass], c.Size)
		require.Equal(t, classes[c.Want], got, c.Name)
	}
}
