package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Times of child processes.
const (
	readyTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// process is a child process that has printed its line "ready key=value ...".
type process struct {
	cmd    *exec.Cmd
	ready  map[string]string // the pairs of that line
	exited chan struct{}
}

// startProcess starts a program and waits for its ready line. Its standard error goes to
// that of this program.
func startProcess(ctx context.Context, name string, args ...string) (*process, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	firstLine := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		firstLine <- line
		_, _ = io.Copy(io.Discard, out)
		_ = cmd.Wait()
		close(p.exited)
	}()
	select {
	case line := <-firstLine:
		p.ready = parsePairs(line)
	case <-time.After(readyTimeout):
	}
	if len(p.ready) == 0 {
		p.stop()
		return nil, errors.Errorf("start %s %s: it did not become ready", name, strings.Join(args, " "))
	}
	return p, nil
}

// parsePairs returns the pairs key=value of a text whose words are separated by spaces.
func parsePairs(line string) map[string]string {
	values := make(map[string]string)
	for _, word := range strings.Fields(line) {
		if key, value, found := strings.Cut(word, "="); found {
			values[key] = value
		}
	}
	return values
}

// stop ends the process by SIGTERM, or by SIGKILL if it hasn't exited by stopTimeout.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// kill ends the process by SIGKILL and waits for its exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// cpu returns the processor time the process has used.
func (p *process) cpu() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	const user, system = 11, 12 // indexes of fields after the command's name
	_, afterName, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= system {
		return 0, errors.Errorf("stat of process %d has %d fields", p.cmd.Process.Pid, len(fields))
	}
	u, _ := strconv.ParseInt(fields[user], 10, 64)
	s, _ := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(u+s) * clockTick, nil
}

// resident returns the resident memory of the process in bytes.
func (p *process) resident() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if kilobytes, found := strings.CutPrefix(line, "VmRSS:"); found {
			n, err := strconv.ParseInt(strings.Fields(kilobytes)[0], 10, 64)
			return n << 10, errors.WithStack(err)
		}
	}
	return 0, errors.Errorf("status of process %d has no VmRSS line", p.cmd.Process.Pid)
}

// metrics returns the values on the metrics page of an entry daemon, by name.
func (p *process) metrics() (map[string]float64, error) {
	resp, err := http.Get("http://" + p.ready["status"] + "/metrics")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	values := make(map[string]float64)
	for name, text := range parsePairs(string(data)) {
		values[name], _ = strconv.ParseFloat(text, 64)
	}
	return values, nil
}
