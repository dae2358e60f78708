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
	// DataCentres get entry instances and order systems in turn, and engines
	// each.
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
	// EngineFlags and PlatformFlags are additional command line flags of the
	// stand-ins.
	EngineFlags   []string
	PlatformFlags []string
	// ExtraSettings is YAML that is appended to each entry instance's settings file.
	ExtraSettings string
	LogLevel      string
	// UseFaultProxy puts a fault proxy in front of the peer address of each entry
	// instance, each backend server and the platform.
	UseFaultProxy bool
}

// Names used by the default documents.
const (
	// ModelService is the model service that answers completions.
	ModelService = "quotes"
	// OrderService is the plain service that runs orders.
	OrderService = "orders"
	// Team is the team that owns both services.
	Team = "sales"
	// TeamToken is the bearer token of the team's operators.
	TeamToken = "sales-token"
	// peerSecret is the shared secret that peers authenticate with.
	peerSecret = "loopback-peer-secret"
)

// AccountKey returns the bearer key of account i.
func AccountKey(i int) string { return fmt.Sprintf("account-key-%d", i) }

// AccountName returns the name of account i.
func AccountName(i int) ident.Account { return ident.Account(fmt.Sprintf("account-%d", i)) }

// DefaultConfig returns a cluster of seven entry instances, 48 engines for groups
// of four, and three order systems in three data centres.
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

// startTimeout bounds each wait for a step of the cluster's start.
const startTimeout = 30 * time.Second

// ModelDocument returns the document of a model service with a number of
// replicas, engines per replica and accounts.
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

// OrderDocument returns the document of a plain service whose orders are not
// idempotent.
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
