package entry

import (
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Errors of responses that can't be told to belong to their request. A server may send a
// second copy of an answer, late, when the connection is in use by the next request.
var (
	errOtherRequest = errors.New("response belongs to another request")
	errNoIdentity   = errors.New("response on a reused connection doesn't name its request")
)

// maxIdentifying bounds the endpoints that are remembered, as addresses change.
const maxIdentifying = 20_000

// identifyingEndpoints holds the endpoints that repeat the id of a request in their answers.
// Only their connections are reused.
type identifyingEndpoints struct {
	mu      sync.Mutex
	present map[string]bool
}

func (i *identifyingEndpoints) has(endpoint string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.present[endpoint]
}

func (i *identifyingEndpoints) set(endpoint string, identifies bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !identifies {
		delete(i.present, endpoint)
		return
	}
	if i.present == nil || len(i.present) >= maxIdentifying {
		i.present = map[string]bool{} // endpoints that are still there are learnt again
	}
	i.present[endpoint] = true
}

// checkIdentity returns an error if a response isn't known to be that of its request. reused
// tells whether its connection carried another request before.
func checkIdentity(resp *http.Response, reused bool) error {
	id := resp.Header.Get(headerRequestID)
	switch {
	case id == "" && reused:
		return errNoIdentity
	case id != "" && id != resp.Request.Header.Get(headerRequestID):
		return errors.Wrapf(errOtherRequest, "%.80q", id)
	}
	return nil
}
