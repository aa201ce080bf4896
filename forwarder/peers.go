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

// Limits of what members tell each other.
const (
	peerDialTimeout  = 500 * clock.Millisecond // within a data centre; a member that is no more doesn't answer
	peerFetchTimeout = 3 * clock.Second        // for some MB of records on a link that many share
	maxRecordsSize   = 16 << 20                // bytes; ten times the largest value of the store, for endpoints on top
	// While an instance knows nothing and the store is away, it asks others at this
	// pace, in ms.
	firstFetchPeriod = 500 * clock.Millisecond
)

// recordsPath is where a member gives all its records.
const recordsPath = "/records"

// peerRecords is all that a member knows.
type peerRecords struct {
	State         fleet.RecordState       `cbor:"state"`
	Configuration *steering.Configuration `cbor:"configuration"`
	Endpoints     []steering.Endpoint     `cbor:"endpoints"`
}

// openPeerSockets opens the sockets for other members.
func (d *Daemon) openPeerSockets(s *platform.Settings) (err error) {
	if len(s.Inner) == 0 {
		return nil
	}
	address := netip.AddrPortFrom(s.Packets.Addr(), s.Inner[0])
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

// peerHandler serves records to members, and metrics.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, d.serveRecords)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := d.metrics.write(w); err != nil {
			d.log.infoLimited("metrics unsent", "error", err.Error())
		}
	})
	return mux
}

func (d *Daemon) serveRecords(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	complete := d.engine.Complete()
	r := peerRecords{State: d.fleet.RecordState(clock.Now()), Configuration: d.engine.Configuration(), Endpoints: d.engine.Endpoints()}
	d.mu.Unlock()
	if !complete {
		http.Error(w, "no records yet", http.StatusServiceUnavailable)
		return
	}
	if err := cbor.NewEncoder(w).Encode(r); err != nil {
		d.log.infoLimited("records unsent", "error", err.Error())
	}
}

// receiveMessages takes messages of other members until the socket is closed.
func (d *Daemon) receiveMessages() {
	buffer := make([]byte, fleet.MaxMessageSize+1)
	for {
		n, _, err := d.peerConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.metrics.readErrors.Inc(1)
			d.log.infoLimited("message unread", "error", err.Error())
			continue
		}
		from, m, err := fleet.Decode(buffer[:n])
		if err != nil {
			d.metrics.malformed.Inc(1)
			d.log.infoLimited("message malformed", "error", err.Error())
			continue
		}
		d.metrics.messagesIn.Inc(1)
		d.handleFleet(fleet.MessageReceived{From: from, Message: m})
	}
}

// handleFleet gives an event to the fleet's engine and carries out its actions.
func (d *Daemon) handleFleet(e fleet.Event) {
	d.mu.Lock()
	actions := d.fleet.Handle(clock.Now(), e)
	d.mu.Unlock()
	d.performFleet(actions)
}

func (d *Daemon) performFleet(actions []fleet.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case fleet.Send:
			d.sendMessage(v)
		case fleet.SetWatching:
			d.log.info("watch", "on", v.On)
			d.watchGate.Set(v.On)
		case fleet.FetchRecords:
			select {
			case d.fetchRequests <- v:
			default: // one is due already
			}
		case fleet.NotifySteering:
			d.handle(v.Event)
		case fleet.RemoveMember:
			d.goroutines.Go(func() { d.removeMember(v.Name) })
		}
	}
}

func (d *Daemon) sendMessage(v fleet.Send) {
	if d.peerConn == nil {
		return
	}
	data, err := fleet.Encode(d.self, v.Message)
	if err != nil {
		// The others see from the next beat that they lack it, and fetch.
		d.log.infoLimited("message too large", "error", err.Error())
		return
	}
	for _, to := range v.To {
		if _, err := d.peerConn.WriteToUDPAddrPort(data, to); err != nil {
			d.metrics.unsent.Inc(1)
			d.log.infoLimited("message unsent", "to", to, "error", err.Error())
			continue
		}
		d.metrics.messagesOut.Inc(1)
	}
}

// removeMember removes the object of a member that is no more.
func (d *Daemon) removeMember(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	err := d.store.Load().Forget(ctx, name)
	d.metrics.countStoreCall(err)
	d.log.info("member forgotten", "member", name, "error", errorText(err))
}

// processFetches reads records when the fleet's engine finds them old: from the store, and
// from a peer when the store doesn't answer.
func (d *Daemon) processFetches(ctx context.Context) {
	client := &http.Client{Timeout: peerFetchTimeout.Duration(), Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: peerDialTimeout.Duration()}).DialContext,
	}}
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-d.fetchRequests:
			start := clock.Now()
			source := "store"
			err := d.fetchFromStore(ctx, v)
			if err != nil && ctx.Err() == nil {
				source = v.Peer.Name
				err = d.fetchFromPeer(ctx, client, v.Peer)
			}
			d.log.infoLimited("records fetched", "source", source, "took_ms", clock.Now()-start,
				"configuration", v.Configuration, "endpoints", v.Endpoints, "error", errorText(err))
		}
	}
}

// errNotListed reports that there is nothing yet to read changes since.
var errNotListed = errors.New("the first list of records is under way")

// fetchFromStore reads what changed since the own records.
func (d *Daemon) fetchFromStore(ctx context.Context, v fleet.FetchRecords) error {
	if !d.hasRecords() {
		return errNotListed // a second list would be no faster
	}
	for _, k := range []struct {
		wanted bool
		source recordSource
	}{{v.Configuration, d.configurationSource()}, {v.Endpoints, d.endpointSource()}} {
		if !k.wanted {
			continue
		}
		err := k.source.watch(ctx, k.source.since(d.recordState()), 0)
		d.metrics.countStoreCall(err)
		if errors.Is(err, platform.ErrHistory) {
			err = k.source.list(ctx)
			d.metrics.countStoreCall(err)
		}
		if err != nil {
			d.storeHealth.callFailed(d, "fetch", err)
			return err
		}
	}
	return nil
}

func (d *Daemon) fetchFromPeer(ctx context.Context, client *http.Client, p fleet.Member) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+recordsPath, http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRecordsSize))
	if err != nil {
		return errors.WithStack(err)
	}
	var r peerRecords
	if err := cbor.Unmarshal(data, &r); err != nil {
		return errors.Wrapf(err, "records of %d bytes", len(data))
	}
	if r.Configuration == nil {
		return errors.New("records have no configuration")
	}
	d.applyPeerRecords(&r)
	return nil
}

// applyPeerRecords takes in the records of a peer.
func (d *Daemon) applyPeerRecords(r *peerRecords) {
	d.mu.Lock()
	now := clock.Now()
	actions := d.engine.Handle(now, steering.ConfigurationRead{Configuration: r.Configuration})
	actions = append(actions, d.engine.Handle(now, steering.EndpointsListed{Endpoints: r.Endpoints, Revision: r.State.EndpointsRevision})...)
	d.fleet.Handle(now, fleet.RecordsFetched{State: r.State})
	d.engine.Handle(now, d.fleet.Confirmation())
	d.peerRecordsRead = true
	d.mu.Unlock()
	d.perform(actions)
	d.forwardQueued()
}

// Pauses between lists of members, in ms. Instances that start together see each
// other's objects only after some seconds, since a cheap list may be that old.
var firstMemberDelays = []clock.Millis{1 * clock.Second, 2 * clock.Second, 4 * clock.Second, 8 * clock.Second}

// memberPeriod is the pause after those. Members that start later introduce
// themselves, so this is for introductions that were lost, in ms.
const memberPeriod = 2 * clock.Minute

// followMembers finds the other members: from the store, and from seeds while the store
// doesn't tell.
func (d *Daemon) followMembers(ctx context.Context) {
	if d.peerConn == nil {
		return
	}
	b := newBackoff()
	announced := false
	for round := 0; ctx.Err() == nil; {
		list, err := d.store.Load().Members(ctx)
		d.metrics.countStoreCall(err)
		if err == nil && !announced && !d.isListed(list) {
			err = d.store.Load().Announce(ctx, d.self)
			d.metrics.countStoreCall(err)
		}
		if err != nil {
			d.storeHealth.callFailed(d, "members", err)
			d.greetSeeds()
			daemon.Pause(ctx, b.Next())
			continue
		}
		announced = true
		d.handleFleet(fleet.MembersListed{Members: list})
		delay := memberPeriod
		if round < len(firstMemberDelays) {
			delay = firstMemberDelays[round]
		}
		round++
		daemon.Pause(ctx, delay)
	}
}

// isListed reports whether a list of members has this instance as it is.
func (d *Daemon) isListed(list []fleet.Member) bool {
	return slices.ContainsFunc(list, func(m fleet.Member) bool {
		return m.Name == d.self.Name && m.Address == d.self.Address && m.Centre == d.self.Centre
	})
}

// greetSeeds asks the instances at the seeds' addresses who they are. Ports are the
// same on all instances.
func (d *Daemon) greetSeeds() {
	s := d.settings.Load()
	var to []netip.AddrPort
	for _, seed := range s.Seeds {
		if a := netip.AddrPortFrom(seed.Addr(), s.Inner[0]); a != d.self.Address {
			to = append(to, a)
		}
	}
	d.performFleet([]fleet.Action{fleet.Send{To: to, Message: fleet.Hello{WantReply: true}}})
}

// fetchFirstRecords fetches records from members while this instance has none.
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
