package config

import (
	"cmp"
	"slices"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// ServiceView is a service document in force.
type ServiceView struct {
	Revision ident.Revision   `json:"revision"`
	Attempt  ident.AttemptID  `json:"attempt"`
	Document service.Document `json:"document"`
}

// DrainView is a drain record in force.
type DrainView struct {
	Revision ident.Revision  `json:"revision"`
	Attempt  ident.AttemptID `json:"attempt"`
	Drain    Drain           `json:"drain"`
}

// View is an immutable snapshot of the configuration in force on this node.
type View struct {
	// Revision is the highest revision up to which every accepted edit is in
	// force on this node.
	Revision ident.Revision
	// Head is the highest revision that this node has learned of.
	Head ident.Revision
	// Ready is true once the node has reached its join floor. It stays true.
	Ready bool
	// Services and Drains are sorted by name.
	Services []ServiceView
	Drains   Drains
}

// Service returns the document of a service and its revision.
func (v *View) Service(name ident.ServiceName) (ServiceView, bool) {
	i, ok := slices.BinarySearchFunc(v.Services, name, func(s ServiceView, n ident.ServiceName) int {
		return cmp.Compare(s.Document.Service, n)
	})
	if !ok {
		return ServiceView{}, false
	}
	return v.Services[i], true
}

// Drains holds the drain records in force, sorted by key.
type Drains []DrainView

// IsOut reports whether the data centre, instance or partner with a name is out
// of service.
func (d Drains) IsOut(kind DrainKind, name string) bool {
	v, ok := d.Get(kind, name)
	return ok && v.Drain.Out
}

// Get returns the drain record of a data centre, instance or partner.
func (d Drains) Get(kind DrainKind, name string) (DrainView, bool) {
	key := Drain{Kind: kind, Name: name}.Key().Name
	i, ok := slices.BinarySearchFunc(d, key, func(v DrainView, k string) int {
		return cmp.Compare(v.Drain.Key().Name, k)
	})
	if !ok {
		return DrainView{}, false
	}
	return d[i], true
}

// InstanceDrained reports whether an instance is out of service because of its own drain
// record, its data centre's or its partner's.
func (d Drains) InstanceDrained(id ident.InstanceID, dc ident.DataCentre, p ident.Partner) bool {
	if len(d) == 0 {
		return false
	}
	return d.IsOut(DrainInstance, string(id)) || d.IsOut(DrainDataCentre, string(dc)) ||
		(p != "" && d.IsOut(DrainPartner, string(p)))
}

// decoded caches the decoded records, so that a change decodes only one record.
type decoded struct {
	services map[Key]ServiceView
	drains   map[Key]DrainView
}

func newDecoded() decoded {
	return decoded{services: make(map[Key]ServiceView), drains: make(map[Key]DrainView)}
}

// updateDecoded puts a record in force. If it cannot be decoded, the former
// record of the same key stays in force.
func (m *Machine) updateDecoded(r Record) {
	switch {
	case r.Deleted:
		delete(m.decoded.services, r.Key)
		delete(m.decoded.drains, r.Key)
	case r.Kind == KindService:
		doc, err := r.Document()
		if err != nil {
			m.Counters.Undecodable++
			return
		}
		m.decoded.services[r.Key] = ServiceView{Revision: r.Revision, Attempt: r.Attempt, Document: doc}
	case r.Kind == KindDrain:
		drain, err := r.Drain()
		if err != nil {
			m.Counters.Undecodable++
			return
		}
		m.decoded.drains[r.Key] = DrainView{Revision: r.Revision, Attempt: r.Attempt, Drain: drain}
	case r.Kind == KindEra:
		if m.noteEra(r) != nil {
			m.Counters.Undecodable++
		}
	default:
		m.Counters.Undecodable++
	}
}

// View returns the configuration in force.
func (m *Machine) View() *View {
	v := &View{Revision: m.completeRevision, Head: m.head, Ready: m.ready}
	for _, s := range m.decoded.services {
		v.Services = append(v.Services, s)
	}
	for _, d := range m.decoded.drains {
		v.Drains = append(v.Drains, d)
	}
	slices.SortFunc(v.Services, func(a, b ServiceView) int { return cmp.Compare(a.Document.Service, b.Document.Service) })
	slices.SortFunc(v.Drains, func(a, b DrainView) int { return cmp.Compare(a.Drain.Key().Name, b.Drain.Key().Name) })
	return v
}
