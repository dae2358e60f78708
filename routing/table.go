package routing

import (
	"math"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// noScore is the score of a group that cannot run the request.
const noScore = time.Duration(math.MaxInt64)

// Group describes one group of a snapshot and its last load report.
type Group struct {
	ID         ident.GroupID
	Epoch      ident.Epoch
	DataCentre ident.DataCentre
	Region     ident.Region
	Limit      int
	// Running and Queued are from the engine's load report; ReportedAt is when its
	// poll was sent.
	Running    int
	Queued     int
	ReportedAt time.Duration
}

// loadSample is the number of own requests in flight at a time.
type loadSample struct {
	at  time.Duration
	own int
}

// maxOwnSamples is how many past numbers of own requests are kept: enough to find
// the number at the time of a load report that is several polls old.
const maxOwnSamples = 16

// groupState is what the table keeps for one group.
type groupState struct {
	Group
	number         int32         // identifies the group in prefix hints
	locality       time.Duration // cost of the distance from this entry instance
	index          int           // in the table's groups, or -1
	hash           uint32
	ownInFlight    int // requests of this entry instance
	samples        [maxOwnSamples]loadSample
	nextSample     int
	othersInFlight int // requests of other entry instances in the last report
	slotTime       time.Duration
	prefill        prefillTime
	lastEventSeq   uint64
	eventGapAt     time.Duration
	hasEvents      bool
}

// Table is the routing state of one service at one entry instance.
type Table struct {
	self        Location
	groups      []*groupState
	byID        map[ident.GroupID]*groupState
	byNumber    []*groupState
	freeNumbers []int32
	prefixHints *prefixIndex
	// matchedTokens is the number of cached prompt tokens of the current request by
	// group number. An element is valid if the element of matchRound for the group
	// equals round, the number of calls of matchPrefixes so far.
	matchedTokens  []int32
	matchRound     []uint32
	round          uint32
	scores         []time.Duration // reused by ExpectedDelay
	terms          []scoreTerms    // score terms by index in groups
	candidates     []int32         // reused by ExpectedDelay
	medianPerToken time.Duration
	perTokenBuffer []time.Duration // reused by markStragglers
}

// Location names the data centre and the region of an entry instance.
type Location struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// NewTable returns an empty table. Its prefix index has room for at least maxHints
// hints.
func NewTable(self Location, maxHints int) *Table {
	return &Table{self: self, byID: make(map[ident.GroupID]*groupState), prefixHints: newPrefixIndex(maxHints)}
}

// Update replaces the groups by those of a new snapshot. Indices, such as the one
// that Pick returns, are positions in the argument groups and are valid until the
// next Update.
func (t *Table) Update(now time.Duration, groups []Group) {
	for _, s := range t.groups {
		s.index = -1
	}
	t.groups = t.groups[:0]
	seen := make(map[ident.GroupID]bool, len(groups))
	for _, g := range groups {
		seen[g.ID] = true
		s, ok := t.byID[g.ID]
		if !ok || s.Epoch != g.Epoch {
			s = t.addGroup(s, g)
		}
		t.applyReport(s, g)
		s.index = len(t.groups)
		t.groups = append(t.groups, s)
	}
	for id, s := range t.byID {
		if !seen[id] && s.ownInFlight == 0 {
			t.removeGroup(s)
		}
	}
	if cap(t.scores) < len(groups) {
		t.scores = make([]time.Duration, len(groups))
		t.terms = make([]scoreTerms, len(groups))
		t.candidates = make([]int32, len(groups))
	}
	t.scores, t.terms = t.scores[:len(groups)], t.terms[:len(groups)]
	t.markStragglers(now)
	for _, s := range t.groups {
		t.updateTerms(s)
	}
}

// addGroup adds the state of a new group, or of a group in a new epoch, whose cache
// is empty. old is the state of the earlier epoch or nil.
func (t *Table) addGroup(old *groupState, g Group) *groupState {
	own := 0
	if old != nil {
		own = old.ownInFlight
		t.removeGroup(old)
	}
	s := &groupState{ownInFlight: own, index: -1, hash: uint32(ident.Score("", ident.InstanceID(g.ID))), slotTime: defaultSlotTime, prefill: prefillTime{perToken: defaultPrefillPerToken}}
	if n := len(t.freeNumbers); n > 0 {
		s.number = t.freeNumbers[n-1]
		t.freeNumbers = t.freeNumbers[:n-1]
		t.byNumber[s.number] = s
	} else {
		s.number = int32(len(t.byNumber))
		t.byNumber = append(t.byNumber, s)
		t.matchedTokens = append(t.matchedTokens, 0)
		t.matchRound = append(t.matchRound, 0)
	}
	t.byID[g.ID] = s
	return s
}

func (t *Table) removeGroup(s *groupState) {
	t.prefixHints.removeGroupHints(s.number)
	t.byNumber[s.number] = nil
	t.freeNumbers = append(t.freeNumbers, s.number)
	delete(t.byID, s.ID)
}

// applyReport applies the description and the load report of a group. It
// subtracts the own requests from the report, so that they are not counted twice.
func (t *Table) applyReport(s *groupState, g Group) {
	if g.ReportedAt != s.ReportedAt || s.ID == "" {
		s.othersInFlight = max(0, g.Running+g.Queued-s.ownInFlightAt(g.ReportedAt-assumedReportAge))
	}
	s.Group = g
	s.locality = 0
	switch {
	case g.Region != t.self.Region:
		s.locality = otherRegionCost
	case g.DataCentre != t.self.DataCentre:
		s.locality = otherDataCentreCost
	}
}

// ownInFlightAt returns the number of own requests in flight at a past time.
func (s *groupState) ownInFlightAt(at time.Duration) int {
	own, newest := 0, time.Duration(-1)
	for _, p := range s.samples {
		if p.at <= at && p.at > newest {
			own, newest = p.own, p.at
		}
	}
	return own
}

// sampleInterval is the least time between two samples of the own requests.
const sampleInterval = 25 * time.Millisecond

// recordOwnInFlight stores a sample after the number of own requests changed.
func (s *groupState) recordOwnInFlight(now time.Duration) {
	last := &s.samples[(s.nextSample+maxOwnSamples-1)%maxOwnSamples]
	if now-last.at < sampleInterval {
		last.own = s.ownInFlight
		return
	}
	s.samples[s.nextSample] = loadSample{now, s.ownInFlight}
	s.nextSample = (s.nextSample + 1) % maxOwnSamples
}

// Len returns the number of groups.
func (t *Table) Len() int { return len(t.groups) }

// ID returns the ID of the group at an index.
func (t *Table) ID(index int) ident.GroupID { return t.groups[index].ID }

// RecordStart records that a request was dispatched to a group. It adds hints,
// because the group is going to have the prompt in its cache.
func (t *Table) RecordStart(now time.Duration, id ident.GroupID, prefixes []uint64) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.ownInFlight++
	s.recordOwnInFlight(now)
	t.updateTerms(s)
	for i, h := range prefixes {
		t.prefixHints.put(h, s.number, int32(i+1), now)
	}
}

// RecordEnd records that a dispatched request ended. firstToken and slotTime are the
// times from its start until its first token and until its end. firstToken is 0 if
// there was no first token, slotTime is 0 if the request failed. uncached is the
// result of UncachedTokens for the request.
func (t *Table) RecordEnd(now time.Duration, id ident.GroupID, uncached int, firstToken, slotTime time.Duration) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.ownInFlight = max(0, s.ownInFlight-1)
	s.recordOwnInFlight(now)
	if slotTime > 0 {
		s.slotTime += time.Duration(smoothing * float64(slotTime-s.slotTime))
	}
	if firstToken > 0 {
		// Remove the slowdown by concurrent requests; updateTerms adds it again.
		load, limit := s.ownInFlight+s.othersInFlight, max(1, s.Limit)
		s.prefill.addSample(firstToken*time.Duration(limit)/time.Duration(limit+load), uncached)
	}
	t.updateTerms(s)
}

// skipped reports whether the group at index i cannot run the request.
func (t *Table) skipped(i int, r *Request) bool {
	return r.FreeCredits != nil && r.FreeCredits[i] <= 0 || r.Skip != nil && r.Skip(i)
}

// UncachedTokens returns the number of prompt tokens that are probably not in the
// cache of the group. The request must be the one of the last Pick.
func (t *Table) UncachedTokens(index int, r *Request) int {
	return max(0, r.PromptTokens-t.cachedTokens(t.groups[index]))
}

// cachedTokens returns the number of cached prompt tokens that the last call of
// matchPrefixes found for a group.
func (t *Table) cachedTokens(s *groupState) int {
	if t.matchRound[s.number] != t.round {
		return 0
	}
	return int(t.matchedTokens[s.number])
}

// scoreTerms are the parts of a group's score that do not depend on the request:
// the expected delay is fixed + perToken * (uncached tokens + overheadTokens). The
// terms of all groups are in one slice, because each Pick reads all of them.
type scoreTerms struct {
	fixed, perToken float64
	number          int32
	// hash of the group ID is an input of the rendezvous score.
	hash uint32
}

// updateTerms recomputes the score terms of a group after a change.
func (t *Table) updateTerms(s *groupState) {
	if s.index < 0 {
		return
	}
	load := float64(s.ownInFlight+s.othersInFlight) / float64(max(1, s.Limit))
	slotTime := float64(s.slotTime)
	// Concurrent requests slow the prefill of a new one in proportion to the load.
	// A fraction of the slot time balances the load even if prompts are cached.
	fixed, perToken := slotTime*loadFraction*load, float64(s.prefill.perToken)*(1+load)
	if load >= 1 {
		fixed += slotTime * (load - 1 + 1/float64(max(1, s.Limit)))
	}
	if s.prefill.straggler {
		fixed, perToken = fixed*stragglerPenalty+slotTime, perToken*stragglerPenalty
	}
	t.terms[s.index] = scoreTerms{fixed + float64(s.locality), perToken, s.number, s.hash}
}

// score returns the expected delay of the first token at a group.
func (t *Table) score(i int, r *Request) time.Duration {
	g := &t.terms[i]
	uncached := r.PromptTokens + overheadTokens
	if t.matchRound[g.number] == t.round {
		uncached = max(overheadTokens, uncached-int(t.matchedTokens[g.number]))
	}
	return time.Duration(g.fixed + g.perToken*float64(uncached))
}

// loadFraction is the fraction of the slot time that a full group adds to a score.
const loadFraction = 0.1
