package instance

import (
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Settings are what the engine is told at its start.
type Settings struct {
	Self   record.Instance // name, data centre, addresses, size, incarnation
	Keys   *token.Keys     // seals flow tokens; the same in all instances
	Memory int64           // bytes of request and answer bodies held at once; 0 means DefaultMemory
	Flows  int             // flows held at once; 0 means DefaultFlows
	Seed   uint64          // seed of every random choice
	Policy Policy          // nil means Learnt
}

// Defaults of Settings.
const (
	DefaultMemory = 256 << 20
	DefaultFlows  = 500_000
)
