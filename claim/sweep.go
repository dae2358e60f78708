package claim

import (
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
)

// SweepConfig configures the deletion of expired rows.
type SweepConfig struct {
	// Interval is the minimum time between two transactions of the sweep. With
	// 250 ms and 64 rows, the sweep uses 4 of the several hundred writes and 4 of
	// the 2,000 reads a second that the store supports, and deletes up to 256
	// rows a second.
	Interval time.Duration
	// PageSize is the number of rows per scan and per transaction.
	PageSize int
	// PassInterval is the pause after a complete pass over the table.
	PassInterval time.Duration
	// ClockMargin is added to a row's expiry, because the clock of the machine
	// that wrote the row may differ from the local clock.
	ClockMargin time.Duration
}

// DefaultSweepConfig returns the default configuration.
func DefaultSweepConfig() SweepConfig {
	return SweepConfig{Interval: 250 * time.Millisecond, PageSize: 64, PassInterval: 10 * time.Minute, ClockMargin: 10 * time.Minute}
}

// Sweeper scans the claim table and selects the expired rows. One entry instance
// at a time should run it. Two at once are harmless but waste writes, because
// each deletion is conditional on the row's version.
type Sweeper struct {
	cfg      SweepConfig
	afterKey string // key of the last scanned row, empty at the start of a pass
}

// NewSweeper returns a sweeper at the start of the table.
func NewSweeper(cfg SweepConfig) *Sweeper { return &Sweeper{cfg: cfg} }

// NextScan returns the key after which the next scan starts and its row limit.
func (s *Sweeper) NextScan() (after string, limit int) { return s.afterKey, s.cfg.PageSize }

// HandlePage handles the rows of a scan at a wall clock time. It returns a
// transaction that deletes the expired rows, the objects to delete after the
// transaction was applied, and the delay before the next scan.
func (s *Sweeper) HandlePage(wall time.Time, rows []infra.Row) (txn infra.Txn, objects []string, delay time.Duration) {
	for _, row := range rows {
		s.afterKey = row.Key
		stored, err := DecodeRow(row)
		if err != nil || wall.Before(time.Unix(stored.Expires, 0).Add(s.cfg.ClockMargin)) {
			continue
		}
		txn.Conditions = append(txn.Conditions, infra.Condition{RowKey: row.RowKey, Version: row.Version})
		txn.Writes = append(txn.Writes, infra.Write{RowKey: row.RowKey, Delete: true})
		if stored.Answer != nil && stored.Answer.Object != "" {
			objects = append(objects, stored.Answer.Object)
		}
	}
	if len(rows) < s.cfg.PageSize {
		s.afterKey = ""
		return txn, objects, s.cfg.PassInterval
	}
	return txn, objects, s.cfg.Interval
}
