package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
	"github.com/tanagerdock/tanagerdock/steering"
)

// doubtCase is one script of testdata/doubt.yaml.
type doubtCase struct {
	Name  string      `yaml:"name"`
	Alone bool        `yaml:"alone"` // there are no other members
	Steps []doubtStep `yaml:"steps"`
}

// doubtStep is one event, and what has to come of it.
type doubtStep struct {
	At     clock.Millis            `yaml:"at"`
	Ask    map[string]clock.Millis `yaml:"ask"`    // flows, and since when their requests wait
	Answer string                  `yaml:"answer"` // the member that answers
	Saw    []string                `yaml:"saw"`    // flows that it saw
	Up     clock.Millis            `yaml:"up"`     // how long it has been running; default long
	Round  uint32                  `yaml:"round"`  // of the question; default the latest
	Tick   bool                    `yaml:"tick"`

	Sends   int      `yaml:"sends"`   // members that a question goes to
	Unseen  []string `yaml:"unseen"`  // flows that no member saw
	Perhaps []string `yaml:"perhaps"` // the same, but one that may have seen them has forgotten
	Seen    []string `yaml:"seen"`
}

func TestDoubts(t *testing.T) {
	var cases []doubtCase
	script.Read(t, "testdata/doubt.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			self := doubtMember("a")
			e := NewEngine(Settings{Self: self, Bound: 3000}, start)
			if !c.Alone {
				e.Handle(start, MembersListed{Members: []Member{self, doubtMember("b"), doubtMember("c"), doubtMember("d")}})
			}
			rounds := uint32(0)
			for i, s := range c.Steps {
				if s.Ask != nil {
					rounds++
				}
				if s.Round == 0 {
					s.Round = rounds
				}
				s.play(t, e, fmt.Sprintf("step %d at %d", i+1, s.At))
			}
		})
	}
}

// start is long after the members' own start.
const start = 1_000_000

func doubtMember(name string) Member {
	return Member{Name: name, Centre: "here", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, name[0]}), 7720)}
}

func doubtSight(name string) steering.Sight {
	return steering.Sight{Consumer: steering.End{Address: uint32(name[1]), Port: 1000}, Ack: 50}
}

func (s *doubtStep) event() Event {
	switch {
	case s.Ask != nil:
		var v FlowsDoubted
		for name, since := range s.Ask {
			v.Doubts = append(v.Doubts, steering.Doubt{Sight: doubtSight(name), Since: start + since})
		}
		return v
	case s.Answer != "":
		m := Found{Round: s.Round, Up: s.Up}
		if m.Up == 0 {
			m.Up = clock.Minute
		}
		for _, name := range s.Saw {
			m.Sights = append(m.Sights, doubtSight(name))
		}
		return Received{From: doubtMember(s.Answer), Message: m}
	}
	return Ticked{}
}

func (s *doubtStep) play(t *testing.T, e *Engine, name string) {
	t.Helper()
	sends := 0
	unseen, perhaps, seen := []string{}, []string{}, []string{}
	names := func(list []steering.Sight) (names []string) {
		for _, v := range list {
			names = append(names, "f"+string(rune(v.Consumer.Address)))
		}
		slices.Sort(names)
		return names
	}
	for _, a := range e.Handle(start+s.At, s.event()) {
		switch v := a.(type) {
		case Send:
			if _, asks := v.Message.(Doubted); asks {
				sends = len(v.To)
			}
		case Apply:
			switch o := v.Event.(type) {
			case steering.FlowsUnseen:
				if o.Certain {
					unseen = names(o.Sights)
				} else {
					perhaps = names(o.Sights)
				}
			case steering.FlowsSeen:
				seen = names(o.Sights)
			}
		}
	}
	require.Equal(t, s.Sends, sends, "%s: sends", name)
	require.ElementsMatch(t, s.Unseen, unseen, "%s: unseen", name)
	require.ElementsMatch(t, s.Perhaps, perhaps, "%s: perhaps", name)
	require.ElementsMatch(t, s.Seen, seen, "%s: seen", name)
}
