package load

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/standin"
)

// TestRequestBodyEncodesWork checks that the stand-in backend server reads from each
// body the work that was planned.
func TestRequestBodyEncodesWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Seed: rapid.Uint64().Draw(t, "seed"), LongWork: 300, SendClass: true, LongShare: 0.5, OnceShare: 0.5,
			RequestSizes: Range{1, rapid.IntRange(1, 1<<21).Draw(t, "size")}, AnswerSizes: Range{1, 1 << 21}, ShortWork: Range{1, 20},
		}
		p := newPlan(s)
		seen := make(map[string]bool)
		for range 10 {
			q := p.next(Service{Name: "orders", Host: "orders.example"})
			require.False(t, seen[q.id], "id %s twice", q.id)
			seen[q.id] = true
			w, ok := standin.ParseWork(q.body)
			require.True(t, ok)
			require.Equal(t, q.work, w)
			require.Equal(t, q.id, w.ID)
			line := bytes.IndexByte(q.body, '\n') + 1
			require.LessOrEqual(t, len(q.body), max(s.RequestSizes.Max, line))
			require.Equal(t, q.long, q.class == packet.ClassLong)
			require.Equal(t, q.long, w.RunTime == 300)
		}
	})
}

func TestPlanIsDeterministic(t *testing.T) {
	s := Settings{Seed: 3, RequestSizes: Range{1, 1 << 20}, AnswerSizes: Range{1, 100}, ShortWork: Range{1, 9}, OnceShare: 0.5}
	first, second := newPlan(s), newPlan(s)
	for range 20 {
		require.Equal(t, first.next(Service{Name: "a"}), second.next(Service{Name: "a"}))
	}
}

// TestSizesAreLogUniform checks that each decade of a range gets the same share of
// sizes.
func TestSizesAreLogUniform(t *testing.T) {
	p := newPlan(Settings{Seed: 1})
	const draws, decades = 40_000, 4
	var counts [decades]int
	for range draws {
		decade := 0
		for n := p.draw(Range{1, 9_999}); n >= 10; n /= 10 {
			decade++
		}
		counts[decade]++
	}
	for decade, n := range counts {
		require.InDelta(t, draws/decades, n, draws/decades/10, "decade %d of %v", decade, counts)
	}
	require.Equal(t, 7, p.draw(Range{7, 7}))
}

// TestArrivalsFollowRate checks the mean rate over whole periods, and that the half
// period of high rate has more requests than that of low rate.
func TestArrivalsFollowRate(t *testing.T) {
	a := newArrivals(Settings{Seed: 1, Rate: 1000, Swing: 0.5, Period: 4000})
	const span = 80 * time.Second
	var halves [2]int
	for at := a.next(); at < span; at = a.next() {
		halves[at%(4*time.Second)/(2*time.Second)]++
	}
	require.InDelta(t, 80_000, halves[0]+halves[1], 2000)
	require.Greater(t, halves[0], halves[1]*3/2)
}
