package forward

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the request limits that backend servers name.
const (
	// limitReportTime is how long an observation of a limit is reported to other entry
	// instances.
	limitReportTime = 10 * time.Second
	// maxLimitReports bounds the number of reports in a message.
	maxLimitReports = 64
	// rankLifetime is how long the rank of this entry instance for a backend server is kept.
	rankLifetime = 500 * time.Millisecond
)

// limits holds the request limits that backend servers have named.
type limits struct {
	mu       sync.Mutex
	byServer map[ident.InstanceID]*serverLimit
}

// serverLimit is the limit of one backend server, with the rank of this entry instance as of
// rankedAt.
type serverLimit struct {
	admission.NamedLimit
	rank, instances int
	rankedAt        time.Duration
}

func newLimits() *limits { return &limits{byServer: make(map[ident.InstanceID]*serverLimit)} }

// observe applies an observation. It returns the limit before it, and whether it has changed.
func (l *limits) observe(now time.Duration, r admission.LimitReport) (was float64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byServer[r.Server]
	if s == nil {
		if !r.Named {
			return 0, false
		}
		s = &serverLimit{}
		l.byServer[r.Server] = s
	}
	was, wasNamed := s.Named()
	if !s.Observe(now, now-max(0, r.Age), r.PerSecond, r.Named) {
		return was, false
	}
	return was, was != r.PerSecond || wasNamed != r.Named
}

// allows reports whether the request limit of a backend server allows this entry instance to
// send a request now.
func (l *limits) allows(now time.Duration, id ident.InstanceID, peers Peers) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byServer[id]
	return s == nil || s.allows(now, id, peers)
}

func (s *serverLimit) allows(now time.Duration, id ident.InstanceID, peers Peers) bool {
	if s.rankedAt == 0 || now-s.rankedAt >= rankLifetime {
		s.rank, s.instances, s.rankedAt = peers.Rank(string(id)), peers.AliveInstances(), now
	}
	return s.Allows(now, s.rank, s.instances)
}

// take takes a request from the limit of a backend server, and reports whether there was one.
func (l *limits) take(now time.Duration, id ident.InstanceID, peers Peers) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byServer[id]
	if s == nil {
		return true
	}
	if !s.allows(now, id, peers) {
		return false
	}
	s.Take()
	return true
}

// forget drops the limit of a backend server that is gone or has restarted.
func (l *limits) forget(id ident.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byServer, id)
}

// recordLimit records the request limit that the response names, or that it names none.
func (a *attempt) recordLimit() {
	h := a.req.handler
	r := admission.LimitReport{Server: a.server.ID}
	if v := a.resp.Header.Get(h.opts.Headers.RequestLimit); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
			a.req.addStep("limit:" + string(a.server.ID) + ":" + strconv.Quote(v) + " is not a rate")
			return
		}
		r.PerSecond, r.Named = n, true
	}
	was, changed := h.limits.observe(a.req.now(), r)
	if changed && h.opts.Log != nil {
		h.opts.Log.WithFields(logrus.Fields{
			"server": a.server.ID, "per_second": r.PerSecond, "was": was, "request": a.req.id,
		}).Info("backend server changed its request limit")
	}
	if changed && h.opts.OnFindings != nil {
		h.opts.OnFindings()
	}
}

// LimitReports returns the recent observations of request limits, newest first.
func (h *Handler) LimitReports(now time.Duration) []admission.LimitReport {
	h.limits.mu.Lock()
	defer h.limits.mu.Unlock()
	var out []admission.LimitReport
	for id, s := range h.limits.byServer {
		if age := now - s.ObservedAt(); age < limitReportTime {
			perSecond, named := s.Named()
			out = append(out, admission.LimitReport{Server: id, PerSecond: perSecond, Named: named, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b admission.LimitReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(len(out), maxLimitReports)]
}

// MergeLimitReports applies the observations of another entry instance, and reports whether a
// limit has changed.
func (h *Handler) MergeLimitReports(now time.Duration, reports []admission.LimitReport) (changed bool) {
	for _, r := range reports {
		if math.IsNaN(r.PerSecond) || math.IsInf(r.PerSecond, 0) || r.PerSecond < 0 {
			continue
		}
		_, c := h.limits.observe(now, r)
		changed = changed || c
	}
	return changed
}
