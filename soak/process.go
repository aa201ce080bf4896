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

// gracePeriod is the time between SIGTERM and SIGKILL on the users' platform, in ms.
const gracePeriod = 6 * clock.Second

// instance is a forwarder that may be restarted: its settings and its current process.
type instance struct {
	name, centre string
	address      netip.Addr
	folder       string
	proxy        *proxy
	program      string

	mu            sync.Mutex
	command       *exec.Cmd     // nil while no process runs
	exited        chan struct{} // closed when the process has exited
	exitRequested bool          // a terminating signal was sent
	paused        bool          // by SIGSTOP
	unexpected    []string      // exits without a terminating signal, and processes that outlived the grace period
}

func (i *instance) addrPort(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.address, port) }

// writeSettings writes the settings file that the users' platform would provide.
func (i *instance) writeSettings(seedAddresses []netip.Addr) error {
	settings := standin.InstanceSettings{
		Name: i.name, Centre: i.centre, Address: i.address, StoreAddress: i.proxy.address(), Seeds: seedAddresses,
		GracePeriod: gracePeriod, DrainAndApplyBound: min(drainBound, applyBound),
		EvacuationBound: evacuateBound, WarmupExcess: warmupExcess, WarmupSlack: warmupSlack, ReportPeriod: reportPeriod,
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
	defer log.Close() // the process has its own file descriptor
	c := exec.Command(i.program)
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settingsFile())
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", i.name)
	}
	i.command, i.exitRequested = c, false
	i.exited = make(chan struct{})
	go i.awaitExit(c, i.exited)
	return nil
}

func (i *instance) awaitExit(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.exitRequested {
		i.unexpected = append(i.unexpected, fmt.Sprintf("%s exited without a terminating signal: %v", i.name, err))
	}
	i.command = nil
	close(exited)
}

// signal sends a signal to the process and reports whether it was delivered. If the
// signal terminates the process, its exit isn't a violation.
func (i *instance) signal(s syscall.Signal, terminates bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return false
	}
	i.exitRequested = i.exitRequested || terminates
	switch s {
	case syscall.SIGSTOP:
		i.paused = true
	case syscall.SIGCONT:
		i.paused = false
	}
	return i.command.Process.Signal(s) == nil
}

// stop ends the process by SIGTERM, and by SIGKILL when the grace period is over. It
// first resumes a paused process.
func (i *instance) stop() {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	i.signal(syscall.SIGCONT, false)
	if !i.signal(syscall.SIGTERM, true) {
		return
	}
	ticker := time.NewTicker(graceCheckInterval.Duration())
	defer ticker.Stop()
	for g := (graceTimer{left: gracePeriod}); !g.expired(); {
		select {
		case <-exited:
			return
		case <-ticker.C:
			i.mu.Lock()
			g.advance(graceCheckInterval, i.paused)
			i.mu.Unlock()
		}
	}
	i.mu.Lock()
	i.unexpected = append(i.unexpected, i.name+" did not exit within the grace period")
	i.mu.Unlock()
	i.kill()
}

// graceCheckInterval is the time between checks of a stopping process, in ms.
const graceCheckInterval = 50 * clock.Millisecond

// graceTimer measures the grace period of a stopping process. It doesn't run while the
// process is paused by another fault, because a paused process can't shut down.
type graceTimer struct{ left clock.Millis }

func (g *graceTimer) advance(elapsed clock.Millis, paused bool) {
	if !paused {
		g.left -= elapsed
	}
}

func (g *graceTimer) expired() bool { return g.left <= 0 }

// kill ends the process by SIGKILL and waits for its exit.
func (i *instance) kill() {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	if i.signal(syscall.SIGKILL, true) {
		<-exited
	}
}

// violations returns the unexpected exits and late stops of the instance's processes.
func (i *instance) violations() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.unexpected...)
}
