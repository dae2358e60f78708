package fleet

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the use of backend servers that leave.
const (
	// lastResortDivisor divides the drain time: during the first part, a leaving backend
	// server gets the requests that no other one can take. The rest of the time is a margin
	// for requests that are late.
	lastResortDivisor = 2
	// maxLastResort bounds that part. A backend server may have begun to leave some time
	// before the first response that says so, and its end cuts what it runs.
	maxLastResort = time.Second
	// unlistedRunLifetime is how long a leaving run is remembered after its entry has gone:
	// an entry that was lost in an outage of the store may return.
	unlistedRunLifetime = 10 * time.Minute
	// unidentifiedRunLifetime is how long a leaving backend server without an incarnation is
	// remembered, because its restart can't be seen.
	unidentifiedRunLifetime = time.Minute
)

// Run identifies one run of a backend server. Incarnation is empty if it is unknown.
type Run struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
}

// DepartureEvent is an input of Departures.
type DepartureEvent interface{ departureEvent() }

type (
	// SaidLeaving reports a response in which a run said that it leaves.
	SaidLeaving struct{ Run Run }
	// ListChanged reports that the list of backend servers has changed.
	ListChanged struct {
		// Listed reports whether the list has a run.
		Listed func(Run) bool
	}
)

func (SaidLeaving) departureEvent() {}
func (ListChanged) departureEvent() {}

// Use is how a backend server may be used for new requests.
type Use int

const (
	// UseNormally means that the backend server has not said that it leaves.
	UseNormally Use = iota
	// UseLastResort means that it leaves and may only get requests that no other backend
	// server can take.
	UseLastResort
	// UseNever means that it gets no new requests.
	UseNever
)

// String returns the name of the use in logs.
func (u Use) String() string { return [...]string{"normally", "last-resort", "never"}[u] }

// departure is a leaving run.
type departure struct {
	since time.Duration
	// unlistedSince is when the run was first missing in the list, if unlisted.
	unlistedSince time.Duration
	unlisted      bool
}

// Departures decides which backend servers get no new requests because they said in a
// response that they leave. That holds for a run whatever the list of backend servers says of
// it; a later run with the same ID is used again.
type Departures struct {
	lastResort time.Duration
	leaving    map[Run]*departure
}

// NewDepartures returns an empty Departures. drainTime is the time from the first response of a
// leaving backend server after which no request may be sent to it; 0 allows none at all.
func NewDepartures(drainTime time.Duration) *Departures {
	return &Departures{lastResort: min(maxLastResort, drainTime/lastResortDivisor), leaving: make(map[Run]*departure)}
}

// Step applies an event, and reports whether a run has begun to leave.
func (d *Departures) Step(now time.Duration, e DepartureEvent) (began bool) {
	switch e := e.(type) {
	case SaidLeaving:
		if l := d.leaving[e.Run]; l != nil && !l.expired(now, e.Run) {
			return false
		}
		d.leaving[e.Run] = &departure{since: now}
		return true
	case ListChanged:
		for run, l := range d.leaving {
			l.setListed(now, e.Listed(run))
			if l.expired(now, run) {
				delete(d.leaving, run)
			}
		}
	}
	return false
}

func (l *departure) setListed(now time.Duration, listed bool) {
	if !listed && !l.unlisted {
		l.unlistedSince = now
	}
	l.unlisted = !listed
}

// expired reports whether the departure no longer counts.
func (l *departure) expired(now time.Duration, run Run) bool {
	if run.Incarnation == "" && now-l.since >= unidentifiedRunLifetime {
		return true
	}
	return l.unlisted && now-l.unlistedSince >= unlistedRunLifetime
}

// Use returns how a run may be used for a request that is sent now.
func (d *Departures) Use(now time.Duration, run Run) Use {
	l := d.leaving[run]
	switch {
	case l == nil || l.expired(now, run):
		return UseNormally
	case now-l.since < d.lastResort:
		return UseLastResort
	}
	return UseNever
}

// Len returns the number of leaving runs that are remembered.
func (d *Departures) Len() int { return len(d.leaving) }
