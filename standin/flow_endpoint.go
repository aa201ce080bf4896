package standin

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// timerInterval is the time between two checks of the timers of flows, in ms.
const timerInterval = 10 * clock.Millisecond

// FlowEndpointSettings configure an endpoint.
type FlowEndpointSettings struct {
	Number  uint64 // identifies the endpoint in the prefix of packets and in answers
	Service string
	Centre  string
	Address string       // IP address and port, for packets (UDP) and health probes (TCP)
	Slots   int          // maximum number of concurrent requests
	RunTime clock.Millis // of each request, in ms
	Warmup  clock.Millis // how long the endpoint is cold after its start, in ms
}

// FlowEndpoint is an endpoint of flows. A request is a line "ID LENGTH" and a body
// of that many bytes; its answer is a line "ID SERVICE NUMBER LENGTH" and the same
// body.
type FlowEndpoint struct {
	settings       FlowEndpointSettings
	incarnation    clock.Millis // start time of the endpoint
	conn           *net.UDPConn
	healthListener *queueListener
	address        netip.AddrPort
	slots          chan struct{}

	mu             sync.Mutex
	flows          map[[2]netip.AddrPort]*endpointFlow // by the addresses of consumer and route
	runCounts      map[string]int                      // by id of the request
	draining       bool
	silent         bool // discards all packets and sends none
	closed         bool
	sequence       uint32 // initial sequence number of the latest flow
	protocolErrors []string
}

// endpointFlow is the state of a flow at its endpoint.
type endpointFlow struct {
	stream       *flowStream
	established  bool   // a packet other than the opening one was received
	received     []byte // bytes of requests that haven't started
	lastReceived clock.Millis
}

// StartFlowEndpoint returns an endpoint that serves flows and health probes on
// s.Address. It is not registered with a store.
func StartFlowEndpoint(s FlowEndpointSettings) (*FlowEndpoint, error) {
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", s.Address)
	}
	e := &FlowEndpoint{
		settings: s, incarnation: clock.Now(), address: address, slots: make(chan struct{}, max(s.Slots, 1)),
		flows: map[[2]netip.AddrPort]*endpointFlow{}, runCounts: map[string]int{}, sequence: uint32(s.Number)<<8 + 1,
	}
	if e.conn, err = listenUDP(address); err != nil {
		return nil, err
	}
	if e.healthListener, err = listenQueue(s.Address); err != nil {
		e.conn.Close()
		return nil, errors.Wrapf(err, "listen for health on %s", s.Address)
	}
	go e.serveHealth()
	go e.receive()
	go e.tick()
	return e, nil
}

// ID returns the name of the endpoint's object in the store.
func (e *FlowEndpoint) ID() string { return fmt.Sprintf("i-%x", e.settings.Number) }

// Registration returns the object that the endpoint writes to the store.
func (e *FlowEndpoint) Registration() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	warmupLeft := max(e.incarnation+e.settings.Warmup-clock.Now(), 0)
	if e.draining {
		state = "draining"
	}
	return map[string]any{
		"service": e.settings.Service, "address": e.settings.Address, "zone": e.settings.Centre, "version": "v1",
		"capacity": cap(e.slots), "lifecycle": state, "warmup_left_ms": int64(warmupLeft), "seq": 1, "born": int64(e.incarnation),
	}
}

// RegisterEndpoint writes the registration of an endpoint, as the endpoint does on
// the platform.
func (s *Metastore) RegisterEndpoint(e *FlowEndpoint) { s.Put(endpointKind, e.ID(), e.Registration()) }

// UnregisterEndpoint removes the registration of an endpoint.
func (s *Metastore) UnregisterEndpoint(e *FlowEndpoint) { s.Remove(endpointKind, e.ID()) }

// endpointKind is the kind of the objects that endpoints write.
const endpointKind = "servers"

// Drain makes the endpoint register as draining from the next RegisterEndpoint on.
// It keeps serving its flows.
func (e *FlowEndpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// SetSilent makes the endpoint discard all packets and send none, or ends that.
// Health probes succeed all the same.
func (e *FlowEndpoint) SetSilent(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = on
}

// SetQueueFull fills the endpoint's queue of new TCP connections, so that health probes get
// no answer, or ends that. The endpoint serves flows all the same.
func (e *FlowEndpoint) SetQueueFull(on bool) error { return e.healthListener.setFull(on) }

// SetRunTime changes the run time of the requests that start from now on.
func (e *FlowEndpoint) SetRunTime(t clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.RunTime = t
}

// FlowCount returns the number of open flows.
func (e *FlowEndpoint) FlowCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}

// RunCounts returns the number of runs of each request, by id.
func (e *FlowEndpoint) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[string]int{}
	for id, n := range e.runCounts {
		all[id] = n
	}
	return all
}

// ProtocolErrors returns descriptions of the packets and requests received so far
// that are corrupted or that a correct consumer never sends.
func (e *FlowEndpoint) ProtocolErrors() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.protocolErrors...)
}

// Close stops the endpoint as a crash does, without a packet to its consumers.
func (e *FlowEndpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.conn.Close()
	e.healthListener.Close()
}

func (e *FlowEndpoint) serveHealth() {
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	_ = server.Serve(e.healthListener) // ends with the listener
}

func (e *FlowEndpoint) receive() {
	buffer := make([]byte, endpointPrefixSize+packetHeaderSize+maxPayload+1)
	for {
		n, _, ok := readDatagram(e.conn, buffer)
		if !ok {
			return
		}
		if n < endpointPrefixSize {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		if number != 0 && number != e.settings.Number {
			continue // for an endpoint that had the address earlier
		}
		p, err := decodeFlowPacket(buffer[endpointPrefixSize:n])
		e.mu.Lock()
		switch {
		case e.silent:
		case err != nil:
			e.protocolErrors = append(e.protocolErrors, err.Error())
		default:
			e.handlePacket(p)
		}
		e.mu.Unlock()
	}
}

// handlePacket handles a packet of a consumer. It resets a flow that the endpoint
// doesn't know. e.mu must be held.
func (e *FlowEndpoint) handlePacket(p flowPacket) {
	now := clock.Now()
	key := [2]netip.AddrPort{p.from, p.to}
	f := e.flows[key]
	if p.hasFlags(flagOpen) {
		e.handleOpening(p, key, f)
		return
	}
	if f == nil {
		if !p.hasFlags(flagAbort) {
			e.transmit(flowPacket{from: p.to, to: p.from, flags: flagAbort, seq: p.ack, token: p.token})
		}
		return
	}
	f.lastReceived = now
	if p.hasFlags(flagAbort) {
		delete(e.flows, key)
		return
	}
	f.established = true
	f.received = append(f.received, f.stream.receive(now, p)...)
	e.startRequests(key, f)
	if f.stream.peerFinished {
		e.transmit(f.stream.packet(flagAck|flagFinish, f.stream.sentSeq, nil))
		delete(e.flows, key)
	}
}

// handleOpening replies to an opening packet, and adds the flow f if it is new.
// e.mu must be held.
func (e *FlowEndpoint) handleOpening(p flowPacket, key [2]netip.AddrPort, f *endpointFlow) {
	if p.hasFlags(flagAck) {
		e.protocolErrors = append(e.protocolErrors, fmt.Sprintf("opening packet with an acknowledgement from %s", p.from))
		return
	}
	if f == nil || f.established {
		e.sequence += 1 << 16
		f = &endpointFlow{stream: newFlowStream(p.to, p.from, e.sequence+1, e.transmit), lastReceived: clock.Now()}
		f.stream.receiveSeq = p.seq + 1
		e.flows[key] = f
	}
	f.stream.token = p.token
	e.transmit(f.stream.packet(flagOpen|flagAck, f.stream.writeSeq-1, nil))
}

// startRequests starts the requests of f that were received completely. e.mu must
// be held.
func (e *FlowEndpoint) startRequests(key [2]netip.AddrPort, f *endpointFlow) {
	for {
		line, rest, found := bytes.Cut(f.received, []byte("\n"))
		var id string
		var size int
		if !found {
			return
		}
		if _, err := fmt.Sscanf(string(line), "%s %d", &id, &size); err != nil {
			e.protocolErrors = append(e.protocolErrors, fmt.Sprintf("request line %q is malformed", line))
			return
		}
		if len(rest) < size {
			return
		}
		body := append([]byte(nil), rest[:size]...)
		f.received = rest[size:]
		go e.run(key, f, id, body)
	}
}

// run waits for a slot, runs a request and writes its answer to f, unless f has
// ended.
func (e *FlowEndpoint) run(key [2]netip.AddrPort, f *endpointFlow, id string, body []byte) {
	e.slots <- struct{}{}
	e.mu.Lock()
	e.runCounts[id]++
	runTime := e.settings.RunTime
	e.mu.Unlock()
	time.Sleep(runTime.Duration())
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent || e.closed || e.flows[key] != f {
		return
	}
	header := fmt.Sprintf("%s %s %x %d\n", id, e.settings.Service, e.settings.Number, len(body))
	f.stream.write(clock.Now(), append([]byte(header), body...))
}

// transmit sends a packet directly to its consumer, which receives on PacketPort.
// e.mu must be held.
func (e *FlowEndpoint) transmit(p flowPacket) {
	if e.silent {
		return
	}
	to := netip.AddrPortFrom(p.to.Addr(), PacketPort)
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(), to) // a failed send counts as loss in the network
}

// PacketPort is the UDP port on which instances receive packets of consumers, and
// consumers packets of endpoints and instances.
const PacketPort = 8172

// tick runs the timers of the flows until the endpoint is closed. It removes flows
// that are idle or whose consumer is lost.
func (e *FlowEndpoint) tick() {
	for {
		time.Sleep(timerInterval.Duration())
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		now := clock.Now()
		for key, f := range e.flows {
			idle := now-f.lastReceived > 15*clock.Second
			if !f.stream.tick(now) || idle {
				delete(e.flows, key)
			}
		}
		e.mu.Unlock()
	}
}

// parseAnswer parses an answer, and reports whether it is complete.
func parseAnswer(data []byte) (id, service string, body []byte, complete bool) {
	line, rest, found := strings.Cut(string(data), "\n")
	var number string
	var size int
	if !found {
		return "", "", nil, false
	}
	if _, err := fmt.Sscanf(line, "%s %s %s %d", &id, &service, &number, &size); err != nil || len(rest) < size {
		return "", "", nil, false
	}
	return id, service, []byte(rest[:size]), len(rest) == size
}
