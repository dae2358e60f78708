package check

import (
	"fmt"
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// dataCentreDrain is P4: a drained data centre gets no new work, and no lookup
// answer names an entry there.
func dataCentreDrain(h *History, l Limits) []Violation {
	var out []Violation
	for i := range h.Drains {
		d := &h.Drains[i]
		if d.Kind != DrainDataCentre {
			continue
		}
		out = append(out, workDuring(h, d, l.MaxDrainDelay, func(s *BackendRequest) bool { return string(s.DataCentre) == d.Name })...)
		for j := range h.Lookups {
			lk := &h.Lookups[j]
			if string(lk.DataCentre) == d.Name && d.covers(lk.AnsweredAt, l.MaxDrainDelay) {
				out = append(out, Violation{
					At: lk.AnsweredAt, Message: fmt.Sprintf("a lookup named %s in the drained data centre %s", lk.Entry, d.Name),
					Events: []string{d.String(), stamp(lk.AnsweredAt) + " lookup named " + string(lk.Entry)},
				})
			}
		}
	}
	return out
}

// backendDrain is P8: a leaving backend server gets no new work.
func backendDrain(h *History, l Limits) []Violation {
	var out []Violation
	for i := range h.Drains {
		d := &h.Drains[i]
		switch d.Kind {
		case DrainInstance:
			out = append(out, workDuring(h, d, l.MaxDrainDelay, func(s *BackendRequest) bool { return string(s.Instance) == d.Name })...)
		case DrainPartner:
			out = append(out, workDuring(h, d, l.MaxDrainDelay, func(s *BackendRequest) bool { return string(s.Partner) == d.Name })...)
		case DrainDataCentre:
		}
	}
	return out
}

// workDuring finds work that started on drained backend servers.
func workDuring(h *History, d *Drain, delay time.Duration, drained func(*BackendRequest) bool) []Violation {
	var out []Violation
	for i := range h.BackendRequests {
		s := &h.BackendRequests[i]
		if drained(s) && d.covers(s.StartedAt, delay) {
			out = append(out, Violation{
				At:      s.StartedAt,
				Message: fmt.Sprintf("%s %s got new work %s after its drain", d.Kind, d.Name, s.StartedAt.Sub(d.AcceptedAt)),
				Events:  []string{d.String(), s.String()},
			})
		}
	}
	return out
}

// configMonotonic is P10: revisions at a node never fall, an accepted edit is
// in force at every node within the limit, and no two edits share a revision.
func configMonotonic(h *History, l Limits) []Violation {
	out := sharedRevisions(h)
	accepted := append([]AcceptedEdit{}, h.AcceptedEdits...)
	sort.SliceStable(accepted, func(a, b int) bool { return accepted[a].AcceptedAt.Before(accepted[b].AcceptedAt) })
	observed := append([]ActiveRevision{}, h.ActiveRevisions...)
	sort.SliceStable(observed, func(a, b int) bool { return observed[a].ObservedAt.Before(observed[b].ObservedAt) })

	highest := make(map[ident.Incarnation]ActiveRevision)
	var floor AcceptedEdit // the highest edit whose limit has passed
	next := 0
	for _, o := range observed {
		for next < len(accepted) && !o.ObservedAt.Before(accepted[next].AcceptedAt.Add(l.MaxConfigDelay)) {
			if accepted[next].Revision > floor.Revision {
				floor = accepted[next]
			}
			next++
		}
		if before, ok := highest[o.Incarnation]; ok && o.Revision < before.Revision {
			out = append(out, Violation{
				At: o.ObservedAt, Message: fmt.Sprintf("%s went back from revision %d to %d", o.Node, before.Revision, o.Revision),
				Events: []string{before.String(), o.String()},
			})
		} else {
			highest[o.Incarnation] = o
		}
		if o.Revision < floor.Revision {
			out = append(out, Violation{
				At: o.ObservedAt, Message: fmt.Sprintf("%s lacks accepted revision %d after %s", o.Node, floor.Revision, o.ObservedAt.Sub(floor.AcceptedAt)),
				Events: []string{floor.String(), o.String()},
			})
		}
	}
	return out
}

func sharedRevisions(h *History) []Violation {
	var out []Violation
	first := make(map[ident.Revision]AcceptedEdit)
	for _, a := range h.AcceptedEdits {
		before, ok := first[a.Revision]
		if !ok {
			first[a.Revision] = a
			continue
		}
		out = append(out, Violation{
			At: a.AcceptedAt, Message: fmt.Sprintf("two edits were accepted with revision %d", a.Revision),
			Events: []string{before.String(), a.String()},
		})
	}
	return out
}

// String describes an accepted edit.
func (a AcceptedEdit) String() string {
	return fmt.Sprintf("%s edit of %s accepted with revision %d", stamp(a.AcceptedAt), a.Record, a.Revision)
}

// String describes an observation.
func (o ActiveRevision) String() string {
	return fmt.Sprintf("%s %s (%s) has revision %d in force", stamp(o.ObservedAt), o.Node, o.Incarnation, o.Revision)
}
