package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

const ms = time.Millisecond

func groups(n int, at time.Duration, running func(i int) int) []Group {
	out := make([]Group, n)
	for i := range out {
		out[i] = Group{
			ID: ident.GroupID(fmt.Sprint("g", i)), Epoch: 1, DataCentre: "a", Region: "r",
			Limit: 16, Running: running(i), ReportedAt: at,
		}
	}
	return out
}

func idle(int) int { return 0 }

func newTable(n int) *Table {
	t := NewTable(Location{DataCentre: "a", Region: "r"}, 1<<16)
	t.Update(0, groups(n, 0, idle))
	return t
}

// TestNoDoubleCount guards against own requests that count twice: once in
// flight and once in the engine's late report.
func TestNoDoubleCount(t *testing.T) {
	tab := newTable(1)
	for range 6 {
		tab.RecordStart(100*ms, "g0", nil)
	}
	tab.Update(500*ms, groups(1, 500*ms, func(int) int { return 9 }))
	assert.Equal(t, tab.groups[0].own+tab.groups[0].others, 9)
	tab.Update(600*ms, groups(1, 150*ms, idle)) // as old as the time before the start
	assert.Equal(t, tab.groups[0].others, 0)
}

// TestPrefixHints guards against prompts that leave the group which has their
// prefix cached, and against hints that are used after a gap in the events or
// the group's new epoch.
func TestPrefixHints(t *testing.T) {
	tab, p := newTable(20), ExpectedDelay{Rand: rand.New(rand.NewPCG(1, 1))}
	r := &Request{PromptTokens: 80, Prefixes: []uint64{11, 12, 13, 14}}
	tab.ApplyCacheEvent(time.Second, "g7", 1, 14, 64, false)
	tab.ApplyCacheEvent(time.Second, "g7", 1, 14, 64, true) // a repeated number is stale
	tab.ApplyCacheEvent(time.Second, "g3", 5, 12, 32, false)
	assert.Equal(t, p.Pick(2*time.Second, tab, r), 7)
	assert.Equal(t, tab.UncachedTokens(7, r), 80-64)
	tab.ApplyCacheEvent(3*time.Second, "g7", 4, 99, 16, false) // 2 and 3 are missing
	assert.Equal(t, p.Pick(4*time.Second, tab, r), 7)
	p.Pick(40*time.Second, tab, r)
	assert.Equal(t, tab.UncachedTokens(7, r), 80)
	assert.Equal(t, tab.UncachedTokens(3, r), 80-32)
	next := groups(20, 0, idle)
	next[3].Epoch = 2
	tab.Update(41*time.Second, next)
	p.Pick(42*time.Second, tab, r)
	assert.Equal(t, tab.UncachedTokens(3, r), 80)
}

// TestStraggler guards against a slow group that keeps its share, against a
// group that flaps in and out, and against one that is never tried again.
func TestStraggler(t *testing.T) {
	tab := newTable(5)
	feed := func(from, to time.Duration, slow time.Duration) (changes int) {
		was := tab.groups[0].slow.is
		for now := from; now < to; now += 250 * ms {
			for i := range tab.groups {
				first := 20 * ms
				if i == 0 {
					first = slow
				}
				tab.RecordEnd(now, tab.ID(i), 100, first, 0)
			}
			tab.Update(now, groups(5, 0, idle))
			if is := tab.groups[0].slow.is; is != was {
				changes, was = changes+1, is
			}
		}
		return changes
	}
	feed(0, 20*time.Second, 70*ms)
	assert.Assert(t, tab.groups[0].slow.is)
	assert.Equal(t, feed(20*time.Second, 60*time.Second, 33*ms), 0, "between the bounds")
	p := ExpectedDelay{Rand: rand.New(rand.NewPCG(1, 1))}
	for range 100 {
		assert.Assert(t, p.Pick(60*time.Second, tab, &Request{PromptTokens: 100}) != 0)
	}
	for now := 60 * time.Second; now < 80*time.Second; now += 250 * ms {
		tab.Update(now, groups(5, 0, idle))
	}
	assert.Assert(t, !tab.groups[0].slow.is, "a straggler without answers is tried again")
}

// TestNoHerd guards against entry instances that all choose the same group
// because they see the same reports, and against a choice of a skipped group.
func TestNoHerd(t *testing.T) {
	chosen := make(map[int]int)
	for seed := range uint64(200) {
		p := ExpectedDelay{Rand: rand.New(rand.NewPCG(seed, 1))}
		free := []int{1, 1, 1, 1, 0, 1, 1, 1, 1, 1}
		chosen[p.Pick(0, newTable(10), &Request{PromptTokens: 100, FreeCredits: free})]++
	}
	assert.Equal(t, len(chosen), 9)
	assert.Equal(t, chosen[4], 0)
	for i, n := range chosen {
		assert.Assert(t, n < 60, "group %d chosen %d times of 200", i, n)
	}
}

// loaded returns a table of 300 groups with filled prefix buckets and a request.
func loaded() (*Table, *Request) {
	tab := newTable(300)
	tab.Update(0, groups(300, 0, func(i int) int { return i % 16 }))
	r := &Request{PromptTokens: 1024, Fingerprint: 1, FreeCredits: make([]int, 300)}
	for i := range r.FreeCredits {
		r.FreeCredits[i] = i % 10
	}
	for i := range uint64(64) {
		r.Prefixes = append(r.Prefixes, i*7919)
		for g := range 8 {
			tab.ApplyCacheEvent(0, ident.GroupID(fmt.Sprint("g", g*31)), i+1, i*7919, int(i+1)*16, false)
		}
	}
	return tab, r
}

// TestNoAllocation guards against allocations in the choice, which runs for
// every request.
func TestNoAllocation(t *testing.T) {
	tab, r := loaded()
	var p Policy = ExpectedDelay{Rand: rand.New(rand.NewPCG(1, 1))}
	assert.Equal(t, testing.AllocsPerRun(100, func() { p.Pick(time.Second, tab, r) }), 0.0)
}

func BenchmarkPick300(b *testing.B) {
	tab, r := loaded()
	for _, c := range []struct {
		name string
		p    Policy
	}{
		{"random", Random{Rand: rand.New(rand.NewPCG(1, 1))}},
		{"round-robin", &RoundRobin{}},
		{"least-outstanding", LeastOutstanding{Rand: rand.New(rand.NewPCG(1, 1))}},
		{"expected-delay", ExpectedDelay{Rand: rand.New(rand.NewPCG(1, 1))}},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.p.Pick(time.Second, tab, r)
			}
		})
	}
}

// TestCopiesMeet guards against copies of one request that go to different
// groups through entry instances whose reports differ a little, and against
// different requests that all go to the same group.
func TestCopiesMeet(t *testing.T) {
	const entries, n, requests = 7, 60, 600
	tables := make([]*Table, entries)
	for e := range tables {
		tables[e] = newTable(n)
		tables[e].RecordStart(ms, ident.GroupID(fmt.Sprint("g", e)), nil) // the others learn of it later
	}
	chosen := make(map[int]int)
	for f := range ident.Fingerprint(requests) {
		r := &Request{PromptTokens: 200, Fingerprint: ident.NewFingerprint("s", []byte(fmt.Sprint(f)))}
		first := ExpectedDelay{}.Pick(2*ms, tables[0], r)
		for e, tab := range tables {
			assert.Equal(t, ExpectedDelay{}.Pick(2*ms, tab, r), first, "request %d at entry instance %d", f, e)
		}
		chosen[first]++
	}
	assert.Equal(t, len(chosen), n)
	for g, count := range chosen {
		assert.Assert(t, count <= 3*requests/n, "group %d was chosen %d times", g, count)
	}
}

// TestCopies guards against copies of an unproven request that may run
// anywhere, against a proof that outlives a crash, and against memory that grows
// with the number of requests.
func TestCopies(t *testing.T) {
	c := NewCopies()
	c.RecordStart(7, "a")
	c.RecordStart(7, "a")
	c.RecordStart(7, "b")
	assert.Assert(t, c.KeepTogether(7) && c.RunsAt(7, "a") && c.RunsAt(7, "b") && !c.RunsAt(7, "c") && !c.KeepTogether(8))
	c.RecordEnd(7, "a", false)
	c.RecordEnd(7, "b", false)
	assert.Assert(t, c.KeepTogether(7) && c.RunsAt(7, "a") && !c.RunsAt(7, "b"))
	c.RecordStart(7, "b")
	c.RecordEnd(7, "b", true)
	assert.Assert(t, !c.KeepTogether(7) && c.RendezvousFingerprint(7) == 0, "one copy ended well")
	c.ForgetSuccess(7)
	assert.Assert(t, c.KeepTogether(7) && c.RendezvousFingerprint(7) == 7)
	c.RecordEnd(7, "a", false)
	for f := range ident.Fingerprint(10 * maxProven) {
		c.RecordStart(f, "a")
		c.RecordEnd(f, "a", true)
	}
	assert.Equal(t, c.Running(), 0)
	assert.Assert(t, len(c.young)+len(c.old) <= 2*maxProven)
}
