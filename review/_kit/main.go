// Command review-case plays one case of the review with real forwarders and stand-ins on
// loopback addresses.
//
// # Usage
//
//	review-case -case drain-after-handover -folder review/1 -trouble=false
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is the time after which a case is given up.
const maxRunTime = 115 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*world, bool) (bool, error){
	"drain-after-handover": drainAfterHandover,
	"flow-small-answers":   flowSmallAnswers,
	"flow-full-queue":      flowFullQueue,
	"flow-cut-under-way":   flowCutUnderWay,
}

func main() {
	name := flag.String("case", "", "name of the `CASE`")
	folder := flag.String("folder", ".", "`FOLDER` for record.txt")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	program := flag.String("program", "target/tanagerdock-forwarder", "`FILE` of the forwarder")
	flag.Parse()
	os.Exit(play(*name, *folder, *program, *trouble))
}

func play(name, folder, program string, trouble bool) int {
	run, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(filepath.Join(folder, "record.txt"), program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.note("case %s, disruption %t", name, trouble)
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := run(w, trouble)
		done <- result{held, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		return w.report(r.held, r.err)
	case <-interrupted:
		return w.report(false, errors.New("interrupted"))
	case <-time.After(maxRunTime):
		return w.report(false, errors.New("took too long"))
	}
}

// report notes the result of a case and returns the exit code.
func (w *world) report(held bool, err error) int {
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		return exitNotRun
	case !held:
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}
