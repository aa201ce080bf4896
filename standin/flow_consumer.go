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
	// ErrFlowNotOpened reports a flow that never opened, so that nothing has run.
	ErrFlowNotOpened = errors.New("flow did not open")
	// ErrFlowReset reports a flow that was reset while open.
	ErrFlowReset = errors.New("flow was reset")
	// ErrRequestTimedOut reports a request without an answer at its deadline.
	ErrRequestTimedOut = errors.New("no answer came in time")
	// ErrWrongAnswer reports an answer that isn't the one to the request.
	ErrWrongAnswer = errors.New("answer is not the request's")
)

// Times of a consumer, in ms.
const (
	openTimeout        = 1400 * clock.Millisecond // until an opening is given up
	readinessPeriod    = 500 * clock.Millisecond
	readinessMissLimit = 2
)

// FlowRouters send packets of consumers to the instances of a data centre that
// are in rotation, by a hash over them.
type FlowRouters struct {
	mu         sync.Mutex
	instances  []*routedInstance
	dropPacket func() bool // reports whether to drop the next packet; nil for none
	done       chan struct{}
}

// routedInstance is an instance in the rotation of routers.
type routedInstance struct {
	packetAddress netip.AddrPort
	readyAddress  string
	failedProbes  int
}

// StartFlowRouters returns routers that ask instances for readiness.
func StartFlowRouters() *FlowRouters {
	r := &FlowRouters{done: make(chan struct{})}
	go r.probeReadiness()
	return r
}

// AddInstance adds an instance by the addresses of its packets and its readiness. It is
// out of rotation until it says that it is ready.
func (r *FlowRouters) AddInstance(packets netip.AddrPort, ready string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = append(r.instances, &routedInstance{packetAddress: packets, readyAddress: ready, failedProbes: readinessMissLimit})
}

// RemoveInstance takes away an instance that was replaced for good.
func (r *FlowRouters) RemoveInstance(packets netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = slices.DeleteFunc(r.instances, func(i *routedInstance) bool { return i.packetAddress == packets })
}

// SetPacketLoss makes routers drop the packets for which drop returns true.
func (r *FlowRouters) SetPacketLoss(drop func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropPacket = drop
}

// Close ends the routers.
func (r *FlowRouters) Close() { close(r.done) }

// CountInRotation returns how many instances get packets.
func (r *FlowRouters) CountInRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inRotation())
}

func (r *FlowRouters) inRotation() []*routedInstance {
	var in []*routedInstance
	for _, i := range r.instances {
		if i.failedProbes < readinessMissLimit {
			in = append(in, i)
		}
	}
	return in
}

// selectInstance returns the instance for a packet, and false when the packet is lost.
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
	client := &http.Client{Timeout: readinessPeriod.Duration(), Transport: &http.Transport{DisableKeepAlives: true}}
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
		case <-time.After((readinessPeriod / 2).Duration()):
		}
	}
}

// FlowConsumer is a consumer of flows.
type FlowConsumer struct {
	address netip.Addr
	routers *FlowRouters
	conn    *net.UDPConn

	mu             sync.Mutex
	flows          map[uint16]*ConsumerFlow // by port
	lastPort       uint16
	protocolErrors []string
}

// StartFlowConsumer returns a consumer at an address of its own.
func StartFlowConsumer(address netip.Addr, r *FlowRouters) (*FlowConsumer, error) {
	conn, err := listenUDP(netip.AddrPortFrom(address, PacketPort))
	if err != nil {
		return nil, err
	}
	c := &FlowConsumer{address: address, routers: r, conn: conn, flows: map[uint16]*ConsumerFlow{}, lastPort: 1024}
	go c.receive()
	return c, nil
}

// Close ends the consumer and its flows without a word.
func (c *FlowConsumer) Close() { c.conn.Close() }

// ProtocolErrors returns what came that should not have.
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
		resetByInstance := err != nil && p.flags == flagAbort && p.checksum == 0 // an instance's reset
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
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to) // as lossy as any network
	}
}

// SendOpening sends one opening packet to an instance and doesn't wait for an answer.
func (c *FlowConsumer) SendOpening(route, instance netip.AddrPort) error {
	p := flowPacket{from: netip.AddrPortFrom(c.address, 1), to: route, flags: flagOpen, seq: 1}
	_, err := c.conn.WriteToUDPAddrPort(p.encode(), instance)
	return errors.WithStack(err)
}

// ConsumerFlow is one flow of a consumer, for one request at a time.
type ConsumerFlow struct {
	consumer    *FlowConsumer
	stream      *flowStream
	established bool
	endCause    error // why the flow ended
	// ResetBy tells whether the end came from an instance or from the endpoint.
	ResetBy       string
	received      []byte
	packetArrived chan struct{} // a packet came
}

// OpenFlow opens a flow to a route.
func (c *FlowConsumer) OpenFlow(route netip.AddrPort) (*ConsumerFlow, error) {
	c.mu.Lock()
	c.lastPort++
	f := &ConsumerFlow{consumer: c, packetArrived: make(chan struct{}, 1)}
	f.stream = newFlowStream(netip.AddrPortFrom(c.address, c.lastPort), route, uint32(c.lastPort)*7919, c.transmit)
	c.flows[c.lastPort] = f
	c.mu.Unlock()
	start := clock.Now()
	for copies, elapsed := range []clock.Millis{0, 200, 600, openTimeout} {
		if f.wait(start+elapsed, func() bool { return f.established || f.endCause != nil }) {
			break
		}
		if elapsed < openTimeout {
			f.withLock(func() {
				f.stream.send(flowPacket{from: f.stream.self, to: route, flags: flagOpen, seq: f.stream.writeSeq - 1, ack: uint32(copies)})
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

// forget takes the flow off its consumer. It needs the lock.
func (f *ConsumerFlow) unregister() { delete(f.consumer.flows, f.stream.self.Port()) }

// wait waits until a condition holds or a time has come, and reports the former.
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

// take takes a packet in. It needs the caller's lock.
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
			return // another endpoint, later
		}
		f.established = true
		f.stream.token, f.stream.receiveSeq = p.token, p.seq+1
		f.stream.sendAck()
	case f.established:
		f.received = append(f.received, f.stream.receive(clock.Now(), p)...)
	}
}

// Request sends one request and waits for its whole answer, which has to name one
// of the services.
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
			err = errors.Wrapf(f.endCause, "request %s by %s", id, f.ResetBy)
		case gotID != id || !bytes.Equal(got, body):
			err = errors.Wrapf(ErrWrongAnswer, "request %s got %s with %d bytes", id, gotID, len(got))
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

// Ended reports whether the flow has ended.
func (f *ConsumerFlow) Ended() (ended bool) {
	f.withLock(func() { ended = f.endCause != nil || f.stream.peerFinished })
	return ended
}

// Finish ends the flow in an orderly way.
func (f *ConsumerFlow) Finish() {
	f.withLock(func() {
		f.stream.send(f.stream.packet(flagAck|flagFinish, f.stream.sentSeq, nil))
		f.unregister()
	})
}

// Abort ends the flow at once.
func (f *ConsumerFlow) Abort() {
	f.withLock(func() {
		f.stream.send(f.stream.packet(flagAbort, f.stream.sentSeq, nil))
		f.endCause = ErrFlowReset
		f.unregister()
	})
}

// EndpointNumber returns the number of the flow's endpoint, where it has at most 32 bits.
func (f *ConsumerFlow) EndpointNumber() (number uint64) {
	f.withLock(func() { number = uint64(f.stream.token) })
	return number
}
