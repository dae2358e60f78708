package cluster

import (
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Config describes a cluster of real processes.
type Config struct {
	// BinDir holds the built binaries.
	BinDir string
	Region ident.Region
	// DataCentres are given entry instances, engines and order systems in turn.
	DataCentres []ident.DataCentre
	Entries     int
	// EnginesPerDataCentre run in one process per data centre.
	EnginesPerDataCentre int
	// DomainSize is the number of engines per fabric domain.
	DomainSize int
	// OrderSystems is the number of order system instances.
	OrderSystems int
	// Documents are service documents in YAML.
	Documents []string
	// EngineFlags and PlatformFlags are passed to the stand-ins.
	EngineFlags   []string
	PlatformFlags []string
	// Settings are lines appended to each entry instance's settings file.
	Settings string
	LogLevel string
	// Proxied puts a fault proxy in front of each entry instance's peers'
	// address, each backend server and the platform.
	Proxied bool
}

// Names used by the default documents.
const (
	// ModelService answers completions.
	ModelService = "quotes"
	// OrderService takes orders.
	OrderService = "orders"
	// Team owns both services.
	Team = "sales"
	// TeamToken authenticates operators of the team.
	TeamToken = "sales-token"
	// secret authenticates peers.
	peerSecret = "loopback-peer-secret"
)

// AccountKey returns the bearer key of the account with an index.
func AccountKey(i int) string { return fmt.Sprintf("account-key-%d", i) }

// AccountName returns the name of the account with an index.
func AccountName(i int) ident.Account { return ident.Account(fmt.Sprintf("account-%d", i)) }

// DefaultConfig returns seven entry instances in three data centres, before
// groups of four engines and three order systems.
func DefaultConfig(binDir string) Config {
	return Config{
		BinDir:               binDir,
		Region:               "bg-north",
		DataCentres:          []ident.DataCentre{"dc-a", "dc-b", "dc-c"},
		Entries:              7,
		EnginesPerDataCentre: 16,
		DomainSize:           8,
		OrderSystems:         3,
		Documents:            []string{ModelDocument(9, 6, 4, 10), OrderDocument(10)},
		LogLevel:             "info",
	}
}

// startTimeout bounds the wait until the cluster serves.
const startTimeout = 30 * time.Second

// ModelDocument returns a model service with a number of replicas.
func ModelDocument(wanted, minimum, instances, accounts int) string {
	return fmt.Sprintf(`service: %s
owner: %s
kind: model
model:
  name: base-model
  version: "1"
replicas:
  wanted: %d
  minimum: %d
  instances_per_replica: %d
  spares_per_domain: 0
class: interactive
priority: 5
deadline: 10s
backend:
  requests: 16
  cold_requests: 2
  held_tokens: 50000
  cold_ramp: 1s
accounts:
%s`, ModelService, Team, wanted, minimum, instances, accountsYAML(accounts))
}

// OrderDocument returns a plain service whose orders may not be repeated.
func OrderDocument(accounts int) string {
	return fmt.Sprintf(`service: %s
owner: %s
kind: plain
class: interactive
priority: 5
deadline: 5s
methods:
  - method: POST
    path_prefix: /orders
    idempotent: false
    class: rush
  - method: GET
    path_prefix: /stock
    idempotent: true
backend:
  requests: 64
  cold_requests: 8
  held_tokens: 50000
  cold_ramp: 1s
accounts:
%s`, OrderService, Team, accountsYAML(accounts))
}
