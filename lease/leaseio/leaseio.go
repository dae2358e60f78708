// Package leaseio performs the reads and writes that a lease.Machine requests.
package leaseio

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// Read performs lease.ReadRows. It reads the lease row first. If the holder changes
// between the two reads, the next write conflicts.
func Read(ctx context.Context, table infra.Table, name ident.ServiceName) lease.Event {
	before := infra.EraOf(table)
	row, err := Get(ctx, table, lease.Key(name))
	if err != nil {
		return lease.ReadFailed{}
	}
	epoch, err := Get(ctx, table, lease.EpochKey(name))
	if err != nil {
		return lease.ReadFailed{}
	}
	era := infra.EraOf(table)
	if era != before && before != 0 {
		return lease.ReadFailed{} // The rows may be of both eras.
	}
	return lease.RowsRead{Lease: row, Epoch: epoch, Era: era}
}

// Write performs lease.WriteRows.
func Write(ctx context.Context, table infra.Table, w lease.WriteRows) lease.Event {
	version, err := table.Txn(ctx, w.Txn)
	outcome := infra.OutcomeOf(err)
	if outcome == infra.OutcomeApplied && infra.EraOf(table) != w.Era {
		// A condition that a row is absent also holds where a restore has removed it.
		outcome = infra.OutcomeUnknown
	}
	return lease.Written{Attempt: w.Attempt, Outcome: outcome, Version: version}
}

// Get reads one row. A row that does not exist is returned with version 0.
func Get(ctx context.Context, table infra.Table, key infra.RowKey) (infra.Row, error) {
	row, err := table.Get(ctx, key)
	if errors.Is(err, infra.ErrRowNotFound) {
		return infra.Row{RowKey: key}, nil
	}
	row.RowKey = key
	return row, err
}
