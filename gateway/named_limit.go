package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	// limitProbeInterval is the time after which an entry instance that is not among the
	// senders to a limited backend server sends one request, to see whether the limit has
	// ended. It is longer with many entry instances.
	limitProbeInterval = 10 * time.Second
	// limitRankLifetime is how long the rank of this entry instance for a backend server is
	// kept.
	limitRankLifetime = 500 * time.Millisecond
)

// RequestLimit is the request limit that a response of a backend server names, in requests a
// second of all entry instances together. Received is false if there was no response.
type RequestLimit struct {
	PerSecond       float64
	Named, Received bool
}

// requestLimit returns the request limit that the header of a response names. A value that is
// no rate is treated as none.
func requestLimit(h http.Header) RequestLimit {
	n, err := strconv.ParseFloat(h.Get(engine.HeaderRequestLimit), 64)
	if err != nil || n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
		return RequestLimit{Received: true}
	}
	return RequestLimit{PerSecond: n, Named: true, Received: true}
}

// targetLimit is the request limit of one target, with the rank of this entry instance as of
// rankedAt. usedAt is when this entry instance last sent a request there or had a response.
type targetLimit struct {
	admission.NamedLimit
	rank, instances  int
	rankedAt, usedAt time.Duration
}

// observeLimit applies the request limit in a response of a target.
func (s *scheduler) observeLimit(now time.Duration, id credit.BackendID, r RequestLimit) {
	if !r.Received {
		return
	}
	l := s.limits[id]
	switch {
	case l == nil && !r.Named:
		return
	case l == nil:
		l = &targetLimit{}
		s.limits[id] = l
	case !r.Named:
		delete(s.limits, id)
		return
	}
	l.Observe(now, now, r.PerSecond, r.Named)
	l.usedAt = now
}

// limitAllows reports whether the request limit of a target allows a request now.
func (s *scheduler) limitAllows(now time.Duration, id credit.BackendID) bool {
	l := s.limits[id]
	if l == nil {
		return true
	}
	if l.rankedAt == 0 || now-l.rankedAt >= limitRankLifetime {
		l.rank, l.instances = s.balancer.rank(string(id))
		l.rankedAt = now
	}
	if l.Allows(now, l.rank, l.instances) {
		return true
	}
	perSecond, _ := l.Named()
	probeInterval := time.Duration(float64(limitProbeInterval) * max(1, float64(l.instances)/max(perSecond, 1)))
	return now-l.usedAt >= probeInterval
}

// takeFromLimit counts a request to a target that limitAllows has allowed.
func (s *scheduler) takeFromLimit(now time.Duration, id credit.BackendID) {
	if l := s.limits[id]; l != nil {
		l.Take()
		l.usedAt = now
	}
}

// rank returns the number of other live entry instances that precede this one in the
// rendezvous order of a key, and the number of all live ones.
func (b *Balancer) rank(key string) (rank, instances int) {
	own := ident.Score(key, b.self.Instance)
	instances = 1
	for _, e := range b.snapshot().Entries {
		if !e.Alive || e.Instance == b.self.Instance {
			continue
		}
		instances++
		if s := ident.Score(key, e.Instance); s > own || (s == own && e.Instance < b.self.Instance) {
			rank++
		}
	}
	return rank, instances
}
