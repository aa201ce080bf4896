package standin

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
)

// maxWorkLine is the longest first line that is taken for a work order, in bytes.
const maxWorkLine = 256

// Work is what a request asks of a backend server, read from the first line of
// its body: "work=<ms> answer=<bytes> id=<id>".
type Work struct {
	RunTime       clock.Millis // run time at speed 1, in ms
	MinAnswerSize int          // smallest answer, in bytes
	ID            string
}

var workPattern = regexp.MustCompile(`^work=([0-9]{1,9}) answer=([0-9]{1,9}) id=([!-~]+)\n`)

// ParseWork reads the first line of a request's body. It returns false when the
// body orders no work.
func ParseWork(body []byte) (Work, bool) {
	match := workPattern.FindSubmatch(body[:min(len(body), maxWorkLine)])
	if match == nil {
		return Work{}, false
	}
	span, _ := strconv.Atoi(string(match[1]))   // the pattern admits digits only
	answer, _ := strconv.Atoi(string(match[2])) // likewise
	if answer > packet.MaxBody {
		return Work{}, false
	}
	return Work{RunTime: clock.Millis(span), MinAnswerSize: answer, ID: string(match[3])}, true
}

// BuildAnswer returns the whole answer of a backend server that serves host to a
// request whose body orders w.
func BuildAnswer(w Work, host string, body []byte) []byte {
	line := fmt.Sprintf("service=%s id=%s sum=%016x\n", host, w.ID, xxhash.Sum64(body))
	answer := make([]byte, max(w.MinAnswerSize, len(line)))
	fill(answer, w.ID)
	copy(answer, line)
	return answer
}

const (
	fillStep = 131
	fillSize = 251
)

// fill sets byte i to (i*131 + xxhash64(id)) mod 251, in 64-bit arithmetic.
func fill(answer []byte, id string) {
	sum := xxhash.Sum64String(id)
	for i := range answer {
		answer[i] = byte((uint64(i)*fillStep + sum) % fillSize)
	}
}

// CheckAnswer reports whether answer is the whole answer of host to a body that
// orders w.
func CheckAnswer(w Work, host string, body, answer []byte) bool {
	return bytes.Equal(answer, BuildAnswer(w, host, body))
}
