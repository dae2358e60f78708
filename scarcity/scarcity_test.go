package scarcity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/route"
)

func testTable(urgencies []int, accounts ...int) *route.Table {
	c := route.Config{Services: []route.Service{{Name: "llm"}}}
	for _, u := range urgencies {
		c.Routes = append(c.Routes, route.Route{Urgency: u, UsesGroups: true, Targets: []route.Target{{Service: "llm"}}})
	}
	// A route to another kind of service does not count.
	c.Routes = append(c.Routes, route.Route{Urgency: 7, Targets: []route.Target{{Service: "llm"}}})
	for _, u := range accounts {
		c.Accounts = append(c.Accounts, route.Account{Urgency: &u})
	}
	return route.Compile(c)
}

// TestOnlyServicesWithUnequalRoutesDefer guards against another treatment of deployments whose routes
// are equally urgent.
func TestOnlyServicesWithUnequalRoutesDefer(t *testing.T) {
	for _, c := range []struct {
		routes, accounts []int
		want             bool
	}{
		{[]int{1, 1, 1}, nil, false},
		{[]int{1, 1, 1}, []int{0, 1}, false},
		{[]int{1, 0, 2}, []int{1}, true},
		{nil, nil, false},
	} {
		_, on := ClassesOf(testTable(c.routes, c.accounts...), "llm")
		assert.Equal(t, on, c.want, "routes %v, accounts %v", c.routes, c.accounts)
	}
}

// TestRankOfAccountComesFirst guards against a route's urgency that overrides that of the account.
func TestRankOfAccountComesFirst(t *testing.T) {
	c, _ := ClassesOf(testTable([]int{0, 1, 2}, 1), "llm")
	index := func(own, ofRoute int) int { i, _ := c.Rank(own, ofRoute); return i }
	assert.Assert(t, index(0, 2) < index(1, 0))
	assert.Assert(t, index(1, 0) < index(1, 2))
}

// TestPlacement guards against late requests that run before those that can be in time, and against
// requests that wait until their callers give up or that cannot end before the deadline.
func TestPlacement(t *testing.T) {
	fresh := Request{Goal: 300 * time.Millisecond, TimeLeft: 6 * time.Second, Lot: 0.6}
	back := fresh
	back.CameBack, back.Age = true, 1500*time.Millisecond
	late := fresh
	late.Age = time.Second
	short := back
	short.TimeLeft = time.Second
	free := Room{Stream: 2 * time.Second, ModelShare: 1}
	queue := Room{UrgentWait: shareWait / 2, DeferredWait: shareWait / 2, Stream: 2 * time.Second, ModelShare: 0.5}
	reserve := queue
	reserve.KeepsFree = true
	full := Room{UrgentWait: shareWait, DeferredWait: 2 * maxDeferredWait}
	for name, c := range map[string]struct {
		request Request
		room    Room
		want    Placement
	}{
		"fresh, free":                 {fresh, free, Urgent},
		"fresh, behind the share":     {fresh, queue, Refused},
		"back, free":                  {back, free, Deferred},
		"back, queue":                 {back, queue, Deferred},
		"back, places kept free":      {back, reserve, Refused},
		"back, full":                  {back, full, Refused},
		"late by itself":              {late, free, Deferred},
		"back, too short for streams": {short, free, Refused},
	} {
		assert.Equal(t, Place(c.request, c.room), c.want, name)
	}
	for _, r := range []Room{free, queue} {
		urgent := fresh
		urgent.Lot = 0.49
		assert.Assert(t, Priority(urgent, Urgent, r) < Priority(back, Deferred, r))
		assert.Assert(t, Priority(back, Deferred, r) < Priority(late, Deferred, r))
	}
}

// TestLots guards against a rank that is starved, one that comes before a more urgent one, and places
// that are not spread evenly.
func TestLots(t *testing.T) {
	const n = 4000
	var l Lots
	points := sequence(5)
	first := [3]int{}
	count := [3]int{}
	below := 0
	for i := range n {
		rank := []int{0, 1, 1, 1, 2}[i%5]
		lot := l.Draw(rank, 3, points(), points())
		count[rank]++
		if lot < 0.5 {
			first[rank]++
			below++
		}
	}
	share := func(rank int) float64 { return float64(first[rank]) / float64(count[rank]) }
	assert.Assert(t, share(0) > share(1) && share(1) > share(2), "%v of %v", first, count)
	assert.Assert(t, share(2) > floorShare/3, "%v of %v", first, count)
	assert.Assert(t, below > n*45/100 && below < n*55/100, "%d of %d places are in the first half", below, n)
}

// TestReturnsAreSpread guards against returns in one wave, and against a time that callers do not
// honour or that hides that they came back.
func TestReturnsAreSpread(t *testing.T) {
	const usual = 6 * time.Second
	points := sequence(9)
	for _, stated := range []time.Duration{usual, usual * 86 / 100} {
		early := 0
		for range 1000 {
			d := ReturnAfter(usual, stated, points())
			assert.Assert(t, d <= stated/3, "%v of %v", d, stated)
			_, cameBack := Age(usual, stated-d)
			assert.Assert(t, cameBack, "%v of %v", d, stated)
			if d < ReturnAfter(usual, stated, 0.5) {
				early++
			}
		}
		assert.Assert(t, early > 400 && early < 600, "%d of 1000 in the first half", early)
	}
}

// TestDeadlineOfRoute guards against a first attempt that counts as a return, and against a usual
// deadline that outlasts a change of the callers.
func TestDeadlineOfRoute(t *testing.T) {
	var d Deadlines
	d.Observe(0, 8*time.Second)
	usual := d.Observe(time.Second, 7*time.Second)
	age, cameBack := Age(usual, 7*time.Second)
	assert.Assert(t, !cameBack && age == 0)
	d.Observe(11*time.Second, 3*time.Second)
	assert.Equal(t, d.Observe(22*time.Second, 3*time.Second), 3*time.Second)
}
