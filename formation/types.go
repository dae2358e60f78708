// Package formation forms the groups of instances that serve a model, repairs
// them after losses and keeps spare instances with weights ready. The Planner is
// a deterministic state machine: it is fed with what the list of backend servers
// shows, with the lease and with the answers to its actions, and returns the
// orders and writes to perform.
//
// What a group consists of stands in a row of the platform's table. The row is
// written before its members are ordered to join, so that the next holder of the
// lease knows under which list the members joined. A head is opened only after
// each member was seen ready under that group, epoch and list.
package formation

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/route"
)

// Table holds one row for each group.
const Table = "formation"

// OrderKind is what a backend server is asked to do.
type OrderKind int

// Kinds of orders.
const (
	Join OrderKind = iota + 1
	Open
	Close
	Leave
	Stage
)

// String names the kind in logs.
func (k OrderKind) String() string {
	return [...]string{"", "join", "open", "close", "leave", "stage"}[k]
}

// Order is a command to one backend server.
type Order struct {
	Kind    OrderKind
	Server  ident.InstanceID
	Address string
	Group   ident.GroupID
	Epoch   ident.Epoch
	Model   string
	Members []ident.InstanceID
	// Fence is the fencing token of the planner's lease.
	Fence ident.Epoch
}

// OrderOutcome is the answer to an order. An order without an answer may have
// been taken, or may be carried out later.
type OrderOutcome struct {
	Accepted bool
	// Fenced tells that the server has seen a newer token or epoch.
	Fenced bool
	Err    error
}

// Commander performs orders and probes.
type Commander interface {
	Order(ctx context.Context, o Order) OrderOutcome
	// Alive asks a server for a sign of life.
	Alive(ctx context.Context, address string, id ident.InstanceID) error
}

// Member is one run of a backend server.
type Member struct {
	ID          ident.InstanceID  `json:"id"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Row is the stored state of a group.
type Row struct {
	Group   ident.GroupID     `json:"group"`
	Service ident.ServiceName `json:"service"`
	Epoch   ident.Epoch       `json:"epoch"`
	Model   string            `json:"model"`
	Domain  ident.Domain      `json:"domain"`
	// Members in rank order; the first is the head.
	Members []Member `json:"members"`
}

// Key returns the address of a group's row.
func Key(g ident.GroupID) infra.RowKey { return infra.RowKey{Table: Table, Key: string(g)} }

func decodeRow(r infra.Row) (Row, error) {
	var out Row
	if err := json.Unmarshal(r.Value, &out); err != nil {
		return Row{}, errors.Wrapf(err, "row of group %q: delete it if no version of this program wrote it", r.Key)
	}
	if out.Group != ident.GroupID(r.Key) || len(out.Members) == 0 {
		return Row{}, errors.Errorf("row of group %q names no members: delete it", r.Key)
	}
	return out, nil
}

// Event is an input of the planner.
type Event interface{ formationEvent() }

// Tick lets time pass.
type Tick struct{}

// ServersChanged brings the list of backend servers.
type ServersChanged struct{ Servers *fleet.Snapshot }

// ConfigChanged brings the service that the planner forms groups for, and the data
// centres that are taken out.
type ConfigChanged struct {
	Service   *route.Service
	Evacuated []ident.DataCentre
}

// LeaseChanged tells whether this entry instance may act.
type LeaseChanged struct {
	Held  bool
	Grant lease.Grant
}

// RowsRead answers ReadRows.
type RowsRead struct{ Rows []infra.Row }

// ReadFailed answers ReadRows when the store did not answer.
type ReadFailed struct{}

// Written answers WriteRow.
type Written struct {
	Group   ident.GroupID
	Outcome infra.Outcome
	Version uint64
}

// Ordered answers SendOrder.
type Ordered struct {
	Order   Order
	Outcome OrderOutcome
}

// GroupStalled tells that requests at a group's head make no progress.
type GroupStalled struct {
	Group ident.GroupID
	Epoch ident.Epoch
}

// HeadFailing tells that all requests to a group's head fail.
type HeadFailing struct {
	Group ident.GroupID
	Epoch ident.Epoch
}

// Probed answers Probe.
type Probed struct {
	Member Member
	Alive  bool
}

// TrafficStarted tells that callers have sent requests: loads count from now on.
type TrafficStarted struct{}

func (Tick) formationEvent()           {}
func (ServersChanged) formationEvent() {}
func (ConfigChanged) formationEvent()  {}
func (LeaseChanged) formationEvent()   {}
func (RowsRead) formationEvent()       {}
func (ReadFailed) formationEvent()     {}
func (Written) formationEvent()        {}
func (Ordered) formationEvent()        {}
func (GroupStalled) formationEvent()   {}
func (HeadFailing) formationEvent()    {}
func (Probed) formationEvent()         {}
func (TrafficStarted) formationEvent() {}

// Action is an output of the planner.
type Action interface{ formationAction() }

// ReadRows asks for all rows of the table.
type ReadRows struct{}

// WriteRow asks for one transaction on a group's row.
type WriteRow struct {
	Group ident.GroupID
	Txn   infra.Txn
}

// SendOrder asks to send an order.
type SendOrder struct{ Order Order }

// Probe asks for a sign of life of a member.
type Probe struct {
	Member  Member
	Address string
}

// LogEntry is a decision for the log.
type LogEntry struct {
	Text   string
	Group  ident.GroupID
	Epoch  ident.Epoch
	Model  string
	Detail string
}

func (ReadRows) formationAction()  {}
func (WriteRow) formationAction()  {}
func (SendOrder) formationAction() {}
func (Probe) formationAction()     {}
func (LogEntry) formationAction()  {}

// Config holds the planner's times and proportions.
type Config struct {
	// Resend is the time after which an order whose effect is not seen is sent
	// again. It is longer than an order's timeout and the lag of the list.
	Resend time.Duration
	// DrainWait is how long a group without replacements serves on while a
	// member leaves: most of the time that leaving servers stay.
	DrainWait time.Duration
	// ProbeEvery is the time between probes of one member.
	ProbeEvery time.Duration
	// HeadCheck is how long a failing head's sign of life is awaited before another
	// member takes its place. It exceeds a probe's timeout.
	HeadCheck time.Duration
	// DeadFor is how long a member without a sign of life counts as dead.
	DeadFor time.Duration
	// Forget is how much longer one counts as dead whose entry is gone as well.
	Forget time.Duration
	// HeadGone is how long running requests may go on at a head whose entry was
	// removed before its members are taken.
	HeadGone time.Duration
	// CutFor is how long a group serves on with a live member whose entry was
	// removed.
	CutFor time.Duration
	// StoreRetry is the pause after a call to the table that failed; it doubles up
	// to StoreRetryMost.
	StoreRetry, StoreRetryMost time.Duration
	// Settle is how long a new holder waits for the list before it judges
	// members, because its first list may lag.
	Settle time.Duration
	// ListQuiet is how long the list may not have grown before the first groups are
	// formed, two updates of a reader; ListWait bounds the wait from the lease on, so
	// that all weights are loaded before the first request.
	ListQuiet, ListWait time.Duration
	// Summary is the time between lines on the state of all groups.
	Summary time.Duration
	// LoadWindow is the window over which starts of loads are limited.
	LoadWindow time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Resend:         1300 * time.Millisecond,
		DrainWait:      1200 * time.Millisecond,
		ProbeEvery:     600 * time.Millisecond,
		HeadCheck:      200 * time.Millisecond,
		DeadFor:        6 * time.Second,
		Forget:         time.Minute,
		HeadGone:       1500 * time.Millisecond,
		CutFor:         8 * time.Second,
		StoreRetry:     100 * time.Millisecond,
		StoreRetryMost: 800 * time.Millisecond,
		Settle:         300 * time.Millisecond,
		ListQuiet:      500 * time.Millisecond,
		ListWait:       2500 * time.Millisecond,
		Summary:        2 * time.Second,
		LoadWindow:     5 * time.Second,
	}
}
