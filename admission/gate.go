package admission

import (
	"github.com/tanagerdock/tanagerdock/clock"
)

const (
	// Share of the requests that endpoints refuse from which on room is short. A request that
	// is tried three times is then lost in one of 125 cases.
	shortShare = 0.2
	minShorts  = 2 // sums in a row with that share before anything is refused
	// Normal answers in a row, at this instance, that show room. Of requests of which a fifth is refused, a third
	// of such rows would show it wrongly.
	roomRow = 5
	// A consumer address with a larger share of the recent openings takes more than its part, if
	// it opened at least so many.
	maxAddressShare    = 0.125
	minAddressOpenings = 4.0
	// Shares in force when earlier sums were taken.
	maxHistory = 10
)

// Sums are what the instances of a data centre saw of a service, and what they have open.
type Sums struct {
	TakenAt          clock.Millis // when the instances counted, on average
	Answers, Refused float64      // in a period: answers of all sizes other than refusals, and refusals
	Slots, Pending   int          // of the endpoints that may be chosen
}

// refusedShare returns the share of the requests that endpoints refused. With a free slot on
// average, refusals are faults rather than a lack of room.
func (s *Sums) refusedShare() float64 {
	if s.Refused == 0 || s.Pending < s.Slots {
		return 0
	}
	return s.Refused / (s.Refused + s.Answers)
}

// Opening is the first packet of a new flow.
type Opening struct {
	Address  uint32 // of the consumer
	Flow     uint64 // a hash of the flow's addresses and ports, which chooses the flows that are refused
	Priority int    // of its route; 0 is the highest
	Timeout  clock.Millis
	Wait     clock.Millis // until the earliest answer of an endpoint that may be chosen; 0 if it isn't known
	Usable   bool         // sums are recent and the instance isn't stalled
}

// Gate decides on the new flows of one service at one instance. The zero value admits all.
type Gate struct {
	share   float64 // of the openings to refuse; 0 while there is room
	history []change
	shorts  int // sums in a row that show that room is short
	row     int // normal answers since the latest refusal
	usage   usage
	sketch  sketch
	refused int64 // since the latest sums
	wrong   int64
}

// change is a share and since when it is in force.
type change struct {
	at    clock.Millis
	share float64
}

// Observe takes new sums. The share to refuse grows by what endpoints still refused under the
// share in force when the sums were taken.
func (g *Gate) Observe(now clock.Millis, s *Sums) {
	q := s.refusedShare()
	if g.shorts++; q < shortShare {
		g.shorts = 0
	}
	switch {
	case q < shortShare/2:
		g.share = 0
		g.wrong += g.refused
	case g.share == 0 && g.shorts < minShorts:
	default:
		g.share = min(g.shareAt(s.TakenAt)+q, 1)
	}
	g.refused = 0
	g.history = append(g.history, change{now, g.share})
	if len(g.history) > maxHistory {
		g.history = g.history[1:]
	}
}

// shareAt returns the share that was in force at a time.
func (g *Gate) shareAt(at clock.Millis) (share float64) {
	for _, c := range g.history {
		if c.at <= at {
			share = c.share
		}
	}
	return share
}

// RecordAnswer counts an answer that this instance saw.
func (g *Gate) RecordAnswer(refused bool) {
	if refused {
		g.row = 0
		return
	}
	g.row++
}

// Short reports whether room is short.
func (g *Gate) Short() bool { return g.share > 0 && g.row < roomRow }

// Wrong returns the number of openings that were refused although the next sums showed room.
func (g *Gate) Wrong() int64 { return g.wrong }

// Admit decides on an opening.
func (g *Gate) Admit(now clock.Millis, o *Opening) bool {
	g.usage.add(now, o.Priority)
	opened := g.sketch.add(now, o.Address)
	if !o.Usable || g.admits(o, opened) {
		return true
	}
	g.refused++
	return false
}

func (g *Gate) admits(o *Opening, opened float64) bool {
	switch {
	case !g.Short():
		return true
	case o.Timeout > 0 && o.Wait > o.Timeout:
		return false
	case opened >= minAddressOpenings && opened > maxAddressShare*float64(g.sketch.total):
		return false
	}
	return float64(o.Flow>>11)/(1<<53) >= g.shareOf(o.Priority)
}

// shareOf returns the share of the openings of a priority to refuse: of the lowest one first, and
// none of the highest one in use.
func (g *Gate) shareOf(priority int) float64 {
	higher, same, lower := g.usage.shares(priority)
	if higher == 0 {
		return 0
	}
	return min(max(g.share-lower, 0)/same, 1)
}
