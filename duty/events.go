package duty

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// Event is an input of the machine.
type Event interface{ dutyEvent() }

// LeaseChanged reports that this entry instance acquired, renewed or lost the lease of the
// duties. OwnFormerRun is true if the holder before was an earlier run on this machine.
type LeaseChanged struct {
	Held         bool
	Grant        lease.Grant
	OwnFormerRun bool
}

// WindowCounted reports the complete counts of a usage window. The machine ignores a later
// event for the same window.
type WindowCounted struct {
	Window int64
	// Counts holds the number of requests of each client account that began to run in the
	// window. The machine keeps the map; the caller must not change it afterwards.
	Counts map[ident.Account]uint64
	// Ended is when the window ended, on the clock that is passed to Step. 0 means now. The
	// event has to come before Ended plus Config.UsageDelay.
	Ended time.Duration
}

// SizeWanted reports how many backend servers of a service a data centre is to have. The last
// event for a service and data centre counts.
type SizeWanted struct {
	Service    ident.ServiceName
	DataCentre ident.DataCentre
	Servers    int
	// Decision identifies the decision. Another one is ordered although the number is the same,
	// as after a loss of servers, which the platform replaces only on a new order.
	Decision uint64
	// Reason is logged with the call.
	Reason string
}

// RowsRead is the result of ReadRows.
type RowsRead struct {
	Attempt uint64
	Rows    []infra.Row
	// Era is the store's era, which did not change during the read.
	Era uint64
}

// ReadFailed is the result of ReadRows if the table could not be read, or was restored
// meanwhile.
type ReadFailed struct{ Attempt uint64 }

// Written is the result of WriteRow.
type Written struct {
	Attempt uint64
	Outcome infra.Outcome
}

// Called is the result of Call.
type Called struct {
	Attempt uint64
	Outcome Outcome
}

// Tick is sent about every 100 ms while this entry instance holds the lease, so that the
// machine can act on elapsed time.
type Tick struct{}

func (LeaseChanged) dutyEvent()  {}
func (WindowCounted) dutyEvent() {}
func (SizeWanted) dutyEvent()    {}
func (RowsRead) dutyEvent()      {}
func (ReadFailed) dutyEvent()    {}
func (Written) dutyEvent()       {}
func (Called) dutyEvent()        {}
func (Tick) dutyEvent()          {}

// Action is an output of the machine.
type Action interface{ dutyAction() }

// ReadRows requests a read of all rows of Table.
type ReadRows struct{ Attempt uint64 }

// WriteRow requests a transaction.
type WriteRow struct {
	Attempt uint64
	Txn     infra.Txn
}

// Call requests a call of the platform, which must have ended by Expires. It must not be sent
// if too little time remains for it, as after a suspension of the machine.
type Call struct {
	Attempt uint64
	Kind    Kind
	Token   Token
	Expires time.Duration

	// Window and Counts are set in a ReportUsage call.
	Window int64
	Counts map[ident.Account]uint64

	// Service, DataCentre, Servers and Reason are set in an OrderServers call.
	Service    ident.ServiceName
	DataCentre ident.DataCentre
	Servers    int
	Reason     string
}

// LogEntry requests a log line. Subject is the window, or the service and the data centre.
type LogEntry struct {
	Text    string
	Kind    Kind
	Subject string
	Detail  string
}

// Count requests that a counter is increased.
type Count struct{ Counter Counter }

func (ReadRows) dutyAction() {}
func (WriteRow) dutyAction() {}
func (Call) dutyAction()     {}
func (LogEntry) dutyAction() {}
func (Count) dutyAction()    {}

// Kind is a duty.
type Kind int

// Duties.
const (
	// ReportUsage reports the requests of each client account in a usage window.
	ReportUsage Kind = iota + 1
	// OrderServers orders the number of backend servers of a service in a data centre.
	OrderServers
)

// String returns the name of the duty in logs and metrics.
func (k Kind) String() string { return [...]string{"", "usage_report", "server_order"}[k] }

// Result says what became of a call.
type Result int

// Results of calls.
const (
	// Accepted means that the platform has done the call.
	Accepted Result = iota + 1
	// Outdated means that the platform has seen a higher token for the duty and subject.
	Outdated
	// Throttled means that the platform got too many calls and has not done this one.
	Throttled
	// Rejected means that the platform does not understand the call.
	Rejected
	// Unanswered means that the call may have been done, or may yet be done.
	Unanswered
	// NotSent means that the lease would have ended before the call.
	NotSent
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"", "accepted", "outdated", "throttled", "rejected", "unanswered", "not_sent"}[r]
}

// Outcome is the result of a call. Err describes any other result than Accepted.
type Outcome struct {
	Result Result
	Err    error
}

// Counter is the name of the metric that counts what became of usage windows.
type Counter string

// Counters.
const (
	// WindowsReported counts windows whose report was accepted in time, WindowsLate those whose
	// report was accepted after it was due.
	WindowsReported Counter = "usage_windows_reported_total"
	WindowsLate     Counter = "usage_windows_late_total"
	// WindowsUnreported counts windows whose report was not accepted until it was due.
	WindowsUnreported Counter = "usage_windows_unreported_total"
	// WindowsSkipped counts windows that another report may exist of.
	WindowsSkipped Counter = "usage_windows_skipped_total"
)
