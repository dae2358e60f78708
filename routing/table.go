package routing

import (
	"math"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// noScore marks a group that cannot take the request.
const noScore = time.Duration(math.MaxInt64)

// Group is what the control state says about one group.
type Group struct {
	ID         ident.GroupID
	Epoch      ident.Epoch
	DataCentre ident.DataCentre
	Region     ident.Region
	Limit      int
	// Running and Queued are the engine's report; ReportedAt is when its poll
	// was sent.
	Running    int
	Queued     int
	ReportedAt time.Duration
}

// sample is the own load at an instant.
type sample struct {
	at  time.Duration
	own int
}

// ownSamples is how many past values of the own load are kept: enough to find
// the value at the time of a report that is some polls old.
const ownSamples = 16

// state is what the table keeps for one group.
type state struct {
	Group
	index     int32
	locality  time.Duration
	pos       int // index in the table's groups, or -1
	key       uint32
	own       int
	samples   [ownSamples]sample
	next      int
	others    int // requests of other entry instances in the last report
	hold      time.Duration
	slow      straggler
	cacheSeq  uint64
	gapAt     time.Duration
	hasEvents bool
}

// Table is the state of the groups of one service at one entry instance.
type Table struct {
	self   Location
	groups []*state
	byID   map[ident.GroupID]*state
	slots  []*state // by prefix index number
	free   []int32
	prefix *prefixIndex
	// matched is the cached part of the current request's prompt by index
	// number, valid where matchMark equals mark.
	matched   []int32
	matchMark []uint32
	mark      uint32
	scores    []time.Duration
	terms     []terms
	near      []int32 // scratch of a choice
	median    time.Duration
	scratch   []time.Duration
}

// Location is where this entry instance runs.
type Location struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// NewTable returns an empty table whose prefix index holds up to a number of
// hints.
func NewTable(self Location, maxHints int) *Table {
	return &Table{self: self, byID: make(map[ident.GroupID]*state), prefix: newPrefixIndex(maxHints)}
}

// Update takes over the groups of a new snapshot. Indices of Pick refer to the
// order given here.
func (t *Table) Update(now time.Duration, groups []Group) {
	for _, s := range t.groups {
		s.pos = -1
	}
	t.groups = t.groups[:0]
	seen := make(map[ident.GroupID]bool, len(groups))
	for _, g := range groups {
		seen[g.ID] = true
		s, ok := t.byID[g.ID]
		if !ok || s.Epoch != g.Epoch {
			s = t.renew(s, g)
		}
		t.refresh(s, g)
		s.pos = len(t.groups)
		t.groups = append(t.groups, s)
	}
	for id, s := range t.byID {
		if !seen[id] && s.own == 0 {
			t.drop(s)
		}
	}
	if cap(t.scores) < len(groups) {
		t.scores = make([]time.Duration, len(groups))
		t.terms = make([]terms, len(groups))
		t.near = make([]int32, len(groups))
	}
	t.scores, t.terms = t.scores[:len(groups)], t.terms[:len(groups)]
	t.markStragglers(now)
	for _, s := range t.groups {
		t.settle(s)
	}
}

// renew starts the state of a group or of a new epoch, whose cache is empty.
func (t *Table) renew(old *state, g Group) *state {
	own := 0
	if old != nil {
		own = old.own
		t.drop(old)
	}
	s := &state{own: own, pos: -1, key: uint32(ident.Score("", ident.InstanceID(g.ID))), hold: defaultHold, slow: straggler{perToken: defaultPrefill}}
	if n := len(t.free); n > 0 {
		s.index = t.free[n-1]
		t.free = t.free[:n-1]
		t.slots[s.index] = s
	} else {
		s.index = int32(len(t.slots))
		t.slots = append(t.slots, s)
		t.matched = append(t.matched, 0)
		t.matchMark = append(t.matchMark, 0)
	}
	t.byID[g.ID] = s
	return s
}

func (t *Table) drop(s *state) {
	t.prefix.dropGroup(s.index)
	t.slots[s.index] = nil
	t.free = append(t.free, s.index)
	delete(t.byID, s.ID)
}

// refresh takes over a report. The own requests that it contains are taken off,
// so that they are not counted twice.
func (t *Table) refresh(s *state, g Group) {
	if g.ReportedAt != s.ReportedAt || s.ID == "" {
		s.others = max(0, g.Running+g.Queued-s.ownAt(g.ReportedAt-reportLag))
	}
	s.Group = g
	s.locality = 0
	switch {
	case g.Region != t.self.Region:
		s.locality = regionCost
	case g.DataCentre != t.self.DataCentre:
		s.locality = localityCost
	}
}

// ownAt is the own load at a past instant.
func (s *state) ownAt(at time.Duration) int {
	own, newest := 0, time.Duration(-1)
	for _, p := range s.samples {
		if p.at <= at && p.at > newest {
			own, newest = p.own, p.at
		}
	}
	return own
}

// sampleInterval separates samples of the own load.
const sampleInterval = 25 * time.Millisecond

// note stores the own load after a change.
func (s *state) note(now time.Duration) {
	last := &s.samples[(s.next+ownSamples-1)%ownSamples]
	if now-last.at < sampleInterval {
		last.own = s.own
		return
	}
	s.samples[s.next] = sample{now, s.own}
	s.next = (s.next + 1) % ownSamples
}

// Len is the number of groups.
func (t *Table) Len() int { return len(t.groups) }

// ID returns the group at an index.
func (t *Table) ID(index int) ident.GroupID { return t.groups[index].ID }

// RecordStart counts a dispatched request and expects its prompt in the cache.
func (t *Table) RecordStart(now time.Duration, id ident.GroupID, prefixes []uint64) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.own++
	s.note(now)
	t.settle(s)
	for i, h := range prefixes {
		t.prefix.put(h, s.index, int32(i+1), now)
	}
}

// RecordEnd ends a dispatched request. FirstToken and hold are 0 when it failed.
func (t *Table) RecordEnd(now time.Duration, id ident.GroupID, uncached int, firstToken, hold time.Duration) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.own = max(0, s.own-1)
	s.note(now)
	if hold > 0 {
		s.hold += time.Duration(smoothing * float64(hold-s.hold))
	}
	if firstToken > 0 {
		// The slowdown by other requests is taken off; score adds it again.
		load, limit := s.own+s.others, max(1, s.Limit)
		s.slow.sample(firstToken*time.Duration(limit)/time.Duration(limit+load), uncached)
	}
	t.settle(s)
}

func (t *Table) skipped(i int, r *Request) bool {
	return r.FreeCredits != nil && r.FreeCredits[i] <= 0 || r.Skip != nil && r.Skip(i)
}

// UncachedTokens is the number of prompt tokens that the group is not expected to
// hold. It refers to the last Pick.
func (t *Table) UncachedTokens(index int, r *Request) int {
	return max(0, r.PromptTokens-t.cached(t.groups[index]))
}

func (t *Table) cached(s *state) int {
	if t.matchMark[s.index] != t.mark {
		return 0
	}
	return int(t.matched[s.index])
}

// terms are the parts of a group's score that do not depend on the request:
// the expected delay is fixed + perToken * (uncached tokens + tokenFloor). They
// lie side by side because a choice reads those of every group.
type terms struct {
	fixed, perToken float64
	index           int32
	// key is the group's part of a rendezvous score.
	key uint32
}

// settle computes the terms of a group after a change.
func (t *Table) settle(s *state) {
	if s.pos < 0 {
		return
	}
	full := float64(s.own+s.others) / float64(max(1, s.Limit))
	hold := float64(s.hold)
	// Requests that run beside a new one slow its prefill in proportion. A part
	// of the hold time keeps loads even when prompts are cached.
	fixed, perToken := hold*loadPart*full, float64(s.slow.perToken)*(1+full)
	if full >= 1 {
		fixed += hold * (full - 1 + 1/float64(max(1, s.Limit)))
	}
	if s.slow.is {
		fixed, perToken = fixed*stragglerFactor+hold, perToken*stragglerFactor
	}
	t.terms[s.pos] = terms{fixed + float64(s.locality), perToken, s.index, s.key}
}

// score is the expected delay of the first token at a group.
func (t *Table) score(i int, r *Request) time.Duration {
	g := &t.terms[i]
	uncached := r.PromptTokens + tokenFloor
	if t.matchMark[g.index] == t.mark {
		uncached = max(tokenFloor, uncached-int(t.matched[g.index]))
	}
	return time.Duration(g.fixed + g.perToken*float64(uncached))
}

// loadPart is the part of the hold time that a full group adds.
const loadPart = 0.1
