package gateway

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	// copyWait is how long a copy of a running request waits for a place beside
	// the other copies before it may run elsewhere. A request that crashes its
	// backend server in the prefill has done so by then, and a harmless one still
	// gets its first token within 0.36 s.
	copyWait = 100 * time.Millisecond
	// copyWaitPart is the largest part of the time to the deadline that this
	// wait may take.
	copyWaitPart = 4
	// crashNotice is how long a copy counts that did not reach its backend server.
	// If another copy has just crashed it, the entry instance that ran that one
	// says so within this time; until then copies must not start elsewhere.
	crashNotice = 20 * time.Millisecond
	// maxApart bounds the tickets that wait outside the queue.
	maxApart = 1024
)

// join starts a copy at a target that runs others of its kind. It is done
// unless the copy may run elsewhere.
func (l *lane) join(now time.Duration, t *ticket) (done, started bool) {
	some := false
	for i := range l.targets {
		l.beside[i] = 0
		if l.runsBeside(now, t, i) {
			some, l.beside[i] = true, l.free[i]
		}
	}
	t.route.FreeCredits = l.beside
	defer func() { t.route.FreeCredits = l.free }()
	for range maxPicks {
		i := l.policy.Pick(now, l.table, &t.route)
		if i < 0 {
			break
		}
		c, err := l.holder.Acquire(now, l.targets[i].backend, t.tokens, true)
		l.traceChoice(now, t, i, err != nil)
		if err == nil {
			l.free[i]--
			l.grant(now, t, i, c)
			return true, true
		}
		l.beside[i] = 0
	}
	if !some || len(l.apart) >= maxApart {
		return false, false
	}
	if t.apartUntil == 0 {
		t.apartUntil = now + min(copyWait, max(0, t.waiter.Deadline-now)/copyWaitPart)
	}
	t.apart = now < t.apartUntil
	return t.apart, false
}

// runsBeside reports whether a target in service runs a copy of the request. Its
// free credits are 0 after a failed attempt.
func (l *lane) runsBeside(now time.Duration, t *ticket, i int) bool {
	return l.targets[i].usable(now) && l.copies.RunsAt(t.request.Fingerprint, ident.GroupID(l.targets[i].backend))
}

// part takes a ticket out of the queue, where it would hold up the other
// requests of its account.
func (l *lane) part(now time.Duration, t *ticket) {
	l.queue.Cancel(now, t.waiter)
	l.apart = append(l.apart, t)
	l.b.counters.apart.Inc(1)
	l.wakeSync()
}

// rejoin queues the tickets again that have a place beside the other copies, or
// need none any more.
func (l *lane) rejoin(now time.Duration) {
	if len(l.apart) == 0 {
		return
	}
	places := make(map[ident.Fingerprint]int)
	tickets := l.apart
	l.apart = nil
	for _, t := range tickets {
		f := t.request.Fingerprint
		if now < t.apartUntil && l.copies.KeepTogether(f) {
			if _, counted := places[f]; !counted {
				places[f] = l.placesBeside(now, t)
			}
			if places[f]--; places[f] < 0 {
				l.apart = append(l.apart, t)
				continue
			}
		}
		t.apart = false
		if refusal, refused := l.queue.Enqueue(now, t.waiter); refused {
			l.refuse(refusal)
		}
	}
}

// placesBeside counts the free credits at the targets that run copies.
func (l *lane) placesBeside(now time.Duration, t *ticket) int {
	places := 0
	for i := range l.targets {
		if l.runsBeside(now, t, i) {
			places += l.free[i]
		}
	}
	return places
}

// leaveApart gives up the wait outside the queue. It reports false when the
// ticket does not wait there.
func (l *lane) leaveApart(t *ticket) bool {
	i := slices.Index(l.apart, t)
	if i >= 0 {
		l.apart = slices.Delete(l.apart, i, i+1)
	}
	return i >= 0
}

// demandBeside is what waits for places beside copies, by target.
func (l *lane) demandBeside() map[credit.BackendID]credit.Amount {
	if len(l.apart) == 0 {
		return nil
	}
	out := make(map[credit.BackendID]credit.Amount)
	now := l.b.now()
	for _, t := range l.apart {
		for i := range l.targets {
			if l.runsBeside(now, t, i) {
				a := out[l.targets[i].backend]
				out[l.targets[i].backend] = credit.Amount{Requests: a.Requests + 1, Tokens: a.Tokens + t.tokens}
				break
			}
		}
	}
	return out
}

// endCopy notes the end of a copy.
func (l *lane) endCopy(p *permit, err error) {
	f, id := p.ticket.request.Fingerprint, ident.GroupID(p.target.backend)
	switch {
	case errors.Is(err, engine.ErrNotSent), errors.Is(err, ErrBackendNotSent):
		time.AfterFunc(crashNotice, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.copies.RecordEnd(f, id, false)
			l.dispatch(l.b.now())
		})
		return
	case errors.Is(err, engine.ErrConnectionFailed), errors.Is(err, ErrBackendOutcomeUnknown):
		l.copies.ForgetSuccess(f)
	}
	l.copies.RecordEnd(f, id, err == nil)
}
