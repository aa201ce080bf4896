package forwarder

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/fleet"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/standin"
	"github.com/tanagerdock/tanagerdock/steering"
)

func (s *deployment) startPlain(words []string) {
	s.orders = false
	s.start(words)
	s.orders = true
}

func (s *deployment) killWatcher([]string) {
	for name, r := range s.daemons {
		if !r.stopped && r.daemon.watchGate.IsOpen() {
			s.kill([]string{name})
			return
		}
	}
	require.Fail(s.t, "nobody watches", "step %q", s.step)
}

func (s *deployment) evacuate(words []string) {
	for _, centre := range words {
		s.store.Evacuate(centre)
	}
}

func (s *deployment) lift(words []string) {
	for _, centre := range words {
		s.store.Lift(centre)
	}
}

func (s *deployment) waitAvoided(words []string) { s.waitOrders(words, true) }
func (s *deployment) waitUsed(words []string)    { s.waitOrders(words, false) }

func (s *deployment) waitOrders(centres []string, avoided bool) {
	s.eventually(func() bool {
		for _, r := range s.daemons {
			if r.stopped || r.daemon.settings.Load().EvacuationBound == 0 {
				continue
			}
			r.daemon.mu.Lock()
			o := r.daemon.engine.Evacuations()
			r.daemon.mu.Unlock()
			for _, c := range centres {
				if !o.Known() || o.InForce(c) != avoided {
					return false
				}
			}
		}
		return true
	})
}

func (s *deployment) expectFlows(words []string) {
	require.Equal(s.t, s.number(words[1:]), s.endpoints[words[0]].FlowCount(), "step %q", s.step)
}

func (s *deployment) waitCounted(words []string) {
	s.eventually(func() bool {
		for _, r := range s.daemons {
			var text bytes.Buffer
			require.NoError(s.t, r.daemon.metrics.write(&text))
			if bytes.Contains(text.Bytes(), []byte(words[0]+"=")) && !bytes.Contains(text.Bytes(), []byte(words[0]+"=0\n")) {
				return true
			}
		}
		return false
	})
}

func (s *deployment) expectUncalled(words []string) {
	for name := range s.store.Counts() {
		require.NotContains(s.t, name, words[0])
	}
}

// The orders cost the store one more watch in a data centre, as often as those of the other kinds.
func TestOneInstanceWatchesOrders(t *testing.T) {
	s := newDeployment(t, 84)
	s.orders = true
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "here"})
	for _, name := range []string{"f1", "f2", "f3", "f4"} {
		s.start([]string{name, "here"})
	}
	s.waitRotation([]string{"4"})
	s.waitWatchers([]string{"1"})
	before := s.store.Counts()
	time.Sleep((4 * clock.Second).Duration())
	after := s.store.Counts()
	watched := func(kind string) int64 { return after["WATCH "+kind] - before["WATCH "+kind] }
	require.Positive(t, watched("evacuations"))
	require.LessOrEqual(t, watched("evacuations"), watched("servers")+1)
	require.Equal(t, before["GET evacuations"], after["GET evacuations"])
}

// An order that doesn't fit beside those of other programs is in force all the same, and a list
// that fails is repeated.
func TestOrderBesideManyOthers(t *testing.T) {
	s := newDeployment(t, 83)
	s.orders = true
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "north"})
	s.start([]string{"f1", "here"})
	s.waitRotation([]string{"1"})
	for i := range 30 {
		s.store.Evacuate("other-" + string(rune('a'+i)))
	}
	s.waitLogged([]string{"1", "evacuation unreadable", "room"})
	s.store.Evacuate("north")
	s.waitAvoided([]string{"north"})
	s.kill([]string{"f1"})
	s.start([]string{"f2", "here"})
	s.waitRotation([]string{"1"})
	s.waitAvoided([]string{"north"})
	s.store.Lift("north")
	s.waitUsed([]string{"north"})
	for i := range 29 {
		s.store.Lift("other-" + string(rune('a'+i)))
	}
	s.waitAvoided([]string{"other-" + string(rune('a'+29))}) // there is room for it now
}

// Members of an older version send no orders with their records, and ignore those that they get.
func TestRecordsOfOlderVersions(t *testing.T) {
	type olderRecords struct {
		State         fleet.RecordState       `cbor:"state"`
		Configuration *steering.Configuration `cbor:"configuration"`
		Endpoints     []steering.Endpoint     `cbor:"endpoints"`
	}
	older := olderRecords{State: fleet.RecordState{EndpointsRevision: 3}, Configuration: &steering.Configuration{Version: 2, Routes: map[steering.AddrPort]steering.Route{}}}
	data, err := cbor.Marshal(older)
	require.NoError(t, err)
	var r peerRecords
	require.NoError(t, cbor.Unmarshal(data, &r))
	require.Nil(t, r.Evacuations)
	require.NoError(t, r.check())
	same, err := cbor.Marshal(r)
	require.NoError(t, err)
	require.Equal(t, data, same, "without orders nothing has changed")
	r.Evacuations = &fleet.EvacuationState{Age: -1}
	require.Error(t, r.check())
	data, err = cbor.Marshal(r)
	require.NoError(t, err)
	var read olderRecords
	require.NoError(t, cbor.Unmarshal(data, &read))
	require.Equal(t, older.State, read.State)
}

// Whether operators order evacuations changes only with a restart.
func TestReloadDoesNotSwitchEvacuations(t *testing.T) {
	s := newDeployment(t, 82)
	file := filepath.Join(t.TempDir(), "node.toml")
	address := s.newAddress()
	write := func(bound clock.Millis) {
		settings := standin.InstanceSettings{Name: "f1", Centre: "here", Address: address, StoreAddress: "127.0.0.1:1", GracePeriod: 6000, DrainAndApplyBound: 3000, EvacuationBound: bound}
		require.NoError(t, os.WriteFile(file, []byte(settings.TOML()), 0o600))
	}
	for _, c := range []struct{ first, next, after clock.Millis }{{0, 2000, 0}, {2000, 0, 2000}, {2000, 2500, 2500}} {
		write(c.first)
		first, err := platform.ReadSettings(file)
		require.NoError(t, err)
		log := &logBuffer{}
		d, err := Open(Options{Settings: first, SettingsFile: file, Log: log})
		require.NoError(t, err)
		write(c.next)
		d.readSettings("test")
		d.closeSockets()
		require.Equal(t, c.after, d.settings.Load().EvacuationBound)
		d.log.flush()
		require.Equal(t, c.after != c.next, bytes.Contains([]byte(log.String()), []byte(`"settings need a restart"`)))
	}
}

// An entry without a readable name doesn't show what is in force, so the orders are listed.
func TestUnclearChangesAreListed(t *testing.T) {
	s := newDeployment(t, 81)
	s.orders = true
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "north"})
	s.start([]string{"f1", "here"})
	s.waitRotation([]string{"1"})
	d := s.daemons["f1"].daemon
	s.kill([]string{"f1"}) // only this test reads the store
	since := d.evacuationOrders().Revision
	s.store.Evacuate("north")
	s.store.PutOdd("evacuations", "x", "nameless")
	source := d.evacuationSource()
	require.True(t, source.fromPeer())
	lists := s.store.Counts()["GET evacuations"]
	require.NoError(t, source.watch(t.Context(), since, 0))
	require.Equal(t, lists+1, s.store.Counts()["GET evacuations"])
	require.Len(t, d.conditions(clock.Now()), 2, "the order and the entry")
}

// The records of another instance bring the orders with them.
func TestRecordsOfMemberBringOrders(t *testing.T) {
	s := newDeployment(t, 77)
	s.orders = true
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "north"})
	s.evacuate([]string{"north"})
	s.start([]string{"f1", "here"})
	s.waitRotation([]string{"1"})
	s.setStoreFault([]string{"busy"})
	s.start([]string{"f2", "there"}) // it gets no heartbeats
	d := s.daemons["f2"].daemon
	require.False(t, d.isReady())
	require.NoError(t, d.fetchFromPeer(t.Context(), newPeerClient(), s.daemons["f1"].daemon.self))
	s.waitAvoided([]string{"north"})
	require.True(t, d.isReady())
	require.Positive(t, d.evacuationAge())
}

// While the store is down, the orders cost it no further calls, and they are read as soon as it is back.
func TestOrdersWaitWhileTheStoreIsDown(t *testing.T) {
	s := newDeployment(t, 79)
	s.orders = true
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "north"})
	s.start([]string{"f1", "here"})
	s.waitRotation([]string{"1"})
	s.eventually(func() bool { return s.store.Counts()["WATCH evacuations"] > 0 })
	s.setStoreFault([]string{"busy"})
	s.eventually(func() bool { return s.store.Counts()["WATCH servers"] > 2 })
	before := s.store.Counts()
	time.Sleep((4 * clock.Second).Duration())
	after := s.store.Counts()
	require.LessOrEqual(t, after["WATCH evacuations"], before["WATCH evacuations"]+1, "one may have been on its way")
	require.GreaterOrEqual(t, after["WATCH servers"], before["WATCH servers"]+2)
	start := clock.Now()
	s.setStoreFault([]string{"fine"})
	s.evacuate([]string{"north"})
	s.waitAvoided([]string{"north"})
	require.Less(t, clock.Now()-start, ordersPatience/2)
}

// A list that fails after a change of many orders is read later, and counts although the revision is
// the same by then.
func TestOrderWhoseListFailsIsInForceLater(t *testing.T) {
	s := newDeployment(t, 78)
	s.orders = true
	s.route([]string{"desk", "desk"})
	s.publish(nil)
	s.endpoint([]string{"a1", "desk", "north"})
	s.start([]string{"f1", "here"})
	s.waitRotation([]string{"1"})
	d := s.daemons["f1"].daemon
	s.kill([]string{"f1"}) // only this test reads the store
	for i := range 16 {
		s.store.Evacuate("other-" + string(rune('a'+i)))
	}
	fails := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fails && !r.URL.Query().Has("watch") {
			http.Error(w, "no list", http.StatusInternalServerError)
			return
		}
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	d.store.Store(platform.NewStore(platform.NewClient(server.URL, storeTimeout)))
	source := d.evacuationSource()
	require.NoError(t, source.list(t.Context()))
	s.store.Evacuate("north")
	fails = true
	_ = source.watch(t.Context(), d.evacuationOrders().Revision, 0)
	fails = false
	require.NoError(t, source.list(t.Context()))
	orders := d.evacuationOrders()
	require.True(t, orders.InForce("north"))
	require.False(t, orders.Unsure)
}
