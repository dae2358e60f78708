package check

import (
	"fmt"
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// wholeGroup is P1: each served request ran on a group whose members all held
// the group and epoch that the request named.
func wholeGroup(h *History, _ Limits) []Violation {
	var out []Violation
	for i := range h.BackendRequests {
		s := &h.BackendRequests[i]
		switch {
		case s.MissingMember != "":
			out = append(out, Violation{
				At: s.StartedAt, Message: fmt.Sprintf("request ran while member %s was not in the group", s.MissingMember),
				Events: []string{s.String()},
			})
		case s.Group != s.ServerGroup || s.Epoch != s.ServerEpoch:
			out = append(out, Violation{
				At: s.StartedAt, Message: "request ran on another group or epoch than it named",
				Events: []string{s.String()},
			})
		}
	}
	return out
}

// singleMembership is P2: an instance leaves a group before it joins another,
// and no state of the store lists it in two.
func singleMembership(h *History, _ Limits) []Violation {
	return append(membershipAtInstances(h), membershipInStore(h)...)
}

func membershipAtInstances(h *History) []Violation {
	events := append([]MembershipChange{}, h.MembershipChanges...)
	sort.SliceStable(events, func(a, b int) bool { return events[a].ChangedAt.Before(events[b].ChangedAt) })
	type run struct {
		instance    ident.InstanceID
		incarnation ident.Incarnation
	}
	var out []Violation
	holds := make(map[run]*MembershipChange)
	for i := range events {
		m := &events[i]
		key := run{m.Instance, m.Incarnation}
		before := holds[key]
		if before != nil && before.Group != "" && m.Group != "" && before.Group != m.Group {
			out = append(out, Violation{
				At: m.ChangedAt, Message: fmt.Sprintf("%s joined a group before it left another", m.Instance),
				Events: []string{before.String(), m.String()},
			})
		}
		holds[key] = m
	}
	return out
}

func membershipInStore(h *History) []Violation {
	rows := append([]GroupRow{}, h.GroupRows...)
	sort.SliceStable(rows, func(a, b int) bool { return rows[a].Version < rows[b].Version })
	var out []Violation
	members := make(map[string][]ident.InstanceID)
	owner := make(map[ident.InstanceID]map[string]bool)
	for i := 0; i < len(rows); {
		version := rows[i].Version
		first := i
		for ; i < len(rows) && rows[i].Version == version; i++ {
			replaceMembers(members, owner, rows[i])
		}
		// Only the state after the whole transaction counts.
		for _, row := range rows[first:i] {
			for _, m := range row.Members {
				if len(owner[m]) > 1 {
					out = append(out, inTwoGroups(row, m, owner[m]))
				}
			}
		}
	}
	return out
}

func replaceMembers(members map[string][]ident.InstanceID, owner map[ident.InstanceID]map[string]bool, row GroupRow) {
	for _, m := range members[row.Group] {
		delete(owner[m], row.Group)
	}
	members[row.Group] = row.Members
	for _, m := range row.Members {
		if owner[m] == nil {
			owner[m] = make(map[string]bool)
		}
		owner[m][row.Group] = true
	}
}

func inTwoGroups(row GroupRow, m ident.InstanceID, groups map[string]bool) Violation {
	names := make([]string, 0, len(groups))
	for g := range groups {
		names = append(names, g)
	}
	sort.Strings(names)
	return Violation{
		At: row.WrittenAt, Message: fmt.Sprintf("the store lists %s in the groups %v", m, names),
		Events: []string{fmt.Sprintf("%s version %d wrote group %s", stamp(row.WrittenAt), row.Version, row.Group)},
	}
}

// coldLimit is P3: an incarnation never holds more requests that arrived in a
// cold start than its cold limit.
func coldLimit(h *History, _ Limits) []Violation {
	byRun := make(map[ident.Incarnation][]*BackendRequest)
	for i := range h.BackendRequests {
		if s := &h.BackendRequests[i]; s.ColdStart && s.ColdLimit > 0 {
			byRun[s.Incarnation] = append(byRun[s.Incarnation], s)
		}
	}
	var out []Violation
	for _, served := range byRun {
		sort.SliceStable(served, func(a, b int) bool { return served[a].StartedAt.Before(served[b].StartedAt) })
		var held []*BackendRequest
		for _, s := range served {
			held = append(stillHeld(held, s.StartedAt), s)
			if len(held) > s.ColdLimit {
				v := Violation{
					At:      s.StartedAt,
					Message: fmt.Sprintf("%s held %d requests in a cold start, limit %d", s.Instance, len(held), s.ColdLimit),
				}
				for _, o := range held {
					v.Events = append(v.Events, o.String())
				}
				out = append(out, v)
			}
		}
	}
	return out
}

// stillHeld keeps the requests that have not ended at an instant.
func stillHeld(held []*BackendRequest, at time.Time) []*BackendRequest {
	kept := held[:0]
	for _, s := range held {
		if s.EndedAt.IsZero() || s.EndedAt.After(at) {
			kept = append(kept, s)
		}
	}
	return kept
}
