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

// View is the configuration in force on this node. Nothing in it changes.
type View struct {
	// Revision: every accepted edit up to it is in force here.
	Revision ident.Revision
	// Head is the highest revision that this node heard of.
	Head  ident.Revision
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

// Drains is the set of drain records, sorted by key.
type Drains []DrainView

// Out tells whether something is taken out of service.
func (d Drains) Out(kind DrainKind, name string) bool {
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

// InstanceDrained tells whether an instance is out of service by its own record, its
// data centre's or its partner's.
func (d Drains) InstanceDrained(id ident.InstanceID, dc ident.DataCentre, p ident.Partner) bool {
	if len(d) == 0 {
		return false
	}
	return d.Out(DrainInstance, string(id)) || d.Out(DrainDataCentre, string(dc)) ||
		(p != "" && d.Out(DrainPartner, string(p)))
}

// decoded holds the decoded records, so that a change decodes one record only.
type decoded struct {
	services map[Key]ServiceView
	drains   map[Key]DrainView
}

func newDecoded() decoded {
	return decoded{services: make(map[Key]ServiceView), drains: make(map[Key]DrainView)}
}

// decode puts a record in force.
func (m *Machine) decode(r Record) {
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
	default:
		m.Counters.Undecodable++
	}
}

// View returns the configuration in force.
func (m *Machine) View() *View {
	v := &View{Revision: m.complete, Head: m.head, Ready: m.ready}
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
