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

// leases are the leases by name.
type leases map[string]*lease

// lease is a lease with the instances that it announced. Earlier announcements are
// kept because the list of instances may show the state of some time ago.
type lease struct {
	platform.Lease
	expires       clock.Millis
	announcements []announcement // by time
}

// announcement is the instance that a lease announces from a time on, or nil.
type announcement struct {
	at       clock.Millis
	instance *record.Instance
}

// isHeld reports whether the lease has a holder and has not expired.
func (l *lease) isHeld(now clock.Millis) bool { return l.Holder != "" && now < l.expires }

// announce records that the lease announces an instance, or none, from a time on.
func (l *lease) announce(at clock.Millis, instance *record.Instance) {
	l.announcements = append(l.announcements, announcement{at, instance})
}

// announcedAt returns the instance announced at a time, or nil.
func (l *lease) announcedAt(at clock.Millis) *record.Instance {
	if at >= l.expires {
		return nil
	}
	var instance *record.Instance
	for _, a := range l.announcements {
		if a.at <= at {
			instance = a.instance
		}
	}
	return instance
}

// prune removes announcements that were replaced before a time.
func (l *lease) prune(before clock.Millis) {
	for len(l.announcements) > 1 && l.announcements[1].at <= before {
		l.announcements = l.announcements[1:]
	}
}

// renew acquires or renews a lease. It returns false if another holder has it.
func (s leases) renew(requested platform.Lease, now clock.Millis) bool {
	l := s[requested.Name]
	if l == nil {
		l = &lease{}
		s[requested.Name] = l
	}
	if l.isHeld(now) && l.Holder != requested.Holder {
		return false
	}
	if !l.isHeld(now) && len(l.announcements) > 0 {
		l.announce(l.expires, nil)
	}
	l.Lease = requested
	l.expires = now + requested.TTL
	l.announce(now, requested.Instance)
	return true
}

// instances returns the instances announced at a time, ordered by name.
func (s leases) instances(at clock.Millis) []record.Instance {
	list := []record.Instance{}
	for _, l := range s {
		if i := l.announcedAt(at); i != nil {
			list = append(list, *i)
		}
	}
	slices.SortFunc(list, func(a, b record.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (p *Platform) serveRenew(r *http.Request) answer {
	name := r.PathValue("name")
	var requested platform.Lease
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &requested)
	}
	if err == nil && requested.Instance != nil {
		err = requested.Instance.Check()
	}
	switch {
	case err != nil:
		return errorAnswer(http.StatusBadRequest, "lease %q: body: %v", name, err)
	case requested.Name != name || requested.Holder == "" || requested.TTL <= 0:
		return errorAnswer(http.StatusBadRequest, "lease %q: body has name %q, holder %q, span %d", name, requested.Name, requested.Holder, requested.TTL)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	if !p.leases.renew(requested, now) {
		return errorAnswer(http.StatusConflict, "lease %q is held by %q", name, p.leases[name].Holder)
	}
	p.leases[name].prune(now - p.settings.InstanceListLag)
	return okAnswer(requested)
}

func (p *Platform) serveRelease(r *http.Request) answer {
	name := r.PathValue("name")
	holder := r.URL.Query().Get("holder")
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	l := p.leases[name]
	switch {
	case l == nil || !l.isHeld(now):
		return errorAnswer(http.StatusNotFound, "lease %q is not held", name)
	case l.Holder != holder:
		return errorAnswer(http.StatusConflict, "lease %q is held by %q", name, l.Holder)
	}
	l.expires = now
	return okAnswer(l.Lease)
}

func (p *Platform) serveInstances(r *http.Request) answer {
	centre := r.URL.Query().Get("centre")
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.frozenInstances
	if !p.faults.FreezeInstances {
		list = p.instances()
	}
	selected := []record.Instance{}
	for _, i := range list {
		if centre == "" || i.Centre == centre {
			selected = append(selected, i)
		}
	}
	return okAnswer(selected)
}
