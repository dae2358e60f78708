package group

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/service"
)

// Event is an input of the planner.
type Event interface{ groupEvent() }

// DocumentChanged carries the service document in force. A deleted service
// has wanted and minimum 0.
type DocumentChanged struct{ Document service.Document }

// InstancesListed carries the platform's lagging instance list.
type InstancesListed struct{ Instances []infra.Instance }

// InstancesUnchanged tells that a further read brought the same list.
type InstancesUnchanged struct{}

// DrainsChanged carries everything that operators took out of service.
type DrainsChanged struct {
	DataCentres []ident.DataCentre
	Instances   []ident.InstanceID
	Partners    []ident.Partner
}

// Report is the result of one status poll of a member.
type Report struct {
	Instance ident.InstanceID
	// SentAt is when the poll was sent.
	SentAt time.Duration
	// OK is false when the member did not answer.
	OK     bool
	Status engine.Status
}

// LeaseChanged tells that the lease was acquired, renewed or lost.
type LeaseChanged struct {
	Held  bool
	Grant lease.Grant
}

// TransactionAnswered answers Transact.
type TransactionAnswered struct {
	Attempt string
	Outcome infra.Outcome
	Version uint64
	// Rows holds the current rows of failed conditions.
	Rows []infra.Row
}

// RowRead answers ReadRow. An absent row has version 0.
type RowRead struct {
	Attempt string
	OK      bool
	Row     infra.Row
}

// AllRead answers ReadAll. The head row is read first; an absent one has
// version 0.
type AllRead struct {
	OK          bool
	Head        infra.Row
	Groups      []infra.Row
	Assignments []infra.Row
}

// CommandOutcome tells what became of a command.
type CommandOutcome int

// Outcomes of commands.
const (
	// CommandDone means that the engine acknowledged the command.
	CommandDone CommandOutcome = iota + 1
	// CommandRefused means that the engine answered and did not act.
	CommandRefused
	// CommandUnknown means that no answer came; the command may still arrive.
	CommandUnknown
)

// CommandAnswered answers Command.
type CommandAnswered struct {
	ID      uint64
	Outcome CommandOutcome
}

// Tick lets time pass. The caller sends one every 100 ms or so.
type Tick struct{}

func (DocumentChanged) groupEvent()     {}
func (InstancesListed) groupEvent()     {}
func (InstancesUnchanged) groupEvent()  {}
func (DrainsChanged) groupEvent()       {}
func (Report) groupEvent()              {}
func (LeaseChanged) groupEvent()        {}
func (TransactionAnswered) groupEvent() {}
func (RowRead) groupEvent()             {}
func (AllRead) groupEvent()             {}
func (CommandAnswered) groupEvent()     {}
func (Tick) groupEvent()                {}

// Action is an output of the planner.
type Action interface{ groupAction() }

// ReadAll asks for the head row, the group rows of the service and all
// assignment rows.
type ReadAll struct{}

// ReadRow asks for the head row to settle a transaction with an unknown outcome.
type ReadRow struct {
	Attempt string
	Key     infra.RowKey
}

// Transact asks for one transaction. It must not be sent after Deadline.
type Transact struct {
	Attempt  string
	Txn      infra.Txn
	Deadline time.Duration
}

// Command asks for one engine command; exactly one of the pointers is set. It
// must not be sent after Deadline, and its answer is not awaited longer.
type Command struct {
	ID       uint64
	Instance ident.InstanceID
	Address  string
	Deadline time.Duration
	Assign   *engine.AssignCommand
	Release  *engine.ReleaseCommand
	Preload  *engine.PreloadCommand
}

func (ReadAll) groupAction()  {}
func (ReadRow) groupAction()  {}
func (Transact) groupAction() {}
func (Command) groupAction()  {}
