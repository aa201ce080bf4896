package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

// Limits of the platform's interface.
const (
	maxRequest = 2 * record.MaxBody // largest body of a call, in bytes
	maxWait    = clock.Minute       // longest wait of a watch
)

// answer is what a call is answered with: a JSON value, or an error text when
// status is not 200.
type answer struct {
	status int
	value  any
}

func ok(value any) answer { return answer{http.StatusOK, value} }

func failed(status int, format string, args ...any) answer {
	return answer{status, fmt.Sprintf(format, args...)}
}

func (a answer) send(w http.ResponseWriter) {
	if text, isText := a.value.(string); isText {
		http.Error(w, text, a.status)
		return
	}
	writeJSON(w, a.value)
}

func (p *Platform) serveGet(r *http.Request) answer {
	key := keyOf(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	o, found := p.store.at(p.readRevision())[key]
	if !found {
		return failed(http.StatusNotFound, "%s does not exist", key)
	}
	return ok(o)
}

func (p *Platform) serveList(r *http.Request) answer {
	kind := record.Kind(r.PathValue("kind"))
	if !kind.Known() {
		return failed(http.StatusBadRequest, "kind %q is unknown", kind)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.readRevision()
	return ok(platform.Listing{Revision: revision, Objects: ofKind(p.store.at(revision), kind)})
}

func (p *Platform) servePut(r *http.Request) answer {
	key := keyOf(r)
	var o record.Object
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	switch {
	case err != nil:
		return failed(http.StatusBadRequest, "%s: body: %v", key, err)
	case o.Key() != key || !key.Kind.Known() || record.CheckName(key.Name) != nil:
		return failed(http.StatusBadRequest, "%s: body holds %s", key, o.Key())
	case len(o.Body) > record.MaxBody:
		return failed(http.StatusRequestEntityTooLarge, "%s: %d bytes, at most %d are held", key, len(o.Body), record.MaxBody)
	}
	o.Deleted = false
	return p.commit(r, o)
}

func (p *Platform) serveDelete(r *http.Request) answer {
	key := keyOf(r)
	return p.commit(r, record.Object{Kind: key.Kind, Name: key.Name, WriteID: r.URL.Query().Get("write"), Deleted: true})
}

// commit makes o the newest state of its record if the expectation holds.
func (p *Platform) commit(r *http.Request, o record.Object) answer {
	expect, err := expectation(r)
	if err != nil {
		return failed(http.StatusBadRequest, "%s: expect: %v", o.Key(), err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, found := p.store.current[o.Key()]
	if expect != platform.AnyRevision && uint64(expect) != current.Revision {
		return failed(http.StatusConflict, "%s is at revision %d, not %d", o.Key(), current.Revision, expect)
	}
	if o.Deleted && !found {
		return failed(http.StatusNotFound, "%s does not exist", o.Key())
	}
	if o.Deleted {
		o.Schema, o.Body = current.Schema, current.Body
	}
	o = p.store.commit(o)
	p.wake()
	return ok(o)
}

func expectation(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("expect")
	if text == "" {
		return platform.AnyRevision, nil
	}
	revision, err := strconv.ParseUint(text, 10, 63)
	return int64(revision), err
}

// serveWatch waits for changes of the asked kinds.
func (p *Platform) serveWatch(r *http.Request) answer {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		return failed(http.StatusBadRequest, "since: %v", err)
	}
	wait, err := strconv.ParseInt(query.Get("wait"), 10, 64)
	if err != nil || wait < 0 {
		return failed(http.StatusBadRequest, "wait %q is not a number of ms", query.Get("wait"))
	}
	kinds := map[record.Kind]bool{}
	for _, k := range strings.Split(query.Get("kinds"), ",") {
		kinds[record.Kind(k)] = true
	}
	timer := time.NewTimer(min(clock.Millis(wait), maxWait).Duration())
	defer timer.Stop()
	over := wait == 0
	for {
		a, change := p.changes(kinds, since, over)
		if change == nil {
			return a
		}
		select {
		case <-change:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
	}
}

// changes answers a watch with the changes after since. When there are none and
// the wait is not over it returns the channel that tells of the next change.
func (p *Platform) changes(kinds map[record.Kind]bool, since uint64, over bool) (answer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.readRevision()
	if since > revision || since < p.store.oldest {
		return failed(http.StatusGone, "revision %d is not within %d to %d", since, p.store.oldest, revision), nil
	}
	list := platform.Listing{Revision: revision, Objects: p.store.changes(kinds, since, revision)}
	if len(list.Objects) > 0 || over || p.faults.Down {
		return ok(list), nil
	}
	return answer{}, p.change
}

// readRevision returns the revision that reads see. It needs the lock.
func (p *Platform) readRevision() uint64 {
	behind := min(p.faults.ReplicaLag, p.store.revision-p.store.oldest)
	return p.store.revision - behind
}

func keyOf(r *http.Request) record.Key {
	return record.Key{Kind: record.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

// silence waits until the caller gives up and ends the connection.
func silence(ctx context.Context, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only behind the body
	<-ctx.Done()
	reset()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
