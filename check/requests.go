package check

import (
	"fmt"
	"sort"
	"time"
)

// wholeAnswer checks P5: an answered request has the complete expected answer, and
// no connection ends before the answer is complete. A request whose entry instance
// was killed by the test may end without an answer, but not with a wrong one.
func wholeAnswer(h *History, _ Limits) []Violation {
	var out []Violation
	for i := range h.CallerRequests {
		c := &h.CallerRequests[i]
		message := ""
		switch {
		case c.Outcome == OutcomeCut && !c.EntryKilled:
			message = "the connection ended before the answer was complete"
		case c.Outcome == OutcomeAnswered && !c.Complete:
			message = "the answer has no end marker"
		case c.Outcome == OutcomeAnswered && c.WantAnswer != "" && c.Answer != c.WantAnswer:
			message = fmt.Sprintf("the answer is %.40q, want %.40q", c.Answer, c.WantAnswer)
		default:
			continue
		}
		out = append(out, Violation{Time: c.EndedAt, Message: message, Events: []string{c.String()}})
	}
	return out
}

// callersByRequest groups the caller requests by name, in the order in which they
// were sent.
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

// trueNotRun checks P6: a request that was refused as not-run did not run. A run
// is a violation if every caller request that can have caused it was refused.
// A caller request can cause a run at any time after it was sent, even after its
// refusal.
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
				Time: s.StartedAt, Message: fmt.Sprintf("%s ran although it was refused as not-run", s.Request),
				Events: append(refused, s.String()),
			})
		}
	}
	return out
}

// atMostOnce checks P7: a non-idempotent request runs at most once.
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
		v := Violation{Time: served[1].StartedAt, Message: fmt.Sprintf("%s ran %d times", request, len(served))}
		for _, s := range served {
			v.Events = append(v.Events, s.String())
		}
		out = append(out, v)
	}
	return out
}

// gracefulShutdown checks P9: an entry instance in graceful shutdown does not cut
// the connection of a request that it accepted.
func gracefulShutdown(h *History, _ Limits) []Violation {
	var out []Violation
	for i := range h.Shutdowns {
		sd := &h.Shutdowns[i]
		for j := range h.CallerRequests {
			c := &h.CallerRequests[j]
			if c.Entry == sd.Entry && c.Outcome == OutcomeCut && !c.EndedAt.Before(sd.StartedAt) {
				out = append(out, Violation{
					Time: c.EndedAt, Message: fmt.Sprintf("the shutdown of %s cut the connection of a request", sd.Entry),
					Events: []string{formatTime(sd.StartedAt) + " shutdown of " + string(sd.Entry), c.String()},
				})
			}
		}
	}
	return out
}

// forbidsWorkAt reports whether the drain forbids new work at a time. Work is
// allowed until delay after the drain was accepted.
func (d *Drain) forbidsWorkAt(t time.Time, delay time.Duration) bool {
	return t.After(d.AcceptedAt.Add(delay)) && (d.RestoredAt.IsZero() || t.Before(d.RestoredAt))
}
