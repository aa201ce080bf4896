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
	maxCallBody  = 2 * record.MaxBody // bytes in the body of a call
	maxWatchWait = clock.Minute       // after which a watch without changes is answered, in ms
)

// answer is the answer to a call: a JSON value, or an error text if status is not
// 200.
type answer struct {
	status int
	value  any
}

func okAnswer(value any) answer { return answer{http.StatusOK, value} }

func errorAnswer(status int, format string, args ...any) answer {
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
	key := requestKey(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	o, found := p.store.stateAt(p.readRevision())[key]
	if !found {
		return errorAnswer(http.StatusNotFound, "%s does not exist", key)
	}
	return okAnswer(o)
}

func (p *Platform) serveList(r *http.Request) answer {
	kind := record.Kind(r.PathValue("kind"))
	if !kind.Known() {
		return errorAnswer(http.StatusBadRequest, "kind %q is unknown", kind)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.readRevision()
	return okAnswer(platform.Listing{Revision: revision, Objects: objectsOfKind(p.store.stateAt(revision), kind)})
}

func (p *Platform) servePut(r *http.Request) answer {
	key := requestKey(r)
	var o record.Object
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	switch {
	case err != nil:
		return errorAnswer(http.StatusBadRequest, "%s: body: %v", key, err)
	case o.Key() != key || !key.Kind.Known() || record.CheckName(key.Name) != nil:
		return errorAnswer(http.StatusBadRequest, "%s: body describes %s", key, o.Key())
	case len(o.Body) > record.MaxBody:
		return errorAnswer(http.StatusRequestEntityTooLarge, "%s: body has %d bytes, at most %d are allowed", key, len(o.Body), record.MaxBody)
	}
	o.Deleted = false
	return p.commit(r, o)
}

func (p *Platform) serveDelete(r *http.Request) answer {
	key := requestKey(r)
	return p.commit(r, record.Object{Kind: key.Kind, Name: key.Name, WriteID: r.URL.Query().Get("write"), Deleted: true})
}

// commit makes o the latest revision of its record, provided that the record is at
// the revision which r expects.
func (p *Platform) commit(r *http.Request, o record.Object) answer {
	expect, err := expectedRevision(r)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "%s: expect: %v", o.Key(), err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, found := p.store.current[o.Key()]
	if expect != platform.AnyRevision && uint64(expect) != current.Revision {
		return errorAnswer(http.StatusConflict, "%s is at revision %d, not %d", o.Key(), current.Revision, expect)
	}
	if o.Deleted && !found {
		return errorAnswer(http.StatusNotFound, "%s does not exist", o.Key())
	}
	if o.Deleted {
		o.Schema, o.Body = current.Schema, current.Body
	}
	o = p.store.commit(o)
	p.notifyWatches()
	return okAnswer(o)
}

// expectedRevision returns the revision that a write expects its record to be at,
// or platform.AnyRevision.
func expectedRevision(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("expect")
	if text == "" {
		return platform.AnyRevision, nil
	}
	revision, err := strconv.ParseUint(text, 10, 63)
	return int64(revision), err
}

// serveWatch waits for changes of the requested kinds, at most for the requested
// time.
func (p *Platform) serveWatch(r *http.Request) answer {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "since: %v", err)
	}
	wait, err := strconv.ParseInt(query.Get("wait"), 10, 64)
	if err != nil || wait < 0 {
		return errorAnswer(http.StatusBadRequest, "wait %q is not a number of ms", query.Get("wait"))
	}
	kinds := map[record.Kind]bool{}
	for _, k := range strings.Split(query.Get("kinds"), ",") {
		kinds[record.Kind(k)] = true
	}
	timer := time.NewTimer(min(clock.Millis(wait), maxWatchWait).Duration())
	defer timer.Stop()
	expired := wait == 0
	for {
		a, changed := p.watchAnswer(kinds, since, expired)
		if changed == nil {
			return a
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
	}
}

// watchAnswer returns the answer to a watch: the changes after revision since. When
// there are none and the wait has not expired, it returns the channel that is closed
// at the next change.
func (p *Platform) watchAnswer(kinds map[record.Kind]bool, since uint64, expired bool) (answer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.readRevision()
	if since > revision || since < p.store.baseRevision {
		return errorAnswer(http.StatusGone, "revision %d is not within %d to %d", since, p.store.baseRevision, revision), nil
	}
	list := platform.Listing{Revision: revision, Objects: p.store.changes(kinds, since, revision)}
	if len(list.Objects) > 0 || expired || p.faults.Down {
		return okAnswer(list), nil
	}
	return answer{}, p.changed
}

// readRevision returns the revision that reads see: the latest one less ReplicaLag.
// p.mu must be held.
func (p *Platform) readRevision() uint64 {
	behind := min(p.faults.ReplicaLag, p.store.revision-p.store.baseRevision)
	return p.store.revision - behind
}

func requestKey(r *http.Request) record.Key {
	return record.Key{Kind: record.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

// leaveUnanswered waits until the caller disconnects, without an answer, and ends
// the handler.
func leaveUnanswered(ctx context.Context, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects that the caller disconnects only once the body is read
	<-ctx.Done()
	abortConnection()
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
