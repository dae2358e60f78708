// Package scarcity decides which requests are sent to groups of backend servers, and with which
// priority, when not all of them can be answered in time.
//
// The load that it answers: demand above capacity for seconds, as after the loss of a data centre
// at the peak. Serving requests in the order of their arrival answers all of them late. A request
// that is late already, or would be, is deferred instead: it is sent with a low priority, so that a
// group runs it only with places that no request in time needs. Groups keep the order exactly,
// whereas entry instances see each other's requests with a delay. Nothing is held: a request that a
// group would not run before its caller gives up is refused at once.
package scarcity

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/route"
)

// Parameters of deferred requests and refusals.
const (
	// maxDeferredWait bounds the expected wait of a deferred request, and maxReturnWait that of one
	// that came back as told: callers give up a stream that sends nothing for 2 s.
	maxDeferredWait = 800 * time.Millisecond
	maxReturnWait   = 1600 * time.Millisecond
	// returnShare is the share of a caller's remaining time for which it honours Retry-After, with
	// a margin.
	returnShare = 0.32
	// minReturnShare is the least time, relative to the usual deadline of a route, after which a
	// refused caller is asked to come back. It is above deadlineSpread, so that returns are
	// recognized.
	minReturnShare = 0.2
	// deadlineSpread is the share of the usual deadline by which first attempts can state less.
	deadlineSpread = 0.16
)

// Values of the priority header. Groups run lower values first.
const (
	lastUrgentPriority = 5
	returnPriority     = 6
	deferredPriority   = 8
)

// Classes are the ranks and goals that the requests to one service have.
type Classes struct {
	ranks []int
	// goal is the shortest latency goal.
	goal time.Duration
}

// ClassesOf returns the classes of the requests of a service, and false unless its routes differ in
// urgency: then the service is operated without deferral. Ranks of accounts alone do not count,
// because they say nothing of what a request is worth.
func ClassesOf(t *route.Table, s *route.Service) (Classes, bool) {
	var c Classes
	differ := false
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.UsesGroups || !slices.ContainsFunc(r.Targets, func(to route.Target) bool { return to.Service == s.Name }) {
			continue
		}
		differ = differ || (len(c.ranks) > 0 && !slices.Contains(c.ranks, r.Urgency))
		if !slices.Contains(c.ranks, r.Urgency) {
			c.ranks = append(c.ranks, r.Urgency)
		}
		if r.LatencyGoal > 0 && (c.goal == 0 || r.LatencyGoal < c.goal) {
			c.goal = r.LatencyGoal
		}
	}
	for i := range t.Accounts {
		if u := t.Accounts[i].Urgency; u != nil && !slices.Contains(c.ranks, *u) {
			c.ranks = append(c.ranks, *u)
		}
	}
	slices.Sort(c.ranks)
	return c, differ
}

// Request is what a decision needs of a request.
type Request struct {
	Urgency int
	// Goal is the time from the caller's first attempt to the first event, and Age the time since
	// that attempt.
	Goal, Age time.Duration
	// CameBack is set if the caller was refused before.
	CameBack bool
}

// Placement is how a request is sent to a group.
type Placement int

// Placements, the best first.
const (
	// Urgent requests are expected in time.
	Urgent Placement = iota
	// Deferred requests use places that no urgent one needs.
	Deferred
	// Refused requests are not sent.
	Refused
)

// String returns the name of the placement in logs.
func (p Placement) String() string { return [...]string{"urgent", "deferred", "refused"}[p] }

// Room is what a group can do for a request.
type Room struct {
	// FirstEvent is the expected time to its first event behind the urgent requests, and
	// DeferredWait the expected wait for a place behind all requests.
	FirstEvent, DeferredWait time.Duration
}

// Place returns the placement of a request at a group.
func Place(r Request, room Room) Placement {
	limit := maxDeferredWait
	if r.CameBack {
		limit = maxReturnWait
	}
	switch {
	case r.Age+room.FirstEvent <= r.Goal:
		return Urgent
	case room.DeferredWait <= limit:
		return Deferred
	default:
		return Refused
	}
}

// Priority returns the value of the priority header: urgent requests by their rank, those of one
// rank with more time before others behind; then returned requests, which are not asked to come back
// again, then the others.
func (c *Classes) Priority(r Request, p Placement) int {
	relaxed := 0
	if r.Goal > c.goal*3/2 {
		relaxed = 1
	}
	switch {
	case p == Urgent:
		rank, _ := slices.BinarySearch(c.ranks, r.Urgency)
		return min(lastUrgentPriority, 2*rank+relaxed)
	case r.CameBack:
		return returnPriority + relaxed
	default:
		return deferredPriority + relaxed
	}
}

// ReturnAfter returns when a refused caller comes back: spread evenly between the least time and
// what it honours. point is a random number in [0, 1).
func ReturnAfter(usual, timeLeft time.Duration, point float64) time.Duration {
	most := float64(timeLeft) * returnShare
	least := min(most, float64(usual)*minReturnShare)
	return time.Duration(least + point*(most-least))
}
