// Package admission decides which new flows to refuse while callers compete for too little room:
// waves and bursts of requests, or endpoints that are gone. Endpoints at capacity refuse requests of
// all priorities alike; with a Gate, flows of lower priority are refused before they get there, as
// many as endpoints refuse requests.
//
// Sums are old when they arrive. What an instance sees of its own answers ends refusing earlier.
//
// # Usage
//
//	var g admission.Gate
//	g.Observe(now, sums)            // what the instances of the data centre saw together
//	g.RecordAnswer(refused)         // what this instance saw
//	if !g.Admit(now, opening) { reset }
//
// # Files
//
//	gate.go    the decision
//	usage.go   recent openings by priority
//	sketch.go  recent openings by consumer address
package admission
