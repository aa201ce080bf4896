// Package demand adds up what the instances of a data centre know of its load. One instance sees
// few of the data centre's requests, so it can't tell which endpoint holds more flows than the
// others. Each sends a Digest of its own load to one instance, which keeps the latest ones in a
// Ledger and sends a Summary of them to all.
//
// Sums are old when they arrive, so they are no order: an instance that finds none, or only old
// ones, chooses as it would alone.
//
// # Usage
//
//	var l demand.Ledger
//	l.Add(now, "edge-3", startedAt, digest)
//	for _, part := range l.Summaries(now) { send(part) }
//
// # Files
//
//	load.go     the load of an endpoint, and its encoding
//	digest.go   what an instance reports of itself
//	ledger.go   the latest digests, and their sum
//	summary.go  the sum
package demand
