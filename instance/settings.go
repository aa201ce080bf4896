package instance

import (
	"net/netip"

	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Settings are what the engine is told at its start.
type Settings struct {
	Self        record.Instance // name, data centre, addresses, size, incarnation
	Keys        *token.Keys     // seals flow tokens; the same in all instances
	MemoryLimit int64           // bytes of request and answer bodies held at once; 0 means DefaultMemory
	MaxFlows    int             // flows held at once; 0 means DefaultFlows
	// Neighbours are peers addresses of other instances, to be found through when
	// the platform does not answer.
	Neighbours []netip.AddrPort
	RandomSeed uint64 // seed of every random choice
	Policy     Policy // nil means Learnt
}

// Defaults of Settings.
const (
	DefaultMemoryLimit = 256 << 20
	DefaultMaxFlows    = 500_000
)
