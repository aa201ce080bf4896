package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Settings configure an Engine.
type Settings struct {
	Self        record.Instance // name, data centre, addresses, size, incarnation
	Keys        *token.Keys     // authenticate flow tokens; the same in all instances
	MemoryLimit int64           // bytes of request and answer bodies in memory at once; 0 means DefaultMemoryLimit
	MaxFlows    int             // flows in memory at once; 0 means DefaultMaxFlows
	// Neighbours are peer addresses of other instances. The instance contacts them while it
	// knows no other instance, for example when the platform doesn't answer.
	Neighbours []netip.AddrPort
	RandomSeed uint64 // seed of all random choices
	Policy     Policy // nil means LearnedCapacity
}

// Defaults of Settings.
const (
	DefaultMemoryLimit = 256 << 20
	DefaultMaxFlows    = 500_000
)
