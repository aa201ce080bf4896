package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/standin"
)

// graceTime is the time between SIGTERM and SIGKILL, in ms, as the users' platform
// gives it.
const graceTime = 6 * clock.Second

// instance is one forwarder process and its settings, which outlive it.
type instance struct {
	name, centre string
	address      netip.Addr
	folder       string
	proxy        *proxy
	program      string

	mu      sync.Mutex
	command *exec.Cmd // nil while it is down
	ended   chan struct{}
	asked   bool     // the end was asked for
	paused  bool     // it stands still
	wrong   []string // ends of its own
}

func (i *instance) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.address, port) }

// writeSettings writes the platform's settings file.
func (i *instance) writeSettings(seeds []netip.Addr) error {
	settings := standin.InstanceSettings{
		Name: i.name, Centre: i.centre, Address: i.address, StoreAddress: i.proxy.address(), Seeds: seeds,
		GracePeriod: graceTime, DrainAndApplyBound: min(drainBound, applyBound),
	}
	return errors.WithStack(os.WriteFile(i.settingsFile(), []byte(settings.TOML()), 0o600))
}

func (i *instance) settingsFile() string { return filepath.Join(i.folder, i.name+".toml") }

// start starts the process unless it runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(i.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	defer log.Close() // the process has its own copy
	c := exec.Command(i.program)
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settingsFile())
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", i.name)
	}
	i.command, i.asked = c, false
	i.ended = make(chan struct{})
	go i.wait(c, i.ended)
	return nil
}

func (i *instance) wait(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.asked {
		i.wrong = append(i.wrong, fmt.Sprintf("%s ended by itself: %v", i.name, err))
	}
	i.command = nil
	close(ended)
}

// signal sends a signal to the process, if it runs. It reports whether it does.
func (i *instance) signal(s syscall.Signal, ends bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return false
	}
	i.asked = i.asked || ends
	switch s {
	case syscall.SIGSTOP:
		i.paused = true
	case syscall.SIGCONT:
		i.paused = false
	}
	return i.command.Process.Signal(s) == nil
}

// stop ends the process in order, and with SIGKILL when it takes too long.
func (i *instance) stop() {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	i.signal(syscall.SIGCONT, false)
	if !i.signal(syscall.SIGTERM, true) {
		return
	}
	ticker := time.NewTicker(graceStep.Duration())
	defer ticker.Stop()
	for g := (grace{left: graceTime}); !g.over(); {
		select {
		case <-ended:
			return
		case <-ticker.C:
			i.mu.Lock()
			g.pass(graceStep, i.paused)
			i.mu.Unlock()
		}
	}
	i.mu.Lock()
	i.wrong = append(i.wrong, i.name+" did not stop in time")
	i.mu.Unlock()
	i.kill()
}

// graceStep is how often a stopping process is looked at, in ms.
const graceStep = 50 * clock.Millisecond

// grace is the time that a process has to end in order. While it stands still it can't.
type grace struct{ left clock.Millis }

func (g *grace) pass(span clock.Millis, paused bool) {
	if !paused {
		g.left -= span
	}
}

func (g *grace) over() bool { return g.left <= 0 }

// kill ends the process at once.
func (i *instance) kill() {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if i.signal(syscall.SIGKILL, true) {
		<-ended
	}
}

// faults returns what the process did that it should not have.
func (i *instance) faults() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.wrong...)
}
