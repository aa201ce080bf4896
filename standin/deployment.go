package standin

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Route is a route of a configuration as operators write it.
type Route struct {
	Name     string
	Address  netip.AddrPort // destination of the flows that consumers open
	Services []string       // each gets the same share of flows
	Once     bool           // requests must not be repeated
}

// idleTimeout is the time without packets after which instances may discard a
// flow, in ms. It is the platform's value.
const idleTimeout = 15 * clock.Second

// configurationKind is the kind of the object in which operators write the configuration.
const configurationKind = "config"

// PutConfiguration writes a configuration as operators do.
func (s *Metastore) PutConfiguration(version int64, routes []Route) {
	list := []map[string]any{}
	for _, r := range routes {
		kind := "safe"
		if r.Once {
			kind = "unsafe"
		}
		var split []map[string]any
		for _, service := range r.Services {
			split = append(split, map[string]any{"service": service, "weight": 1})
		}
		list = append(list, map[string]any{
			"name": r.Name, "hostname": r.Address.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"type": kind, "timeout_ms": 2000, "goal_ms": 100, "priority": 1, "traffic_split": split,
		})
	}
	s.Put(configurationKind, "main", map[string]any{
		"version": version, "routes": list, "limits": map[string]any{"idle_timeout_ms": int64(idleTimeout)},
	})
}

// Ports of an instance, as the platform assigns them.
const (
	ReadyPort         = 8167 // readiness probes
	controlPort       = 8166
	firstInternalPort = 7720
	lastInternalPort  = 7735
)

// InstanceSettings are the settings that the platform gives an instance.
type InstanceSettings struct {
	Name, Centre       string
	Address            netip.Addr
	StoreAddress       string       // IP address and TCP port of the metadata store
	Seeds              []netip.Addr // instances that the instance contacts to join
	GracePeriod        clock.Millis // time between SIGTERM and SIGKILL, in ms
	DrainAndApplyBound clock.Millis // time limit for draining and for applying configurations, in ms
	EvacuationBound    clock.Millis // time limit for evacuations, in ms; 0 if operators order none
}

// TOML returns the settings file that the platform writes for an instance.
func (s *InstanceSettings) TOML() string {
	quoted := func(address netip.Addr, port uint16) string {
		return fmt.Sprintf("%q", netip.AddrPortFrom(address, port).String())
	}
	seeds := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		seeds[i] = quoted(seed, controlPort)
	}
	evacuation := ""
	if s.EvacuationBound > 0 {
		evacuation = fmt.Sprintf("evacuate_ms = %d\n", s.EvacuationBound)
	}
	return fmt.Sprintf(`node = %q
zone = %q
internal_ports = [%d, %d]
seeds = [%s]
routing_mode = "echo"
[listen]
datagram_addr = %s
ready = %s
control = %s
[limits]
cpu_share = 1.0
memory_mb = 256
[bounds]
drain_ms = %d
config_apply_ms = %d
grace_s = %d
%s[platform]
address = %q
`, s.Name, s.Centre, firstInternalPort, lastInternalPort, strings.Join(seeds, ", "), quoted(s.Address, PacketPort), quoted(s.Address, ReadyPort),
		quoted(s.Address, controlPort), s.DrainAndApplyBound, s.DrainAndApplyBound, s.GracePeriod/clock.Second, evacuation, s.StoreAddress)
}
