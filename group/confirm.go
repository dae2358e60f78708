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

// PolledInstance is an instance of the platform's list with its last poll.
type PolledInstance struct {
	Info   infra.Instance
	Report Report
}

// groupKey identifies one epoch of a group.
type groupKey struct {
	id    ident.GroupID
	epoch ident.Epoch
}

// Confirmed turns member statuses into the groups of a service that may take
// requests: each of the Size ranks is held by exactly one ready member of the
// same group and epoch, polled less than view.ConfirmTTL ago. It needs no
// table rows, so an entry that is cut off from the lease holder can confirm by
// its own polls.
func Confirmed(doc *service.Document, seen []PolledInstance, now time.Duration) []*view.Group {
	byKey := make(map[groupKey][]*PolledInstance)
	for i := range seen {
		s := &seen[i]
		if confirms(&s.Report, doc.Service, now) {
			k := groupKey{s.Report.Status.Group, s.Report.Status.Epoch}
			byKey[k] = append(byKey[k], s)
		}
	}
	out := make([]*view.Group, 0, len(byKey))
	for k, members := range byKey {
		slices.SortFunc(members, func(a, b *PolledInstance) int {
			return cmp.Compare(a.Report.Status.Rank, b.Report.Status.Rank)
		})
		if complete(members) {
			out = append(out, confirmedGroup(doc, k, members))
		}
	}
	slices.SortFunc(out, func(a, b *view.Group) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// confirms reports whether a poll confirms that the member serves a group.
func confirms(r *Report, name ident.ServiceName, now time.Duration) bool {
	s := &r.Status
	return r.OK && s.State == engine.StateReady && s.Service == name && s.Group != "" &&
		now-r.SentAt < view.ConfirmTTL
}

// complete reports whether members sorted by rank are the whole group.
func complete(members []*PolledInstance) bool {
	for i, m := range members {
		s := &m.Report.Status
		if s.Rank != i || s.Size != len(members) {
			return false
		}
	}
	return len(members) > 0
}

// confirmedGroup builds the view of a complete group.
func confirmedGroup(doc *service.Document, k groupKey, members []*PolledInstance) *view.Group {
	lead := members[0]
	s := &lead.Report.Status
	g := &view.Group{
		ID:         k.id,
		Epoch:      k.epoch,
		Role:       s.Role,
		Region:     lead.Info.Region,
		DataCentre: lead.Info.DataCentre,
		Domain:     lead.Info.Domain,
		Partner:    lead.Info.Partner,
		Leader: view.Backend{
			Instance:    lead.Info.ID,
			Address:     lead.Info.Address,
			Incarnation: s.Incarnation,
			DataCentre:  lead.Info.DataCentre,
			Region:      lead.Info.Region,
			Partner:     lead.Info.Partner,
		},
		Confirmed:     lead.Report.SentAt,
		TokenCapacity: smaller(s.TokenCapacity, doc.Backend.HeldTokens),
		Status:        *s,
	}
	for _, m := range members {
		g.Members = append(g.Members, m.Info.ID)
		g.Confirmed = min(g.Confirmed, m.Report.SentAt)
		g.Cold = g.Cold || m.Report.Status.Cold
	}
	g.Limit = smaller(s.Limit, doc.Backend.Requests)
	if g.Cold {
		g.Limit = smaller(s.ColdLimit, doc.Backend.ColdRequests)
	}
	return g
}

// smaller returns the smaller of two limits, of which 0 means unset.
func smaller(a, b int) int {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}
