// Package edge runs an entry instance: a process that receives callers' requests and
// forwards them to backend servers. It connects the request handler (forward), the
// group planner (formation), the planner's lease (lease) and the heartbeats between
// entry instances (beacon). A Platform provides the settings, the store and the calls
// to backend servers.
//
// One goroutine owns the control state; see runControlLoop. Requests read an immutable
// view that it publishes.
//
// A few entry instances read configuration and backend servers from the store, and the
// others follow them; see updateReaderRole. The holder of the planner's lease forms
// and repairs the groups of backend servers.
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
	// CPULimit is the share of a CPU core that this instance may use.
	CPULimit float64
	// Memory is the memory that this instance may use, in bytes. 0 means that it is not known.
	Memory int64
	// CallerAddress, ReadyAddress and LookupAddress are the listen addresses for callers' requests,
	// readiness checks and address lookups.
	CallerAddress, ReadyAddress, LookupAddress string
	// PeerPort is the UDP and TCP port for other entry instances, MetricsPort the port
	// of the metrics.
	PeerPort, MetricsPort int
	// Seeds are addresses of some other entry instances. They may be out of date.
	Seeds []netip.Addr
	// IsSeed is true if this instance is itself a seed.
	IsSeed bool
	// FirstStart is true at the first start of the whole system.
	FirstStart   bool
	StoreAddress string
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// LookupTTL is the longest time for which callers cache a lookup.
	LookupTTL time.Duration
	// ColdFactor and ColdSlack limit the request rate of a cold backend server: its
	// rate times ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
	// LoadWindow is the time window in which loads from the weight store are counted
	// against their limit.
	LoadWindow time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit retries: the share of requests that
	// may be retried, and the number beyond it in each window.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// DrainTime is the time from the first response of a leaving backend server after which
	// no request may be sent to it. 0 means that none may be sent at all.
	DrainTime time.Duration
	// ConfigTime is the time from the confirmation of a configuration after which no request may
	// be decided by an earlier one. 0 means that there is no bound.
	ConfigTime time.Duration
	// Duties are the calls to the platform that one entry instance at a time makes.
	Duties DutySettings
}

// DutySettings describe the platform calls that one entry instance at a time makes. The zero
// value asks for none.
type DutySettings struct {
	// Address is the address of the calls, and CallRate the number of them a second that the
	// platform accepts from all entry instances together.
	Address  string
	CallRate float64
	// ReportsUsage asks for a report of each usage window, OrdersServers for orders of the
	// number of backend servers.
	ReportsUsage, OrdersServers bool
	// LogsOrdersOnly makes the orders of servers appear in the log only.
	LogsOrdersOnly bool
	// ChecksTokens is true if the platform refuses calls with an outdated fencing token.
	ChecksTokens bool
	// HolderTime is the time within which a duty must not return to an earlier holder.
	HolderTime time.Duration
	// UsageWindow is the length of a usage window, UsageDelay the time from the end of a window
	// until its report is due, and UsageTolerance the relative error that a report may have.
	UsageWindow, UsageDelay time.Duration
	UsageTolerance          float64
}

// validate returns an error that names an invalid setting.
func (d *DutySettings) validate() error {
	switch {
	case !d.ReportsUsage && !d.OrdersServers:
		return nil
	case d.Address == "":
		return errors.New("settings name duties but no address for them: set the address of the platform's calls")
	case d.CallRate <= 0:
		return errors.New("settings name duties but no rate for them: set the number of calls a second to a positive number")
	case d.ReportsUsage && d.UsageWindow <= 0:
		return errors.New("settings ask for usage reports without a window: set the length of a usage window to a positive time")
	}
	return nil
}

// Validate returns an error that names a required setting that is missing.
func (s *Settings) Validate() error {
	switch {
	case s.Instance == "":
		return errors.New("settings lack the instance name: set the node name")
	case s.CallerAddress == "" || s.ReadyAddress == "" || s.LookupAddress == "":
		return errors.New("settings lack a listen address: set those for callers, readiness checks and lookups")
	case s.StoreAddress == "":
		return errors.New("settings lack the address of the store: set it")
	case s.GracePeriod <= 0:
		return errors.New("settings lack a positive grace period: set the time between SIGTERM and SIGKILL")
	}
	return s.Duties.validate()
}

// Platform adapts an entry instance to the platform that it runs on.
type Platform struct {
	// Table and Watcher give access to the store.
	Table   infra.Table
	Watcher infra.Watcher
	// Servers sends orders and probes to backend servers.
	Servers formation.Commander
	// Calls makes the calls of the duties. It is nil if the settings ask for none.
	Calls PlatformCalls
	// Headers names the platform's HTTP headers.
	Headers forward.Headers
	// Prompt describes a request's prompt.
	Prompt func(http.Header) forward.Prompt
	// OperatorTable is the store table that operators write. The row ConfigKey holds
	// the configuration. Each evacuated data centre has a row whose key is
	// EvacuatePrefix followed by its name.
	OperatorTable, ConfigKey, EvacuatePrefix string
	// ServerTable is the store table of the backend servers' entries.
	ServerTable string
	// DecodeConfig returns a configuration and an error for each entry that was left
	// out because it is invalid.
	DecodeConfig func(value []byte) (route.Config, []error, error)
	// DecodeServer decodes the entry of a backend server. now is the current time on
	// the clock of the Node.
	DecodeServer func(row infra.Row, now time.Duration) (fleet.Server, error)
	// CompareStay orders two backend servers of a data centre: it is negative if the platform
	// takes b away before a when it is to have fewer.
	CompareStay func(a, b *fleet.Server) int
	// LookupHandler serves callers' address lookups and ReadyHandler the platform's
	// readiness checks.
	LookupHandler func(lookup func() ([]string, time.Duration)) http.Handler
	ReadyHandler  func(ready func() bool) http.Handler
	// ReloadSettings reads the settings file again.
	ReloadSettings func() (Settings, error)
}
