package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
)

// Times of watches.
const (
	// watchWait bounds one long poll, and so the time until a silent connection
	// to the store shows.
	watchWait = 2500 * time.Millisecond
	// serverBatch is how long changes of backend servers are gathered, because
	// each answer of the store is a priced call.
	serverBatch = 150 * time.Millisecond
	// watchRetry is the pause after a failed call, with as much jitter.
	watchRetry = 150 * time.Millisecond
)

// watch passes the changes of a table to control.
func (n *Node) watch(ctx context.Context, table string, batch time.Duration, wrap func(tableChanges) event) {
	known := uint64(0)
	lost := false
	for ctx.Err() == nil {
		changes, whole, err := n.nextChanges(ctx, table, known)
		switch {
		case errors.Is(err, infra.ErrHistoryLost):
			n.log.WithField("table", table).WithField("version", known).Info("history of the store is gone: reading all rows")
			known = 0
			continue
		case err != nil:
			if !lost {
				lost = true
				n.log.WithError(err).WithField("table", table).WithField("version", known).Warn("store lost")
			}
			sleep(ctx, watchRetry+rand.N(watchRetry))
			continue
		}
		if lost {
			lost = false
			n.log.WithField("table", table).WithField("version", changes.Version).Info("store regained")
		}
		known = max(known, changes.Version)
		if whole || len(changes.Rows) > 0 {
			n.post(wrap(tableChanges{Changes: changes, whole: whole}))
			sleep(ctx, batch)
		}
	}
}

func (n *Node) nextChanges(ctx context.Context, table string, known uint64) (infra.Changes, bool, error) {
	if known == 0 {
		c, err := n.plat.Watcher.Snapshot(ctx, table)
		return c, true, err
	}
	c, err := n.plat.Watcher.Watch(ctx, table, known, watchWait)
	return c, false, err
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
