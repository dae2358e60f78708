package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryLost means that the store no longer has the changes after the requested
// version. Read the whole table with Watcher.Snapshot instead.
var ErrHistoryLost = errors.New("store no longer has the changes after the requested version: read a snapshot")

// Change is a changed row. Value is empty if the row was deleted.
type Change struct {
	Row
	Deleted bool
}

// Changes is the result of a watch or a snapshot.
type Changes struct {
	Rows []Change
	// Version is the version to pass to the next watch.
	Version uint64
}

// Watcher reports the changes of a table.
type Watcher interface {
	// Watch returns the changes of a table after a version. If there are none, it
	// waits for the first one, at most for the time wait, and then returns none.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// Snapshot reads a table as a whole.
	Snapshot(ctx context.Context, table string) (Changes, error)
}
