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

// instanceIndex holds data derived from the instance list. It is computed once for
// each list: at the design size the list has 8,190 instances, and a snapshot is
// published several times per second.
type instanceIndex struct {
	// entries are the entry instances, this one included, sorted by name.
	entries []infra.Instance
	// plainInstances are the backend servers of plain services.
	plainInstances map[ident.ServiceName][]infra.Instance
	// outOfServiceIDs are the instances that get no new work, as of outOfServiceView.
	outOfServiceIDs  map[ident.InstanceID]bool
	outOfServiceView *config.View
	// publishedEntries and liveEntryIDs are the last results of the methods entries
	// and liveEntries. They are replaced when anything in them changes, and never
	// modified.
	publishedEntries []view.Entry
	liveEntryIDs     []ident.InstanceID
}

// rebuildIndex computes the index of a new instance list.
func (l *Loop) rebuildIndex() {
	idx := &l.index
	idx.entries, idx.plainInstances, idx.outOfServiceView = nil, make(map[ident.ServiceName][]infra.Instance), nil
	for _, inst := range l.instances {
		switch {
		case inst.Kind == infra.KindEntry && inst.ID != l.opts.Self.Instance:
			idx.entries = append(idx.entries, inst)
		case inst.Kind == infra.KindPlain:
			idx.plainInstances[inst.Service] = append(idx.plainInstances[inst.Service], inst)
		}
	}
	idx.entries = append(idx.entries, infra.Instance{ID: l.opts.Self.Instance})
	slices.SortFunc(idx.entries, func(a, b infra.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// outOfService returns the listed instances that get no new work.
func (l *Loop) outOfService() map[ident.InstanceID]bool {
	idx, v := &l.index, l.config.shell.View()
	if idx.outOfServiceView == v && idx.outOfServiceIDs != nil {
		return idx.outOfServiceIDs
	}
	idx.outOfServiceIDs, idx.outOfServiceView = make(map[ident.InstanceID]bool), v
	for _, inst := range l.instances {
		if inst.State == infra.StateLeaving || v.Drains.InstanceDrained(inst.ID, inst.DataCentre, inst.Partner) {
			idx.outOfServiceIDs[inst.ID] = true
		}
	}
	return idx.outOfServiceIDs
}

// isOutOfService reports whether an instance gets no new work, because it leaves or
// because operators took it, its data centre or its partner out of service.
func (l *Loop) isOutOfService(inst infra.Instance) bool { return l.outOfService()[inst.ID] }

// entries returns the entry instances, this one included.
func (l *Loop) entries() []view.Entry {
	idx := &l.index
	if len(idx.entries) == 0 {
		l.rebuildIndex()
	}
	if len(idx.publishedEntries) != len(idx.entries) {
		idx.publishedEntries = make([]view.Entry, len(idx.entries))
	}
	drainsSelf, out, state := l.selfDrained(), l.outOfService(), l.entryStates()
	copied := false
	for i := range idx.entries {
		e := l.viewEntry(&idx.entries[i], drainsSelf, out, state)
		if e == idx.publishedEntries[i] {
			continue
		}
		if !copied {
			idx.publishedEntries, copied = slices.Clone(idx.publishedEntries), true
		}
		idx.publishedEntries[i] = e
	}
	return idx.publishedEntries
}

// viewEntry returns an entry instance as the snapshot has it. drainsSelf reports
// whether a drain covers this entry instance, out holds the instances out of service.
func (l *Loop) viewEntry(inst *infra.Instance, drainsSelf bool, out map[ident.InstanceID]bool, state func(ident.InstanceID) membership.State) view.Entry {
	if inst.ID == l.opts.Self.Instance {
		self := l.opts.Self
		self.Draining = self.Draining || drainsSelf
		return self
	}
	return view.Entry{
		Instance: inst.ID, Address: inst.Address, PeerAddress: inst.PeerAddress, DataCentre: inst.DataCentre, Region: inst.Region,
		Draining: out[inst.ID], Alive: state(inst.ID) < membership.StateDead,
	}
}

// liveEntries returns the entry instances among which leases are distributed, and
// whether they changed since the last call. Suspects are left out, so that the next
// contender for a lease need not wait for them.
func (l *Loop) liveEntries() ([]ident.InstanceID, bool) {
	idx, state := &l.index, l.entryStates()
	unchanged, n := true, 0
	isLive := func(e *view.Entry) bool { return !e.Draining && state(e.Instance) == membership.StateAlive }
	entries := l.entries()
	for i := range entries {
		if isLive(&entries[i]) {
			unchanged = unchanged && n < len(idx.liveEntryIDs) && idx.liveEntryIDs[n] == entries[i].Instance
			n++
		}
	}
	if unchanged && n == len(idx.liveEntryIDs) {
		return idx.liveEntryIDs, false
	}
	idx.liveEntryIDs = make([]ident.InstanceID, 0, n)
	for i := range entries {
		if isLive(&entries[i]) {
			idx.liveEntryIDs = append(idx.liveEntryIDs, entries[i].Instance)
		}
	}
	return idx.liveEntryIDs, true
}

// anyPollRecent reports whether any answered poll is recent enough to confirm a
// member.
func (l *Loop) anyPollRecent(now time.Duration) bool { return now-l.newestPollSentAt < view.ConfirmTTL }
