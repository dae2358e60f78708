package check

import (
	"fmt"
	"sort"
	"time"
)

// wholeAnswer is P5: an answered request has the whole expected answer, and no
// connection ends within one. A request whose entry the test killed may end
// without an answer, but not with a wrong one.
func wholeAnswer(h *History, _ Limits) []Violation {
	var out []Violation
	for i := range h.CallerRequests {
		c := &h.CallerRequests[i]
		message := ""
		switch {
		case c.Outcome == OutcomeCut && !c.EntryKilled:
			message = "the connection ended without a whole answer"
		case c.Outcome == OutcomeAnswered && !c.Complete:
			message = "the answer lacks its end"
		case c.Outcome == OutcomeAnswered && c.WantAnswer != "" && c.Answer != c.WantAnswer:
			message = fmt.Sprintf("the answer is %.40q, want %.40q", c.Answer, c.WantAnswer)
		default:
			continue
		}
		out = append(out, Violation{At: c.EndedAt, Message: message, Events: []string{c.String()}})
	}
	return out
}

// callersByRequest maps each request to its callers in order of sending.
func callersByRequest(h *History) map[string][]*CallerRequest {
	m := make(map[string][]*CallerRequest)
	for i := range h.CallerRequests {
		c := &h.CallerRequests[i]
		m[c.Request] = append(m[c.Request], c)
	}
	for _, callers := range m {
		sort.SliceStable(callers, func(a, b int) bool { return callers[a].SentAt.Before(callers[b].SentAt) })
	}
	return m
}

// trueNotRun is P6: a run that only refused requests can have caused makes the
// refusal "not run" untrue. A request can cause a run at any time after it was
// sent, also after its refusal.
func trueNotRun(h *History, _ Limits) []Violation {
	callers := callersByRequest(h)
	var out []Violation
	for i := range h.BackendRequests {
		s := &h.BackendRequests[i]
		if !s.Ran {
			continue
		}
		var refused []string
		explained := false
		for _, c := range callers[s.Request] {
			if c.SentAt.After(s.StartedAt) {
				break
			}
			if c.Outcome != OutcomeNotRun {
				explained = true
				break
			}
			refused = append(refused, c.String())
		}
		if !explained && len(refused) > 0 {
			out = append(out, Violation{
				At: s.StartedAt, Message: fmt.Sprintf("%s ran although its refusal says not-run", s.Request),
				Events: append(refused, s.String()),
			})
		}
	}
	return out
}

// atMostOnce is P7: a non-idempotent request runs at most once.
func atMostOnce(h *History, _ Limits) []Violation {
	runs := make(map[string][]*BackendRequest)
	for i := range h.BackendRequests {
		if s := &h.BackendRequests[i]; s.NonIdempotent && s.Ran {
			runs[s.Request] = append(runs[s.Request], s)
		}
	}
	var out []Violation
	for request, served := range runs {
		if len(served) < 2 {
			continue
		}
		v := Violation{At: served[1].StartedAt, Message: fmt.Sprintf("%s ran %d times", request, len(served))}
		for _, s := range served {
			v.Events = append(v.Events, s.String())
		}
		out = append(out, v)
	}
	return out
}

// gracefulShutdown is P9: no request that an entry in graceful shutdown had
// accepted is cut.
func gracefulShutdown(h *History, _ Limits) []Violation {
	var out []Violation
	for i := range h.Shutdowns {
		sd := &h.Shutdowns[i]
		for j := range h.CallerRequests {
			c := &h.CallerRequests[j]
			if c.Entry == sd.Entry && c.Outcome == OutcomeCut && !c.EndedAt.Before(sd.StartedAt) {
				out = append(out, Violation{
					At: c.EndedAt, Message: fmt.Sprintf("the shutdown of %s cut a request", sd.Entry),
					Events: []string{stamp(sd.StartedAt) + " shutdown of " + string(sd.Entry), c.String()},
				})
			}
		}
	}
	return out
}

// covers reports whether a drain forbids new work at an instant.
func (d *Drain) covers(at time.Time, delay time.Duration) bool {
	return at.After(d.AcceptedAt.Add(delay)) && (d.RestoredAt.IsZero() || at.Before(d.RestoredAt))
}
