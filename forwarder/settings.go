package forwarder

import (
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

// Reload reads the settings file again.
func (d *Daemon) Reload() {
	select {
	case d.reloadRequests <- struct{}{}:
	default: // one is due already
	}
}

// readSettings puts the settings file in force, or keeps what is in force when it
// is not usable. Addresses to listen on stay as they were.
func (d *Daemon) readSettings(why string) {
	if d.settingsFile == "" {
		return
	}
	s, err := platform.ReadSettings(d.settingsFile)
	if err != nil {
		d.log.info("settings kept", "why", why, "error", err.Error())
		return
	}
	old := d.settings.Load()
	if s.Packets != old.Packets || s.Ready != old.Ready || s.Centre != old.Centre || !slices.Equal(s.Inner, old.Inner) {
		d.log.info("settings need a restart", "packets", s.Packets, "ready", s.Ready, "centre", s.Centre, "inner", s.Inner)
	}
	s.Packets, s.Ready, s.Control, s.Inner, s.Centre = old.Packets, old.Ready, old.Control, old.Inner, old.Centre
	d.applySettings(s)
	d.log.info("reload", "why", why, "store", s.Store, "changed", s.Store != old.Store)
}

// fileWatch tells when a file has changed.
type fileWatch struct {
	path    string
	modTime time.Time
	size    int64
}

func newFileWatch(path string) *fileWatch {
	w := &fileWatch{path: path}
	w.changed()
	return w
}

// changed reports whether the file is another than at the last call. A file that
// can't be looked at counts as unchanged: it is read again when it can.
func (w *fileWatch) changed() bool {
	if w.path == "" {
		return false
	}
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modTime) && info.Size() == w.size {
		return false
	}
	w.modTime, w.size = info.ModTime(), info.Size()
	return true
}

// sleepWatch finds out that the process stood still: the clock that counts such
// time gets ahead of the one that doesn't.
type stallDetector struct {
	suspended clock.Millis
}

// leastSleep is what counts as standing still, in ms. A slow machine reads the two
// clocks some time apart.
const minStall = 500 * clock.Millisecond

func newStallDetector() *stallDetector {
	return &stallDetector{suspended: suspendedTime()}
}

// check returns how long the process stood still since the last call.
func (w *stallDetector) check() clock.Millis {
	now := suspendedTime()
	stalled := now - w.suspended
	w.suspended = now
	if stalled < minStall {
		return 0
	}
	return stalled
}

// ahead is how far the clock that counts sleep is ahead. It is 0 where the
// system has no such clock.
func suspendedTime() clock.Millis {
	var all, awake unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &awake) != nil {
		return 0
	}
	return clock.Millis((all.Nano() - awake.Nano()) / int64(time.Millisecond))
}
