// Package edge runs an entry instance on a platform that tells it its settings,
// routes and backend servers. It ties the request path, the planner of groups,
// the leases and the beacons of other entry instances together.
//
// One goroutine owns the control state. Requests read an immutable view.
package edge

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/route"
)

// Settings are the settings of one entry instance.
type Settings struct {
	Instance   ident.InstanceID
	DataCentre ident.DataCentre
	IP         netip.Addr
	// CPULimit is this instance's share of a core.
	CPULimit float64
	// CallerAddress, ReadyAddress and LookupAddress are the addresses to listen on.
	CallerAddress, ReadyAddress, LookupAddress string
	// PeerPort takes datagrams of other entry instances, MetricsPort serves
	// metrics.
	PeerPort, MetricsPort int
	// Seeds are addresses of some entry instances, which may be stale.
	Seeds []netip.Addr
	// IsSeed tells that this instance is one of them.
	IsSeed       bool
	FirstStart   bool
	StoreAddress string
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// LookupTTL is the longest time for which callers keep a look-up.
	LookupTTL time.Duration
	// ColdFactor and ColdSlack bound what a cold backend server gets.
	ColdFactor, ColdSlack float64
	// LoadWindow is the window over which loads from the weight store count.
	LoadWindow time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound repeats of requests.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// Validate reports what is missing.
func (s *Settings) Validate() error {
	switch {
	case s.Instance == "":
		return errors.New("settings name no instance: set the node name")
	case s.CallerAddress == "" || s.ReadyAddress == "" || s.LookupAddress == "":
		return errors.New("settings lack an address to listen on: set those of callers, readiness and look-ups")
	case s.StoreAddress == "":
		return errors.New("settings name no store: set its address")
	case s.GracePeriod <= 0:
		return errors.New("settings give no time for a shutdown: set the grace period")
	}
	return nil
}

// Platform holds the translations that an entry instance needs.
type Platform struct {
	Table   infra.Table
	Watcher infra.Watcher
	Servers formation.Commander
	Headers forward.Headers
	// OperatorTable holds the configuration in the row ConfigKey, and a row for
	// each data centre that is taken out: EvacuatePrefix and its name.
	OperatorTable, ConfigKey, EvacuatePrefix string
	// ServerTable holds the entries of backend servers.
	ServerTable string
	// DecodeConfig returns a configuration and the problems of entries that were
	// left out.
	DecodeConfig func(value []byte) (route.Config, []error, error)
	DecodeServer func(row infra.Row, now time.Duration) (fleet.Server, error)
	// LookupHandler and ReadyHandler serve the platform's calls.
	LookupHandler  func(lookup func() ([]string, time.Duration)) http.Handler
	ReadyHandler   func(ready func() bool) http.Handler
	ReloadSettings func() (Settings, error)
}
