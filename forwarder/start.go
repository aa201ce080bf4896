package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
)

// Times of a start, in ms.
const (
	// Time for the first records from a member, after which the store is read as well. When
	// all instances start at once, the member reads the store itself meanwhile.
	startFetchTime  = 1 * clock.Second
	startPollPeriod = 20 * clock.Millisecond
)

// errStaleRecords reports records of a member that are too old to start with.
var errStaleRecords = errors.New("records are too old to start with")

// openStartGate lets the first lists of records be read from the store.
func (d *Daemon) openStartGate() { d.startGate.Set(true) }

// fetchStartRecords reads the first records from the member that the fleet engine names, if
// any. It opens the start gate at its end, or when startFetchTime has passed since the start
// of the process.
func (d *Daemon) fetchStartRecords(ctx context.Context) {
	defer d.openStartGate()
	var parent fleet.Member
	var found bool
	d.locked(func() { parent, found = d.fleet.StartParent() })
	if !found || d.startGate.IsOpen() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout.Duration())
	defer cancel()
	start := clock.Now()
	err := d.readStartRecords(ctx, newPeerClient(), parent, start)
	d.logFetch(parent.Name, start, true, true, err)
}

func (d *Daemon) readStartRecords(ctx context.Context, client *http.Client, parent fleet.Member, start clock.Millis) error {
	var r peerRecords
	path := recordsPath + "?wait=" + strconv.FormatInt(int64(startFetchTime), 10)
	if err := getFromPeer(ctx, client, parent, path, &r); err != nil {
		return err
	}
	if err := r.check(); err != nil {
		return errors.Wrapf(err, "records of %q", parent.Name)
	}
	fresh := false
	d.locked(func() { fresh = d.fleet.Fresh(r.State, r.Evacuations) })
	if !fresh {
		return errStaleRecords
	}
	d.applyPeerRecords(&r, start)
	return nil
}

// waitComplete waits until this instance has records, at most as long as a request asks for.
func (d *Daemon) waitComplete(r *http.Request) {
	wait, err := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	if err != nil {
		return // none is asked for
	}
	deadline := clock.Now() + min(clock.Millis(wait), startFetchTime)
	for !d.hasRecords() && clock.Now() < deadline {
		if !daemon.Pause(r.Context(), startPollPeriod) {
			return
		}
	}
}

// startTimer opens the start gate when startFetchTime has passed.
func (d *Daemon) startTimer() *time.Timer {
	return time.AfterFunc(startFetchTime.Duration(), d.openStartGate)
}
