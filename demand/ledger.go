package demand

import (
	"maps"
	"slices"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Ledger holds the latest digest of each instance. The zero value is empty.
type Ledger struct {
	senders map[string]*sender
}

// sender is what one instance reported.
type sender struct {
	startedAt clock.Millis // of its process
	number    uint64       // of its latest digest
	parts     map[int]entry
}

// entry is a part of a digest and when it arrived.
type entry struct {
	Digest
	at clock.Millis
}

// Add takes a digest of the process that an instance started at a time. One from an earlier start,
// or one that came before, changes nothing.
func (l *Ledger) Add(now clock.Millis, name string, startedAt clock.Millis, d Digest) {
	if l.senders == nil {
		l.senders = map[string]*sender{}
	}
	l.expire(now)
	s := l.senders[name]
	if s == nil || startedAt > s.startedAt {
		s = &sender{startedAt: startedAt, parts: map[int]entry{}}
		l.senders[name] = s
	}
	p, found := s.parts[d.Part]
	if startedAt < s.startedAt || d.Number < s.number || found && p.Number == d.Number {
		return
	}
	s.number = d.Number
	for _, p := range s.parts {
		if p.Parts != d.Parts {
			clear(s.parts) // endpoints are divided in another way
			break
		}
	}
	s.parts[d.Part] = entry{Digest: d, at: now}
}

// expire forgets digests that are too old, and their senders: the clock of one may have been set
// back before it started again.
func (l *Ledger) expire(now clock.Millis) {
	for name, s := range l.senders {
		maps.DeleteFunc(s.parts, func(_ int, p entry) bool { return now-p.at > MaxAge })
		if len(s.parts) == 0 {
			delete(l.senders, name)
		}
	}
}

// Members returns the number of instances with a recent digest.
func (l *Ledger) Members(now clock.Millis) int {
	l.expire(now)
	n := 0
	for _, s := range l.senders {
		if len(s.parts) > 0 {
			n++
		}
	}
	return n
}

// Summaries returns the sum of all recent digests, in parts.
func (l *Ledger) Summaries(now clock.Millis) []Summary {
	members := l.Members(now)
	loads, services := map[uint32]*loadSum{}, map[string]*Service{}
	age, n := clock.Millis(0), clock.Millis(0)
	for _, s := range l.senders {
		for _, p := range s.parts {
			age, n = age+now-p.at, n+1
			for i := range p.Loads {
				addLoad(loads, &p.Loads[i])
			}
			for _, v := range p.Services {
				addService(services, v)
			}
		}
	}
	parts := split(values(loads))
	list := make([]Summary, len(parts))
	for i, p := range parts {
		list[i] = Summary{Part: i, Parts: len(parts), Members: members, Age: age / max(n, 1), Loads: p, Services: busiest(services)}
	}
	return list
}

func addLoad(sums map[uint32]*loadSum, v *Load) {
	sum := sums[v.Token]
	if sum == nil {
		sum = &loadSum{Load: Load{Token: v.Token}}
		sums[v.Token] = sum
	}
	sum.add(v)
}

func addService(sums map[string]*Service, v Service) {
	if sum := sums[v.Name]; sum != nil {
		sum.Placed, sum.Sheds = min(sum.Placed+v.Placed, MaxCount), min(sum.Sheds+v.Sheds, MaxCount)
		return
	}
	sums[v.Name] = &v
}

func values(sums map[uint32]*loadSum) []Load {
	list := make([]Load, 0, len(sums))
	for _, v := range sums {
		list = append(list, v.load())
	}
	return list
}

// busiest returns the services with the most new flows that fit into a message.
func busiest(sums map[string]*Service) []Service {
	list := make([]Service, 0, len(sums))
	for _, v := range sums {
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b Service) int {
		if a.Placed != b.Placed {
			return b.Placed - a.Placed
		}
		return strings.Compare(a.Name, b.Name)
	})
	return fitting(list)
}
