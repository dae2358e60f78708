package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
)

// isolatePoll separates looks at a target that is to become idle. Its owner is
// asked with each sync, every 100 to 500 ms.
const isolatePoll = 20 * time.Millisecond

// acquireAlone waits for a target that runs no other suspect, for a request that
// is suspected of crashing backend servers. Requests without a suspicion run
// beside it: if the backend server crashes again, only one of those that ran
// there was at the first crash. Suspects spread over the targets, so that many
// innocent ones come to their end at the same time.
func (l *lane) acquireAlone(ctx context.Context, t *ticket) (*permit, error) {
	tick := time.NewTicker(isolatePoll)
	defer tick.Stop()
	var at credit.BackendID
	for {
		p, next := l.tryAlone(t, at)
		if p != nil {
			return p, nil
		}
		at = next
		select {
		case <-ctx.Done():
		case <-tick.C:
			if l.b.now() < t.waiter.Deadline {
				continue
			}
		}
		l.stopIsolating(at)
		return nil, ProblemNoCapacity.With("no backend server of service %q was free for a suspect", l.name).After(time.Second)
	}
}

// tryAlone takes the exclusive credit of the target at, or chooses another
// target if that one is out of use.
func (l *lane) tryAlone(t *ticket, at credit.BackendID) (*permit, credit.BackendID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.b.now()
	l.refresh(now)
	best := l.isolationTarget(now, t, at)
	if best < 0 {
		return nil, at
	}
	target := l.targets[best]
	if target.backend != at {
		l.isolating[target.backend]++
		l.endIsolating(at)
		l.wakeSync()
		return nil, target.backend
	}
	c, err := l.holder.AcquireExclusive(now, at, t.tokens)
	if err != nil || c.Incarnation != target.incarnation() {
		if err == nil {
			l.holder.Release(c)
		}
		return nil, at
	}
	return l.permitAlone(now, t, target, c, best), at
}

// isolationTarget keeps to the target at while it is in use, or chooses the
// one with the highest rendezvous score for the request among those that have
// no suspect of this entry instance. It returns -1 if there is none.
func (l *lane) isolationTarget(now time.Duration, t *ticket, at credit.BackendID) int {
	best, bestKey := -1, uint64(0)
	for i := range l.targets {
		c := &l.targets[i]
		if !c.usable(now) || slices.Contains(t.excluded, c.backend) {
			continue
		}
		if c.backend == at {
			return i
		}
		if l.isolating[c.backend] > 0 {
			continue
		}
		if key := ident.Score(t.request.Fingerprint.String(), ident.InstanceID(c.backend)); best < 0 || key > bestKey {
			best, bestKey = i, key
		}
	}
	return best
}

// permitAlone counts the run like any other one. The target takes no other
// suspect until its release.
func (l *lane) permitAlone(now time.Duration, t *ticket, target target, c credit.Credit, i int) *permit {
	p := &permit{lane: l, ticket: t, target: target, credit: c, started: now, uncached: l.table.UncachedTokens(i, &t.route), alone: true}
	l.traceAlone(now, p)
	l.table.RecordStart(now, ident.GroupID(target.backend), t.route.Prefixes)
	l.copies.RecordStart(t.request.Fingerprint, ident.GroupID(target.backend))
	l.b.counters.granted.Inc(1)
	return p
}

func (l *lane) stopIsolating(at credit.BackendID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endIsolating(at)
}

// endIsolating gives up the wait at a target.
func (l *lane) endIsolating(at credit.BackendID) {
	if at == "" {
		return
	}
	if l.isolating[at]--; l.isolating[at] <= 0 {
		delete(l.isolating, at)
	}
	l.wakeSync()
}
