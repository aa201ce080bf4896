package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/standin"
)

// Purposes of random sources.
const (
	purposePlan = 1 + iota
	purposeArrivals
)

// request is one planned request.
type request struct {
	service Service
	id      string
	once    bool
	long    bool
	told    packet.Class
	body    []byte
	work    standin.Work
}

// plan draws requests. It is safe for concurrent use.
type plan struct {
	settings Settings
	mu       sync.Mutex
	random   *rand.Rand
	number   int
}

func newPlan(s Settings) *plan {
	return &plan{settings: s, random: newRandom(s, purposePlan)}
}

func (p *plan) next(service Service) request {
	p.mu.Lock()
	p.number++
	q := request{
		service: service, id: fmt.Sprintf("%s/%d/%d", service.Name, p.settings.Seed, p.number),
		once: p.random.Float64() < p.settings.Once, long: p.random.Float64() < p.settings.Long,
	}
	size, answer, work := p.draw(p.settings.Sizes), p.draw(p.settings.Answers), p.draw(p.settings.Work)
	p.mu.Unlock()
	if q.long {
		work = p.settings.LongWork
	}
	if p.settings.Tell {
		q.told = packet.ClassShort
		if q.long {
			q.told = packet.ClassLong
		}
	}
	q.body = bodyOf(q.id, work, answer, size)
	q.work, _ = standin.ParseWork(q.body)
	return q
}

// bodyOf returns a body of at least size bytes.
func bodyOf(id string, work, answer, size int) []byte {
	line := fmt.Sprintf("work=%d answer=%d id=%s\n", work, answer, id)
	body := make([]byte, max(size, len(line)))
	for i := range body {
		body[i] = byte(i)
	}
	copy(body, line)
	return body
}

// draw returns a number of a span, evenly distributed on a log scale.
func (p *plan) draw(s Span) int {
	if s.Most <= s.Least {
		return s.Least
	}
	low, high := math.Log(float64(max(s.Least, 1))), math.Log(float64(s.Most)+1)
	x := int(math.Exp(low + p.random.Float64()*(high-low)))
	return min(max(x, s.Least), s.Most)
}

// arrivals draws the times of requests of an open loop: a Poisson process whose
// rate swings as a sine.
type arrivals struct {
	settings Settings
	random   *rand.Rand
	seconds  float64
}

func newArrivals(s Settings) *arrivals {
	return &arrivals{settings: s, random: newRandom(s, purposeArrivals)}
}

// next returns the time of the next request, from the start.
func (a *arrivals) next() time.Duration {
	rate := a.settings.Rate
	if a.settings.Swing > 0 {
		period := a.settings.Period.Duration().Seconds()
		rate *= 1 + a.settings.Swing*math.Sin(2*math.Pi*a.seconds/period)
	}
	const leastShare = 0.01 // of the mean rate, so that a full swing does not stop for long
	a.seconds += a.random.ExpFloat64() / max(rate, a.settings.Rate*leastShare)
	return time.Duration(a.seconds * float64(time.Second))
}
