package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/experiment"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/view"
)

// document returns the document of a model service with a wanted number of groups
// of a size.
func document(wanted, size int) service.Document {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = "quotes", service.KindModel
	doc.Model = service.Model{Name: "m", Version: "1"}
	doc.Replicas = service.Replicas{Wanted: wanted, Minimum: wanted - 1, InstancesPerReplica: size, SparesPerDomain: 1}
	return doc
}

func modelConfig(seed uint64) experiment.ModelConfig {
	return experiment.ModelConfig{
		Document: document(3, 4), Planner: group.DefaultConfig(), Entries: 2,
		Domains: 3, InstancesPerDomain: 9, Accelerators: 4, IgnoreFencingEvery: 2,
		LoadTime: 2 * time.Second, PreloadedLoadTime: 300 * time.Millisecond, WeightLoadInterval: 50 * time.Millisecond, Seed: seed,
	}
}

// leaseHolder returns the planner of the entry instance that holds the lease, or nil.
func leaseHolder(m *experiment.Model) *group.Planner {
	for _, e := range m.Entries {
		if _, ok := e.Lease.Held(m.Now); ok {
			return e.Planner
		}
	}
	return nil
}

func assertNoViolations(t assert.TestingT, m *experiment.Model) {
	if len(m.Violations) > 0 {
		assert.Assert(t, false, "%d violations, first: %s", len(m.Violations), m.Violations[0])
	}
}

// injectFault injects one random failure or operator action.
func injectFault(m *experiment.Model, rng *rand.Rand) {
	e := m.Engines[rng.IntN(len(m.Engines))]
	d := time.Duration(1+rng.IntN(12_000)) * time.Millisecond
	switch rng.IntN(9) {
	case 0, 1:
		e.Kill(d)
	case 2, 3:
		e.Pause(d)
	case 4:
		for _, other := range m.Engines {
			if other.Info.Domain == e.Info.Domain {
				other.Pause(d)
			}
		}
	case 5:
		m.Entries[rng.IntN(len(m.Entries))].Pause(d)
	case 6:
		m.StoreDownUntil = m.Now + d/2
	case 7:
		m.Drain(e.Info.ID, d)
	case 8:
		doc := m.Config.Document
		doc.Replicas.Wanted = 2 + rng.IntN(3)
		doc.Model.Version = fmt.Sprint(1 + rng.IntN(2))
		m.SetDocument(doc)
	}
}

// TestSingleMembershipAndConvergence guards against an instance in two groups, in
// the table or at the engines, against requests to a group whose leader was assigned
// to another one, and against a planner that makes no progress. The faults are
// crashes, pauses, store outages, lost and late messages, changes of the lease
// holder, concurrent operator actions, and a second service that assigns the same
// instances.
func TestSingleMembershipAndConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := modelConfig(seed)
		cfg.LostAnswerShare, cfg.DelayedShare = 0.1, 0.1
		cfg.Document.Replicas.StandbyGroups = rng.IntN(2)
		want := 0
		if rapid.Bool().Draw(t, "second service") {
			other := document(2, 4)
			other.Service = "drafts"
			cfg.OtherDocuments, want = append(cfg.OtherDocuments, other), 2
		}
		m := experiment.NewModel(cfg)
		for m.Now < 60*time.Second {
			m.Run(m.Now + time.Duration(100+rng.IntN(3000))*time.Millisecond)
			injectFault(m, rng)
			assertNoViolations(t, m)
		}
		m.Config.LostAnswerShare, m.Config.DelayedShare = 0, 0
		m.Run(m.Now + 90*time.Second)
		assertNoViolations(t, m)
		want += m.Config.Document.Replicas.Wanted
		assert.Equal(t, m.ServingGroups(), want, "serving groups 90 s after the last fault: %+v", describeGroups(m))
		assert.Equal(t, m.StrandedAccelerators(), 0, "stranded accelerators: %+v", describeGroups(m))
		for _, g := range leaseHolder(m).Groups(m.Now) {
			assert.Equal(t, g.Row.Version, m.Config.Document.Model.Version)
		}
	})
}

// describeGroups returns the state of the groups for failure messages.
func describeGroups(m *experiment.Model) []string {
	p := leaseHolder(m)
	if p == nil {
		return []string{"no lease holder"}
	}
	out := []string{fmt.Sprintf("counters %+v", p.Counters)}
	for _, g := range p.Groups(m.Now) {
		out = append(out, fmt.Sprintf("%s/%d %s %s ready=%t %s %v", g.Row.ID, g.Row.Epoch, g.Row.State, g.Row.Version, g.Ready, g.Reason, g.Row.Members))
	}
	return out
}

// newReadyModel returns a model that has run until its groups serve.
func newReadyModel(t *testing.T, cfg experiment.ModelConfig) *experiment.Model {
	t.Helper()
	m := experiment.NewModel(cfg)
	m.Run(40 * time.Second)
	assert.Equal(t, m.ServingGroups(), cfg.Document.Replicas.Wanted, "%v", describeGroups(m))
	return m
}

// minServing runs a model for a time and returns the smallest number of serving
// groups.
func minServing(m *experiment.Model, d time.Duration) int {
	lowest := m.ServingGroups()
	for end := m.Now + d; m.Now < end; {
		m.Run(m.Now + 50*time.Millisecond)
		lowest = min(lowest, m.ServingGroups())
	}
	return lowest
}

// TestVersionChangeKeepsMinimum guards against a change of version that stops groups
// before their replacements serve, or that goes below the minimum when no instances
// are free for a replacement.
func TestVersionChangeKeepsMinimum(t *testing.T) {
	for _, perDomain := range []int{9, 4} {
		cfg := modelConfig(1)
		cfg.InstancesPerDomain = perDomain
		m := newReadyModel(t, cfg)
		doc := cfg.Document
		doc.Model.Version = "2"
		m.SetDocument(doc)
		want := doc.Replicas.Wanted
		if perDomain == 4 {
			want = doc.Replicas.Minimum
		}
		assert.Equal(t, minServing(m, 60*time.Second), want, "with %d instances per domain", perDomain)
		for _, g := range leaseHolder(m).Groups(m.Now) {
			assert.Equal(t, g.Row.Version, "2", "%v", describeGroups(m))
		}
		assertNoViolations(t, m)
	}
}

// TestLostMemberIsReplaced guards against a new group in place of one that lost a
// member, although a spare can replace the member, and against a spare that does not
// use its preloaded weights.
func TestLostMemberIsReplaced(t *testing.T) {
	m := newReadyModel(t, modelConfig(1))
	p := leaseHolder(m)
	g := p.Groups(m.Now)[0].Row
	m.Engine(g.Members[1].Instance).Kill(20 * time.Second)
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	assert.Equal(t, p.Counters.Swapped, uint64(1))
	assert.Equal(t, p.Groups(m.Now)[0].Row.ID, g.ID)
	assertNoViolations(t, m)
}

// TestStragglerIsReplaced guards against a straggler that stays in its group, and
// against the replacement of a member after a short slowdown.
func TestStragglerIsReplaced(t *testing.T) {
	m := newReadyModel(t, modelConfig(1))
	slow := leaseHolder(m).Groups(m.Now)[0].Row.Members[2].Instance
	m.Engine(slow).SetTokenTime(20_000)
	m.Run(m.Now + 5*time.Second)
	m.Engine(slow).SetTokenTime(5000)
	m.Run(m.Now + 20*time.Second)
	assert.Equal(t, leaseHolder(m).Counters.Swapped, uint64(0))
	m.Engine(slow).SetTokenTime(20_000)
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, leaseHolder(m).Counters.Swapped, uint64(1), "%v", describeGroups(m))
	assert.Equal(t, m.ServingGroups(), 3)
	assertNoViolations(t, m)
}

// TestDataCentreDrain guards against groups that stay in a drained data centre, and
// against missing replacements in the others.
func TestDataCentreDrain(t *testing.T) {
	cfg := modelConfig(1)
	cfg.Domains = 6
	m := newReadyModel(t, cfg)
	m.SetDrains(group.DrainsChanged{DataCentres: []ident.DataCentre{"dc0"}})
	assert.Assert(t, minServing(m, 30*time.Second) >= 2)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	for _, g := range leaseHolder(m).Groups(m.Now) {
		assert.Assert(t, g.Row.DataCentre != "dc0")
	}
	assertNoViolations(t, m)
}

// TestDomainLoss guards against groups that stay missing after the loss of a domain,
// and against more groups than wanted after the domain has come back.
func TestDomainLoss(t *testing.T) {
	cfg := modelConfig(1)
	cfg.Domains = 6
	m := newReadyModel(t, cfg)
	lost := leaseHolder(m).Groups(m.Now)[0].Row.Domain
	for _, e := range m.Engines {
		if e.Info.Domain == lost {
			e.Pause(20 * time.Second)
		}
	}
	m.Run(m.Now + 15*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	assert.Equal(t, len(leaseHolder(m).Groups(m.Now)), 3, "%v", describeGroups(m))
	assert.Equal(t, m.StrandedAccelerators(), 0)
	assertNoViolations(t, m)
}

// standbyConfig has two domains for each of the three groups and one standby group.
// Loads from the weight store take long, so that only groups with preloaded weights
// serve quickly.
func standbyConfig() experiment.ModelConfig {
	cfg := modelConfig(1)
	cfg.Domains, cfg.LoadTime = 6, 20*time.Second
	cfg.Document.Replicas.StandbyGroups = 1
	return cfg
}

// newStandbyModel returns a model that has run until its groups serve and the weights
// of its standby group are preloaded.
func newStandbyModel(t *testing.T, cfg experiment.ModelConfig) *experiment.Model {
	t.Helper()
	m := experiment.NewModel(cfg)
	m.Run(180 * time.Second)
	assert.Equal(t, m.ServingGroups(), cfg.Document.Replicas.Wanted, "%v", describeGroups(m))
	return m
}

// TestDomainLossUsesStandby guards against replacements of the groups of a lost
// domain that load their weights from the weight store, although a standby group has
// them in memory.
func TestDomainLossUsesStandby(t *testing.T) {
	m := newStandbyModel(t, standbyConfig())
	lost := leaseHolder(m).Groups(m.Now)[0].Row.Domain
	for _, e := range m.Engines {
		if e.Info.Domain == lost {
			e.Kill(5 * time.Minute)
		}
	}
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	assertNoViolations(t, m)
}

// TestSecondLossUsesStandby guards against a group that waits until a second
// replacement member has loaded its weights, although a standby group in another
// domain has them in memory.
func TestSecondLossUsesStandby(t *testing.T) {
	m := newStandbyModel(t, standbyConfig())
	g := leaseHolder(m).Groups(m.Now)[0].Row
	m.Engine(g.Members[0].Instance).Kill(5 * time.Minute)
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	m.Engine(g.Members[1].Instance).Kill(5 * time.Minute)
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	assertNoViolations(t, m)
}

// TestRolesAndPartner guards against roles that do not get their share of the groups,
// and against groups that still use instances of a partner that has withdrawn.
func TestRolesAndPartner(t *testing.T) {
	cfg := modelConfig(1)
	cfg.Domains = 6
	cfg.Document.Model.Roles = []engine.Role{engine.RolePrefill, engine.RoleDecode}
	m := experiment.NewModel(cfg)
	for _, e := range m.Engines {
		if e.Info.DataCentre == "dc1" {
			e.Info.Partner = "firm"
		}
	}
	m.Run(40 * time.Second)
	roles := map[engine.Role]int{}
	for _, g := range leaseHolder(m).Confirmed(m.Now) {
		roles[g.Role]++
	}
	assert.Equal(t, roles[engine.RolePrefill], 2, "%v", describeGroups(m))
	assert.Equal(t, roles[engine.RoleDecode], 1)
	assert.Equal(t, leaseHolder(m).ReadyGroupsWithout(m.Now, "firm"), 2)
	m.SetDrains(group.DrainsChanged{Partners: []ident.Partner{"firm"}})
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	assert.Equal(t, leaseHolder(m).ReadyGroupsWithout(m.Now, "firm"), 3)
	assertNoViolations(t, m)
}

// TestConfirmedRequiresEveryMember guards against the confirmation of a group with a
// member that is missing, loading, failed, in another epoch or service, has the rank
// of another member, or was polled too long ago.
func TestConfirmedRequiresEveryMember(t *testing.T) {
	doc := document(1, 3)
	const now = 10 * time.Second
	readyMembers := func() []group.PolledInstance {
		out := make([]group.PolledInstance, 3)
		for rank := range out {
			id := ident.InstanceID(fmt.Sprint(rank))
			out[rank] = group.PolledInstance{Info: infra.Instance{ID: id}, Report: group.Report{
				Instance: id, OK: true, SentAt: now - time.Second,
				Status: engine.Status{
					State: engine.StateReady, Group: "g", Epoch: 2, Service: doc.Service,
					Rank: rank, Size: 3, Limit: 20, ColdLimit: 1,
				},
			}}
		}
		return out
	}
	confirmed := group.Confirmed(&doc, readyMembers(), now)
	assert.Equal(t, len(confirmed), 1)
	assert.Equal(t, confirmed[0].Confirmed, 9*time.Second)
	assert.Equal(t, confirmed[0].Limit, doc.Backend.Requests)
	cold := readyMembers()
	cold[2].Report.Status.Cold = true
	assert.Equal(t, group.Confirmed(&doc, cold, now)[0].Limit, 1)
	for name, edit := range map[string]func(r *group.Report){
		"unresponsive":   func(r *group.Report) { r.OK = false },
		"loading":        func(r *group.Report) { r.Status.State = engine.StateLoading },
		"failed":         func(r *group.Report) { r.Status.State = engine.StateFailed },
		"other epoch":    func(r *group.Report) { r.Status.Epoch = 1 },
		"other service":  func(r *group.Report) { r.Status.Service = "drafts" },
		"duplicate rank": func(r *group.Report) { r.Status.Rank = 1 },
		"expired poll":   func(r *group.Report) { r.SentAt = now - view.ConfirmTTL },
	} {
		members := readyMembers()
		edit(&members[2].Report)
		assert.Equal(t, len(group.Confirmed(&doc, members, now)), 0, name)
	}
}

// TestUnresponsiveGroupReturns guards against the early reassignment of the leader of
// a stopping group whose members all become unresponsive and come back together.
// Entry instances confirm such a group again, so a leader that ignores the epoch of
// requests has to stay unassigned for some time.
func TestUnresponsiveGroupReturns(t *testing.T) {
	cfg := modelConfig(1)
	cfg.IgnoreFencingEvery, cfg.InstancesPerDomain = 1, 4
	m := newReadyModel(t, cfg)
	doc := cfg.Document
	doc.Replicas.Wanted = 2
	m.SetDocument(doc)
	for _, e := range m.Engines {
		e.Pause(12 * time.Second)
	}
	m.Run(m.Now + 8*time.Second)
	m.SetDocument(cfg.Document)
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, m.ServingGroups(), 3, "%v", describeGroups(m))
	assertNoViolations(t, m)
}
