package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Times of fetches of changes, in ms.
const (
	// A relay tells of changes before it has fetched them itself.
	maxChangesWait    = 400 * clock.Millisecond
	changesPollPeriod = 20 * clock.Millisecond
	// Time for the whole fetch. The store is read if it takes longer, and both have to fit
	// into the record bound.
	changesTimeout = 700 * clock.Millisecond
)

// peerChanges is the body of an answer at changesPath.
type peerChanges struct {
	State   fleet.RecordState         `cbor:"state"`
	Changes []steering.EndpointChange `cbor:"changes"`
}

// check returns an error if the changes can't be used. An invalid endpoint costs no other: it
// becomes an unreadable entry.
func (r *peerChanges) check() error {
	for i := range r.Changes {
		r.Changes[i].CheckEndpoint()
	}
	return r.State.Check()
}

// serveChanges answers with the changes of endpoints after the revision since. It waits until
// they reach the revision until. Status 410 means that not all of them are known.
func (d *Daemon) serveChanges(w http.ResponseWriter, r *http.Request) {
	since, sinceErr := strconv.ParseUint(r.FormValue("since"), 10, 64)
	until, untilErr := strconv.ParseUint(r.FormValue("until"), 10, 64)
	if sinceErr != nil || untilErr != nil {
		http.Error(w, "since or until is not a revision", http.StatusBadRequest)
		return
	}
	deadline := clock.Now() + maxChangesWait
	for d.recordState().EndpointsRevision < until && clock.Now() < deadline {
		if !daemon.Pause(r.Context(), changesPollPeriod) {
			return
		}
	}
	var answer peerChanges
	var known bool
	d.locked(func() {
		answer.State = d.fleet.RecordState(clock.Now())
		answer.Changes, known = d.engine.ChangesSince(since)
	})
	if !known || answer.State.EndpointsRevision < until {
		http.Error(w, "changes are not known", http.StatusGone)
		return
	}
	d.metrics.servedFetches.Inc(1)
	if err := cbor.NewEncoder(w).Encode(answer); err != nil {
		d.log.infoLimited("records send failed", "error", err.Error())
	}
}

// fetchChanges reads the changes of endpoints that this instance lacks from another one.
func (d *Daemon) fetchChanges(ctx context.Context, client *http.Client, v fleet.FetchRecords) error {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout.Duration())
	defer cancel()
	start := clock.Now()
	path := fmt.Sprintf("%s?since=%d&until=%d", changesPath, d.recordState().EndpointsRevision, v.EndpointsRevision)
	var r peerChanges
	if err := getFromPeer(ctx, client, v.Peer, path, &r); err != nil {
		return err
	}
	if err := r.check(); err != nil {
		return errors.Wrapf(err, "changes of %q", v.Peer.Name)
	}
	var actions []steering.Action
	d.locked(func() {
		now := clock.Now()
		actions = d.engine.Handle(now, steering.EndpointsChanged{Changes: r.Changes, Revision: r.State.EndpointsRevision})
		d.fleet.Handle(now, fleet.RecordsFetched{State: r.State, RequestedAt: start, EndpointsOnly: true})
		d.engine.Handle(now, d.fleet.Confirmation())
	})
	d.perform(actions)
	d.forwardQueued()
	return nil
}
