// Package measure measures what tanagerdock costs, on one machine and with simulated
// surroundings. Each measurement prints lines of the form name=value, so that a page or a
// script can take them over; the usage of its verb says what each line means.
//
// A measurement starts the programs that it needs as child processes (see process),
// sends traffic from goroutines of its own and reads the processor time and memory of the
// processes from /proc, so it runs on Linux. Where a figure depends on the machine it is
// measured as a ratio: both sides run in turn, several times, and the median is printed
// with the smallest and the largest value. The costs of the decision engines (verbs slopes
// and steering) are measured in this process, on packages without sockets.
//
// None of this is a test: a busy machine makes figures worse, but never shows a fault in
// the code.
//
// # Usage
//
//	os.Exit(measure.Main(ctx, []string{"relay", "-rounds", "5"}, os.Stdout, os.Stderr))
//
// Files:
//
//	main.go        the command: verbs and printing
//	relay.go       verb relay: packets per second through one instance
//	bare.go        verb bare: the plain UDP relay that relay compares with
//	flows.go       verb flows: memory per open flow, and new flows per second
//	control.go     verb control: control traffic, platform calls and processor time
//	slopes.go      verb slopes: costs of package instance by size
//	steering.go    verb steering: costs of packages steering and fleet by size
//	policy.go      verb policy: placement under load, against simpler policies
//	testbed.go     the platform and daemons that a measurement starts
//	process.go     child processes, their processor time, memory and metrics
//	peer.go        a simulated second instance
//	drive.go       sending and counting of datagrams
//	simulation.go  an engine of package instance with simulated records and members
//	fit.go         medians and fitted lines
package measure
