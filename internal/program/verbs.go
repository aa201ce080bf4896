package program

import (
	"context"
	"fmt"
	"io"
)

// Verb is one of a tool's commands.
type Verb struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// Verbs is the command line of a tool: a verb and its arguments.
type Verbs struct {
	Name      string
	Purpose   string // one sentence for the help
	NameWidth int    // width of the column of names in the help
	List      []Verb // in the order of the help
}

// Main runs the verb named by args and returns the exit code.
func (c *Verbs) Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		c.printUsage(stderr)
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		c.printUsage(stdout)
		return ExitSuccess
	}
	for _, v := range c.List {
		if v.Name == args[0] {
			return v.Run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "%s: verb %q does not exist; see %s help\n", c.Name, args[0], c.Name)
	return ExitUsage
}

func (c *Verbs) printUsage(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s VERB [FLAGS]\n\n%s\n\nVerbs:\n", c.Name, c.Purpose)
	for _, v := range c.List {
		fmt.Fprintf(w, "  %-*s %s\n", c.NameWidth, v.Name, v.Summary)
	}
	fmt.Fprintf(w, "\n%s VERB -help describes a verb.\n", c.Name)
}
