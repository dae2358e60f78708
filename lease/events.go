package lease

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Event is an input of the machine.
type Event interface{ leaseEvent() }

// Tick is sent about every 100 ms so that the machine can act on elapsed time.
type Tick struct{}

// RowsRead is the result of ReadRows. A row that does not exist has version 0.
type RowsRead struct {
	Lease infra.Row
	Epoch infra.Row
	// Era is the store's era at the read; see infra.EraReporter.
	Era uint64
}

// ReadFailed is the result of ReadRows when the table could not be read.
type ReadFailed struct{}

// Written is the result of WriteRows.
type Written struct {
	Attempt string
	Outcome infra.Outcome
	// Version is the new version of the written rows if the write was applied.
	Version uint64
}

// RankChanged reports the rank of this entry instance among the live ones by rendezvous score
// for the service. Rank 0 is the preferred holder.
type RankChanged struct{ Rank int }

// HolderEnded reports that an incarnation of an entry instance has ended, so that its
// lease need not be waited for. If every command carries the fencing token and every
// receiver checks it, the event may also be sent when the instance has been unreachable
// for long. The zero identity withdraws the report.
type HolderEnded struct{ Holder Identity }

// Standby sets whether this entry instance leaves the lease to others: it then neither reads the rows
// nor acquires the lease. A lease that it holds is not affected.
type Standby struct{ On bool }

// Leave reports that this entry instance shuts down. The machine releases the lease and
// does not acquire it again.
type Leave struct{}

func (Tick) leaseEvent()        {}
func (RowsRead) leaseEvent()    {}
func (ReadFailed) leaseEvent()  {}
func (Written) leaseEvent()     {}
func (RankChanged) leaseEvent() {}
func (Leave) leaseEvent()       {}
func (Standby) leaseEvent()     {}
func (HolderEnded) leaseEvent() {}

// Action is an output of the machine.
type Action interface{ leaseAction() }

// ReadRows requests a read of both rows, first the lease row and then the epoch row.
type ReadRows struct{}

// WriteRows requests a transaction. Attempt identifies it in the result. The outcome is
// infra.OutcomeUnknown if it was applied but the store's era is no longer Era.
type WriteRows struct {
	Attempt string
	Txn     infra.Txn
	Era     uint64
}

// Acquired reports that this entry instance became the holder. Former is the holder before, or
// zero if that one released the lease or is not known.
type Acquired struct {
	Grant  Grant
	Former Identity
}

// Renewed reports that the lease expires later than before.
type Renewed struct{ Grant Grant }

// Lost reports that this entry instance must stop acting as the holder at once.
type Lost struct{ Epoch ident.Epoch }

func (ReadRows) leaseAction()  {}
func (WriteRows) leaseAction() {}
func (Acquired) leaseAction()  {}
func (Renewed) leaseAction()   {}
func (Lost) leaseAction()      {}

// Grant is the right to act for a service until a time on the local clock.
type Grant struct {
	// Epoch is the fencing token.
	Epoch ident.Epoch
	// EpochVersion is the version of the epoch row, which every table write
	// of the holder carries as a condition.
	EpochVersion uint64
	// CommandsFrom is the earliest time at which commands may be sent to engines that
	// ignore fencing tokens. By then, commands of the previous holder have arrived or
	// are lost.
	CommandsFrom time.Duration
	// Expires is the time at which the holder must stop acting.
	Expires time.Duration
}

// Remaining returns the time until the grant expires, or 0.
func (g Grant) Remaining(now time.Duration) time.Duration {
	return max(0, g.Expires-now)
}
