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
	case d.reload <- struct{}{}:
	default: // one is due already
	}
}

// readSettings puts the settings file in force, or keeps what is in force when it
// is not usable. Addresses to listen on stay as they were.
func (d *Daemon) readSettings(why string) {
	if d.file == "" {
		return
	}
	s, err := platform.ReadSettings(d.file)
	if err != nil {
		d.journal.say("settings kept", "why", why, "error", err.Error())
		return
	}
	old := d.settings.Load()
	if s.PacketAddress != old.PacketAddress || s.ReadyAddress != old.ReadyAddress || s.Centre != old.Centre || !slices.Equal(s.InternalPorts, old.InternalPorts) {
		d.journal.say("settings need a restart", "packets", s.PacketAddress, "ready", s.ReadyAddress, "centre", s.Centre, "inner", s.InternalPorts)
	}
	s.PacketAddress, s.ReadyAddress, s.ControlAddress, s.InternalPorts, s.Centre = old.PacketAddress, old.ReadyAddress, old.ControlAddress, old.InternalPorts, old.Centre
	d.use(s)
	d.journal.say("reload", "why", why, "store", s.StoreURL, "changed", s.StoreURL != old.StoreURL)
}

// fileWatch tells when a file has changed.
type fileWatch struct {
	path string
	at   time.Time
	size int64
}

func watchFile(path string) *fileWatch {
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
	if err != nil || info.ModTime().Equal(w.at) && info.Size() == w.size {
		return false
	}
	w.at, w.size = info.ModTime(), info.Size()
	return true
}

// sleepWatch finds out that the process stood still: the clock that counts such
// time gets ahead of the one that doesn't.
type sleepWatch struct {
	ahead clock.Millis
}

// leastSleep is what counts as standing still, in ms. A slow machine reads the two
// clocks some time apart.
const leastSleep = 500 * clock.Millisecond

func newSleepWatch() *sleepWatch {
	return &sleepWatch{ahead: ahead()}
}

// check returns how long the process stood still since the last call.
func (w *sleepWatch) check() clock.Millis {
	now := ahead()
	slept := now - w.ahead
	w.ahead = now
	if slept < leastSleep {
		return 0
	}
	return slept
}

// ahead is how far the clock that counts sleep is ahead. It is 0 where the
// system has no such clock.
func ahead() clock.Millis {
	var all, awake unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &awake) != nil {
		return 0
	}
	return clock.Millis((all.Nano() - awake.Nano()) / int64(time.Millisecond))
}
