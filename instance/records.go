package instance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// maxTombstones bounds the deleted records that are remembered. A remembered deletion
// keeps an older revision from a lagging source from restoring the record.
const maxTombstones = 20_000

// Records holds the newest revision seen of every operator record.
type Records struct {
	Objects  map[record.Key]record.Object // newest revisions, including deleted and rejected ones
	InForce  map[record.Key]record.Object // newest accepted revisions that aren't deleted
	Revision uint64                       // highest revision in Objects
	Loaded   bool                         // all records were received, from the platform or from another instance
	listed   uint64                       // highest revision of a full list of the platform
	decoded  map[record.Key]decoded       // decoded forms of records in InForce
}

// decoded is the decoded form of a record in force. It is cached so that a change of one
// record doesn't decode all others again.
type decoded struct {
	revision uint64
	value    any
}

// decodeInForce returns the decoded form of a record in force, from the cache if it holds
// the same revision.
func decodeInForce[T any](r *Records, key record.Key, decode func(o record.Object) (T, error)) (T, error) {
	o := r.InForce[key]
	if known, found := r.decoded[key]; found && known.revision == o.Revision {
		return known.value.(T), nil
	}
	v, err := decode(o)
	if err == nil {
		r.decoded[key] = decoded{revision: o.Revision, value: v}
	}
	return v, err
}

// removeInForce removes a record that is no longer in force.
func (r *Records) removeInForce(key record.Key) {
	delete(r.InForce, key)
	delete(r.decoded, key)
}

func newRecords() Records {
	return Records{
		Objects: make(map[record.Key]record.Object), InForce: make(map[record.Key]record.Object),
		decoded: make(map[record.Key]decoded),
	}
}

// recordController keeps the newest accepted revision of each record in force. A newer
// revision is never replaced by an older one, whichever source they come from.
type recordController struct{ state *EngineState }

func (c recordController) receive(ev ObjectsReceived) {
	changed := false
	listed := make(map[record.Key]bool, len(ev.Objects))
	for _, o := range ev.Objects {
		listed[o.Key()] = true
		if c.deletedBefore(o, ev) {
			continue
		}
		if c.accept(o, ev.Source) {
			changed = true
		}
	}
	if ev.FullList && c.dropAbsent(listed, ev.Revision) {
		changed = true
	}
	if ev.FullList && ev.Source == SourcePlatform {
		c.state.Records.listed = max(c.state.Records.listed, ev.Revision)
	}
	if loaded := ev.FullList || (ev.Source != SourcePlatform && len(ev.Objects) > 0); loaded && !c.state.Records.Loaded {
		c.state.Records.Loaded = true
		changed = true
	}
	if changed {
		c.pruneTombstones()
		c.derive()
	}
	if changed && ev.Source == SourcePlatform {
		watchController(c).announceChange()
	}
}

// deletedBefore reports whether an unknown object was deleted before the platform's latest full
// list, which doesn't have it. An instance that started after the deletion has no other
// trace of it.
func (c recordController) deletedBefore(o record.Object, ev ObjectsReceived) bool {
	r := &c.state.Records
	_, seen := r.Objects[o.Key()]
	return !seen && o.Revision <= r.listed && (ev.Source != SourcePlatform || ev.Revision < r.listed)
}

// accept processes one received object and reports whether the records in force changed.
// An invalid revision is rejected, and the last accepted one stays in force.
func (c recordController) accept(o record.Object, source string) bool {
	r := &c.state.Records
	if !slices.Contains(record.OperatorKinds, o.Kind) {
		return false
	}
	known, seen := r.Objects[o.Key()]
	if seen && o.Revision <= known.Revision {
		return false
	}
	r.Objects[o.Key()] = o
	r.Revision = max(r.Revision, o.Revision)
	if o.Deleted {
		r.removeInForce(o.Key())
		c.state.logDecision("delete", "record", "", o.Key().String(), source)
		c.state.Report.clear(conditionRejected, o.Key().String())
		return true
	}
	if err := c.validate(o); err != nil {
		c.state.logDecision("reject", "record", "", o.Key().String(), err.Error())
		c.state.Report.raise(c.state.Now, conditionRejected, o.Key().String(), err.Error(), "kept the last accepted revision in force")
		return false
	}
	r.InForce[o.Key()] = o
	c.state.Report.clear(conditionRejected, o.Key().String())
	c.state.logDecision("accept", "record", "", o.Key().String(), "revision "+strconv.FormatUint(o.Revision, 10)+" from "+source)
	return true
}

// validate also rejects a service whose name has the same token.Hash as another's, as
// Services and tokens identify a service by this hash.
func (c recordController) validate(o record.Object) error {
	if err := o.Check(); err != nil {
		return err
	}
	if o.Kind != record.KindService {
		return nil
	}
	known := c.state.Services[token.Hash(o.Name)]
	if known != nil && known.Record.Name != o.Name {
		return record.ErrInvalid
	}
	return nil
}

// dropAbsent marks records as deleted that are missing from a full list at a revision,
// unless they are newer than the list.
func (c recordController) dropAbsent(listed map[record.Key]bool, revision uint64) bool {
	r := &c.state.Records
	changed := false
	for key, o := range r.Objects {
		if listed[key] || o.Deleted || o.Revision > revision {
			continue
		}
		r.Objects[key] = record.Object{Kind: key.Kind, Name: key.Name, Revision: revision, Deleted: true}
		r.removeInForce(key)
		c.state.Report.clear(conditionRejected, key.String())
		changed = true
	}
	return changed
}

// pruneTombstones removes the oldest deleted records when there are more than
// maxTombstones.
func (c recordController) pruneTombstones() {
	r := &c.state.Records
	if len(r.Objects)-len(r.InForce) <= maxTombstones {
		return
	}
	var tombstones []record.Object
	for _, o := range r.Objects {
		if o.Deleted {
			tombstones = append(tombstones, o)
		}
	}
	slices.SortFunc(tombstones, func(a, b record.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, o := range tombstones[:max(0, len(tombstones)-maxTombstones)] {
		delete(r.Objects, o.Key())
	}
}

// namesInForce returns the names of the records of a kind that are in force, sorted.
func (c recordController) namesInForce(kind record.Kind) []string {
	var names []string
	for key := range c.state.Records.InForce {
		if key.Kind == kind {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	return names
}

// derive rebuilds services and endpoints from the records in force. The statistics of
// those that remain are kept.
func (c recordController) derive() {
	services := make(map[uint64]*Service)
	for _, name := range c.namesInForce(record.KindService) {
		s, err := decodeInForce(&c.state.Records, record.Key{Kind: record.KindService, Name: name}, record.DecodeService)
		if err != nil {
			continue
		}
		services[token.Hash(name)] = c.updateService(s)
	}
	c.dropServices(services)
	c.state.Services = services
	c.state.sortServices()
	c.deriveRules()
	c.deriveEndpoints()
	c.state.Members.dirty = true
}

func (c recordController) updateService(s record.Service) *Service {
	hash := token.Hash(s.Name)
	known := c.state.Services[hash]
	if known == nil {
		known = &Service{Hash: hash, RetryBudget: maxRetryBudget}
	}
	known.Record = s
	known.Rules = nil
	known.Endpoints = nil
	return known
}

// dropServices removes the endpoints of deleted services and schedules their queues, so
// that dispatchController refuses the waiting jobs.
func (c recordController) dropServices(remaining map[uint64]*Service) {
	for _, s := range c.state.sortedServices() {
		if remaining[s.Hash] != nil {
			continue
		}
		s.Endpoints, s.Dispatched = nil, nil
		c.state.scheduleFill(s)
	}
}

func (c recordController) deriveRules() {
	for _, name := range c.namesInForce(record.KindRule) {
		r, err := decodeInForce(&c.state.Records, record.Key{Kind: record.KindRule, Name: name}, record.DecodeRule)
		if err != nil {
			continue
		}
		if s := c.state.Services[token.Hash(r.Service)]; s != nil {
			s.Rules = append(s.Rules, r)
		}
	}
}

// deriveEndpoints rebuilds the endpoints. When the records of two backend servers contain
// the same address, it was reused and belongs to the newer record.
func (c recordController) deriveEndpoints() {
	var backends []record.Backend
	for _, name := range c.namesInForce(record.KindBackend) {
		r, err := decodeInForce(&c.state.Records, record.Key{Kind: record.KindBackend, Name: name}, record.DecodeBackend)
		if err == nil {
			backends = append(backends, r)
		}
	}
	slices.SortStableFunc(backends, func(x, y record.Backend) int { return cmp.Compare(y.Revision, x.Revision) })
	endpoints := make(map[string]*Endpoint)
	for _, r := range backends {
		for _, e := range r.Endpoints {
			if endpoints[e.Address] == nil {
				endpoints[e.Address] = c.updateEndpoint(r, e)
			}
		}
	}
	c.state.Endpoints = endpoints
	for _, ep := range c.state.sortedEndpoints() {
		if s := c.state.Services[ep.ServiceHash]; s != nil {
			s.Endpoints = append(s.Endpoints, ep)
		}
	}
}

// updateEndpoint returns the endpoint at e's address. It keeps the endpoint's state and
// statistics unless the address now belongs to another service or backend server.
func (c recordController) updateEndpoint(r record.Backend, e record.Endpoint) *Endpoint {
	known := c.state.Endpoints[e.Address]
	if known == nil || known.Backend.Name != r.Name || known.Backend.Service != r.Service {
		known = newEndpoint(c.state.Now)
	}
	if known.Backend.Revision != r.Revision {
		known.Misrouted = false
	}
	known.Backend, known.Record = r, e
	known.ServiceHash = token.Hash(r.Service)
	known.Hash = token.Hash(e.Address)
	return known
}

// sortServices updates servicesByName.
func (st *EngineState) sortServices() {
	st.servicesByName = st.servicesByName[:0:0]
	for _, s := range st.Services {
		st.servicesByName = append(st.servicesByName, s)
	}
	slices.SortFunc(st.servicesByName, func(x, y *Service) int { return cmp.Compare(x.Record.Name, y.Record.Name) })
}

// sortedServices returns the services sorted by name. The slice is replaced but never
// modified, so callers may iterate over it while records change.
func (st *EngineState) sortedServices() []*Service { return st.servicesByName }

func (st *EngineState) sortedEndpoints() []*Endpoint {
	all := make([]*Endpoint, 0, len(st.Endpoints))
	for _, ep := range st.Endpoints {
		all = append(all, ep)
	}
	slices.SortFunc(all, func(x, y *Endpoint) int { return cmp.Compare(x.Record.Address, y.Record.Address) })
	return all
}
