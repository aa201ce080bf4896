// Package program is what the project's programs do with their command lines: the
// daemons, which have flags alone (CommandLine), and the tools, which have verbs (Verbs).
// Each prints errors with the program's name and what it was doing, and returns the
// exit code.
//
//	0 done, 1 failed, 2 the command line is wrong
//
// # Usage
//
//	func Main(args []string, stdout, stderr io.Writer) int {
//		c := program.CommandLine{Name: "tanagerdock-forwarder", Usage: usage, Run: run}
//		return c.Main(args, stdout, stderr)
//	}
package program

// Exit codes.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)
