package standin

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Route is a route as operators of the users' platform write it.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Services []string // each gets the same share
	Once     bool     // requests must not be repeated
}

// idleTime is after how long a flow may be discarded, in ms, as on the platform.
const idleTime = 15 * clock.Second

// configurationKind is where operators write the configuration.
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
		"version": version, "routes": list, "limits": map[string]any{"idle_timeout_ms": int64(idleTime)},
	})
}

// Ports of an instance, as the platform gives them.
const (
	ReadyPort   = 8167
	controlPort = 8166
	firstInner  = 7720
	lastInner   = 7735
)

// InstanceSettings are what the platform tells an instance.
type InstanceSettings struct {
	Name, Centre       string
	Address            netip.Addr
	StoreAddress       string       // IP address and port
	Seeds              []netip.Addr // of other instances
	GracePeriod        clock.Millis // between SIGTERM and SIGKILL
	DrainAndApplyBound clock.Millis // for draining and configurations
}

// TOML returns the platform's settings file.
func (s *InstanceSettings) TOML() string {
	at := func(address netip.Addr, port uint16) string {
		return fmt.Sprintf("%q", netip.AddrPortFrom(address, port).String())
	}
	seeds := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		seeds[i] = at(seed, controlPort)
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
[platform]
address = %q
`, s.Name, s.Centre, firstInner, lastInner, strings.Join(seeds, ", "), at(s.Address, PacketPort), at(s.Address, ReadyPort),
		at(s.Address, controlPort), s.DrainAndApplyBound, s.DrainAndApplyBound, s.GracePeriod/clock.Second, s.StoreAddress)
}
