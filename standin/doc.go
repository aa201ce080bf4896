// Package standin provides stand-ins for the systems around tanagerdock: the
// platform, backend servers, endpoints, consumers and the network between them.
// Tests, demonstrations and measurements use them to inject faults. They keep all
// state in memory.
//
// Platform, Backend and Fabric have a control handler. PUT /fault replaces all
// faults in force with those of a JSON object; fields that are left out switch
// their faults off. GET /fault returns the faults in force, and GET /calls the
// counters by name. Faults never affect the control handler.
//
// Platform and Metastore are http.Handlers with the interfaces of package
// platform. Backend, Fabric and FlowEndpoint listen on sockets of their own. Main
// runs Platform, Backend and Fabric as programs, one verb each.
//
// # Usage
//
//	p := standin.NewPlatform(standin.PlatformSettings{InstanceListLag: 2 * clock.Second})
//	server := httptest.NewServer(p)
//	err := p.SetFaults(standin.PlatformFaults{AnswerLoss: 1}) // writes take effect, their answers are lost
//
//	b, err := standin.StartBackend(standin.BackendSettings{Listen: "127.0.0.1:0", Host: "orders", Slots: 2})
//	defer b.Close()
//
// # Files
//
// Programs and control handlers:
//
//	main.go            verbs, flags, the ready line
//	verb_backend.go    flags of the backend server
//	verb_fabric.go     flags of the fabric
//	verb_platform.go   flags of the platform
//	control.go         /fault, /calls, checks of fault settings
//
// Platform, which stores records and leases:
//
//	platform.go          settings, faults, operations
//	platform_objects.go  reads, writes and watches of records
//	platform_leases.go   leases, the list of instances
//	platform_store.go    current state, history of changes
//
// Backend, a backend server over HTTP:
//
//	backend.go         settings, faults, slots
//	backend_serve.go   requests, health and load
//	fault_listener.go  connection faults
//	ledger.go          runs of each request
//	work.go            description of work, expected answers
//
// Fabric, which distributes datagrams over entry instances:
//
//	fabric.go          settings, faults, control handler
//	fabric_relay.go    relaying, callers, delays
//
// The users' platform, for forwarders:
//
//	metastore.go       metadata store: objects, watches, faults
//	odd.go             objects of another writer that can't be decoded
//	evacuation.go      evacuation orders
//	deployment.go      configurations, settings files of instances
//	flow_consumer.go   consumers, routers in front of instances
//	flow_endpoint.go   endpoints
//	flow_stream.go     byte streams: windows, retransmission, acknowledgements
//	flow_packet.go     encoding of packets
package standin
