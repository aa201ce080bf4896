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

// Streams of the random generators, so that the plan does not depend on the arrivals.
const (
	streamPlan = 1 + iota
	streamArrivals
)

// request is a planned request and the work that its body asks for.
type request struct {
	service Service
	id      string
	once    bool
	long    bool
	class   packet.Class
	body    []byte
	work    standin.Work
}

// plan generates requests. It is safe for concurrent use.
type plan struct {
	settings Settings
	mu       sync.Mutex
	random   *rand.Rand
	count    int
}

func newPlan(s Settings) *plan {
	return &plan{settings: s, random: newRandom(s, streamPlan)}
}

// next returns the next request, for a service.
func (p *plan) next(service Service) request {
	p.mu.Lock()
	p.count++
	q := request{
		service: service, id: fmt.Sprintf("%s/%d/%d", service.Name, p.settings.Seed, p.count),
		once: p.random.Float64() < p.settings.OnceShare, long: p.random.Float64() < p.settings.LongShare,
	}
	size, answer, work := p.draw(p.settings.RequestSizes), p.draw(p.settings.AnswerSizes), p.draw(p.settings.ShortWork)
	p.mu.Unlock()
	if q.long {
		work = p.settings.LongWork
	}
	if p.settings.SendClass {
		q.class = packet.ClassShort
		if q.long {
			q.class = packet.ClassLong
		}
	}
	q.body = newBody(q.id, work, answer, size)
	q.work, _ = standin.ParseWork(q.body)
	return q
}

// newBody returns a body that begins with the line of its work. It has size bytes, or
// as many as the line when that is longer.
func newBody(id string, work, answer, size int) []byte {
	line := fmt.Sprintf("work=%d answer=%d id=%s\n", work, answer, id)
	body := make([]byte, max(size, len(line)))
	for i := range body {
		body[i] = byte(i)
	}
	copy(body, line)
	return body
}

// draw returns a log-uniformly distributed number of a range.
func (p *plan) draw(s Range) int {
	if s.Max <= s.Min {
		return s.Min
	}
	logMin, logMax := math.Log(float64(max(s.Min, 1))), math.Log(float64(s.Max)+1)
	x := int(math.Exp(logMin + p.random.Float64()*(logMax-logMin)))
	return min(max(x, s.Min), s.Max)
}

// arrivals generates the arrival times of an open loop: a Poisson process whose
// rate changes as a sine with the amplitude Swing.
type arrivals struct {
	settings       Settings
	random         *rand.Rand
	elapsedSeconds float64
}

func newArrivals(s Settings) *arrivals {
	return &arrivals{settings: s, random: newRandom(s, streamArrivals)}
}

// next returns the arrival time of the next request, counted from the start.
func (a *arrivals) next() time.Duration {
	rate := a.settings.Rate
	if a.settings.Swing > 0 {
		period := a.settings.Period.Duration().Seconds()
		rate *= 1 + a.settings.Swing*math.Sin(2*math.Pi*a.elapsedSeconds/period)
	}
	const minRateShare = 0.01 // of Rate; a swing of 1 would otherwise take the rate to 0 and leave long gaps
	a.elapsedSeconds += a.random.ExpFloat64() / max(rate, a.settings.Rate*minRateShare)
	return time.Duration(a.elapsedSeconds * float64(time.Second))
}
