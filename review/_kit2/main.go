// Command _kit2 runs the scripts of the cases 6 and later of the review: a small deployment of the
// forwarder on loopback, with stand-ins for everything around it.
//
//	review-kit-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeLimit is more than any case takes.
const timeLimit = 100 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{
	"route": oddService,
	"flow":  oddAddress,
	"drain": oddLifecycle,
	"leave": leavingForwarders,
	"bytes": oddBytes,
	"stay":  oddBytesStay,
}

// record is the file that a case writes.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit-2 CASE RECORD")
		return exitFailed
	}
	file, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	r := &record{start: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(r)
	defer w.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		r.line("not run: the case was ended")
		w.killForwarders()
		os.Exit(exitFailed)
	}()
	if err != nil {
		r.line("not run: %v", err)
		return exitFailed
	}
	if !w.waitReady(15 * time.Second) {
		r.line("not run: the forwarders did not become ready")
		return exitFailed
	}
	r.line("all forwarders are in rotation; disruption: %t", trouble)
	broken := cases[args[0]](w, trouble)
	w.summary()
	if w.answered == 0 {
		r.line("not run: no request was answered")
		return exitFailed
	}
	if broken {
		r.line("the rule is broken")
		return exitBroken
	}
	r.line("the rule held")
	return exitHeld
}
