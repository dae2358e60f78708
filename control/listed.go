package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/membership"
	"github.com/bulrushfall/bulrushfall/view"
)

// listedPart is what follows from the instance list. It is made once for each
// list: at the size to design for the list has 8,190 instances, and a snapshot
// is published several times a second.
type listedPart struct {
	// entries are the entry instances, this one included, sorted by name.
	entries []infra.Instance
	// plain are the backend servers of plain services.
	plain map[ident.ServiceName][]infra.Instance
	// out are the instances that get no new work, as of the view outFrom.
	out     map[ident.InstanceID]bool
	outFrom *config.View
	// published and live are the last results of entries and liveEntries. They
	// are replaced when anything in them changes, and never written to.
	published []view.Entry
	live      []ident.InstanceID
}

// index derives the parts from a new list.
func (l *Loop) index() {
	p := &l.listed
	p.entries, p.plain, p.outFrom = nil, make(map[ident.ServiceName][]infra.Instance), nil
	for _, inst := range l.instances {
		switch {
		case inst.Kind == infra.KindEntry && inst.ID != l.opts.Self.Instance:
			p.entries = append(p.entries, inst)
		case inst.Kind == infra.KindPlain:
			p.plain[inst.Service] = append(p.plain[inst.Service], inst)
		}
	}
	p.entries = append(p.entries, infra.Instance{ID: l.opts.Self.Instance})
	slices.SortFunc(p.entries, func(a, b infra.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// outOfService returns the listed instances that get no new work.
func (l *Loop) outOfService() map[ident.InstanceID]bool {
	p, v := &l.listed, l.config.shell.View()
	if p.outFrom == v && p.out != nil {
		return p.out
	}
	p.out, p.outFrom = make(map[ident.InstanceID]bool), v
	for _, inst := range l.instances {
		if inst.State == infra.StateLeaving || v.Drains.Covers(inst.ID, inst.DataCentre, inst.Partner) {
			p.out[inst.ID] = true
		}
	}
	return p.out
}

// drained tells whether an instance gets no new work: it leaves, or operators
// took it, its data centre or its partner out of service.
func (l *Loop) drained(inst infra.Instance) bool { return l.outOfService()[inst.ID] }

// entries lists the entry instances, this one included.
func (l *Loop) entries() []view.Entry {
	p := &l.listed
	if len(p.entries) == 0 {
		l.index()
	}
	if len(p.published) != len(p.entries) {
		p.published = make([]view.Entry, len(p.entries))
	}
	own, out, state := l.selfDrained(), l.outOfService(), l.entryStates()
	copied := false
	for i := range p.entries {
		e := l.entry(&p.entries[i], own, out, state)
		if e == p.published[i] {
			continue
		}
		if !copied {
			p.published, copied = slices.Clone(p.published), true
		}
		p.published[i] = e
	}
	return p.published
}

func (l *Loop) entry(inst *infra.Instance, own bool, out map[ident.InstanceID]bool, state func(ident.InstanceID) membership.State) view.Entry {
	if inst.ID == l.opts.Self.Instance {
		self := l.opts.Self
		self.Draining = self.Draining || own
		return self
	}
	return view.Entry{
		Instance: inst.ID, Address: inst.Address, PeerAddress: inst.PeerAddress, DataCentre: inst.DataCentre, Region: inst.Region,
		Draining: out[inst.ID], Alive: state(inst.ID) < membership.StateDead,
	}
}

// liveEntries lists the entries among which leases are spread, and tells whether
// they are others than at the last call. Suspects are left out, so that the next
// contender need not give them a head start.
func (l *Loop) liveEntries() ([]ident.InstanceID, bool) {
	p, state := &l.listed, l.entryStates()
	same, n := true, 0
	isLive := func(e *view.Entry) bool { return !e.Draining && state(e.Instance) == membership.StateAlive }
	entries := l.entries()
	for i := range entries {
		if isLive(&entries[i]) {
			same = same && n < len(p.live) && p.live[n] == entries[i].Instance
			n++
		}
	}
	if same && n == len(p.live) {
		return p.live, false
	}
	p.live = make([]ident.InstanceID, 0, n)
	for i := range entries {
		if isLive(&entries[i]) {
			p.live = append(p.live, entries[i].Instance)
		}
	}
	return p.live, true
}

// anyRecent reports whether any poll is young enough to confirm a member.
func (l *Loop) anyRecent(now time.Duration) bool { return now-l.lastReport < view.ConfirmTTL }
