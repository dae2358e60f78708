package routing

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	// ways is the number of hints in a bucket.
	ways = 8
	// hintAge is the age after which a hint no longer counts. Engines evict in
	// least recently used order and their events have gaps, so an old hint that
	// no event or dispatch renewed is likely wrong.
	hintAge = 10 * time.Minute
	// gapAge replaces hintAge for hints older than a gap in a group's events,
	// because the gap may have held their eviction.
	gapAge = 30 * time.Second
)

// hint tells that a group likely holds a prefix. Times are whole seconds + 1;
// 0 marks a free slot.
type hint struct {
	prefix uint64
	group  int32
	blocks int32
	at     uint32
}

// prefixIndex is a set-associative table of hints in fixed memory. The oldest
// hint of a bucket is replaced.
type prefixIndex struct {
	buckets [][ways]hint
	mask    uint64
}

func newPrefixIndex(maxHints int) *prefixIndex {
	n := 1
	for n*ways < maxHints {
		n *= 2
	}
	return &prefixIndex{buckets: make([][ways]hint, n), mask: uint64(n - 1)}
}

func seconds(now time.Duration) uint32 { return uint32(now/time.Second) + 1 }

func (p *prefixIndex) put(prefix uint64, group, blocks int32, now time.Duration) {
	b := &p.buckets[prefix&p.mask]
	slot := 0
	for i := range b {
		if b[i].at != 0 && b[i].prefix == prefix && b[i].group == group {
			slot = i
			break
		}
		if b[i].at < b[slot].at {
			slot = i
		}
	}
	b[slot] = hint{prefix: prefix, group: group, blocks: blocks, at: seconds(now)}
}

func (p *prefixIndex) remove(prefix uint64, group int32) {
	b := &p.buckets[prefix&p.mask]
	for i := range b {
		if b[i].prefix == prefix && b[i].group == group {
			b[i] = hint{}
		}
	}
}

func (p *prefixIndex) dropGroup(group int32) {
	for i := range p.buckets {
		for j := range p.buckets[i] {
			if p.buckets[i][j].group == group {
				p.buckets[i][j] = hint{}
			}
		}
	}
}

// matchSteps is the number of lookups after which the step doubles, up to
// maxStep blocks.
const (
	matchSteps = 8
	maxStep    = 8
)

// ApplyCacheEvent applies one cache event. Events come late and with gaps.
func (t *Table) ApplyCacheEvent(now time.Duration, id ident.GroupID, seq, prefix uint64, tokens int, evicted bool) {
	s, ok := t.byID[id]
	if !ok || (s.hasEvents && seq <= s.cacheSeq) {
		return
	}
	if s.hasEvents && seq != s.cacheSeq+1 {
		s.gapAt = now
	}
	s.hasEvents, s.cacheSeq = true, seq
	if evicted {
		t.prefix.remove(prefix, s.index)
		return
	}
	t.prefix.put(prefix, s.index, int32(tokens/engine.PrefixBlockTokens), now)
}

// match finds the longest cached prefix of a prompt at each group. It looks at
// the longest prefixes one by one and at shorter ones in growing steps, which
// underestimates a cached part by a few blocks at most.
func (t *Table) match(now time.Duration, prefixes []uint64) {
	t.mark++
	at := seconds(now)
	step := 1
	for i, n := len(prefixes)-1, 0; i >= 0; i -= step {
		if n++; n%matchSteps == 0 {
			step = min(2*step, maxStep)
		}
		b := &t.prefix.buckets[prefixes[i]&t.prefix.mask]
		for j := range b {
			h := &b[j]
			if h.at == 0 || h.prefix != prefixes[i] || t.matchMark[h.group] == t.mark {
				continue
			}
			s := t.slots[h.group]
			if s == nil || at-h.at > t.age(s, h) {
				continue
			}
			t.matchMark[h.group] = t.mark
			t.matched[h.group] = h.blocks * engine.PrefixBlockTokens
		}
	}
}

// age is how old a hint may be, in seconds.
func (t *Table) age(s *state, h *hint) uint32 {
	if s.gapAt > 0 && h.at <= seconds(s.gapAt) {
		return uint32(gapAge / time.Second)
	}
	return uint32(hintAge / time.Second)
}
