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
	callerCopies    = 1400 * clock.Millisecond // until an opening is given up
	readinessPeriod = 500 * clock.Millisecond
	readinessMisses = 2
)

// FlowRouters send packets of consumers to the instances of a data centre that
// are in rotation, by a hash over them.
type FlowRouters struct {
	mu        sync.Mutex
	instances []*routed
	lossy     func() bool // reports whether to drop the next packet; nil for none
	done      chan struct{}
}

// routed is an instance in the rotation of routers.
type routed struct {
	packets netip.AddrPort
	ready   string
	misses  int
}

// StartFlowRouters returns routers that ask instances for readiness.
func StartFlowRouters() *FlowRouters {
	r := &FlowRouters{done: make(chan struct{})}
	go r.probe()
	return r
}

// AddInstance adds an instance by the addresses of its packets and its readiness. It is
// out of rotation until it says that it is ready.
func (r *FlowRouters) AddInstance(packets netip.AddrPort, ready string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = append(r.instances, &routed{packets: packets, ready: ready, misses: readinessMisses})
}

// RemoveInstance takes away an instance that was replaced for good.
func (r *FlowRouters) RemoveInstance(packets netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = slices.DeleteFunc(r.instances, func(i *routed) bool { return i.packets == packets })
}

// SetPacketLoss makes routers drop the packets for which drop returns true.
func (r *FlowRouters) SetPacketLoss(drop func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossy = drop
}

// Close ends the routers.
func (r *FlowRouters) Close() { close(r.done) }

// CountInRotation returns how many instances get packets.
func (r *FlowRouters) CountInRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rotation())
}

func (r *FlowRouters) rotation() []*routed {
	var in []*routed
	for _, i := range r.instances {
		if i.misses < readinessMisses {
			in = append(in, i)
		}
	}
	return in
}

// route returns the instance for a packet, and false when the packet is lost.
func (r *FlowRouters) route(p *flowPacket) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lossy != nil && r.lossy() {
		return netip.AddrPort{}, false
	}
	in := r.rotation()
	if 2*len(in) < len(r.instances) {
		in = r.instances
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	h := xxhash.Sum64String(p.from.String() + p.to.String())
	return in[h%uint64(len(in))].packets, true
}

func (r *FlowRouters) probe() {
	client := &http.Client{Timeout: readinessPeriod.Duration(), Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		all := append([]*routed(nil), r.instances...)
		r.mu.Unlock()
		var asked sync.WaitGroup
		for _, i := range all {
			asked.Go(func() {
				resp, err := client.Get("http://" + i.ready + platform.ReadyPath)
				if err == nil {
					resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				i.misses++
				if err == nil && resp.StatusCode == http.StatusOK {
					i.misses = 0
				}
			})
		}
		asked.Wait()
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

	mu     sync.Mutex
	flows  map[uint16]*ConsumerFlow // by port
	port   uint16
	faults []string
}

// StartFlowConsumer returns a consumer at an address of its own.
func StartFlowConsumer(address netip.Addr, r *FlowRouters) (*FlowConsumer, error) {
	conn, err := listenUDP(netip.AddrPortFrom(address, PacketPort))
	if err != nil {
		return nil, err
	}
	c := &FlowConsumer{address: address, routers: r, conn: conn, flows: map[uint16]*ConsumerFlow{}, port: 1024}
	go c.read()
	return c, nil
}

// Close ends the consumer and its flows without a word.
func (c *FlowConsumer) Close() { c.conn.Close() }

// ProtocolErrors returns what came that should not have.
func (c *FlowConsumer) ProtocolErrors() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.faults...)
}

func (c *FlowConsumer) read() {
	buffer := make([]byte, flowHead+flowData+1)
	for {
		n, _, ok := read(c.conn, buffer)
		if !ok {
			return
		}
		p, err := decodeFlowPacket(buffer[:n])
		c.mu.Lock()
		own := err != nil && p.flags == flowAbort && p.sum == 0 // an instance's reset
		if err != nil && !own {
			c.faults = append(c.faults, err.Error())
		} else if f := c.flows[p.to.Port()]; f != nil && f.end.peer == p.from {
			f.take(p, own)
		}
		c.mu.Unlock()
	}
}

func (c *FlowConsumer) transmit(p flowPacket) {
	if to, routed := c.routers.route(&p); routed {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to) // as lossy as any network
	}
}

// SendOpening sends one opening packet to an instance and doesn't wait for an answer.
func (c *FlowConsumer) SendOpening(route, instance netip.AddrPort) error {
	p := flowPacket{from: netip.AddrPortFrom(c.address, 1), to: route, flags: flowOpen, seq: 1}
	_, err := c.conn.WriteToUDPAddrPort(p.encode(), instance)
	return errors.WithStack(err)
}

// ConsumerFlow is one flow of a consumer, for one request at a time.
type ConsumerFlow struct {
	caller *FlowConsumer
	end    *flowEnd
	opened bool
	over   error // why the flow ended
	// ResetBy tells whether the end came from an instance or from the endpoint.
	ResetBy string
	taken   []byte
	changed chan struct{} // a packet came
}

// OpenFlow opens a flow to a route.
func (c *FlowConsumer) OpenFlow(route netip.AddrPort) (*ConsumerFlow, error) {
	c.mu.Lock()
	c.port++
	f := &ConsumerFlow{caller: c, changed: make(chan struct{}, 1)}
	f.end = newFlowEnd(netip.AddrPortFrom(c.address, c.port), route, uint32(c.port)*7919, c.transmit)
	c.flows[c.port] = f
	c.mu.Unlock()
	start := clock.Now()
	for copied, at := range []clock.Millis{0, 200, 600, callerCopies} {
		if f.wait(start+at, func() bool { return f.opened || f.over != nil }) {
			break
		}
		if at < callerCopies {
			f.locked(func() {
				f.end.send(flowPacket{from: f.end.self, to: route, flags: flowOpen, seq: f.end.next - 1, ack: uint32(copied)})
			})
		}
	}
	var err error
	f.locked(func() {
		if !f.opened {
			f.forget()
			err = errors.Wrapf(ErrFlowNotOpened, "%s to %s", f.end.self, route)
		}
	})
	return f, err
}

func (f *ConsumerFlow) locked(do func()) {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	do()
}

// forget takes the flow off its consumer. It needs the lock.
func (f *ConsumerFlow) forget() { delete(f.caller.flows, f.end.self.Port()) }

// wait waits until a condition holds or a time has come, and reports the former.
func (f *ConsumerFlow) wait(until clock.Millis, holds func() bool) bool {
	for {
		held := false
		f.locked(func() {
			if held = holds(); !held {
				f.end.tick(clock.Now())
			}
		})
		left := until - clock.Now()
		if held || left <= 0 {
			return held
		}
		select {
		case <-f.changed:
		case <-time.After(min(left, flowTick).Duration()):
		}
	}
}

// take takes a packet in. It needs the caller's lock.
func (f *ConsumerFlow) take(p flowPacket, byInstance bool) {
	defer func() {
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}()
	switch {
	case p.has(flowAbort):
		f.ResetBy = "endpoint"
		if byInstance {
			f.ResetBy = "instance"
		}
		f.over = ErrFlowReset
		f.forget()
	case p.has(flowOpen | flowAck):
		if f.opened {
			return // another endpoint, later
		}
		f.opened = true
		f.end.echo, f.end.expects = p.echo, p.seq+1
		f.end.acknowledge()
	case f.opened:
		f.taken = append(f.taken, f.end.take(clock.Now(), p)...)
	}
}

// Request sends one request and waits for its whole answer, which has to name one
// of the services.
func (f *ConsumerFlow) Request(id string, body []byte, deadline clock.Millis, services ...string) error {
	until := clock.Now() + deadline
	f.locked(func() {
		f.taken = nil
		f.end.write(clock.Now(), append([]byte(fmt.Sprintf("%s %d\n", id, len(body))), body...))
	})
	answered := func() bool {
		_, _, _, whole := answerOf(f.taken)
		return whole || f.over != nil
	}
	if !f.wait(until, answered) {
		f.Abort()
		return errors.Wrapf(ErrRequestTimedOut, "request %s on %s", id, f.end.self)
	}
	var err error
	f.locked(func() {
		gotID, service, got, whole := answerOf(f.taken)
		switch {
		case !whole:
			err = errors.Wrapf(f.over, "request %s by %s", id, f.ResetBy)
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
func (f *ConsumerFlow) Ended() (over bool) {
	f.locked(func() { over = f.over != nil || f.end.peerFin })
	return over
}

// Finish ends the flow in an orderly way.
func (f *ConsumerFlow) Finish() {
	f.locked(func() {
		f.end.send(f.end.packet(flowAck|flowFinish, f.end.sent, nil))
		f.forget()
	})
}

// Abort ends the flow at once.
func (f *ConsumerFlow) Abort() {
	f.locked(func() {
		f.end.send(f.end.packet(flowAbort, f.end.sent, nil))
		f.over = ErrFlowReset
		f.forget()
	})
}

// EndpointNumber returns the number of the flow's endpoint, where it has at most 32 bits.
func (f *ConsumerFlow) EndpointNumber() (number uint64) {
	f.locked(func() { number = uint64(f.end.echo) })
	return number
}
