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
	// serverWait bounds one long poll for backend servers. It is well below the
	// time in which changes have to be in force, because a silent path to the
	// store shows only when a poll ends without an answer. The poll for operators'
	// changes is longer: the other one shows the path's loss.
	serverWait   = 600 * time.Millisecond
	operatorWait = 1500 * time.Millisecond
	// serverBatch is how long changes of backend servers are gathered, because
	// each answer of the store is a priced call.
	serverBatch = 240 * time.Millisecond
	// watchRetry is the pause after a failed call, with as much jitter.
	watchRetry = 150 * time.Millisecond
	// watchRetryMost bounds the pause, which doubles with each failure: each call
	// to the store is priced, and most readers fail together.
	watchRetryMost = 600 * time.Millisecond
	// lostWait bounds a long poll while the store does not answer.
	lostWait = 200 * time.Millisecond
	// roleCheck is how often a reader looks whether it should read.
	roleCheck = 50 * time.Millisecond
)

// reader reads a table from the store while this entry instance is one of those
// that do.
type reader struct {
	n     *Node
	table string
	wait  time.Duration
	batch time.Duration
	pause time.Duration
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
		r.pause = min(max(watchRetry, 2*r.pause), watchRetryMost)
		sleep(ctx, r.pause/2+rand.N(r.pause))
		return
	}
	r.pause = 0
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

// pollWait is the wait of the next long poll. It is short while the store does
// not answer, because a call that began before the store's return hangs.
func (r *reader) pollWait() time.Duration {
	if r.lost {
		return min(r.wait, lostWait)
	}
	return r.wait
}

func (r *reader) next(ctx context.Context) (infra.Changes, bool, error) {
	if r.known == 0 {
		c, err := r.n.plat.Watcher.Snapshot(ctx, r.table)
		return c, true, err
	}
	c, err := r.n.plat.Watcher.Watch(ctx, r.table, r.known, r.pollWait())
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
