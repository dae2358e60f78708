package routing

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	// bucketSize is the number of hints in a bucket.
	bucketSize = 8
	// maxHintAge is the age above which a hint is ignored. Engines evict the least
	// recently used prefixes and some of their events are lost, so an old hint that
	// no event or dispatch renewed is probably wrong.
	maxHintAge = 10 * time.Minute
	// maxHintAgeAfterGap replaces maxHintAge for hints from before a gap in the
	// events of a group, because an event in the gap may have evicted the prefix.
	maxHintAgeAfterGap = 30 * time.Second
)

// hint records that a group probably has a prefix in its cache. seenAt is a time
// from hintTime; 0 marks a free slot of a bucket.
type hint struct {
	prefix      uint64
	groupNumber int32
	blocks      int32
	seenAt      uint32
}

// prefixIndex is a set-associative hash table of hints with a fixed size. A new
// hint replaces the oldest one of a full bucket.
type prefixIndex struct {
	buckets [][bucketSize]hint
	mask    uint64
}

func newPrefixIndex(maxHints int) *prefixIndex {
	n := 1
	for n*bucketSize < maxHints {
		n *= 2
	}
	return &prefixIndex{buckets: make([][bucketSize]hint, n), mask: uint64(n - 1)}
}

// hintTime returns a time in whole seconds plus 1, so that it is never 0.
func hintTime(now time.Duration) uint32 { return uint32(now/time.Second) + 1 }

func (p *prefixIndex) put(prefix uint64, group, blocks int32, now time.Duration) {
	b := &p.buckets[prefix&p.mask]
	slot := 0
	for i := range b {
		if b[i].seenAt != 0 && b[i].prefix == prefix && b[i].groupNumber == group {
			slot = i
			break
		}
		if b[i].seenAt < b[slot].seenAt {
			slot = i
		}
	}
	b[slot] = hint{prefix: prefix, groupNumber: group, blocks: blocks, seenAt: hintTime(now)}
}

func (p *prefixIndex) remove(prefix uint64, group int32) {
	b := &p.buckets[prefix&p.mask]
	for i := range b {
		if b[i].prefix == prefix && b[i].groupNumber == group {
			b[i] = hint{}
		}
	}
}

func (p *prefixIndex) removeGroupHints(group int32) {
	for i := range p.buckets {
		for j := range p.buckets[i] {
			if p.buckets[i][j].groupNumber == group {
				p.buckets[i][j] = hint{}
			}
		}
	}
}

// Parameters of matchPrefixes: after every lookupsPerStep lookups the step between
// the looked up prefixes doubles, up to maxStep blocks.
const (
	lookupsPerStep = 8
	maxStep        = 8
)

// ApplyCacheEvent applies one cache event. It ignores an event whose sequence number
// is not above the last one. Events arrive late, and some are missing.
func (t *Table) ApplyCacheEvent(now time.Duration, id ident.GroupID, seq, prefix uint64, tokens int, evicted bool) {
	s, ok := t.byID[id]
	if !ok || (s.hasEvents && seq <= s.lastEventSeq) {
		return
	}
	if s.hasEvents && seq != s.lastEventSeq+1 {
		s.eventGapAt = now
	}
	s.hasEvents, s.lastEventSeq = true, seq
	if evicted {
		t.prefixHints.remove(prefix, s.number)
		return
	}
	t.prefixHints.put(prefix, s.number, int32(tokens/engine.PrefixBlockTokens), now)
}

// matchPrefixes finds the longest cached prefix of a prompt at each group. It looks
// up the longest prefixes one by one and the shorter ones in increasing steps, which
// underestimates the cached part by a few blocks at most.
func (t *Table) matchPrefixes(now time.Duration, prefixes []uint64) {
	t.round++
	current := hintTime(now)
	step := 1
	for i, n := len(prefixes)-1, 0; i >= 0; i -= step {
		if n++; n%lookupsPerStep == 0 {
			step = min(2*step, maxStep)
		}
		b := &t.prefixHints.buckets[prefixes[i]&t.prefixHints.mask]
		for j := range b {
			h := &b[j]
			if h.seenAt == 0 || h.prefix != prefixes[i] || t.matchRound[h.groupNumber] == t.round {
				continue
			}
			s := t.byNumber[h.groupNumber]
			if s == nil || current-h.seenAt > t.maxAge(s, h) {
				continue
			}
			t.matchRound[h.groupNumber] = t.round
			t.matchedTokens[h.groupNumber] = h.blocks * engine.PrefixBlockTokens
		}
	}
}

// maxAge returns the greatest age in seconds at which a hint is used.
func (t *Table) maxAge(s *groupState, h *hint) uint32 {
	if s.eventGapAt > 0 && h.seenAt <= hintTime(s.eventGapAt) {
		return uint32(maxHintAgeAfterGap / time.Second)
	}
	return uint32(maxHintAge / time.Second)
}
