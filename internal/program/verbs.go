package program

import (
	"context"
	"fmt"
	"io"
)

// Verb is one thing that a tool does.
type Verb struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// Verbs is the command line of a tool: a verb and what follows it.
type Verbs struct {
	Name      string
	Purpose   string // a sentence
	NameWidth int    // of the column of names in the help
	List      []Verb // in the order of the help
}

// Main runs the verb named by args and returns the exit code.
func (t *Verbs) Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		t.printUsage(stderr)
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		t.printUsage(stdout)
		return ExitSuccess
	}
	for _, v := range t.List {
		if v.Name == args[0] {
			return v.Run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "%s: verb %q does not exist; see %s help\n", t.Name, args[0], t.Name)
	return ExitUsage
}

func (t *Verbs) printUsage(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s VERB [FLAGS]\n\n%s\n\nVerbs:\n", t.Name, t.Purpose)
	for _, v := range t.List {
		fmt.Fprintf(w, "  %-*s %s\n", t.NameWidth, v.Name, v.Summary)
	}
	fmt.Fprintf(w, "\n%s VERB -help describes a verb.\n", t.Name)
}
