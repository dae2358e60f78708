package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
)

// Times of the watches on store tables.
const (
	// serverPollTimeout bounds one long poll of the server table. It is well below the
	// deadline for applying operators' changes, because a connection to the store
	// that hangs is noticed only when a poll ends without an answer. The poll of the
	// operator table may be longer, because that of the server table notices the hang.
	serverPollTimeout   = 600 * time.Millisecond
	operatorPollTimeout = 1500 * time.Millisecond
	// serverBatchDelay is how long changes of backend servers are collected before the
	// next poll, because each call to the store is billed.
	serverBatchDelay = 240 * time.Millisecond
	// watchRetryDelay is the pause after the first failed call. Each pause is
	// randomized between 0.5 and 1.5 times its length.
	watchRetryDelay = 150 * time.Millisecond
	// maxWatchRetryDelay caps the pause. The pause doubles with each failure, because
	// each call to the store is billed and most readers fail at the same time.
	maxWatchRetryDelay = 600 * time.Millisecond
	// outagePollTimeout bounds a long poll while the store is unavailable.
	outagePollTimeout = 200 * time.Millisecond
)

// tableReader watches one table of the store while this entry instance is a store
// reader.
type tableReader struct {
	node             *Node
	table            string
	pollTimeout      time.Duration
	batchDelay       time.Duration
	retryDelay       time.Duration
	knownVersion     uint64
	storeUnavailable bool
	// failing is storeUnavailable for other goroutines.
	failing atomic.Bool
	// firstPoll is true until the store has answered since this instance became a reader.
	firstPoll bool
	// lastAnswerAt is when the store last answered, as returned by Node.now, or 0. The
	// control goroutine and the beacon sender read it.
	lastAnswerAt atomic.Int64
	// wake has a value when this instance has become a store reader.
	wake chan struct{}
}

// run reads the table until ctx ends. When this instance becomes a store reader it reads the
// changes that its replica lacks, and the whole table only if the replica is not complete.
func (r *tableReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.node.readsStore.Load() {
			select {
			case <-ctx.Done():
			case <-r.wake:
			}
			r.knownVersion, _ = r.node.mirror.Complete(r.table)
			r.firstPoll = true
			continue
		}
		r.readOnce(ctx)
	}
}

// readOnce makes one call to the store, and posts the changes or handles the error.
func (r *tableReader) readOnce(ctx context.Context) {
	changes, isSnapshot, err := r.fetch(ctx)
	log := r.node.log.WithField("table", r.table).WithField("version", r.knownVersion)
	switch {
	case errors.Is(err, infra.ErrHistoryLost):
		log.Info("store no longer has the history since this version: reading all rows")
		r.knownVersion = 0
		return
	case err != nil:
		r.failing.Store(true)
		if !r.storeUnavailable {
			r.storeUnavailable = true
			log.WithError(err).Warn("store lost")
		}
		r.retryDelay = min(max(watchRetryDelay, 2*r.retryDelay), maxWatchRetryDelay)
		sleep(ctx, r.retryDelay/2+rand.N(r.retryDelay))
		return
	}
	r.retryDelay = 0
	r.failing.Store(false)
	if r.storeUnavailable {
		r.storeUnavailable = false
		log.Info("store regained")
	}
	r.firstPoll = false
	r.lastAnswerAt.Store(int64(r.node.now()))
	if !isSnapshot && infra.VersionEra(changes.Version) != infra.VersionEra(r.knownVersion) {
		// The changes since the known version belong to another history.
		log.WithField("era", infra.VersionEra(changes.Version)).Info("store was restored from an older copy: reading all rows")
		r.knownVersion = 0
		return
	}
	r.knownVersion = max(r.knownVersion, changes.Version)
	if isSnapshot {
		log.WithField("rows", len(changes.Rows)).Info("whole table read")
	}
	if newChanges := r.node.mirror.Apply(r.table, changes, isSnapshot); len(newChanges) > 0 || isSnapshot {
		r.node.post(tableEvent{table: r.table, rows: newChanges})
		sleep(ctx, r.batchDelay)
	}
}

// nextPollTimeout returns the timeout of the next long poll. It is short while the
// store is unavailable, because a call that began before the store came back hangs
// until its timeout, and for the first poll of a reader, because others wait for its state.
func (r *tableReader) nextPollTimeout() time.Duration {
	if r.storeUnavailable || r.firstPoll {
		return min(r.pollTimeout, outagePollTimeout)
	}
	return r.pollTimeout
}

// fetch returns a snapshot of the table if no version is known, and otherwise the
// changes after the known version. The second result reports a snapshot.
func (r *tableReader) fetch(ctx context.Context) (infra.Changes, bool, error) {
	if r.knownVersion == 0 {
		c, err := r.node.platform.Watcher.Snapshot(ctx, r.table)
		return c, true, err
	}
	c, err := r.node.platform.Watcher.Watch(ctx, r.table, r.knownVersion, r.nextPollTimeout())
	return c, false, err
}

// sleep waits until d has passed or ctx ends.
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
