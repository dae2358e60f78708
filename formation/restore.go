package formation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// The rows of a store that was restored from an older copy lack the latest groups and
// changes, while backend servers go on in them. The first holder of the lease in an era of
// the store therefore takes the groups that serve from the servers' own entries.

// eraKey is the key of the row with the last era in which the rows were brought in line with
// the servers' entries. No group has this id.
const eraKey = "@era"

type eraRow struct {
	Era uint64 `json:"era"`
}

func decodeEraRow(r infra.Row) (uint64, error) {
	var out eraRow
	if err := json.Unmarshal(r.Value, &out); err != nil {
		return 0, errors.Wrapf(err, "decode row %q: delete the row if no version of this program wrote it", r.Key)
	}
	return out.Era, nil
}

// adoption is the state of a planner that brings the rows in line with the servers' entries.
type adoption struct {
	era   uint64
	until time.Duration
	// done is set once only the row of the era has to be written, writing while that is
	// under way.
	done, writing bool
}

// beginAdoption starts an adoption if the rows are of an era in which there was none yet.
func (p *Planner) beginAdoption(now time.Duration, e RowsRead, adoptedEra uint64) {
	p.adoption = nil
	if e.Era > max(1, adoptedEra) {
		p.adoption = &adoption{era: e.Era, until: now + p.cfg.AdoptionTime}
	}
}

// adoptGroups writes the rows of groups that the servers' entries show complete and that the
// rows lack or have in an older state, and removes rows whose members are in other groups. It
// reports whether the adoption goes on; no other change may be made meanwhile, because
// entries may still be missing.
func (p *Planner) adoptGroups(now time.Duration) bool {
	if p.adoption == nil {
		return false
	}
	if now >= p.adoption.until || (len(p.groups) == 0 && !p.anyMember()) {
		p.adoption.done = true
	}
	switch {
	case p.adoption.done:
		p.recordAdoption(now)
		return false
	case !p.mayWrite(now):
		return true
	}
	for _, row := range p.listedGroups() {
		g, ok := p.groups[row.Group]
		switch {
		case !ok:
			g = &group{Row: row, rowWrittenAt: now, joinSentAt: make(map[ident.InstanceID]time.Duration)}
			p.groups[row.Group] = g
		case g.writing || g.Epoch >= row.Epoch:
			continue
		}
		p.emit(LogEntry{Text: "group adopted after a restore of the store", Group: row.Group, Epoch: row.Epoch, Model: row.Model, Detail: fmt.Sprintf("%d members", len(row.Members))})
		p.writeRow(g, &row)
	}
	for _, g := range p.sortedGroups() {
		if !g.writing && g.version != 0 && p.membersAreElsewhere(g) {
			p.emit(LogEntry{Text: "row of a former group removed after a restore of the store", Group: g.Group, Epoch: g.Epoch, Model: g.Model})
			p.writeRow(g, nil)
		}
	}
	return true
}

// recordAdoption records in the store that the rows are in line with the entries.
func (p *Planner) recordAdoption(now time.Duration) {
	if p.adoption.writing || now < p.storeRetryAt {
		return
	}
	p.adoption.writing = true
	b, err := json.Marshal(eraRow{Era: p.adoption.era})
	if err != nil {
		panic(err) // It holds only an integer.
	}
	p.emit(WriteRow{Attempt: p.nextAttempt(), Group: eraKey, Txn: infra.Txn{
		Conditions: []infra.Condition{{RowKey: lease.EpochKey(LeaseName), Version: p.grant.EpochVersion}},
		Writes:     []infra.Write{{RowKey: Key(eraKey), Value: b}},
	}})
}

// handleAdoptionRecorded handles the result of the write of recordAdoption.
func (p *Planner) handleAdoptionRecorded(now time.Duration, e Written) {
	switch {
	case p.adoption == nil:
	case e.Outcome == infra.OutcomeApplied:
		p.adoption = nil
	default:
		p.adoption.writing = false
		p.delayStoreRetry(now)
	}
}

// anyMember reports whether the entry of any of the service's servers names a group.
func (p *Planner) anyMember() bool {
	return slices.ContainsFunc(p.servers.Servers, func(s *fleet.Server) bool {
		return s.Service == p.service.Name && s.State != fleet.NoGroup
	})
}

// listedGroups returns the groups of which the entries show all members under one epoch, the
// latest epoch of each.
func (p *Planner) listedGroups() []Row {
	type key struct {
		group ident.GroupID
		epoch ident.Epoch
	}
	members := make(map[key]map[int]*fleet.Server)
	for _, s := range p.servers.Servers {
		if s.Service != p.service.Name || s.State == fleet.NoGroup || p.isDead(s.ID, s.Incarnation) {
			continue
		}
		k := key{s.Group, s.Epoch}
		if members[k] == nil {
			members[k] = make(map[int]*fleet.Server)
		}
		members[k][s.Rank] = s
	}
	var rows []Row
	for k, byRank := range members {
		row, ok := p.rowOfMembers(byRank)
		if !ok {
			continue
		}
		row.Group, row.Epoch = k.group, k.epoch
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Group != b.Group {
			if a.Group < b.Group {
				return -1
			}
			return 1
		}
		return int(int64(b.Epoch) - int64(a.Epoch))
	})
	return slices.CompactFunc(rows, func(a, b Row) bool { return a.Group == b.Group })
}

// rowOfMembers returns the row of a group of which all members are known, by rank.
func (p *Planner) rowOfMembers(byRank map[int]*fleet.Server) (Row, bool) {
	head, ok := byRank[0]
	if !ok {
		return Row{}, false
	}
	m, ok := p.findModel(head.Model)
	if !ok || len(byRank) != m.Size {
		return Row{}, false
	}
	row := Row{Service: p.service.Name, Model: m.Name, Domain: head.Domain}
	for rank := range m.Size {
		s, ok := byRank[rank]
		if !ok || s.Model != head.Model {
			return Row{}, false
		}
		if s.Domain != head.Domain {
			row.Domain = ""
		}
		row.Members = append(row.Members, Member{ID: s.ID, Incarnation: s.Incarnation})
	}
	return row, true
}

// membersAreElsewhere reports whether no entry names a group and at least one of its members
// is in another one that has a row.
func (p *Planner) membersAreElsewhere(g *group) bool {
	elsewhere := false
	for _, m := range g.Members {
		s, ok := p.servers.Get(m.ID)
		if !ok || s.Incarnation != m.Incarnation || s.State == fleet.NoGroup {
			continue
		}
		if s.Group == g.Group {
			return false
		}
		if other, ok := p.groups[s.Group]; ok && slices.Contains(other.latestRow().Members, m) {
			elsewhere = true
		}
	}
	return elsewhere
}
