// Package measure measures what tanagerdock costs, on one machine and with small
// stand-ins. Each measurement prints lines of the form name=value, so that a page
// or a script can take them over; what a line means is in the verb's usage.
//
// A measurement starts the programs it needs as child processes (see process),
// drives them from goroutines of its own and reads their processor time and
// memory from /proc, so it runs on Linux. Where a figure depends on the machine
// it is measured as a ratio: both sides run in turn, several times, and the
// median is printed with the smallest and the largest. Engine costs (see slopes)
// are measured in-process on package instance, which has no sockets.
//
// Nothing here is a test: a busy machine makes figures worse, never wrong code.
//
// # Usage
//
//	os.Exit(measure.Main(ctx, []string{"relay", "-rounds", "5"}, os.Stdout, os.Stderr))
package measure
