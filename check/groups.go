package check

import (
	"fmt"
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// wholeGroup checks P1, that requests run only on whole groups: each request at a
// backend server ran on a group whose members all had the group and epoch that the
// request named.
func wholeGroup(h *History, _ Limits) []Violation {
	var out []Violation
	for i := range h.BackendRequests {
		r := &h.BackendRequests[i]
		switch {
		case r.MissingMember != "":
			out = append(out, Violation{
				Time: r.StartedAt, Message: fmt.Sprintf("request ran while member %s was not in the group", r.MissingMember),
				Events: []string{r.String()},
			})
		case r.Group != r.ServerGroup || r.Epoch != r.ServerEpoch:
			out = append(out, Violation{
				Time: r.StartedAt, Message: "request ran on a different group or epoch than it named",
				Events: []string{r.String()},
			})
		}
	}
	return out
}

// singleMembership checks P2: an instance leaves its group before it joins
// another one, and the store never lists it in two groups.
func singleMembership(h *History, _ Limits) []Violation {
	return append(membershipAtInstances(h), membershipInStore(h)...)
}

func membershipAtInstances(h *History) []Violation {
	events := append([]MembershipChange{}, h.MembershipChanges...)
	sort.SliceStable(events, func(a, b int) bool { return events[a].ChangedAt.Before(events[b].ChangedAt) })
	type process struct {
		instance    ident.InstanceID
		incarnation ident.Incarnation
	}
	var out []Violation
	last := make(map[process]*MembershipChange)
	for i := range events {
		m := &events[i]
		key := process{m.Instance, m.Incarnation}
		before := last[key]
		if before != nil && before.Group != "" && m.Group != "" && before.Group != m.Group {
			out = append(out, Violation{
				Time: m.ChangedAt, Message: fmt.Sprintf("%s joined a group before it left another one", m.Instance),
				Events: []string{before.String(), m.String()},
			})
		}
		last[key] = m
	}
	return out
}

func membershipInStore(h *History) []Violation {
	rows := append([]GroupRow{}, h.GroupRows...)
	sort.SliceStable(rows, func(a, b int) bool { return rows[a].Version < rows[b].Version })
	var out []Violation
	members := make(map[string][]ident.InstanceID)
	groups := make(map[ident.InstanceID]map[string]bool)
	for i := 0; i < len(rows); {
		version := rows[i].Version
		first := i
		for ; i < len(rows) && rows[i].Version == version; i++ {
			replaceMembers(members, groups, rows[i])
		}
		// Rows with the same version belong to one transaction, so only the state
		// after all of them is checked.
		for _, row := range rows[first:i] {
			for _, m := range row.Members {
				if len(groups[m]) > 1 {
					out = append(out, twoGroupsViolation(row, m, groups[m]))
				}
			}
		}
	}
	return out
}

func replaceMembers(members map[string][]ident.InstanceID, groups map[ident.InstanceID]map[string]bool, row GroupRow) {
	for _, m := range members[row.Group] {
		delete(groups[m], row.Group)
	}
	members[row.Group] = row.Members
	for _, m := range row.Members {
		if groups[m] == nil {
			groups[m] = make(map[string]bool)
		}
		groups[m][row.Group] = true
	}
}

func twoGroupsViolation(row GroupRow, m ident.InstanceID, groups map[string]bool) Violation {
	names := make([]string, 0, len(groups))
	for g := range groups {
		names = append(names, g)
	}
	sort.Strings(names)
	return Violation{
		Time: row.WrittenAt, Message: fmt.Sprintf("the store lists %s in several groups: %v", m, names),
		Events: []string{fmt.Sprintf("%s version %d wrote group %s", formatTime(row.WrittenAt), row.Version, row.Group)},
	}
}

// coldLimit checks P3: the concurrent requests that an incarnation received
// during a cold start never exceed its cold limit.
func coldLimit(h *History, _ Limits) []Violation {
	byIncarnation := make(map[ident.Incarnation][]*BackendRequest)
	for i := range h.BackendRequests {
		if r := &h.BackendRequests[i]; r.ColdStart && r.ColdLimit > 0 {
			byIncarnation[r.Incarnation] = append(byIncarnation[r.Incarnation], r)
		}
	}
	var out []Violation
	for _, requests := range byIncarnation {
		sort.SliceStable(requests, func(a, b int) bool { return requests[a].StartedAt.Before(requests[b].StartedAt) })
		var running []*BackendRequest
		for _, r := range requests {
			running = append(unfinishedAt(running, r.StartedAt), r)
			if len(running) > r.ColdLimit {
				v := Violation{
					Time:    r.StartedAt,
					Message: fmt.Sprintf("%s had %d concurrent requests in a cold start, limit %d", r.Instance, len(running), r.ColdLimit),
				}
				for _, o := range running {
					v.Events = append(v.Events, o.String())
				}
				out = append(out, v)
			}
		}
	}
	return out
}

// unfinishedAt returns the requests that had not ended at a time. It reuses the
// slice.
func unfinishedAt(running []*BackendRequest, t time.Time) []*BackendRequest {
	kept := running[:0]
	for _, r := range running {
		if r.EndedAt.IsZero() || r.EndedAt.After(t) {
			kept = append(kept, r)
		}
	}
	return kept
}
