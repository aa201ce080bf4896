// Package program is what the project's programs do with their command lines: the
// daemons, which have flags alone (Line), and the tools, which have verbs (Verbs).
// Each prints errors with the program's name and what it was doing, and returns the
// exit code.
//
//	0 done, 1 failed, 2 the command line is wrong
//
// # Usage
//
//	func Main(args []string, stdout, stderr io.Writer) int {
//		l := program.Line{Name: "tanagerdock-forwarder", Usage: usage, Do: do}
//		return l.Main(args, stdout, stderr)
//	}
package program

// Exit codes.
const (
	Done   = 0
	Failed = 1
	Usage  = 2
)
