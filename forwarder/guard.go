package forwarder

import (
	"fmt"
	"runtime/debug"
)

// maxStackBytes limits the stack in the log line of a panic.
const maxStackBytes = 4 << 10

// guard runs one unit of work: a packet, a message, a call to the store or a tick. A panic in
// it is logged and counted, and ends only that unit. Ending the process would be worse: the
// same packet, message or entry would end it again after each restart, at all instances, and
// each time the flows that only this instance knows are lost. Fatal errors of the runtime, such
// as an exhausted stack, still end the process.
func (d *Daemon) guard(task string, work func()) {
	defer func() {
		if v := recover(); v != nil {
			d.metrics.panics.Inc(1)
			stack := debug.Stack()
			d.log.infoLimited("panic", "task", task, "error", fmt.Sprint(v), "stack", string(stack[:min(len(stack), maxStackBytes)]))
		}
	}()
	work()
}

// locked calls f while it holds d.mu, which it also releases if f panics.
func (d *Daemon) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}
