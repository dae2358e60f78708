package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// isolationPollInterval is how often a suspect checks whether the exclusive credit
// is available. The credit owner is asked with each sync, every 100 to 500 ms.
const isolationPollInterval = 20 * time.Millisecond

// acquireExclusive acquires an exclusive credit for a request that is suspected of
// crashing backend servers: a target runs at most one suspect at a time. Requests
// that are not suspects run there too. If the backend server crashes again, only
// the suspect was present at both crashes. The suspects are spread over the
// targets, so that many innocent ones are cleared at the same time.
func (s *scheduler) acquireExclusive(ctx context.Context, pr *pendingRequest) (*permit, error) {
	tick := time.NewTicker(isolationPollInterval)
	defer tick.Stop()
	var reserved credit.BackendID
	for {
		p, next := s.tryAcquireExclusive(pr, reserved)
		if p != nil {
			return p, nil
		}
		reserved = next
		if err := s.isolationRefusal(pr); err != nil {
			s.cancelIsolation(reserved)
			return nil, err
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
			if s.balancer.now() < pr.waiter.Deadline {
				continue
			}
		}
		s.cancelIsolation(reserved)
		return nil, ProblemNoCapacity.WithDetail("no backend server of service %q was free for a suspect", s.name).WithRetryAfter(time.Second)
	}
}

// tryAcquireExclusive acquires the exclusive credit of the reserved target. If
// that target is no longer usable, it reserves another one.
func (s *scheduler) tryAcquireExclusive(pr *pendingRequest, reserved credit.BackendID) (*permit, credit.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.balancer.now()
	s.applySnapshot(now)
	best := s.isolationTarget(now, pr, reserved)
	if best < 0 {
		return nil, reserved
	}
	target := s.targets[best]
	if target.backend != reserved {
		s.isolatedSuspects[target.backend]++
		s.endIsolation(reserved)
		s.requestSync()
		return nil, target.backend
	}
	c, err := s.holder.AcquireExclusive(now, reserved, pr.tokens)
	if err != nil || c.Incarnation != target.incarnation() {
		if err == nil {
			s.holder.Release(c)
		}
		return nil, reserved
	}
	return s.newExclusivePermit(now, pr, target, c, best), reserved
}

// isolationTarget returns the index of the reserved target while it is usable.
// Otherwise it chooses the target with the highest rendezvous score for the
// request among those without a suspect of this entry instance. It returns -1 if
// there is none.
func (s *scheduler) isolationTarget(now time.Duration, pr *pendingRequest, reserved credit.BackendID) int {
	best, bestKey := -1, uint64(0)
	least := s.leastUse(now, func(i int) bool { return s.targets[i].usable(now) })
	for i := range s.targets {
		c := &s.targets[i]
		if use := s.use(now, i); use == fleet.UseNever || use > least {
			continue
		}
		if !c.usable(now) || !s.limitAllows(now, c.backend) || s.pauseRequested(now, c) || slices.Contains(pr.excluded, c.backend) {
			continue
		}
		if c.backend == reserved {
			return i
		}
		if s.isolatedSuspects[c.backend] > 0 {
			continue
		}
		if key := ident.Score(pr.request.Fingerprint.String(), ident.InstanceID(c.backend)); best < 0 || key > bestKey {
			best, bestKey = i, key
		}
	}
	return best
}

// newExclusivePermit returns a permit and counts its run in the routing table, as
// for other requests. The target runs no other suspect until the permit is
// released.
func (s *scheduler) newExclusivePermit(now time.Duration, pr *pendingRequest, target target, c credit.Credit, i int) *permit {
	p := &permit{scheduler: s, pending: pr, target: target, credit: c, started: now, uncachedTokens: s.table.UncachedTokens(i, &pr.route), exclusive: true}
	s.traceExclusive(now, p)
	s.takeFromLimit(now, target.backend)
	s.table.RecordStart(now, ident.GroupID(target.backend), pr.route.Prefixes)
	s.copies.RecordStart(pr.request.Fingerprint, ident.GroupID(target.backend))
	s.balancer.counters.granted.Inc(1)
	return p
}

func (s *scheduler) cancelIsolation(id credit.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endIsolation(id)
}

// endIsolation removes one suspect from the count of a target.
func (s *scheduler) endIsolation(id credit.BackendID) {
	if id == "" {
		return
	}
	if s.isolatedSuspects[id]--; s.isolatedSuspects[id] <= 0 {
		delete(s.isolatedSuspects, id)
	}
	s.requestSync()
}
