package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
)

// leases are the leases by name, with what each announced in the past.
type leases map[string]*lease

type lease struct {
	platform.Lease
	expires clock.Millis
	past    []announcement // by time
}

// announcement is an instance that is announced from a time on, nil for none.
type announcement struct {
	at       clock.Millis
	instance *record.Instance
}

// held reports whether anyone holds the lease.
func (l *lease) held(now clock.Millis) bool { return l.Holder != "" && now < l.expires }

// announce records that an instance, or none, is announced from a time on.
func (l *lease) announce(at clock.Millis, instance *record.Instance) {
	l.past = append(l.past, announcement{at, instance})
}

// announced returns the instance announced at a time, or nil.
func (l *lease) announced(at clock.Millis) *record.Instance {
	if at >= l.expires {
		return nil
	}
	var instance *record.Instance
	for _, a := range l.past {
		if a.at <= at {
			instance = a.instance
		}
	}
	return instance
}

// forget drops announcements that were replaced before a time.
func (l *lease) forget(before clock.Millis) {
	for len(l.past) > 1 && l.past[1].at <= before {
		l.past = l.past[1:]
	}
}

// renew takes or renews a lease. It reports whether nobody else holds it.
func (s leases) renew(wanted platform.Lease, now clock.Millis) bool {
	l := s[wanted.Name]
	if l == nil {
		l = &lease{}
		s[wanted.Name] = l
	}
	if l.held(now) && l.Holder != wanted.Holder {
		return false
	}
	if !l.held(now) && len(l.past) > 0 {
		l.announce(l.expires, nil)
	}
	l.Lease = wanted
	l.expires = now + wanted.TTL
	l.announce(now, wanted.Instance)
	return true
}

// instances returns the instances announced at a time, by name.
func (s leases) instances(at clock.Millis) []record.Instance {
	list := []record.Instance{}
	for _, l := range s {
		if i := l.announced(at); i != nil {
			list = append(list, *i)
		}
	}
	slices.SortFunc(list, func(a, b record.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (p *Platform) serveRenew(r *http.Request) answer {
	name := r.PathValue("name")
	var wanted platform.Lease
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &wanted)
	}
	if err == nil && wanted.Instance != nil {
		err = wanted.Instance.Check()
	}
	switch {
	case err != nil:
		return failed(http.StatusBadRequest, "lease %q: body: %v", name, err)
	case wanted.Name != name || wanted.Holder == "" || wanted.TTL <= 0:
		return failed(http.StatusBadRequest, "lease %q: name %q, holder %q, span %d", name, wanted.Name, wanted.Holder, wanted.TTL)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	if !p.leases.renew(wanted, now) {
		return failed(http.StatusConflict, "lease %q is held by %q", name, p.leases[name].Holder)
	}
	p.leases[name].forget(now - p.settings.InstanceListLag)
	return ok(wanted)
}

func (p *Platform) serveRelease(r *http.Request) answer {
	name := r.PathValue("name")
	holder := r.URL.Query().Get("holder")
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	l := p.leases[name]
	switch {
	case l == nil || !l.held(now):
		return failed(http.StatusNotFound, "lease %q is not held", name)
	case l.Holder != holder:
		return failed(http.StatusConflict, "lease %q is held by %q", name, l.Holder)
	}
	l.expires = now
	return ok(l.Lease)
}

func (p *Platform) serveInstances(r *http.Request) answer {
	centre := r.URL.Query().Get("centre")
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.frozen
	if !p.faults.FreezeInstances {
		list = p.instances()
	}
	shown := []record.Instance{}
	for _, i := range list {
		if centre == "" || i.Centre == centre {
			shown = append(shown, i)
		}
	}
	return ok(shown)
}
