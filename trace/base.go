package trace

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bulrushfall/bulrushfall/ident"
)

// baseKey identifies a piece of state. A later event with the same key replaces it.
type baseKey struct {
	kind       Kind
	node, name string
}

// stateKey returns the key of an event that describes state, and false for an
// event that does not.
func (e *Event) stateKey() (baseKey, bool) {
	k := baseKey{kind: e.Kind, node: string(e.Node)}
	switch e.Kind {
	case KindInstance:
		k.name = string(e.Instance.ID)
	case KindEdit:
		if k.name = string(e.Edit.Service); e.Edit.Refused {
			return k, false
		}
	case KindDrain:
		k.name = e.Drain.Kind + "/" + e.Drain.Name
	case KindStore:
	case KindMemberLost, KindMemberReturned:
		k.kind, k.name = KindMemberLost, string(e.Member.Instance)
	case KindLoadReport:
		k.name = string(e.LoadReport.Instance)
	default:
		return k, false
	}
	return k, true
}

// routingKey identifies the routing of one service at one entry instance.
type routingKey struct {
	node    ident.InstanceID
	service ident.ServiceName
}

// baseState is the state that results from the dropped events of a recording. A
// trace starts with it, so that a replay has the instances, documents, drains and
// groups although the events that described them were dropped.
type baseState struct {
	events    map[baseKey]Event
	groups    map[routingKey]map[ident.GroupID]baseRow
	locations map[routingKey]Groups
	bytes     int
}

// baseRow is a group row with the time at which its poll was sent.
type baseRow struct {
	row          GroupRow
	polledMicros int64
}

func newBase() baseState {
	return baseState{
		events: make(map[baseKey]Event), groups: make(map[routingKey]map[ident.GroupID]baseRow),
		locations: make(map[routingKey]Groups),
	}
}

// apply updates the state with a dropped event. It returns the number of
// events, 0 or 1, that no later trace will contain because of this.
func (b *baseState) apply(e *Event, limit int) uint64 {
	switch e.Kind {
	case KindGroups:
		b.applyGroups(e)
		return 1
	case KindGap:
		return 0 // its events are already counted as oversized
	}
	key, ok := e.stateKey()
	if !ok {
		return 1
	}
	old, exists := b.events[key]
	if !exists && b.bytes >= limit {
		return 1
	}
	b.events[key] = *e
	b.bytes += e.size()
	if exists {
		b.bytes -= old.size()
		return 1
	}
	return 0
}

// applyGroups updates the rows of one service at one entry instance.
func (b *baseState) applyGroups(e *Event) {
	key := routingKey{e.Node, e.Groups.Service}
	rows := b.groups[key]
	if rows == nil || e.Groups.Complete {
		for _, r := range rows {
			b.bytes -= r.row.size()
		}
		rows = make(map[ident.GroupID]baseRow)
		b.groups[key] = rows
		b.locations[key] = Groups{Service: e.Groups.Service, DataCentre: e.Groups.DataCentre, Region: e.Groups.Region}
	}
	for _, id := range e.Groups.Removed {
		if old, ok := rows[id]; ok {
			b.bytes -= old.row.size()
			delete(rows, id)
		}
	}
	for _, r := range e.Groups.Rows {
		if old, ok := rows[r.ID]; ok {
			b.bytes -= old.row.size()
		}
		r.Learned = nil // it would be out of date at the start of the trace
		rows[r.ID] = baseRow{row: r, polledMicros: e.AtMicros - r.AgeMicros}
		b.bytes += r.size()
	}
}

// stateKindOrder is the order of the events that eventsAt returns.
var stateKindOrder = []Kind{KindInstance, KindEdit, KindDrain, KindStore, KindMemberLost, KindLoadReport}

// eventsAt returns the state as events with the given timestamp, in a fixed order.
func (b *baseState) eventsAt(at int64) []Event {
	keys := slices.SortedFunc(maps.Keys(b.events), func(x, y baseKey) int {
		return cmp.Or(
			cmp.Compare(slices.Index(stateKindOrder, x.kind), slices.Index(stateKindOrder, y.kind)),
			cmp.Compare(x.node, y.node), cmp.Compare(x.name, y.name))
	})
	out := make([]Event, 0, len(keys)+len(b.groups))
	for _, k := range keys {
		e := b.events[k]
		e.AtMicros = at
		out = append(out, e)
	}
	routings := slices.SortedFunc(maps.Keys(b.groups), func(x, y routingKey) int {
		return cmp.Or(cmp.Compare(x.node, y.node), cmp.Compare(x.service, y.service))
	})
	for _, k := range routings {
		g := b.locations[k]
		g.Complete = true
		for _, id := range slices.Sorted(maps.Keys(b.groups[k])) {
			r := b.groups[k][id]
			r.row.AgeMicros = at - r.polledMicros
			g.Rows = append(g.Rows, r.row)
		}
		out = append(out, Event{AtMicros: at, Kind: KindGroups, Node: k.node, Groups: &g})
	}
	return out
}
