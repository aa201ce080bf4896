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
	dialTimeout  = 500 * clock.Millisecond // within a data centre; a member that is no more doesn't answer
	fetchTimeout = 3 * clock.Second        // for some MB of records on a link that many share
	maxRecords   = 16 << 20                // bytes; ten times the largest value of the store, for endpoints on top
	// While an instance knows nothing and the store is away, it asks others at this
	// pace, in ms.
	helloPeriod = 500 * clock.Millisecond
)

// recordsPath is where a member gives all its records.
const recordsPath = "/records"

// records is all that a member knows.
type records struct {
	State         fleet.RecordState       `cbor:"state"`
	Configuration *steering.Configuration `cbor:"configuration"`
	Endpoints     []steering.Endpoint     `cbor:"endpoints"`
}

// openInner opens the sockets for other members.
func (d *Daemon) openInner(s *platform.Settings) (err error) {
	if len(s.InternalPorts) == 0 {
		return nil
	}
	at := netip.AddrPortFrom(s.PacketAddress.Addr(), s.InternalPorts[0])
	if d.peers, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return errors.Wrapf(err, "listen for members on %s", at)
	}
	if d.inner, err = net.Listen("tcp4", at.String()); err != nil {
		return errors.Wrapf(err, "listen for members on %s", at)
	}
	return nil
}

func (d *Daemon) innerAddress() netip.AddrPort {
	if d.peers == nil {
		return netip.AddrPort{}
	}
	return d.peers.LocalAddr().(*net.UDPAddr).AddrPort()
}

// innerHandler serves records to members, and metrics.
func (d *Daemon) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, d.serveRecords)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := d.counts.write(w); err != nil {
			d.journal.limited("metrics unsent", "error", err.Error())
		}
	})
	return mux
}

func (d *Daemon) serveRecords(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	complete := d.engine.Complete()
	r := records{State: d.fleet.RecordState(clock.Now()), Configuration: d.engine.Configuration(), Endpoints: d.engine.Endpoints()}
	d.mu.Unlock()
	if !complete {
		http.Error(w, "no records yet", http.StatusServiceUnavailable)
		return
	}
	if err := cbor.NewEncoder(w).Encode(r); err != nil {
		d.journal.limited("records unsent", "error", err.Error())
	}
}

// receivePeers takes messages of other members until the socket is closed.
func (d *Daemon) receivePeers() {
	buffer := make([]byte, fleet.MaxMessageSize+1)
	for {
		n, _, err := d.peers.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.counts.readErrors.Inc(1)
			d.journal.limited("message unread", "error", err.Error())
			continue
		}
		from, m, err := fleet.Decode(buffer[:n])
		if err != nil {
			d.counts.malformed.Inc(1)
			d.journal.limited("message malformed", "error", err.Error())
			continue
		}
		d.counts.messagesIn.Inc(1)
		d.handleFleet(fleet.MessageReceived{From: from, Message: m})
	}
}

// handleFleet gives an event to the fleet's engine and carries out its actions.
func (d *Daemon) handleFleet(e fleet.Event) {
	d.mu.Lock()
	tasks := d.fleet.Handle(clock.Now(), e)
	d.mu.Unlock()
	d.performFleet(tasks)
}

func (d *Daemon) performFleet(tasks []fleet.Action) {
	for _, a := range tasks {
		switch v := a.(type) {
		case fleet.Send:
			d.sendMessage(v)
		case fleet.SetWatching:
			d.journal.say("watch", "on", v.On)
			d.watching.Set(v.On)
		case fleet.FetchRecords:
			select {
			case d.fetches <- v:
			default: // one is due already
			}
		case fleet.NotifySteering:
			d.handle(v.Event)
		case fleet.RemoveMember:
			d.work.Go(func() { d.forget(v.Name) })
		}
	}
}

func (d *Daemon) sendMessage(v fleet.Send) {
	if d.peers == nil {
		return
	}
	data, err := fleet.Encode(d.self, v.Message)
	if err != nil {
		// The others see from the next beat that they lack it, and fetch.
		d.journal.limited("message too large", "error", err.Error())
		return
	}
	for _, to := range v.To {
		if _, err := d.peers.WriteToUDPAddrPort(data, to); err != nil {
			d.counts.unsent.Inc(1)
			d.journal.limited("message unsent", "to", to, "error", err.Error())
			continue
		}
		d.counts.messagesOut.Inc(1)
	}
}

// forget removes the object of a member that is no more.
func (d *Daemon) forget(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	err := d.store.Load().RemoveMember(ctx, name)
	d.counts.called(err)
	d.journal.say("member forgotten", "member", name, "error", text(err))
}

// fetch reads records when the fleet's engine finds them old: from the store, and
// from a peer when the store doesn't answer.
func (d *Daemon) fetch(ctx context.Context) {
	client := &http.Client{Timeout: fetchTimeout.Duration(), Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext,
	}}
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-d.fetches:
			start := clock.Now()
			source := "store"
			err := d.fetchStore(ctx, v)
			if err != nil && ctx.Err() == nil {
				source = v.Peer.Name
				err = d.fetchFrom(ctx, client, v.Peer)
			}
			d.journal.limited("records fetched", "source", source, "took_ms", clock.Now()-start,
				"configuration", v.Configuration, "endpoints", v.Endpoints, "error", text(err))
		}
	}
}

// errNoRecords reports that there is nothing yet to read changes since.
var errNoRecords = errors.New("the first list of records is under way")

// fetchStore reads what changed since the own records.
func (d *Daemon) fetchStore(ctx context.Context, v fleet.FetchRecords) error {
	if !d.hasRecords() {
		return errNoRecords // a second list would be no faster
	}
	for _, k := range []struct {
		wanted bool
		source source
	}{{v.Configuration, d.configurationSource()}, {v.Endpoints, d.endpointSource()}} {
		if !k.wanted {
			continue
		}
		err := k.source.watch(ctx, k.source.since(d.state()), 0)
		d.counts.called(err)
		if errors.Is(err, platform.ErrRevisionGone) {
			err = k.source.list(ctx)
			d.counts.called(err)
		}
		if err != nil {
			d.touched.failed(d, "fetch", err)
			return err
		}
	}
	return nil
}

func (d *Daemon) fetchFrom(ctx context.Context, client *http.Client, p fleet.Member) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRecords))
	if err != nil {
		return errors.WithStack(err)
	}
	var r records
	if err := cbor.Unmarshal(data, &r); err != nil {
		return errors.Wrapf(err, "records of %d bytes", len(data))
	}
	if r.Configuration == nil {
		return errors.New("records have no configuration")
	}
	d.tookRecords(&r)
	return nil
}

// tookRecords takes in the records of a peer.
func (d *Daemon) tookRecords(r *records) {
	d.mu.Lock()
	now := clock.Now()
	actions := d.engine.Handle(now, steering.ConfigurationRead{Configuration: r.Configuration})
	actions = append(actions, d.engine.Handle(now, steering.EndpointsListed{Endpoints: r.Endpoints, Revision: r.State.EndpointsRevision})...)
	d.fleet.Handle(now, fleet.RecordsFetched{State: r.State})
	d.engine.Handle(now, d.fleet.Confirmation())
	d.fed = true
	d.mu.Unlock()
	d.perform(actions)
	d.releaseHeld()
}

// Pauses between lists of members, in ms. Instances that start together see each
// other's objects only after some seconds, since a cheap list may be that old.
var memberPauses = []clock.Millis{1 * clock.Second, 2 * clock.Second, 4 * clock.Second, 8 * clock.Second}

// memberPeriod is the pause after those. Members that start later introduce
// themselves, so this is for introductions that were lost, in ms.
const memberPeriod = 2 * clock.Minute

// join finds the other members: from the store, and from seeds while the store
// doesn't tell.
func (d *Daemon) join(ctx context.Context) {
	if d.peers == nil {
		return
	}
	b := newBackoff()
	announced := false
	for round := 0; ctx.Err() == nil; {
		list, err := d.store.Load().Members(ctx)
		d.counts.called(err)
		if err == nil && !announced && !d.isIn(list) {
			err = d.store.Load().RegisterMember(ctx, d.self)
			d.counts.called(err)
		}
		if err != nil {
			d.touched.failed(d, "members", err)
			d.askSeeds()
			daemon.Pause(ctx, b.Next())
			continue
		}
		announced = true
		d.handleFleet(fleet.MembersListed{Members: list})
		wait := memberPeriod
		if round < len(memberPauses) {
			wait = memberPauses[round]
		}
		round++
		daemon.Pause(ctx, wait)
	}
}

// isIn reports whether a list of members has this instance as it is.
func (d *Daemon) isIn(list []fleet.Member) bool {
	return slices.ContainsFunc(list, func(m fleet.Member) bool {
		return m.Name == d.self.Name && m.Address == d.self.Address && m.Centre == d.self.Centre
	})
}

// askSeeds asks the instances at the seeds' addresses who they are. Ports are the
// same on all instances.
func (d *Daemon) askSeeds() {
	s := d.settings.Load()
	var to []netip.AddrPort
	for _, seed := range s.Seeds {
		if a := netip.AddrPortFrom(seed.Addr(), s.InternalPorts[0]); a != d.self.Address {
			to = append(to, a)
		}
	}
	d.performFleet([]fleet.Action{fleet.Send{To: to, Message: fleet.Hello{WantReply: true}}})
}

// feed fetches records from members while this instance has none.
func (d *Daemon) feed(ctx context.Context) {
	ticker := time.NewTicker(helloPeriod.Duration())
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
