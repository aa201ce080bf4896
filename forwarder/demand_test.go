package forwarder

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/steering"
)

// Instances place flows by sums when the configuration limits the flows of endpoints, and go on
// with those of the next watcher when the first one was killed.
func TestSumsOfManyInstances(t *testing.T) {
	const instances = steering.MinDemandMembers + 4
	s := newDeployment(t, 90)
	s.route([]string{"desk", "desk"})
	s.store.Put("config", "main", map[string]any{
		"version": 2, "limits": map[string]any{"idle_timeout_ms": 15000}, "services": []map[string]any{{"name": "desk", "max_conns": 100}},
		"routes": []map[string]any{{
			"name": "desk", "hostname": s.addresses["desk"].Addr().String(), "path_prefix": fmt.Sprintf("/%d/", s.addresses["desk"].Port()), "type": "safe", "service": "desk",
		}},
	})
	for _, id := range []string{"a1", "a2"} {
		s.endpoint([]string{id, "desk", "here"})
	}
	for i := range instances {
		s.start([]string{fmt.Sprintf("f%d", i), "here"})
	}
	s.waitLogged([]string{fmt.Sprint(instances), "load sums", `"on":true`})
	s.killWatcher(nil)
	s.eventually(func() bool {
		for _, r := range s.daemons {
			if state := r.daemon.demandState(); !r.stopped && (!state.InUse || state.Members != instances-1) {
				return false
			}
		}
		return true
	})
	for i := range 20 {
		flow := fmt.Sprintf("c%d", i)
		s.open([]string{flow, "desk"})
		s.request([]string{flow, "desk"})
	}
	placed := int64(0)
	for _, r := range s.daemons {
		placed += r.daemon.demandState().Placed
		require.Zero(t, r.daemon.metrics.malformed.Count())
	}
	require.GreaterOrEqual(t, placed, int64(20))
	s.check()
}
