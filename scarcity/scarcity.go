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
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// Parameters of deferred requests and refusals.
const (
	// maxDeferredWait bounds the expected wait of a deferred request: callers give up a stream that
	// sends nothing for 2 s.
	maxDeferredWait = 1600 * time.Millisecond
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

// shareWait is the wait for a place at which a group takes no fresh requests.
const shareWait = 800 * time.Millisecond

// Values of the priority header. Groups run lower values first.
const (
	returnPriority   = 7
	deferredPriority = 8
)

// urgentBounds divide the places of the fresh requests that a group takes into priorities. The
// last ones are narrow: in a queue, only the requests of the last priority wait.
var urgentBounds = [...]float64{0.35, 0.6, 0.75, 0.85, 0.92, 0.96}

// rank is the urgency of a request and that of its route, which decides where accounts make requests
// of several routes equally urgent.
type rank struct{ own, ofRoute int }

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.own, o.own), cmp.Compare(r.ofRoute, o.ofRoute))
}

// Classes are the ranks and goals that the requests to one service have.
type Classes struct {
	ranks []rank
}

// ClassesOf returns the classes of the requests of a service, and false unless its routes differ in
// urgency: then the service is operated without deferral. Ranks of accounts alone do not count,
// because they say nothing of what a request is worth.
func ClassesOf(t *route.Table, service ident.ServiceName) (Classes, bool) {
	var c Classes
	var urgencies []int
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.UsesGroups || !slices.ContainsFunc(r.Targets, func(to route.Target) bool { return to.Service == service }) {
			continue
		}
		if !slices.Contains(urgencies, r.Urgency) {
			urgencies = append(urgencies, r.Urgency)
		}
	}
	own := slices.Clone(urgencies)
	for i := range t.Accounts {
		if u := t.Accounts[i].Urgency; u != nil && !slices.Contains(own, *u) {
			own = append(own, *u)
		}
	}
	for _, u := range own {
		for _, of := range urgencies {
			c.ranks = append(c.ranks, rank{u, of})
		}
	}
	slices.SortFunc(c.ranks, rank.compare)
	return c, len(urgencies) > 1
}

// Request is what a decision needs of a request.
type Request struct {
	// Goal is the time from the caller's first attempt to the first event, and Age the time since
	// that attempt.
	Goal, Age time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// CameBack is set if the caller was refused before.
	CameBack bool
	// Begun is set if its caller has received a part of the answer. What remains costs less than
	// another request.
	Begun bool
	// Lot is the request's place among those of its model, from 0 to 1, 0 being the first.
	Lot float64
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
	// FirstEvent is the expected time to its first event behind the urgent requests, UrgentWait
	// the part of it that is the wait for a place, and DeferredWait the wait for a place behind
	// all requests.
	FirstEvent, UrgentWait, DeferredWait time.Duration
	// KeepsFree is set if the group keeps places free because requests that wait for one miss their
	// goals: then no deferred request waits there.
	KeepsFree bool
	// Stream is the expected time from the first event to the last.
	Stream time.Duration
	// ModelShare is the mean of the shares of the model's groups. It decides about fresh requests:
	// the largest share alone would send the requests of all entry instances to the group that
	// seems to have most room, until they see each other's.
	ModelShare float64
}

// Share returns the share of fresh requests that the group can take. It falls gradually with the
// wait for a place: entry instances know of each other's requests with a delay, and a fixed limit
// would have all of them send and stop at the same moments.
func (r Room) Share() float64 {
	return min(1, max(0, 1-float64(r.UrgentWait)/float64(shareWait)))
}

// Place returns the placement of a request at a group.
func Place(r Request, room Room) Placement {
	late := r.CameBack || r.Age >= r.Goal
	limit := maxDeferredWait
	if room.KeepsFree {
		limit = 0
	}
	switch {
	case r.Begun && room.UrgentWait < shareWait:
		return Urgent
	case !late && r.Lot < room.ModelShare:
		return Urgent
	case late && room.DeferredWait <= limit && room.DeferredWait+room.Stream < r.TimeLeft:
		return Deferred
	default:
		return Refused
	}
}

// Rank returns the index of an urgency among those of the service, and their number.
func (c *Classes) Rank(urgency, ofRoute int) (index, ranks int) {
	index, _ = slices.BinarySearchFunc(c.ranks, rank{urgency, ofRoute}, rank.compare)
	return min(index, len(c.ranks)-1), len(c.ranks)
}

// Part returns the place of an urgent request among those that the group takes, from 0 to 1, and 1
// for a deferred one.
func Part(r Request, room Room) float64 {
	if r.Begun {
		return 0
	}
	if !r.CameBack && r.Lot < room.ModelShare {
		return r.Lot / room.ModelShare
	}
	return 1
}

// Priority returns the value of the priority header: urgent requests by their rank, those of one
// rank with more time before others behind; then returned requests, which are not asked to come back
// again, then the others.
func Priority(r Request, p Placement, room Room) int {
	switch {
	case p == Urgent:
		part := Part(r, room)
		for i, bound := range urgentBounds {
			if part < bound {
				return i
			}
		}
		return len(urgentBounds)
	case r.CameBack:
		return returnPriority
	default:
		return deferredPriority
	}
}

// ReturnAfter returns when a refused caller comes back: spread evenly between the least time and
// what it honours. point is a random number in [0, 1).
func ReturnAfter(usual, timeLeft time.Duration, point float64) time.Duration {
	most := float64(timeLeft) * returnShare
	least := min(most, float64(usual)*minReturnShare)
	return time.Duration(least + point*(most-least))
}
