package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
)

// Times of watches.
const (
	// watchWait bounds one long poll. It is well below the time in which changes
	// have to be in force, because a silent connection to the store shows only
	// when a poll ends without an answer.
	watchWait = 600 * time.Millisecond
	// serverBatch is how long changes of backend servers are gathered, because
	// each answer of the store is a priced call.
	serverBatch = 200 * time.Millisecond
	// watchRetry is the pause after a failed call, with as much jitter.
	watchRetry = 150 * time.Millisecond
	// roleCheck is how often a reader looks whether it should read.
	roleCheck = 50 * time.Millisecond
)

// reader reads a table from the store while this entry instance is one of those
// that do.
type reader struct {
	n     *Node
	table string
	batch time.Duration
	known uint64
	lost  bool
	// verified is when the store last answered.
	verified atomic.Int64
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.n.direct.Load() {
			r.known = 0
			sleep(ctx, roleCheck)
			continue
		}
		r.step(ctx)
	}
}

func (r *reader) step(ctx context.Context) {
	changes, whole, err := r.next(ctx)
	log := r.n.log.WithField("table", r.table).WithField("version", r.known)
	switch {
	case errors.Is(err, infra.ErrHistoryLost):
		log.Info("history of the store is gone: reading all rows")
		r.known = 0
		return
	case err != nil:
		if !r.lost {
			r.lost = true
			log.WithError(err).Warn("store lost")
		}
		sleep(ctx, watchRetry+rand.N(watchRetry))
		return
	}
	if r.lost {
		r.lost = false
		log.Info("store regained")
	}
	r.verified.Store(int64(r.n.now()))
	r.known = max(r.known, changes.Version)
	if fresh := r.n.mirror.Apply(r.table, changes, whole); len(fresh) > 0 || whole {
		r.n.post(tableEvent{table: r.table, rows: fresh})
		sleep(ctx, r.batch)
	}
}

func (r *reader) next(ctx context.Context) (infra.Changes, bool, error) {
	if r.known == 0 {
		c, err := r.n.plat.Watcher.Snapshot(ctx, r.table)
		return c, true, err
	}
	c, err := r.n.plat.Watcher.Watch(ctx, r.table, r.known, watchWait)
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
