package trace

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bulrushfall/bulrushfall/ident"
)

// baseKey names a piece of state that a later event replaces.
type baseKey struct {
	kind       Kind
	node, name string
}

// stateKey returns the key of an event that describes state. Other events only
// tell what happened.
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

// laneKey names the routing of one service at one entry instance.
type laneKey struct {
	node    ident.InstanceID
	service ident.ServiceName
}

// base is the state that the dropped events of a recording led to. A trace
// starts with it, so that a replay knows the instances, documents, drains and
// groups although the events that told of them are gone.
type base struct {
	events map[baseKey]Event
	lanes  map[laneKey]map[ident.GroupID]baseRow
	place  map[laneKey]Groups
	bytes  int
}

// baseRow is a group row with the time of its poll.
type baseRow struct {
	row  GroupRow
	sent int64
}

func newBase() base {
	return base{
		events: make(map[baseKey]Event), lanes: make(map[laneKey]map[ident.GroupID]baseRow),
		place: make(map[laneKey]Groups),
	}
}

// fold takes a dropped event over. It returns the number of events that no
// trace will hold any more.
func (b *base) fold(e *Event, limit int) uint64 {
	switch e.Kind {
	case KindGroups:
		b.foldGroups(e)
		return 1
	case KindGap:
		return 0 // its events are counted already
	}
	key, ok := e.stateKey()
	if !ok {
		return 1
	}
	old, replaced := b.events[key]
	if !replaced && b.bytes >= limit {
		return 1
	}
	b.events[key] = *e
	b.bytes += e.size()
	if replaced {
		b.bytes -= old.size()
		return 1
	}
	return 0
}

func (b *base) foldGroups(e *Event) {
	key := laneKey{e.Node, e.Groups.Service}
	rows := b.lanes[key]
	if rows == nil || e.Groups.Complete {
		for _, r := range rows {
			b.bytes -= r.row.size()
		}
		rows = make(map[ident.GroupID]baseRow)
		b.lanes[key] = rows
		b.place[key] = Groups{Service: e.Groups.Service, DataCentre: e.Groups.DataCentre, Region: e.Groups.Region}
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
		r.Learned = nil // it is out of date by now
		rows[r.ID] = baseRow{row: r, sent: e.AtMicros - r.AgeMicros}
		b.bytes += r.size()
	}
}

// kindOrder is the order in which state is told.
var kindOrder = []Kind{KindInstance, KindEdit, KindDrain, KindStore, KindMemberLost, KindLoadReport}

// list returns the state as events at an instant, in a fixed order.
func (b *base) list(at int64) []Event {
	keys := slices.SortedFunc(maps.Keys(b.events), func(x, y baseKey) int {
		return cmp.Or(
			cmp.Compare(slices.Index(kindOrder, x.kind), slices.Index(kindOrder, y.kind)),
			cmp.Compare(x.node, y.node), cmp.Compare(x.name, y.name))
	})
	out := make([]Event, 0, len(keys)+len(b.lanes))
	for _, k := range keys {
		e := b.events[k]
		e.AtMicros = at
		out = append(out, e)
	}
	lanes := slices.SortedFunc(maps.Keys(b.lanes), func(x, y laneKey) int {
		return cmp.Or(cmp.Compare(x.node, y.node), cmp.Compare(x.service, y.service))
	})
	for _, k := range lanes {
		g := b.place[k]
		g.Complete = true
		for _, id := range slices.Sorted(maps.Keys(b.lanes[k])) {
			r := b.lanes[k][id]
			r.row.AgeMicros = at - r.sent
			g.Rows = append(g.Rows, r.row)
		}
		out = append(out, Event{AtMicros: at, Kind: KindGroups, Node: k.node, Groups: &g})
	}
	return out
}
