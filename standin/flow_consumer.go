package standin

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
)

// Errors of a consumer's requests.
var (
	// ErrFlowNotOpened reports a flow that was not established, so that no request
	// has run.
	ErrFlowNotOpened = errors.New("flow did not open")
	// ErrFlowReset reports an open flow that was reset.
	ErrFlowReset = errors.New("flow was reset")
	// ErrRequestTimedOut reports a request without a complete answer at its deadline.
	ErrRequestTimedOut = errors.New("request timed out")
	// ErrWrongAnswer reports an answer with another id, body or service than the
	// request asks for.
	ErrWrongAnswer = errors.New("answer does not match the request")
)

// Limits of consumers and routers.
const (
	openTimeout        = 1400 * clock.Millisecond
	readinessTimeout   = 500 * clock.Millisecond // of a probe; the pause between probes is half as long
	readinessMissLimit = 2                       // failed probes in a row that take an instance out of rotation
)

// FlowRouters are the routers of a data centre. They distribute packets of
// consumers over the ready instances, by a hash of a packet's addresses.
type FlowRouters struct {
	mu         sync.Mutex
	instances  []*routedInstance
	dropPacket func() bool // reports whether to drop the next packet; nil drops none
	done       chan struct{}
}

// routedInstance is an instance that routers know.
type routedInstance struct {
	packetAddress netip.AddrPort
	readyAddress  string
	failedProbes  int // in a row
}

// StartFlowRouters returns routers without instances. They probe the readiness of
// the instances that are added.
func StartFlowRouters() *FlowRouters {
	r := &FlowRouters{done: make(chan struct{})}
	go r.probeReadiness()
	return r
}

// AddInstance adds an instance with the addresses of its packets and of its
// readiness probe. The instance is out of rotation until a probe succeeds.
func (r *FlowRouters) AddInstance(packetAddress netip.AddrPort, readyAddress string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = append(r.instances, &routedInstance{packetAddress: packetAddress, readyAddress: readyAddress, failedProbes: readinessMissLimit})
}

// RemoveInstance removes an instance that won't return.
func (r *FlowRouters) RemoveInstance(packetAddress netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = slices.DeleteFunc(r.instances, func(i *routedInstance) bool { return i.packetAddress == packetAddress })
}

// SetPacketLoss makes routers call drop for each packet, and drop the packet when
// it returns true. A nil drop ends the loss.
func (r *FlowRouters) SetPacketLoss(drop func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropPacket = drop
}

// Close stops the readiness probes.
func (r *FlowRouters) Close() { close(r.done) }

// CountInRotation returns the number of instances in rotation.
func (r *FlowRouters) CountInRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inRotation())
}

// inRotation returns the instances that are ready. r.mu must be held.
func (r *FlowRouters) inRotation() []*routedInstance {
	var in []*routedInstance
	for _, i := range r.instances {
		if i.failedProbes < readinessMissLimit {
			in = append(in, i)
		}
	}
	return in
}

// selectInstance returns the instance that a packet goes to, and false when the
// packet is dropped. When more than half of the instances are out of rotation,
// packets go to all instances.
func (r *FlowRouters) selectInstance(p *flowPacket) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropPacket != nil && r.dropPacket() {
		return netip.AddrPort{}, false
	}
	in := r.inRotation()
	if 2*len(in) < len(r.instances) {
		in = r.instances
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	h := xxhash.Sum64String(p.from.String() + p.to.String())
	return in[h%uint64(len(in))].packetAddress, true
}

func (r *FlowRouters) probeReadiness() {
	client := &http.Client{Timeout: readinessTimeout.Duration(), Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		all := append([]*routedInstance(nil), r.instances...)
		r.mu.Unlock()
		var probes sync.WaitGroup
		for _, i := range all {
			probes.Go(func() {
				resp, err := client.Get("http://" + i.readyAddress + platform.ReadyPath)
				if err == nil {
					resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				i.failedProbes++
				if err == nil && resp.StatusCode == http.StatusOK {
					i.failedProbes = 0
				}
			})
		}
		probes.Wait()
		select {
		case <-r.done:
			return
		case <-time.After((readinessTimeout / 2).Duration()):
		}
	}
}

// FlowConsumer is a consumer that opens flows to routes and sends requests on them.
type FlowConsumer struct {
	address netip.Addr
	routers *FlowRouters
	conn    *net.UDPConn

	mu             sync.Mutex
	flows          map[uint16]*ConsumerFlow // by the consumer's port
	lastPort       uint16                   // of the latest flow
	protocolErrors []string
}

// StartFlowConsumer returns a consumer that sends from an address, which no other
// consumer or instance uses.
func StartFlowConsumer(address netip.Addr, r *FlowRouters) (*FlowConsumer, error) {
	conn, err := listenUDP(netip.AddrPortFrom(address, PacketPort))
	if err != nil {
		return nil, err
	}
	c := &FlowConsumer{address: address, routers: r, conn: conn, flows: map[uint16]*ConsumerFlow{}, lastPort: 1024}
	go c.receive()
	return c, nil
}

// Close closes the consumer's socket. Its flows end without a packet to their
// endpoints.
func (c *FlowConsumer) Close() { c.conn.Close() }

// ProtocolErrors returns descriptions of the corrupted packets received so far.
func (c *FlowConsumer) ProtocolErrors() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.protocolErrors...)
}

func (c *FlowConsumer) receive() {
	buffer := make([]byte, packetHeaderSize+maxPayload+1)
	for {
		n, _, ok := readDatagram(c.conn, buffer)
		if !ok {
			return
		}
		p, err := decodeFlowPacket(buffer[:n])
		c.mu.Lock()
		resetByInstance := err != nil && p.flags == flagAbort && p.checksum == 0 // instances don't know checksumKey
		if err != nil && !resetByInstance {
			c.protocolErrors = append(c.protocolErrors, err.Error())
		} else if f := c.flows[p.to.Port()]; f != nil && f.stream.peer == p.from {
			f.handlePacket(p, resetByInstance)
		}
		c.mu.Unlock()
	}
}

func (c *FlowConsumer) transmit(p flowPacket) {
	if to, routed := c.routers.selectInstance(&p); routed {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to) // a failed send counts as loss in the network
	}
}

// SendOpening sends one opening packet directly to an instance, without waiting
// for a reply.
func (c *FlowConsumer) SendOpening(route, instance netip.AddrPort) error {
	p := flowPacket{from: netip.AddrPortFrom(c.address, 1), to: route, flags: flagOpen, seq: 1}
	_, err := c.conn.WriteToUDPAddrPort(p.encode(), instance)
	return errors.WithStack(err)
}

// ConsumerFlow is a flow of a consumer. It carries one request at a time.
type ConsumerFlow struct {
	consumer    *FlowConsumer
	stream      *flowStream
	established bool
	endCause    error // nil while the flow is open
	// ResetBy is the sender of the reset: "instance" or "endpoint".
	ResetBy       string
	received      []byte        // since the latest request
	packetArrived chan struct{} // wakes wait
}

// OpenFlow opens a flow to the address of a route. It sends the opening packet up
// to three times; the field ack of each copy is the number of copies sent before.
func (c *FlowConsumer) OpenFlow(route netip.AddrPort) (*ConsumerFlow, error) {
	c.mu.Lock()
	c.lastPort++
	f := &ConsumerFlow{consumer: c, packetArrived: make(chan struct{}, 1)}
	f.stream = newFlowStream(netip.AddrPortFrom(c.address, c.lastPort), route, uint32(c.lastPort)*7919, c.transmit)
	c.flows[c.lastPort] = f
	c.mu.Unlock()
	start := clock.Now()
	for copiesSent, elapsed := range []clock.Millis{0, 200, 600, openTimeout} {
		if f.wait(start+elapsed, func() bool { return f.established || f.endCause != nil }) {
			break
		}
		if elapsed < openTimeout {
			f.withLock(func() {
				f.stream.send(flowPacket{from: f.stream.self, to: route, flags: flagOpen, seq: f.stream.writeSeq - 1, ack: uint32(copiesSent)})
			})
		}
	}
	var err error
	f.withLock(func() {
		if !f.established {
			f.unregister()
			err = errors.Wrapf(ErrFlowNotOpened, "%s to %s", f.stream.self, route)
		}
	})
	return f, err
}

func (f *ConsumerFlow) withLock(do func()) {
	f.consumer.mu.Lock()
	defer f.consumer.mu.Unlock()
	do()
}

// unregister removes the flow from its consumer, whose mutex must be held.
func (f *ConsumerFlow) unregister() { delete(f.consumer.flows, f.stream.self.Port()) }

// wait waits for a condition, at most until a time, and reports whether it holds.
// Meanwhile it runs the timers of the stream.
func (f *ConsumerFlow) wait(until clock.Millis, holds func() bool) bool {
	for {
		held := false
		f.withLock(func() {
			if held = holds(); !held {
				f.stream.tick(clock.Now())
			}
		})
		left := until - clock.Now()
		if held || left <= 0 {
			return held
		}
		select {
		case <-f.packetArrived:
		case <-time.After(min(left, timerInterval).Duration()):
		}
	}
}

// handlePacket handles a packet for the flow. The mutex of the consumer must be
// held.
func (f *ConsumerFlow) handlePacket(p flowPacket, byInstance bool) {
	defer func() {
		select {
		case f.packetArrived <- struct{}{}:
		default:
		}
	}()
	switch {
	case p.hasFlags(flagAbort):
		f.ResetBy = "endpoint"
		if byInstance {
			f.ResetBy = "instance"
		}
		f.endCause = ErrFlowReset
		f.unregister()
	case p.hasFlags(flagOpen | flagAck):
		if f.established {
			return // a later reply, which may come from another endpoint
		}
		f.established = true
		f.stream.token, f.stream.receiveSeq = p.token, p.seq+1
		f.stream.sendAck()
	case f.established:
		f.received = append(f.received, f.stream.receive(clock.Now(), p)...)
	}
}

// Request sends a request and waits until the deadline, in ms from now, for its
// complete answer, which must name one of the services. It aborts the flow when
// it times out.
func (f *ConsumerFlow) Request(id string, body []byte, deadline clock.Millis, services ...string) error {
	until := clock.Now() + deadline
	f.withLock(func() {
		f.received = nil
		f.stream.write(clock.Now(), append([]byte(fmt.Sprintf("%s %d\n", id, len(body))), body...))
	})
	answered := func() bool {
		_, _, _, complete := parseAnswer(f.received)
		return complete || f.endCause != nil
	}
	if !f.wait(until, answered) {
		f.Abort()
		return errors.Wrapf(ErrRequestTimedOut, "request %s on %s", id, f.stream.self)
	}
	var err error
	f.withLock(func() {
		gotID, service, got, complete := parseAnswer(f.received)
		switch {
		case !complete:
			err = errors.Wrapf(f.endCause, "request %s, reset by %s", id, f.ResetBy)
		case gotID != id || !bytes.Equal(got, body):
			err = errors.Wrapf(ErrWrongAnswer, "request %s got the answer of %s with %d bytes", id, gotID, len(got))
		default:
			err = errors.Wrapf(ErrWrongAnswer, "request %s was answered by service %s", id, service)
			for _, s := range services {
				if s == service {
					err = nil
				}
			}
		}
	})
	return err
}

// Ended reports whether the flow was reset or its endpoint has finished it.
func (f *ConsumerFlow) Ended() (ended bool) {
	f.withLock(func() { ended = f.endCause != nil || f.stream.peerFinished })
	return ended
}

// Finish ends the flow without a reset. It doesn't wait for the endpoint to finish it too.
func (f *ConsumerFlow) Finish() {
	f.withLock(func() {
		f.stream.send(f.stream.packet(flagAck|flagFinish, f.stream.sentSeq, nil))
		f.unregister()
	})
}

// Abort resets the flow.
func (f *ConsumerFlow) Abort() {
	f.withLock(func() {
		f.stream.send(f.stream.packet(flagAbort, f.stream.sentSeq, nil))
		f.endCause = ErrFlowReset
		f.unregister()
	})
}

// EndpointNumber returns the number of the flow's endpoint, provided that it has at
// most 32 bits: the token of the flow is then the number.
func (f *ConsumerFlow) EndpointNumber() (number uint64) {
	f.withLock(func() { number = uint64(f.stream.token) })
	return number
}
