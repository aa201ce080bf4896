// Package standin holds small stand-ins for what surrounds tanagerdock, for
// tests, demonstrations and measurements: the platform, a backend server, and a
// fabric that sprays datagrams over entry instances. None of them keeps
// anything on disk.
//
// Each has faults that are replaced as a whole, while it runs, by PUT /fault
// with a JSON object; fields left out are switched off. GET /fault returns the
// faults in force and GET /calls counts what was done by name. The control
// address on which these are served is never subject to a fault.
//
// Platform is an http.Handler with the interface of package platform. Backend
// and Fabric open their own sockets. Main runs them as programs, one verb each.
//
// # Usage
//
//	p := standin.NewPlatform(standin.PlatformSettings{Lag: 2 * clock.Second})
//	server := httptest.NewServer(p)
//	err := p.SetFaults(standin.PlatformFaults{Lose: 1}) // writes succeed, their answers are lost
//
//	b, err := standin.StartBackend(standin.BackendSettings{Listen: "127.0.0.1:0", Host: "orders", Slots: 2})
//	defer b.Close()
package standin
