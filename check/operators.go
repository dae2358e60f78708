package check

import (
	"fmt"
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// dataCentreDrain checks P4: a drained data centre gets no new work, and no
// lookup answer names an entry instance in it.
func dataCentreDrain(h *History, l Limits) []Violation {
	var out []Violation
	for i := range h.Drains {
		d := &h.Drains[i]
		if d.Kind != DrainDataCentre {
			continue
		}
		out = append(out, workAfterDrain(h, d, l.MaxDrainDelay, func(s *BackendRequest) bool { return string(s.DataCentre) == d.Name })...)
		for j := range h.Lookups {
			lk := &h.Lookups[j]
			if string(lk.DataCentre) == d.Name && d.forbidsWorkAt(lk.AnsweredAt, l.MaxDrainDelay) {
				out = append(out, Violation{
					Time: lk.AnsweredAt, Message: fmt.Sprintf("a lookup returned %s in the drained data centre %s", lk.Entry, d.Name),
					Events: []string{d.String(), formatTime(lk.AnsweredAt) + " lookup returned " + string(lk.Entry)},
				})
			}
		}
	}
	return out
}

// backendDrain checks P8: a backend server that is drained or leaving, or that
// belongs to a drained partner, gets no new work.
func backendDrain(h *History, l Limits) []Violation {
	var out []Violation
	for i := range h.Drains {
		d := &h.Drains[i]
		switch d.Kind {
		case DrainInstance:
			out = append(out, workAfterDrain(h, d, l.MaxDrainDelay, func(s *BackendRequest) bool { return string(s.Instance) == d.Name })...)
		case DrainPartner:
			out = append(out, workAfterDrain(h, d, l.MaxDrainDelay, func(s *BackendRequest) bool { return string(s.Partner) == d.Name })...)
		case DrainDataCentre:
		}
	}
	return out
}

// workAfterDrain returns a violation for each request that started on a drained
// backend server later than delay after the drain.
func workAfterDrain(h *History, d *Drain, delay time.Duration, drained func(*BackendRequest) bool) []Violation {
	var out []Violation
	for i := range h.BackendRequests {
		s := &h.BackendRequests[i]
		if drained(s) && d.forbidsWorkAt(s.StartedAt, delay) {
			out = append(out, Violation{
				Time:    s.StartedAt,
				Message: fmt.Sprintf("%s %s got new work %s after its drain", d.Kind, d.Name, s.StartedAt.Sub(d.AcceptedAt)),
				Events:  []string{d.String(), s.String()},
			})
		}
	}
	return out
}

// configMonotonic checks P10: the revision of a node never decreases between two
// restarts, an accepted edit is in force on every node within the limit, and no two
// edits have the same revision.
func configMonotonic(h *History, l Limits) []Violation {
	out := duplicateRevisions(h)
	accepted := append([]AcceptedEdit{}, h.AcceptedEdits...)
	sort.SliceStable(accepted, func(a, b int) bool { return accepted[a].AcceptedAt.Before(accepted[b].AcceptedAt) })
	observed := append([]ActiveRevision{}, h.ActiveRevisions...)
	sort.SliceStable(observed, func(a, b int) bool { return observed[a].ObservedAt.Before(observed[b].ObservedAt) })

	highest := make(map[ident.Incarnation]ActiveRevision)
	var required AcceptedEdit // the accepted edit with the highest revision whose limit has passed
	next := 0
	for _, o := range observed {
		for next < len(accepted) && !o.ObservedAt.Before(accepted[next].AcceptedAt.Add(l.MaxConfigDelay)) {
			if accepted[next].Revision > required.Revision {
				required = accepted[next]
			}
			next++
		}
		if before, ok := highest[o.Incarnation]; ok && o.Revision < before.Revision {
			out = append(out, Violation{
				Time: o.ObservedAt, Message: fmt.Sprintf("%s went back from revision %d to %d", o.Node, before.Revision, o.Revision),
				Events: []string{before.String(), o.String()},
			})
		} else {
			highest[o.Incarnation] = o
		}
		if o.Revision < required.Revision {
			out = append(out, Violation{
				Time: o.ObservedAt, Message: fmt.Sprintf("%s does not have accepted revision %d after %s", o.Node, required.Revision, o.ObservedAt.Sub(required.AcceptedAt)),
				Events: []string{required.String(), o.String()},
			})
		}
	}
	return out
}

func duplicateRevisions(h *History) []Violation {
	var out []Violation
	first := make(map[ident.Revision]AcceptedEdit)
	for _, a := range h.AcceptedEdits {
		before, ok := first[a.Revision]
		if !ok {
			first[a.Revision] = a
			continue
		}
		out = append(out, Violation{
			Time: a.AcceptedAt, Message: fmt.Sprintf("two edits were accepted with revision %d", a.Revision),
			Events: []string{before.String(), a.String()},
		})
	}
	return out
}

// String describes the accepted edit.
func (a AcceptedEdit) String() string {
	return fmt.Sprintf("%s edit of %s accepted with revision %d", formatTime(a.AcceptedAt), a.Record, a.Revision)
}

// String describes the observed revision.
func (o ActiveRevision) String() string {
	return fmt.Sprintf("%s %s (%s) has revision %d in force", formatTime(o.ObservedAt), o.Node, o.Incarnation, o.Revision)
}
