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

// maxWorkLine is the longest first line that ParseWork accepts, in bytes.
const maxWorkLine = 256

// Work describes the work that a request asks of a backend server. It is the
// first line of the request's body: "work=<ms> answer=<bytes> id=<id>".
type Work struct {
	RunTime       clock.Millis // at speed 1, in ms
	MinAnswerSize int          // bytes
	ID            string
}

var workPattern = regexp.MustCompile(`^work=([0-9]{1,9}) answer=([0-9]{1,9}) id=([!-~]+)\n`)

// ParseWork parses the first line of a request's body. It returns false if the
// line does not describe work or asks for an answer above packet.MaxBody.
func ParseWork(body []byte) (Work, bool) {
	match := workPattern.FindSubmatch(body[:min(len(body), maxWorkLine)])
	if match == nil {
		return Work{}, false
	}
	runTime, _ := strconv.Atoi(string(match[1])) // the pattern matches digits only
	answer, _ := strconv.Atoi(string(match[2]))  // likewise
	if answer > packet.MaxBody {
		return Work{}, false
	}
	return Work{RunTime: clock.Millis(runTime), MinAnswerSize: answer, ID: string(match[3])}, true
}

// BuildAnswer returns the complete answer of the backend server of host to a
// request whose body describes w: a line with a checksum of the body, and filler
// that depends on the id.
func BuildAnswer(w Work, host string, body []byte) []byte {
	line := fmt.Sprintf("service=%s id=%s sum=%016x\n", host, w.ID, xxhash.Sum64(body))
	answer := make([]byte, max(w.MinAnswerSize, len(line)))
	fillPattern(answer, w.ID)
	copy(answer, line)
	return answer
}

const (
	fillStep    = 131
	fillModulus = 251
)

// fillPattern sets byte i to (i*131 + xxhash64(id)) mod 251, in 64-bit arithmetic.
func fillPattern(answer []byte, id string) {
	sum := xxhash.Sum64String(id)
	for i := range answer {
		answer[i] = byte((uint64(i)*fillStep + sum) % fillModulus)
	}
}

// CheckAnswer reports whether answer is the complete answer of the backend server
// of host to a request whose body describes w.
func CheckAnswer(w Work, host string, body, answer []byte) bool {
	return bytes.Equal(answer, BuildAnswer(w, host, body))
}
