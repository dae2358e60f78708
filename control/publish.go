package control

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/view"
)

// publish builds and stores the snapshot of the current state.
func (l *Loop) publish(now time.Duration) {
	s := view.Snapshot{Revision: l.config.shell.View().Revision, Ready: l.ready(), Entries: l.entries()}
	groups := 0
	for _, doc := range l.serviceDocuments() {
		svc := &view.Service{Document: doc, LeaseHolder: l.leaseHolder(doc.Service, now)}
		switch doc.Kind {
		case service.KindModel:
			svc.Groups = l.serviceGroups(doc, now)
			groups += len(svc.Groups)
		case service.KindPlain:
			svc.Backends = l.plainBackends(doc.Service)
		}
		s.Services = append(s.Services, svc)
	}
	l.counters.confirmedGroups.Update(float64(groups))
	l.snapshot.Store(view.New(s))
}

// ready reports whether this entry instance can serve: its configuration reached the
// highest revision known at startup, and the instance list was read.
func (l *Loop) ready() bool {
	return l.config.shell.View().Ready && len(l.instances) > 0
}

// plainBackends returns the backend servers of a plain service.
func (l *Loop) plainBackends(name ident.ServiceName) []*view.Backend {
	var out []*view.Backend
	for _, inst := range l.index.plainInstances[name] {
		b := l.backendOf(inst)
		out = append(out, &b)
	}
	slices.SortFunc(out, func(a, b *view.Backend) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

func (l *Loop) backendOf(inst infra.Instance) view.Backend {
	return view.Backend{
		Instance:   inst.ID,
		Address:    inst.Address,
		DataCentre: inst.DataCentre,
		Region:     inst.Region,
		Partner:    inst.Partner,
		Draining:   l.isOutOfService(inst),
	}
}

// groupKey is the group and epoch that all members of a group must report.
type groupKey struct {
	group ident.GroupID
	epoch ident.Epoch
}

// initialMemberCapacity is the initial capacity for the members of a group. It is at
// least the group sizes in use and the group size of the largest deployment that
// the project is designed for.
const initialMemberCapacity = 32

// member is a listed instance with its last status report.
type member struct {
	inst   *infra.Instance
	report *memberStatus
}

// confirmedGroups returns the groups of a service whose members have all
// recently reported the same group and epoch.
func (l *Loop) confirmedGroups(doc service.Document, now time.Duration) []*view.Group {
	if !l.anyPollRecent(now) {
		return nil
	}
	members := make(map[groupKey][]member)
	for i := range l.instances {
		inst := &l.instances[i]
		m, ok := l.statuses[inst.ID]
		if !ok || now-m.sentAt >= view.ConfirmTTL || m.status.Service != doc.Service || m.status.State != engine.StateReady {
			continue
		}
		key := groupKey{group: m.status.Group, epoch: m.status.Epoch}
		reported, ok := members[key]
		if !ok {
			reported = make([]member, 0, initialMemberCapacity)
		}
		members[key] = append(reported, member{inst, m})
	}
	out := make([]*view.Group, 0, len(members))
	for key, reported := range members {
		if g := l.completeGroup(doc, key, reported); g != nil {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *view.Group) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// completeGroup returns the group if each rank is present exactly once, and nil
// otherwise. It sorts the members by rank.
func (l *Loop) completeGroup(doc service.Document, key groupKey, members []member) *view.Group {
	size := members[0].report.status.Size
	if size == 0 || len(members) != size {
		return nil
	}
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.report.status.Rank, b.report.status.Rank) })
	outOfService := l.outOfService()
	g := &view.Group{ID: key.group, Epoch: key.epoch, Confirmed: members[0].report.sentAt, Members: make([]ident.InstanceID, size)}
	for rank, m := range members {
		if m.report.status.Rank != rank {
			return nil
		}
		g.Members[rank] = m.inst.ID
		g.Cold = g.Cold || m.report.status.Cold
		g.Draining = g.Draining || outOfService[m.inst.ID]
		g.Confirmed = min(g.Confirmed, m.report.sentAt)
	}
	l.fillLeader(g, members[0].inst, &members[0].report.status)
	g.Draining = g.Draining || l.groupStopping(doc.Service, g.ID)
	g.Incarnation = membersIncarnation(key.epoch, members)
	g.Limit = effectiveLimit(doc, g)
	return g
}

// membersIncarnation combines the epoch and the incarnations of all members, so that
// it changes when any member restarts. Members are in rank order.
func membersIncarnation(epoch ident.Epoch, members []member) string {
	d := xxhash.New()
	for _, m := range members {
		_, _ = d.WriteString(string(m.report.status.Incarnation))
	}
	return strconv.FormatUint(d.Sum64(), 36) + "-" + strconv.FormatUint(uint64(epoch), 36)
}

// fillLeader sets the fields of a group that come from the member with rank 0.
func (l *Loop) fillLeader(g *view.Group, inst *infra.Instance, status *engine.Status) {
	g.Leader = l.backendOf(*inst)
	g.Leader.Incarnation = status.Incarnation
	g.Role = status.Role
	g.Region, g.DataCentre = inst.Region, inst.DataCentre
	g.Domain, g.Partner = inst.Domain, inst.Partner
	g.TokenCapacity = status.TokenCapacity
	g.Status = *status
}

// effectiveLimit returns the smaller of the document's and the engine's request
// limit. An engine limit of 0 means none.
func effectiveLimit(doc service.Document, g *view.Group) int {
	limit, engineLimit := doc.Backend.Requests, g.Status.Limit
	if g.Cold {
		limit, engineLimit = doc.Backend.ColdRequests, g.Status.ColdLimit
	}
	if engineLimit > 0 && engineLimit < limit {
		return engineLimit
	}
	return limit
}
