package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/view"
)

// PolledInstance is an instance of the platform's list with the result of its last
// status poll.
type PolledInstance struct {
	Info   infra.Instance
	Report Report
}

// groupKey identifies one epoch of a group.
type groupKey struct {
	id    ident.GroupID
	epoch ident.Epoch
}

// Confirmed returns the groups of a service that may take requests, sorted by
// ID. Such a group has exactly one ready member of the same group and epoch for
// each of its Size ranks, and each of these was polled less than view.ConfirmTTL
// ago. No table rows are needed, so an entry instance that cannot reach the lease
// holder can confirm groups by its own polls.
func Confirmed(doc *service.Document, polled []PolledInstance, now time.Duration) []*view.Group {
	byKey := make(map[groupKey][]*PolledInstance)
	for i := range polled {
		o := &polled[i]
		if confirms(&o.Report, doc.Service, now) {
			k := groupKey{o.Report.Status.Group, o.Report.Status.Epoch}
			byKey[k] = append(byKey[k], o)
		}
	}
	out := make([]*view.Group, 0, len(byKey))
	for k, members := range byKey {
		slices.SortFunc(members, func(a, b *PolledInstance) int {
			return cmp.Compare(a.Report.Status.Rank, b.Report.Status.Rank)
		})
		if isComplete(members) {
			out = append(out, buildConfirmedGroup(doc, k, members))
		}
	}
	slices.SortFunc(out, func(a, b *view.Group) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// confirms reports whether a poll confirms that the member is ready in a group of
// the service.
func confirms(r *Report, name ident.ServiceName, now time.Duration) bool {
	s := &r.Status
	return r.OK && s.State == engine.StateReady && s.Service == name && s.Group != "" &&
		now-r.SentAt < view.ConfirmTTL
}

// isComplete reports whether members, which are sorted by rank, contain exactly one
// member for each rank of a group.
func isComplete(members []*PolledInstance) bool {
	for i, m := range members {
		s := &m.Report.Status
		if s.Rank != i || s.Size != len(members) {
			return false
		}
	}
	return len(members) > 0
}

// buildConfirmedGroup builds the view of a complete group.
func buildConfirmedGroup(doc *service.Document, k groupKey, members []*PolledInstance) *view.Group {
	leader := members[0]
	s := &leader.Report.Status
	g := &view.Group{
		ID:         k.id,
		Epoch:      k.epoch,
		Role:       s.Role,
		Region:     leader.Info.Region,
		DataCentre: leader.Info.DataCentre,
		Domain:     leader.Info.Domain,
		Partner:    leader.Info.Partner,
		Leader: view.Backend{
			Instance:    leader.Info.ID,
			Address:     leader.Info.Address,
			Incarnation: s.Incarnation,
			DataCentre:  leader.Info.DataCentre,
			Region:      leader.Info.Region,
			Partner:     leader.Info.Partner,
		},
		Confirmed:     leader.Report.SentAt,
		TokenCapacity: minLimit(s.TokenCapacity, doc.Backend.HeldTokens),
		Status:        *s,
	}
	for _, m := range members {
		g.Members = append(g.Members, m.Info.ID)
		g.Confirmed = min(g.Confirmed, m.Report.SentAt)
		g.Cold = g.Cold || m.Report.Status.Cold
	}
	g.Limit = minLimit(s.Limit, doc.Backend.Requests)
	if g.Cold {
		g.Limit = minLimit(s.ColdLimit, doc.Backend.ColdRequests)
	}
	return g
}

// minLimit returns the smaller of two limits. A limit of 0 is not set.
func minLimit(a, b int) int {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}
