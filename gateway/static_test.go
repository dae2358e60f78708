package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// staticWait separates looks at a group whose share is used up.
const staticWait = 2 * time.Millisecond

// StaticShares is a Router that gives each entry instance an equal part of each
// group's limit and picks the group with the fewest own requests. It needs no
// exchange between entry instances. A limit below the number of entry instances
// is given to the ones with the highest rendezvous scores.
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
		if g := s.try(r.Name, excluded); g != nil {
			return Grant{Group: g, Cold: g.Cold, Release: s.release(g.ID)}, nil
		}
		if s.Now() >= r.Deadline {
			return Grant{}, ProblemNoCapacity.With("service %q", r.Name).After(time.Second)
		}
		select {
		case <-ctx.Done():
			return Grant{}, ProblemNoCapacity.With("service %q", r.Name).After(time.Second)
		case <-time.After(staticWait):
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

func (s *StaticShares) try(name ident.ServiceName, excluded []ident.GroupID) *view.Group {
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

// share returns this entry instance's part of a group's limit.
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
