package formation

import (
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// The store may do a write without an answer seconds later, if its conditions still hold. A
// read that does not find the row therefore proves nothing, and the row's own version is no
// condition that fails for ever: that of a new group is that no such row exists, which holds
// again once the row is deleted. So each write of a group's row also has the version of one
// more row as a condition, the barrier. After an unknown outcome the planner writes the
// barrier row, which is never deleted, so that its former version does not come back: no
// earlier write can be done any more. Only then it reads the rows and writes again.
//
// A new holder needs no barrier. Its acquisition writes the lease's epoch row, whose version
// is a condition of each write as well, before it reads the rows. The same holds for a store
// that was restored: the lease is acquired again in each era.

// barrierKey is the key of the barrier row. No group has this id.
const barrierKey = "@barrier"

// barrier is the state of the barrier row. Times of zero are not set.
type barrier struct {
	// version is the row's version, or 0 if there is none yet.
	version uint64
	// due is set from an unknown outcome until the rows are read.
	due bool
	// inFlight is the number of writes of the row without a result, sentAt when the last one
	// was sent and resendDelay the time from then to the next one.
	inFlight    int
	sentAt      time.Duration
	resendDelay time.Duration
	// firstAttempt is the first write of the row since the rows were read.
	firstAttempt uint64
}

// nextAttempt returns the number of the next read or write.
func (p *Planner) nextAttempt() uint64 {
	p.attemptCount++
	return p.attemptCount
}

// mayWrite reports whether a group's row may be written.
func (p *Planner) mayWrite(now time.Duration) bool { return now >= p.storeRetryAt && !p.barrier.due }

// writeBarrier writes the barrier row if that is due, and again while there is no answer: each
// of these writes serves, and only the first of them is done.
func (p *Planner) writeBarrier(now time.Duration) {
	b := &p.barrier
	switch {
	case !b.due:
		return
	case b.inFlight > 0 && now-b.sentAt < b.resendDelay:
		return
	case b.inFlight == 0 && now < p.storeRetryAt:
		return
	}
	attempt := p.nextAttempt()
	if b.firstAttempt == 0 {
		b.firstAttempt = attempt
	}
	b.inFlight++
	b.sentAt = now
	b.resendDelay = min(max(p.cfg.BarrierResendMin, 2*b.resendDelay), p.cfg.BarrierResendMax)
	p.emit(WriteRow{Attempt: attempt, Group: barrierKey, Txn: infra.Txn{
		Conditions: []infra.Condition{
			{RowKey: lease.EpochKey(LeaseName), Version: p.grant.EpochVersion},
			{RowKey: Key(barrierKey), Version: b.version},
		},
		Writes: []infra.Write{{RowKey: Key(barrierKey), Value: []byte("{}")}},
	}})
}

// handleBarrierWritten handles the result of a write of the barrier row. A conflict means that
// the row, or the lease's epoch row, has a newer version. Either makes earlier writes
// impossible.
func (p *Planner) handleBarrierWritten(now time.Duration, e Written) {
	b := &p.barrier
	if b.firstAttempt == 0 || e.Attempt < b.firstAttempt {
		return
	}
	b.inFlight--
	switch e.Outcome {
	case infra.OutcomeApplied, infra.OutcomeConflict:
		p.rowsLoaded, p.storeRetryAt = false, now
	default:
		p.delayStoreRetry(now)
	}
}
