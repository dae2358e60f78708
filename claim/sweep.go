package claim

import (
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
)

// SweepConfig bounds the deletion of old rows.
type SweepConfig struct {
	// Interval is the least time between two transactions of the sweep. With
	// 250 ms and 64 rows the sweep takes 4 of the store's several hundred
	// writes and 4 of its 2,000 reads a second, and deletes up to 256 rows.
	Interval time.Duration
	// Page is the number of rows per scan and per transaction.
	Page int
	// Rest is the pause after a whole pass over the table.
	Rest time.Duration
	// Margin is added to a row's expiry, because the clocks of the machine that
	// wrote it and of this one may differ.
	Margin time.Duration
}

// DefaultSweepConfig returns the defaults.
func DefaultSweepConfig() SweepConfig {
	return SweepConfig{Interval: 250 * time.Millisecond, Page: 64, Rest: 10 * time.Minute, Margin: 10 * time.Minute}
}

// Sweeper walks over the claim table and names the rows to delete. One entry
// instance at a time runs it; two at once only waste writes, because each
// delete is conditional on the row's version.
type Sweeper struct {
	cfg   SweepConfig
	after string
}

// NewSweeper returns a sweeper at the start of the table.
func NewSweeper(cfg SweepConfig) *Sweeper { return &Sweeper{cfg: cfg} }

// Next returns the arguments of the next scan.
func (s *Sweeper) Next() (after string, limit int) { return s.after, s.cfg.Page }

// Page handles the rows of a scan at a wall clock time. It returns a
// transaction of deletions, the objects to delete after it applied, and the
// delay before the next scan.
func (s *Sweeper) Page(wall time.Time, rows []infra.Row) (txn infra.Txn, objects []string, delay time.Duration) {
	for _, row := range rows {
		s.after = row.Key
		stored, err := DecodeRow(row)
		if err != nil || wall.Before(time.Unix(stored.Expires, 0).Add(s.cfg.Margin)) {
			continue
		}
		txn.Conditions = append(txn.Conditions, infra.Condition{RowKey: row.RowKey, Version: row.Version})
		txn.Writes = append(txn.Writes, infra.Write{RowKey: row.RowKey, Delete: true})
		if stored.Answer != nil && stored.Answer.Object != "" {
			objects = append(objects, stored.Answer.Object)
		}
	}
	if len(rows) < s.cfg.Page {
		s.after = ""
		return txn, objects, s.cfg.Rest
	}
	return txn, objects, s.cfg.Interval
}
