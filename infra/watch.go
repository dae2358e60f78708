package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryLost means that the store no longer holds the changes since the
// version asked for: read the table as a whole.
var ErrHistoryLost = errors.New("history of the table is gone: read a snapshot")

// Change is one changed row. Value is empty when the row was deleted.
type Change struct {
	Row
	Deleted bool
}

// Changes is one answer of a watch or a snapshot.
type Changes struct {
	Rows []Change
	// Version is where the next watch continues.
	Version uint64
}

// Watcher tells the changes of a table.
type Watcher interface {
	// Watch returns the changes of a table after a version. It waits up to wait
	// for the first one and returns none when there was none by then.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// Snapshot reads a table as a whole.
	Snapshot(ctx context.Context, table string) (Changes, error)
}
