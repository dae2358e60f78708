package lease

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Event is an input of the machine.
type Event interface{ leaseEvent() }

// Tick lets time pass. The caller sends one every 100 ms or so.
type Tick struct{}

// RowsRead answers ReadRows. An absent row has version 0.
type RowsRead struct {
	Lease infra.Row
	Epoch infra.Row
}

// ReadFailed answers ReadRows when the store did not answer.
type ReadFailed struct{}

// Written answers WriteRows.
type Written struct {
	Attempt string
	Outcome infra.Outcome
	// Version is set when the outcome is applied.
	Version uint64
}

// RankChanged tells this entry's place among the live entries by rendezvous score
// for the service. 0 is the preferred holder.
type RankChanged struct{ Rank int }

// HolderEnded tells that a run of an entry instance has ended, or is silent for
// long where each command carries the fencing token and each receiver checks it.
// Its lease need not be waited out. The zero identity takes the word back.
type HolderEnded struct{ Holder Identity }

// Leave tells that this entry shuts down. It releases the lease and contends
// no more.
type Leave struct{}

func (Tick) leaseEvent()        {}
func (RowsRead) leaseEvent()    {}
func (ReadFailed) leaseEvent()  {}
func (Written) leaseEvent()     {}
func (RankChanged) leaseEvent() {}
func (Leave) leaseEvent()       {}
func (HolderEnded) leaseEvent() {}

// Action is an output of the machine.
type Action interface{ leaseAction() }

// ReadRows asks for both rows: first the lease row, then the epoch row.
type ReadRows struct{}

// WriteRows asks for one transaction.
type WriteRows struct {
	Attempt string
	Txn     infra.Txn
}

// Acquired tells that this entry became the holder.
type Acquired struct{ Grant Grant }

// Renewed tells that the lease lasts longer.
type Renewed struct{ Grant Grant }

// Lost tells that this entry has to stop acting as the holder at once.
type Lost struct{ Epoch ident.Epoch }

func (ReadRows) leaseAction()  {}
func (WriteRows) leaseAction() {}
func (Acquired) leaseAction()  {}
func (Renewed) leaseAction()   {}
func (Lost) leaseAction()      {}

// Grant is the right to act for a service until an instant on the local clock.
type Grant struct {
	// Epoch is the fencing token.
	Epoch ident.Epoch
	// EpochVersion is the version of the epoch row, which every table write
	// of the holder carries as a condition.
	EpochVersion uint64
	// CommandsFrom is the first instant at which commands may go to engines
	// that ignore fencing tokens: by then commands of the previous holder
	// have arrived or are lost.
	CommandsFrom time.Duration
	// Expires is the instant at which the holder stops acting.
	Expires time.Duration
}

// Remaining returns the time left to act.
func (g Grant) Remaining(now time.Duration) time.Duration {
	return max(0, g.Expires-now)
}
