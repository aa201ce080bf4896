// Package program parses the command lines of the project's programs: those of daemons,
// which have only flags (CommandLine), and those of tools, which have a verb and its
// arguments (Verbs). Errors are written to standard error with the program's name.
//
// The exit code is 0 after success, 1 after a failure, and 2 if the command line is invalid.
//
// # Usage
//
//	func Main(args []string, stdout, stderr io.Writer) int {
//		c := program.CommandLine{Name: "tanagerdock-forwarder", Usage: usage, Run: run}
//		return c.Main(args, stdout, stderr)
//	}
//
// # Files
//
//	command_line.go  command lines of daemons
//	verbs.go         command lines of tools
package program

// Exit codes.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2 // the command line is invalid
)
