package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/internal/daemon"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/steering"
)

// Limits of the communication between members.
const (
	peerDialTimeout  = 500 * clock.Millisecond // long for a data centre; a member that has ended may not answer at all
	peerFetchTimeout = 3 * clock.Second        // time for some MB of records over a link that many members share
	maxRecordsSize   = 16 << 20                // bytes; ten times the store's largest value, to have room for endpoints
	// How often an instance without records asks a member for them, in ms.
	firstFetchPeriod = 500 * clock.Millisecond
)

// peerRecords is the body of an answer at recordsPath: all records of a member.
type peerRecords struct {
	State         fleet.RecordState         `cbor:"state"`
	Configuration *steering.Configuration   `cbor:"configuration"`
	Endpoints     []steering.Endpoint       `cbor:"endpoints"`
	Unreadable    []steering.EndpointChange `cbor:"unreadable,omitempty"`
	Evacuations   *fleet.EvacuationState    `cbor:"evacuations,omitempty"` // nil if the member knows no orders
}

// recordsPath and changesPath are the HTTP paths of a member's records, and of the changes of
// its endpoints after the revision since. An answer with changes waits until they reach the
// revision until, up to maxChangesWait.
const (
	recordsPath = "/records"
	changesPath = "/changes"
)

// check returns an error if the records can't be used. An invalid endpoint costs no other: it
// becomes an unreadable entry.
func (r *peerRecords) check() error {
	if err := r.State.Check(); err != nil {
		return err
	}
	if err := r.Configuration.Check(); err != nil {
		return err
	}
	if err := r.Evacuations.Check(); err != nil {
		return err
	}
	valid := r.Endpoints[:0]
	for i := range r.Endpoints {
		p := &r.Endpoints[i]
		if err := p.Check(); err != nil {
			r.Unreadable = append(r.Unreadable, p.Unreadable(err))
			continue
		}
		valid = append(valid, *p)
	}
	r.Endpoints = valid
	return nil
}

// openPeerSockets opens the sockets for other members at the first internal port.
func (d *Daemon) openPeerSockets(s *platform.Settings) (err error) {
	if len(s.InternalPorts) == 0 {
		return nil
	}
	address := netip.AddrPortFrom(s.PacketAddress.Addr(), s.InternalPorts[0])
	if d.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return errors.Wrapf(err, "listen for members on %s", address)
	}
	if d.peerListener, err = net.Listen("tcp4", address.String()); err != nil {
		return errors.Wrapf(err, "listen for members on %s", address)
	}
	return nil
}

func (d *Daemon) peerAddress() netip.AddrPort {
	if d.peerConn == nil {
		return netip.AddrPort{}
	}
	return d.peerConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// peerHandler serves the records to other members, and the metrics.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, d.serveRecords)
	mux.HandleFunc("GET "+changesPath, d.serveChanges)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := d.metrics.write(w); err != nil {
			d.log.infoLimited("metrics send failed", "error", err.Error())
		}
	})
	return mux
}

func (d *Daemon) serveRecords(w http.ResponseWriter, r *http.Request) {
	d.waitComplete(r)
	d.mu.Lock()
	complete := d.engine.Complete()
	now := clock.Now()
	records := peerRecords{State: d.fleet.RecordState(now), Configuration: d.engine.Configuration(), Endpoints: d.engine.Endpoints(), Unreadable: d.engine.Unreadable(), Evacuations: d.fleet.EvacuationState(now)}
	d.mu.Unlock()
	if !complete {
		http.Error(w, "no records yet", http.StatusServiceUnavailable)
		return
	}
	if err := cbor.NewEncoder(w).Encode(records); err != nil {
		d.log.infoLimited("records send failed", "error", err.Error())
	}
}

// receiveMessages handles messages of other members until the socket is closed.
func (d *Daemon) receiveMessages() {
	buffer := make([]byte, fleet.MaxMessageSize+1)
	for {
		n, _, err := d.peerConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.metrics.readErrors.Inc(1)
			d.log.infoLimited("message read failed", "error", err.Error())
			continue
		}
		d.guard("message", func() { d.receiveMessage(buffer[:n]) })
	}
}

func (d *Daemon) receiveMessage(data []byte) {
	from, m, err := fleet.Decode(data)
	if err != nil {
		d.metrics.malformed.Inc(1)
		d.log.infoLimited("message malformed", "error", err.Error())
		return
	}
	d.metrics.messagesIn.Inc(1)
	d.handleFleet(fleet.MessageReceived{From: from, Message: m})
}

// handleFleet passes an event to the fleet engine and carries out the actions it returns.
func (d *Daemon) handleFleet(e fleet.Event) {
	var actions []fleet.Action
	var steeringActions []steering.Action
	d.locked(func() { actions, steeringActions = d.applyFleet(clock.Now(), e) })
	d.perform(steeringActions)
	d.performFleet(actions)
}

// applyFleet passes an event to the fleet engine, and to the steering engine what that has for it.
// It returns the actions of both. It runs under the lock, since records are passed on together with
// their revision and confirmation, also by other goroutines.
func (d *Daemon) applyFleet(now clock.Millis, e fleet.Event) (actions []fleet.Action, steeringActions []steering.Action) {
	for _, a := range d.fleet.Handle(now, e) {
		if v, ok := a.(fleet.NotifySteering); ok {
			steeringActions = append(steeringActions, d.engine.Handle(now, v.Event)...)
			continue
		}
		actions = append(actions, a)
	}
	return actions, steeringActions
}

func (d *Daemon) performFleet(actions []fleet.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case fleet.Send:
			d.sendMessage(v)
		case fleet.SetWatching:
			d.log.info("watch", "on", v.On)
			if v.On && v.Stale {
				d.storeHealth.doubt()
			}
			// Another goroutine may have carried out a later decision already.
			d.locked(func() { d.watchGate.Set(d.fleet.Watching()) })
		case fleet.FetchRecords:
			select {
			case d.fetchRequests <- v:
			default: // a fetch is already pending
			}
		case fleet.NotifySteering: // handled by applyFleet
		case fleet.RemoveMember:
			d.goroutines.Go(func() { d.guard("removal of a member", func() { d.removeMember(v.Name) }) })
		}
	}
}

func (d *Daemon) sendMessage(v fleet.Send) {
	if d.peerConn == nil {
		return
	}
	data, err := fleet.Encode(d.self, v.Message)
	if err != nil {
		// The other members learn from the next heartbeat that they lack the change, and
		// fetch it.
		d.log.infoLimited("message too large", "error", err.Error())
		return
	}
	for _, to := range v.To {
		if _, err := d.peerConn.WriteToUDPAddrPort(data, to); err != nil {
			d.metrics.unsent.Inc(1)
			d.log.infoLimited("message send failed", "to", to, "error", err.Error())
			continue
		}
		d.metrics.messagesOut.Inc(1)
	}
}

// removeMember deletes the object of a member that has ended from the store.
func (d *Daemon) removeMember(name string) {
	ctx, cancel := context.WithTimeout(withReason(context.Background(), callRemove), storeTimeout.Duration())
	defer cancel()
	err := d.store.Load().RemoveMember(ctx, name)
	d.log.info("member removed", "member", name, "error", errorText(err))
}

func newPeerClient() *http.Client {
	return &http.Client{Timeout: peerFetchTimeout.Duration(), Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: peerDialTimeout.Duration()}).DialContext,
	}}
}

// processFetches reads records on the fleet engine's requests.
func (d *Daemon) processFetches(ctx context.Context) {
	client := newPeerClient()
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-d.fetchRequests:
			d.guard("fetch", func() { d.fetch(ctx, client, v) })
		}
	}
}

// fetch reads changes of endpoints from a member. What that doesn't bring, and configurations,
// it reads from the store, or from the member if the store doesn't answer.
func (d *Daemon) fetch(ctx context.Context, client *http.Client, v fleet.FetchRecords) {
	start := clock.Now()
	if v.Endpoints && d.hasRecords() {
		err := d.fetchChanges(ctx, client, v)
		d.logFetch(v.Peer.Name, start, false, true, err)
		if v.Endpoints = err != nil; !v.Endpoints && !v.Configuration {
			return
		}
		start = clock.Now()
	}
	source := "store"
	err := d.fetchFromStore(ctx, v)
	if err != nil && ctx.Err() == nil {
		source = v.Peer.Name
		err = d.fetchFromPeer(ctx, client, v.Peer)
	}
	d.logFetch(source, start, v.Configuration, v.Endpoints, err)
}

func (d *Daemon) logFetch(source string, start clock.Millis, configuration, endpoints bool, err error) {
	if err != nil {
		d.metrics.failedFetches.Inc(1)
	}
	d.log.infoLimited("records fetched", "source", source, "took_ms", clock.Now()-start,
		"configuration", configuration, "endpoints", endpoints, "error", errorText(err))
}

// errNotListed reports that there is no revision yet from which changes could be read.
var errNotListed = errors.New("records have not been listed yet")

// fetchFromStore reads the changes since this instance's records, or all records if the
// store no longer has those changes.
func (d *Daemon) fetchFromStore(ctx context.Context, v fleet.FetchRecords) error {
	if !d.hasRecords() {
		return errNotListed // follow is listing the records; a second list would be no faster
	}
	for _, k := range []struct {
		wanted bool
		source recordSource
	}{{v.Configuration, d.configurationSource()}, {v.Endpoints, d.endpointSource()}} {
		if !k.wanted {
			continue
		}
		err := k.source.watch(withReason(ctx, callMissed), k.source.knownRevision(d.recordState()), 0)
		if errors.Is(err, platform.ErrRevisionGone) {
			err = k.source.list(withReason(ctx, callHistory))
		}
		if err != nil {
			d.storeHealth.callFailed(d, "fetch", err)
			return err
		}
	}
	return nil
}

// getFromPeer reads the answer at a path of a member, and decodes it into result.
func getFromPeer(ctx context.Context, client *http.Client, p fleet.Member, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+path, http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("peer answered with status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRecordsSize))
	if err != nil {
		return errors.WithStack(err)
	}
	if err := cbor.Unmarshal(data, result); err != nil {
		return errors.Wrapf(err, "decode records of %d bytes", len(data))
	}
	return nil
}

func (d *Daemon) fetchFromPeer(ctx context.Context, client *http.Client, p fleet.Member) error {
	start := clock.Now()
	var r peerRecords
	if err := getFromPeer(ctx, client, p, recordsPath, &r); err != nil {
		return err
	}
	if err := r.check(); err != nil {
		return errors.Wrapf(err, "records of %q", p.Name)
	}
	d.applyPeerRecords(&r, start)
	return nil
}

// applyPeerRecords passes the records of a peer, requested at the given time, to both
// engines, and forwards queued packets.
func (d *Daemon) applyPeerRecords(r *peerRecords, requestedAt clock.Millis) {
	var actions []steering.Action
	d.locked(func() {
		now := clock.Now()
		actions = d.engine.Handle(now, steering.ConfigurationRead{Configuration: r.Configuration})
		actions = append(actions, d.engine.Handle(now, steering.EndpointsListed{Endpoints: r.Endpoints, Unreadable: r.Unreadable, Revision: r.State.EndpointsRevision})...)
		_, notified := d.applyFleet(now, fleet.RecordsFetched{State: r.State, Evacuations: r.Evacuations, RequestedAt: requestedAt})
		actions = append(actions, notified...)
		d.engine.Handle(now, d.fleet.Confirmation())
		d.peerRecordsRead = true
	})
	d.perform(actions)
	d.forwardQueued()
}

// firstMemberDelays are the pauses after the first lists of members, in ms. Instances that
// start together find each other only after some seconds, because the store may answer
// with a list that is that old.
var firstMemberDelays = []clock.Millis{1 * clock.Second, 2 * clock.Second, 4 * clock.Second, 8 * clock.Second}

// memberPeriod is the pause after further lists, in ms. Members that start later send a
// Hello, so these lists only make up for lost ones.
const memberPeriod = 2 * clock.Minute

// followMembers lists the other members from the store at intervals, and adds this instance
// to the list. While the store does not answer, it sends a Hello to the seeds.
func (d *Daemon) followMembers(ctx context.Context) {
	if d.peerConn == nil {
		d.openStartGate()
		return
	}
	b := newBackoff()
	var registration fleet.Registration
	for round := 0; ctx.Err() == nil; {
		list, err := d.listMembers(ctx, &registration)
		if err != nil {
			d.openStartGate()
			d.storeHealth.callFailed(d, "members", err)
			d.greetSeeds()
			daemon.Pause(ctx, d.retryPause(&b))
			d.waitStoreConfirmed(ctx)
			continue
		}
		d.guard("members", func() { d.handleFleet(fleet.MembersListed{Members: list}) })
		if round == 0 {
			d.goroutines.Go(func() { d.guard("first records", func() { d.fetchStartRecords(ctx) }) })
		}
		delay := memberPeriod
		if round < len(firstMemberDelays) {
			delay = firstMemberDelays[round]
		}
		round++
		daemon.Pause(ctx, delay)
	}
}

// listMembers lists the members from the store, and writes the object of this instance if it
// is due.
func (d *Daemon) listMembers(ctx context.Context, r *fleet.Registration) (list []fleet.Member, err error) {
	err = errPanicked // unless the call returns
	d.guard("list of members", func() { list, err = d.store.Load().Members(withReason(ctx, callMembers)) })
	if err != nil || !r.Due(clock.Now(), d.isListed(list)) {
		return list, err
	}
	if err := d.store.Load().RegisterMember(withReason(ctx, callRegister), d.self); err != nil {
		return nil, err
	}
	r.Written(clock.Now())
	return list, nil
}

// isListed reports whether a list of members contains this instance with its current
// address and data centre.
func (d *Daemon) isListed(list []fleet.Member) bool {
	return slices.ContainsFunc(list, func(m fleet.Member) bool {
		return m.Name == d.self.Name && m.Address == d.self.Address && m.Centre == d.self.Centre
	})
}

// greetSeeds sends a Hello to the instances at the seeds' addresses, which answer with
// theirs. All instances use the same internal port.
func (d *Daemon) greetSeeds() {
	s := d.settings.Load()
	var to []netip.AddrPort
	for _, seed := range s.Seeds {
		if a := netip.AddrPortFrom(seed.Addr(), s.InternalPorts[0]); a != d.self.Address {
			to = append(to, a)
		}
	}
	d.performFleet([]fleet.Action{fleet.Send{To: to, Message: fleet.Hello{WantReply: true}}})
}

// fetchFirstRecords requests records from the member that was heard last, until this
// instance has its first records.
func (d *Daemon) fetchFirstRecords(ctx context.Context) {
	ticker := time.NewTicker(firstFetchPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.hasRecords() {
			return
		}
		d.mu.Lock()
		p, found := d.fleet.LastHeard()
		d.mu.Unlock()
		if found {
			d.performFleet([]fleet.Action{fleet.FetchRecords{Peer: p, Configuration: true, Endpoints: true}})
		}
	}
}
