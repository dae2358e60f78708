package operator

import (
	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// Service is a service document in force at the entry instance that answers.
type Service struct {
	Name     ident.ServiceName `json:"name" yaml:"name"`
	Revision ident.Revision    `json:"revision" yaml:"revision"`
	Owner    ident.Team        `json:"owner" yaml:"owner"`
	Kind     service.Kind      `json:"kind" yaml:"kind"`
	Attempt  ident.AttemptID   `json:"attempt" yaml:"attempt"`
	// Document is the whole document as YAML with every default.
	Document string `json:"document,omitempty" yaml:"document,omitempty"`
}

// Services lists services by name, without their documents.
type Services struct {
	Services []Service `json:"services" yaml:"services"`
}

// Drain is a drain record in force at the entry instance that answers.
// Revision 0 means that there is no record.
type Drain struct {
	Kind     config.DrainKind `json:"kind" yaml:"kind"`
	Name     string           `json:"name" yaml:"name"`
	Out      bool             `json:"out" yaml:"out"`
	Revision ident.Revision   `json:"revision" yaml:"revision"`
	Team     ident.Team       `json:"team,omitempty" yaml:"team,omitempty"`
	Reason   string           `json:"reason,omitempty" yaml:"reason,omitempty"`
	Attempt  ident.AttemptID  `json:"attempt,omitempty" yaml:"attempt,omitempty"`
}

// Drains lists drain records.
type Drains struct {
	Drains []Drain `json:"drains" yaml:"drains"`
}

// Accepted is the answer to an edit that is in force at the answering entry
// instance and is being sent to the others.
type Accepted struct {
	Revision ident.Revision  `json:"revision" yaml:"revision"`
	Attempt  ident.AttemptID `json:"attempt" yaml:"attempt"`
}

// ServiceStatus is the capacity of a service according to the entry instance that
// answers.
type ServiceStatus struct {
	Name ident.ServiceName `json:"name" yaml:"name"`
	Kind service.Kind      `json:"kind" yaml:"kind"`
	// Wanted is the number of replicas in the service document.
	Wanted int `json:"wanted" yaml:"wanted"`
	// Usable and Draining count groups of a model service and backend servers
	// of a plain one.
	Usable   int `json:"usable" yaml:"usable"`
	Draining int `json:"draining" yaml:"draining"`
	Cold     int `json:"cold" yaml:"cold"`
	// WithoutPartner lists the capacity that would remain without each partner.
	WithoutPartner []PartnerStatus `json:"without_partner,omitempty" yaml:"without_partner,omitempty"`
}

// PartnerStatus is the remaining capacity of a service if a partner withdraws.
type PartnerStatus struct {
	Partner ident.Partner `json:"partner" yaml:"partner"`
	// Usable counts the groups or backend servers that are not the partner's.
	Usable int `json:"usable" yaml:"usable"`
}

// Status is the state of the entry instance that answers.
type Status struct {
	Instance    ident.InstanceID  `json:"instance" yaml:"instance"`
	Incarnation ident.Incarnation `json:"incarnation" yaml:"incarnation"`
	DataCentre  ident.DataCentre  `json:"data_centre" yaml:"data_centre"`
	// Revision is the highest revision up to which every edit is in force at this
	// entry instance. Head is the highest revision that it has learned of.
	Revision ident.Revision  `json:"revision" yaml:"revision"`
	Head     ident.Revision  `json:"head" yaml:"head"`
	Ready    bool            `json:"ready" yaml:"ready"`
	Entries  int             `json:"entries" yaml:"entries"`
	Services []ServiceStatus `json:"services" yaml:"services"`
	Drains   []Drain         `json:"drains" yaml:"drains"`
}

// TraceStatus is the state of the trace recorder of the entry instance that
// answers.
type TraceStatus struct {
	Instance  ident.InstanceID `json:"instance" yaml:"instance"`
	Recording bool             `json:"recording" yaml:"recording"`
	// Events counts the recorded events, Dropped those of them that were dropped.
	Events   uint64 `json:"events" yaml:"events"`
	Dropped  uint64 `json:"dropped" yaml:"dropped"`
	Bytes    int    `json:"bytes" yaml:"bytes"`
	MaxBytes int    `json:"max_bytes" yaml:"max_bytes"`
}

func serviceOf(v config.ServiceView) Service {
	return Service{
		Name: v.Document.Service, Revision: v.Revision, Owner: v.Document.Owner,
		Kind: v.Document.Kind, Attempt: v.Attempt,
	}
}

func drainOf(v config.DrainView) Drain {
	return Drain{
		Kind: v.Drain.Kind, Name: v.Drain.Name, Out: v.Drain.Out, Revision: v.Revision,
		Team: v.Drain.Team, Reason: v.Drain.Reason, Attempt: v.Attempt,
	}
}
