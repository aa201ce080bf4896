package standin

import "github.com/tanagerdock/tanagerdock/clock"

// evacuationKind is the kind of the objects in which operators order evacuations.
const evacuationKind = "evacuations"

// Evacuate orders the evacuation of a data centre, as an operator does. It returns the store's
// revision.
func (s *Metastore) Evacuate(centre string) uint64 {
	return s.Put(evacuationKind, centre, map[string]any{"since": clock.Now()})
}

// Lift lifts the evacuation of a data centre, and returns the store's revision.
func (s *Metastore) Lift(centre string) uint64 { return s.Remove(evacuationKind, centre) }
