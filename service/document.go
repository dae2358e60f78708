// Package service defines the service document: one YAML document per service,
// owned by the team that runs it, with strict parsing and checks.
package service

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Kind tells what serves the requests of a service.
type Kind string

// Kinds of services.
const (
	// KindModel is served by groups of model engines.
	KindModel Kind = "model"
	// KindPlain is served by single backend servers over plain HTTP.
	KindPlain Kind = "plain"
)

// Class groups requests by how soon they are due.
type Class string

// Classes of requests, most urgent first.
const (
	ClassRush        Class = "rush"
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Document describes one service.
type Document struct {
	Service   ident.ServiceName `yaml:"service" json:"service"`
	Owner     ident.Team        `yaml:"owner" json:"owner"`
	Kind      Kind              `yaml:"kind" json:"kind"`
	Model     Model             `yaml:"model,omitempty" json:"model,omitempty"`
	Replicas  Replicas          `yaml:"replicas,omitempty" json:"replicas,omitempty"`
	Placement Placement         `yaml:"placement,omitempty" json:"placement,omitempty"`
	Class     Class             `yaml:"class" json:"class"`
	// Priority orders requests within a class; higher runs first.
	Priority int `yaml:"priority" json:"priority"`
	// Deadline bounds a request from its arrival to the start of its answer.
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	Methods  []Method      `yaml:"methods,omitempty" json:"methods,omitempty"`
	Backend  Backend       `yaml:"backend" json:"backend"`
	Accounts []Account     `yaml:"accounts" json:"accounts"`
	// OutcomeRetention is how long the outcome of a non-idempotent request can
	// be fetched by a retry.
	OutcomeRetention time.Duration `yaml:"outcome_retention" json:"outcome_retention"`
}

// Model names what the groups of a service load.
type Model struct {
	Name     string        `yaml:"name" json:"name"`
	Version  string        `yaml:"version" json:"version"`
	Adapters []string      `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Roles    []engine.Role `yaml:"roles,omitempty" json:"roles,omitempty"`
}

// Replicas says how many groups the service wants.
type Replicas struct {
	Wanted int `yaml:"wanted" json:"wanted"`
	// Minimum is the number that planned changes never go below.
	Minimum             int `yaml:"minimum" json:"minimum"`
	InstancesPerReplica int `yaml:"instances_per_replica" json:"instances_per_replica"`
	// SparesPerDomain is the number of idle instances per used fabric domain
	// that keep the weights preloaded.
	SparesPerDomain int `yaml:"spares_per_domain" json:"spares_per_domain"`
}

// Placement restricts where groups may be formed. Empty means anywhere.
type Placement struct {
	DataCentres []ident.DataCentre `yaml:"data_centres,omitempty" json:"data_centres,omitempty"`
	Partners    []ident.Partner    `yaml:"partners,omitempty" json:"partners,omitempty"`
}

// Method tells how calls of a plain service behave. The first match applies;
// a call that matches none is non-idempotent unless its HTTP method is GET,
// HEAD or OPTIONS.
type Method struct {
	Method     string        `yaml:"method" json:"method"`
	PathPrefix string        `yaml:"path_prefix" json:"path_prefix"`
	Idempotent bool          `yaml:"idempotent" json:"idempotent"`
	Deadline   time.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	Class      Class         `yaml:"class,omitempty" json:"class,omitempty"`
}

// Backend limits what one backend server or group holds at a time.
type Backend struct {
	// Requests and ColdRequests are concurrent requests when warm and cold.
	Requests     int `yaml:"requests" json:"requests"`
	ColdRequests int `yaml:"cold_requests" json:"cold_requests"`
	// HeldTokens bounds the context tokens held by running requests.
	HeldTokens int `yaml:"held_tokens" json:"held_tokens"`
	// ColdRamp is the time over which the limit grows from ColdRequests to
	// Requests after the backend server reports that it is warm.
	ColdRamp time.Duration `yaml:"cold_ramp" json:"cold_ramp"`
}

// Account is a client account with its share of the service.
type Account struct {
	Name ident.Account `yaml:"name" json:"name"`
	// KeySHA256 is the hexadecimal SHA-256 of the account's bearer key.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256"`
	// Weight is the account's share under contention.
	Weight            int     `yaml:"weight" json:"weight"`
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	Burst             int     `yaml:"burst" json:"burst"`
	Concurrency       int     `yaml:"concurrency" json:"concurrency"`
}
