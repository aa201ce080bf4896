package command

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

func printHelp(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s VERB [FLAGS] [ARGUMENTS]\n\nVerbs:\n", programName)
	for _, v := range verbs() {
		fmt.Fprintf(w, "  %-8s %s\n", v.name, v.summary)
	}
	fmt.Fprintf(w, "  %-8s %s\n", "help", "show this text, or the usage of a verb")
}

func help(args []string, s Streams) int {
	if len(args) == 0 {
		printHelp(s.Out)
		return exitSuccess
	}
	v := findVerb(args[0])
	if v == nil {
		fmt.Fprintf(s.Err, "%s help: verb %q is unknown\n", programName, args[0])
		return exitUsage
	}
	return v.execute(context.Background(), []string{"-help"}, s)
}

var versionVerb = &verb{
	name:    "version",
	summary: "print the version",
	usage:   "\n\nPrints the version of the program.",
	run: func(_ context.Context, i *invocation) error {
		if err := i.parse(0, 0); err != nil {
			return err
		}
		version := "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version
		}
		fmt.Fprintf(i.Out, "%s %s\n", programName, version)
		return nil
	},
}
