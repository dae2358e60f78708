package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// staticPollInterval is how often a request checks again for a group with a free
// share.
const staticPollInterval = 2 * time.Millisecond

// StaticShares is a Router that gives each entry instance an equal share of each
// group's limit and picks the group with the fewest requests of this instance. The
// entry instances need not communicate. If a limit is not a multiple of their
// number, the rest goes to those with the highest rendezvous scores.
type StaticShares struct {
	Snapshot func() *view.Snapshot
	Now      func() time.Duration
	Self     ident.InstanceID

	mu       sync.Mutex
	inFlight map[ident.GroupID]int
}

// Acquire implements Router.
func (s *StaticShares) Acquire(ctx context.Context, r *Request, excluded []ident.GroupID) (Grant, error) {
	for {
		if g := s.tryAcquire(r.Name, excluded); g != nil {
			return Grant{Group: g, Cold: g.Cold, Release: s.release(g.ID)}, nil
		}
		if s.Now() >= r.Deadline {
			return Grant{}, ProblemNoCapacity.WithDetail("service %q", r.Name).WithRetryAfter(time.Second)
		}
		select {
		case <-ctx.Done():
			return Grant{}, ProblemNoCapacity.WithDetail("service %q", r.Name).WithRetryAfter(time.Second)
		case <-time.After(staticPollInterval):
		}
	}
}

func (s *StaticShares) release(id ident.GroupID) func(Result) {
	var once sync.Once
	return func(Result) {
		once.Do(func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.inFlight[id]--
		})
	}
}

func (s *StaticShares) tryAcquire(name ident.ServiceName, excluded []ident.GroupID) *view.Group {
	snap := s.Snapshot()
	svc := snap.Service(name)
	if svc == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		s.inFlight = make(map[ident.GroupID]int)
	}
	var best *view.Group
	for _, g := range svc.Groups {
		if !g.Usable(s.Now()) || slices.Contains(excluded, g.ID) || s.inFlight[g.ID] >= s.share(g, snap.Entries) {
			continue
		}
		if best == nil || s.inFlight[g.ID] < s.inFlight[best.ID] {
			best = g
		}
	}
	if best != nil {
		s.inFlight[best.ID]++
	}
	return best
}

// share returns this entry instance's share of a group's limit.
func (s *StaticShares) share(g *view.Group, entries []view.Entry) int {
	if len(entries) == 0 {
		return 0
	}
	share := g.Limit / len(entries)
	rest := g.Limit % len(entries)
	rank := 0
	own := ident.Score(string(g.ID), s.Self)
	for _, e := range entries {
		if ident.Score(string(g.ID), e.Instance) > own {
			rank++
		}
	}
	if rank < rest {
		share++
	}
	return share
}
