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

// DocumentChanged carries the current service document. That of a deleted service
// has a wanted number and a minimum of 0 groups.
type DocumentChanged struct{ Document service.Document }

// InstancesListed carries the platform's instance list, which may be out of date.
type InstancesListed struct{ Instances []infra.Instance }

// InstancesUnchanged means that another read returned the same instance list.
type InstancesUnchanged struct{}

// DrainsChanged carries everything that operators have taken out of service.
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

// LeaseChanged means that the lease was acquired, renewed or lost.
type LeaseChanged struct {
	Held  bool
	Grant lease.Grant
}

// TransactionAnswered is the result of Transact, which may also have failed.
type TransactionAnswered struct {
	Attempt string
	Outcome infra.Outcome
	Version uint64
	// Rows holds the current rows of the conditions that failed.
	Rows []infra.Row
}

// RowRead is the result of ReadRow. An absent row has version 0.
type RowRead struct {
	Attempt string
	OK      bool
	Row     infra.Row
}

// AllRead is the result of ReadAll. The head row has to be read before the
// others; an absent one has version 0.
type AllRead struct {
	OK          bool
	Head        infra.Row
	Groups      []infra.Row
	Assignments []infra.Row
}

// CommandOutcome is the outcome of a command.
type CommandOutcome int

// Outcomes of commands.
const (
	// CommandDone means that the engine acknowledged the command.
	CommandDone CommandOutcome = iota + 1
	// CommandRefused means that the command was not executed.
	CommandRefused
	// CommandUnknown means that no answer was received. The command may still
	// arrive.
	CommandUnknown
)

// CommandAnswered is the result of Command.
type CommandAnswered struct {
	ID      uint64
	Outcome CommandOutcome
}

// Tick triggers decisions that depend on time. The caller sends one about every
// 100 ms.
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

// ReadAll requests the head row, the group rows of the service and all assignment
// rows.
type ReadAll struct{}

// ReadRow requests the head row, to find out whether a transaction with an unknown
// outcome was applied.
type ReadRow struct {
	Attempt string
	Key     infra.RowKey
}

// Transact requests one transaction. It must not be sent after Deadline.
type Transact struct {
	Attempt  string
	Txn      infra.Txn
	Deadline time.Duration
}

// Command requests one engine command; exactly one of Assign, Release and Preload
// is set. It must not be sent after Deadline, and the wait for its answer ends
// then.
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
