// Package service defines the service document: one YAML document per service,
// owned by the team that runs it, with strict parsing and checks.
package service

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Kind says whether groups of model engines or plain backend servers serve the
// requests of a service.
type Kind string

// Kinds of services.
const (
	// KindModel is served by groups of model engines.
	KindModel Kind = "model"
	// KindPlain is served by single backend servers over plain HTTP.
	KindPlain Kind = "plain"
)

// Class is the urgency class of a request.
type Class string

// Classes of requests, most urgent first.
const (
	ClassRush        Class = "rush"
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Document describes one service.
type Document struct {
	Service   ident.ServiceName `yaml:"service" json:"service" validate:"required,name"`
	Owner     ident.Team        `yaml:"owner" json:"owner" validate:"required,name"`
	Kind      Kind              `yaml:"kind" json:"kind" validate:"required,oneof=model plain"`
	Model     Model             `yaml:"model,omitempty" json:"model,omitempty"`
	Replicas  Replicas          `yaml:"replicas,omitempty" json:"replicas,omitempty"`
	Placement Placement         `yaml:"placement,omitempty" json:"placement,omitempty"`
	Class     Class             `yaml:"class" json:"class" validate:"oneof=rush interactive batch"`
	// Priority orders requests within a class; a higher one runs first.
	Priority int `yaml:"priority" json:"priority" validate:"min=-100,max=100"`
	// Deadline bounds the time from the arrival of a request to the start of its
	// answer.
	Deadline time.Duration `yaml:"deadline" json:"deadline" validate:"min=10ms,max=1h"`
	Methods  []Method      `yaml:"methods,omitempty" json:"methods,omitempty" validate:"max=256,dive"`
	Backend  Backend       `yaml:"backend" json:"backend"`
	Accounts []Account     `yaml:"accounts" json:"accounts" validate:"max=1024,dive"`
	// OutcomeRetention is how long a retry can fetch the outcome of a
	// non-idempotent request.
	OutcomeRetention time.Duration `yaml:"outcome_retention" json:"outcome_retention" validate:"min=1m,max=720h"`
}

// Model is the model that the groups of a service load.
type Model struct {
	Name     string        `yaml:"name" json:"name" validate:"omitempty,max=128"`
	Version  string        `yaml:"version" json:"version" validate:"omitempty,max=128"`
	Adapters []string      `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique,dive,required,max=128"`
	Roles    []engine.Role `yaml:"roles,omitempty" json:"roles,omitempty" validate:"unique,dive,oneof=combined prefill decode"`
}

// Replicas sets how many groups of a service, and how many idle instances with
// preloaded weights, are required. Each group runs one replica of the model.
type Replicas struct {
	// Wanted is the required number of groups.
	Wanted int `yaml:"wanted" json:"wanted" validate:"min=0,max=10000"`
	// Minimum is the number of groups that planned changes must leave in service.
	Minimum int `yaml:"minimum" json:"minimum" validate:"min=0,max=10000"`
	// InstancesPerReplica is the number of instances in each group.
	InstancesPerReplica int `yaml:"instances_per_replica" json:"instances_per_replica" validate:"min=1,max=256"`
	// SparesPerDomain is the number of idle instances with preloaded weights in
	// each fabric domain that the service uses.
	SparesPerDomain int `yaml:"spares_per_domain" json:"spares_per_domain" validate:"min=0,max=256"`
	// StandbyGroups is the number of whole groups for which idle instances keep
	// the weights preloaded, in case a fabric domain fails. The instances of one
	// such group are in the same fabric domain.
	StandbyGroups int `yaml:"standby_groups" json:"standby_groups" validate:"min=0,max=10000"`
}

// Placement restricts the data centres and partners in which groups may be
// formed. An empty list does not restrict.
type Placement struct {
	DataCentres []ident.DataCentre `yaml:"data_centres,omitempty" json:"data_centres,omitempty" validate:"unique,dive,name"`
	Partners    []ident.Partner    `yaml:"partners,omitempty" json:"partners,omitempty" validate:"unique,dive,name"`
}

// Method sets the properties of matching calls of a plain service. The first
// matching entry applies; a call that matches none is non-idempotent unless its
// HTTP method is GET, HEAD or OPTIONS.
type Method struct {
	// Method is an HTTP method. If it is empty, every method matches.
	Method     string        `yaml:"method" json:"method" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	PathPrefix string        `yaml:"path_prefix" json:"path_prefix" validate:"required,startswith=/"`
	Idempotent bool          `yaml:"idempotent" json:"idempotent"`
	Deadline   time.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty" validate:"omitempty,min=10ms,max=1h"`
	Class      Class         `yaml:"class,omitempty" json:"class,omitempty" validate:"omitempty,oneof=rush interactive batch"`
}

// Backend limits the load of one backend server or group.
type Backend struct {
	// Requests and ColdRequests bound the concurrent requests of a warm and of a
	// cold backend server or group.
	Requests     int `yaml:"requests" json:"requests" validate:"min=1,max=100000"`
	ColdRequests int `yaml:"cold_requests" json:"cold_requests" validate:"min=1,max=100000"`
	// HeldTokens bounds the sum of the context tokens of the requests that run at
	// the backend server or group.
	HeldTokens int `yaml:"held_tokens" json:"held_tokens" validate:"min=1"`
	// ColdRamp is the time over which the limit grows from ColdRequests to
	// Requests after the backend server reports that it is warm.
	ColdRamp time.Duration `yaml:"cold_ramp" json:"cold_ramp" validate:"min=0s,max=1h"`
}

// Account is a client account with its weight and limits at the service.
type Account struct {
	Name ident.Account `yaml:"name" json:"name" validate:"required,name"`
	// KeySHA256 is the hexadecimal SHA-256 of the account's bearer key.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256" validate:"required,sha256"`
	// Weight is the account's relative share of the capacity under contention.
	Weight int `yaml:"weight" json:"weight" validate:"min=1,max=1000"`
	// RequestsPerSecond is the rate limit, and Burst is the number of requests that
	// may exceed it at once: the capacity of the token bucket.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" validate:"gt=0,max=1000000"`
	Burst             int     `yaml:"burst" json:"burst" validate:"min=1,max=1000000"`
	// Concurrency bounds the account's concurrent requests.
	Concurrency int `yaml:"concurrency" json:"concurrency" validate:"min=1,max=100000"`
}
