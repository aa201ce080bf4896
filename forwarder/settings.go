package forwarder

import (
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

// Reload requests that Run reads the settings file again.
func (d *Daemon) Reload() {
	select {
	case d.reloadRequests <- struct{}{}:
	default: // a reload is already pending
	}
}

// readSettings reads the settings file and applies it. If the file is invalid, the current
// settings stay. The data centre, the addresses to listen on, whether operators order
// evacuations, and the bounds for cold endpoints change only with a restart. why is the reason
// that is logged.
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
	switched := (s.EvacuationBound > 0) != (old.EvacuationBound > 0)
	warmup := s.WarmupLimited != old.WarmupLimited || s.WarmupExcess != old.WarmupExcess || s.WarmupSlack != old.WarmupSlack
	if s.PacketAddress != old.PacketAddress || s.ReadyAddress != old.ReadyAddress || s.Centre != old.Centre || !slices.Equal(s.InternalPorts, old.InternalPorts) || switched || warmup {
		d.log.info("settings need a restart", "packets", s.PacketAddress, "ready", s.ReadyAddress, "centre", s.Centre, "inner", s.InternalPorts, "evacuation", s.EvacuationBound,
			"excess", s.WarmupExcess, "slack", s.WarmupSlack)
	}
	s.PacketAddress, s.ReadyAddress, s.ControlAddress, s.InternalPorts, s.Centre = old.PacketAddress, old.ReadyAddress, old.ControlAddress, old.InternalPorts, old.Centre
	if switched {
		s.EvacuationBound = old.EvacuationBound
	}
	s.WarmupLimited, s.WarmupExcess, s.WarmupSlack = old.WarmupLimited, old.WarmupExcess, old.WarmupSlack
	d.applySettings(s)
	d.log.info("reload", "why", why, "store", s.StoreURL, "changed", s.StoreURL != old.StoreURL)
}

// fileWatch detects changes of a file by its modification time and size.
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

// changed reports whether the file has changed since the last call. A file that does not
// exist or can't be accessed counts as unchanged until it can be accessed again.
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

// stallDetector detects that the process was stalled because the system was suspended.
// CLOCK_BOOTTIME includes the time of a suspension, CLOCK_MONOTONIC does not.
type stallDetector struct {
	suspended clock.Millis // suspendedTime at the last check
}

// minStall is the shortest suspension that counts as a stall, in ms. The two clocks are
// read one after the other, and on a busy host some time may pass in between.
const minStall = 500 * clock.Millisecond

func newStallDetector() *stallDetector {
	return &stallDetector{suspended: suspendedTime()}
}

// check returns how long the process was stalled since the last call, 0 for less than
// minStall.
func (s *stallDetector) check() clock.Millis {
	total := suspendedTime()
	stalled := total - s.suspended
	s.suspended = total
	if stalled < minStall {
		return 0
	}
	return stalled
}

// suspendedTime returns how long the system has been suspended since it booted. It returns 0
// if the system does not have both clocks.
func suspendedTime() clock.Millis {
	var sinceBoot, running unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil {
		return 0
	}
	return clock.Millis((sinceBoot.Nano() - running.Nano()) / int64(time.Millisecond))
}
