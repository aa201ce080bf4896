package steering

// recordRevision records that changes were applied that were read up to a revision.
func (d *directory) recordRevision(changes []EndpointChange, revision uint64) {
	for i := range changes {
		if s := d.byID[changes[i].Endpoint.ID]; s != nil {
			s.knownRevision = max(s.knownRevision, revision)
		}
	}
}

// ChangesSince returns the changes of endpoints after a revision of the store, for an instance
// that knows all changes up to it. It may contain changes that the instance knows. It returns
// false if this instance doesn't know them all.
func (e *Engine) ChangesSince(revision uint64) ([]EndpointChange, bool) {
	d := &e.directory
	if !d.listed || revision < d.forgottenRevision {
		return nil, false
	}
	var changes []EndpointChange
	for _, s := range d.byID {
		switch {
		case s.knownRevision <= revision:
		case s.entryState == listed:
			changes = append(changes, EndpointChange{Endpoint: s.Endpoint})
		default:
			p := Endpoint{ID: s.ID, Revision: max(s.Revision, s.removedRevision)}
			changes = append(changes, EndpointChange{Endpoint: p, Removed: true})
		}
	}
	for _, c := range d.unreadable {
		if c.Endpoint.Revision > revision && d.byID[c.Endpoint.ID] == nil {
			changes = append(changes, c)
		}
	}
	return changes, true
}
