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

// flowTick is how often the ends of flows look at their timers, in ms.
const flowTick = 10 * clock.Millisecond

// FlowEndpointSettings are what an endpoint of flows is told at its start.
type FlowEndpointSettings struct {
	Number  uint64
	Service string
	Centre  string
	Address string // IP address and port, for packets (UDP) and health (TCP)
	Slots   int
	RunTime clock.Millis // time of one request
}

// FlowEndpoint is an endpoint of flows. A request is a line "ID LENGTH" and that
// many bytes; the answer is a line "ID SERVICE NUMBER LENGTH" and the bytes sent.
type FlowEndpoint struct {
	settings FlowEndpointSettings
	born     clock.Millis
	conn     *net.UDPConn
	health   net.Listener
	address  netip.AddrPort
	slots    chan struct{}

	mu       sync.Mutex
	flows    map[[2]netip.AddrPort]*endpointFlow
	runs     map[string]int
	draining bool
	muted    bool // takes nothing and sends nothing
	closed   bool
	sequence uint32
	faults   []string // packets that should not have come
}

// endpointFlow is one flow at its endpoint.
type endpointFlow struct {
	end    *flowEnd
	opened bool
	taken  []byte
	last   clock.Millis
}

// StartFlowEndpoint opens an endpoint.
func StartFlowEndpoint(s FlowEndpointSettings) (*FlowEndpoint, error) {
	at, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", s.Address)
	}
	e := &FlowEndpoint{
		settings: s, born: clock.Now(), address: at, slots: make(chan struct{}, max(s.Slots, 1)),
		flows: map[[2]netip.AddrPort]*endpointFlow{}, runs: map[string]int{}, sequence: uint32(s.Number)<<8 + 1,
	}
	if e.conn, err = listenUDP(at); err != nil {
		return nil, err
	}
	if e.health, err = net.Listen("tcp4", s.Address); err != nil {
		e.conn.Close()
		return nil, errors.Wrapf(err, "listen for health on %s", s.Address)
	}
	go e.serveHealth()
	go e.read()
	go e.tick()
	return e, nil
}

// ID is the endpoint's name in the store.
func (e *FlowEndpoint) ID() string { return fmt.Sprintf("i-%x", e.settings.Number) }

// Registration is what the endpoint writes of itself.
func (e *FlowEndpoint) Registration() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return map[string]any{
		"service": e.settings.Service, "address": e.settings.Address, "zone": e.settings.Centre, "version": "v1",
		"capacity": cap(e.slots), "lifecycle": state, "warmup_left_ms": 0, "seq": 1, "born": int64(e.born),
	}
}

// RegisterEndpoint puts the entry of an endpoint in the store, as the endpoint itself does.
func (s *Metastore) RegisterEndpoint(e *FlowEndpoint) { s.Put(endpointKind, e.ID(), e.Registration()) }

// UnregisterEndpoint removes the entry of an endpoint.
func (s *Metastore) UnregisterEndpoint(e *FlowEndpoint) { s.Remove(endpointKind, e.ID()) }

// endpointKind is where endpoints have their entries.
const endpointKind = "servers"

// Drain lets the endpoint close each flow after its next answer.
func (e *FlowEndpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// SetSilent makes the endpoint silent, or ends that.
func (e *FlowEndpoint) SetSilent(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.muted = on
}

// FlowCount returns the number of open flows.
func (e *FlowEndpoint) FlowCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}

// RunCounts returns how often each request was run.
func (e *FlowEndpoint) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[string]int{}
	for id, n := range e.runs {
		all[id] = n
	}
	return all
}

// ProtocolErrors returns what came that should not have.
func (e *FlowEndpoint) ProtocolErrors() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.faults...)
}

// Close ends the endpoint as a crash does: nothing is sent any more.
func (e *FlowEndpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.conn.Close()
	e.health.Close()
}

func (e *FlowEndpoint) serveHealth() {
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	_ = server.Serve(e.health) // ends with the listener
}

func (e *FlowEndpoint) read() {
	buffer := make([]byte, flowPrefix+flowHead+flowData+1)
	for {
		n, _, ok := read(e.conn, buffer)
		if !ok {
			return
		}
		if n < flowPrefix {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		if number != 0 && number != e.settings.Number {
			continue // for an endpoint that had the address before
		}
		p, err := decodeFlowPacket(buffer[flowPrefix:n])
		e.mu.Lock()
		switch {
		case e.muted:
		case err != nil:
			e.faults = append(e.faults, err.Error())
		default:
			e.take(p)
		}
		e.mu.Unlock()
	}
}

// take takes a consumer's packet. It needs the lock.
func (e *FlowEndpoint) take(p flowPacket) {
	now := clock.Now()
	key := [2]netip.AddrPort{p.from, p.to}
	f := e.flows[key]
	if p.has(flowOpen) {
		e.open(p, key, f)
		return
	}
	if f == nil {
		if !p.has(flowAbort) {
			e.transmit(flowPacket{from: p.to, to: p.from, flags: flowAbort, seq: p.ack, echo: p.echo})
		}
		return
	}
	f.last = now
	if p.has(flowAbort) {
		delete(e.flows, key)
		return
	}
	f.opened = true
	f.taken = append(f.taken, f.end.take(now, p)...)
	e.serve(key, f)
	if f.end.peerFin {
		e.transmit(f.end.packet(flowAck|flowFinish, f.end.sent, nil))
		delete(e.flows, key)
	}
}

// open answers an opening packet. It needs the lock.
func (e *FlowEndpoint) open(p flowPacket, key [2]netip.AddrPort, f *endpointFlow) {
	if p.has(flowAck) {
		e.faults = append(e.faults, fmt.Sprintf("answer to an opening packet from %s", p.from))
		return
	}
	if f == nil || f.opened {
		e.sequence += 1 << 16
		f = &endpointFlow{end: newFlowEnd(p.to, p.from, e.sequence+1, e.transmit), last: clock.Now()}
		f.end.expects = p.seq + 1
		e.flows[key] = f
	}
	f.end.echo = p.echo
	e.transmit(f.end.packet(flowOpen|flowAck, f.end.next-1, nil))
}

// serve runs the requests that came whole. It needs the lock.
func (e *FlowEndpoint) serve(key [2]netip.AddrPort, f *endpointFlow) {
	for {
		line, rest, found := bytes.Cut(f.taken, []byte("\n"))
		var id string
		var size int
		if !found {
			return
		}
		if _, err := fmt.Sscanf(string(line), "%s %d", &id, &size); err != nil {
			e.faults = append(e.faults, fmt.Sprintf("request %q", line))
			return
		}
		if len(rest) < size {
			return
		}
		body := append([]byte(nil), rest[:size]...)
		f.taken = rest[size:]
		go e.run(key, f, id, body)
	}
}

func (e *FlowEndpoint) run(key [2]netip.AddrPort, f *endpointFlow, id string, body []byte) {
	e.slots <- struct{}{}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	time.Sleep(e.settings.RunTime.Duration())
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.muted || e.closed || e.flows[key] != f {
		return
	}
	head := fmt.Sprintf("%s %s %x %d\n", id, e.settings.Service, e.settings.Number, len(body))
	f.end.write(clock.Now(), append([]byte(head), body...))
}

// transmit sends a packet to its consumer, who listens on the instances' port.
func (e *FlowEndpoint) transmit(p flowPacket) {
	if e.muted {
		return
	}
	to := netip.AddrPortFrom(p.to.Addr(), PacketPort)
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(), to) // as lossy as any network
}

// PacketPort is the UDP port of instances, and of consumers for what endpoints send.
const PacketPort = 8172

func (e *FlowEndpoint) tick() {
	for {
		time.Sleep(flowTick.Duration())
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		now := clock.Now()
		for key, f := range e.flows {
			idle := now-f.last > 15*clock.Second
			if !f.end.tick(now) || idle {
				delete(e.flows, key)
			}
		}
		e.mu.Unlock()
	}
}

// answerOf reads an answer, and reports whether it is whole.
func answerOf(data []byte) (id, service string, body []byte, whole bool) {
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
