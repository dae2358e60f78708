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
		Domains: 3, PerDomain: 9, Accelerators: 4, IgnoresFencing: 2,
		Load: 2 * time.Second, Preloaded: 300 * time.Millisecond, WeightSlot: 50 * time.Millisecond, Seed: seed,
	}
}

// holder returns the planner that holds the lease.
func holder(m *experiment.Model) *group.Planner {
	for _, e := range m.Entries {
		if _, ok := e.Lease.Held(m.Now); ok {
			return e.Planner
		}
	}
	return nil
}

func noViolations(t assert.TestingT, m *experiment.Model) {
	if len(m.Violations) > 0 {
		assert.Assert(t, false, "%d violations, first: %s", len(m.Violations), m.Violations[0])
	}
}

// disturb injects one random failure or operator action.
func disturb(m *experiment.Model, rng *rand.Rand) {
	e := m.Engines[rng.IntN(len(m.Engines))]
	d := time.Duration(1+rng.IntN(12_000)) * time.Millisecond
	switch rng.IntN(9) {
	case 0, 1:
		e.Kill(d)
	case 2, 3:
		e.Pause(d)
	case 4:
		for _, o := range m.Engines {
			if o.Info.Domain == e.Info.Domain {
				o.Pause(d)
			}
		}
	case 5:
		m.Entries[rng.IntN(len(m.Entries))].Pause(d)
	case 6:
		m.StoreDown = m.Now + d/2
	case 7:
		m.Drain(e.Info.ID, d)
	case 8:
		doc := m.Config.Document
		doc.Replicas.Wanted = 2 + rng.IntN(3)
		doc.Model.Version = fmt.Sprint(1 + rng.IntN(2))
		m.SetDocument(doc)
	}
}

// Guards against an instance in two groups, in the table or at the engines,
// against routing to a group whose leader was given away, and against a planner
// that gets stuck, under losses, pauses, outages, lost and late answers,
// changes of the lease holder, racing operators and a second service that takes
// instances.
func TestSingleMembershipAndConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := modelConfig(seed)
		cfg.LostAnswers, cfg.LateCommands = 0.1, 0.1
		cfg.Document.Replicas.StandbyGroups = rng.IntN(2)
		want := 0
		if rapid.Bool().Draw(t, "second service") {
			other := document(2, 4)
			other.Service = "drafts"
			cfg.Others, want = append(cfg.Others, other), 2
		}
		m := experiment.NewModel(cfg)
		for m.Now < 60*time.Second {
			m.Run(m.Now + time.Duration(100+rng.IntN(3000))*time.Millisecond)
			disturb(m, rng)
			noViolations(t, m)
		}
		m.Config.LostAnswers, m.Config.LateCommands = 0, 0
		m.Run(m.Now + 90*time.Second)
		noViolations(t, m)
		want += m.Config.Document.Replicas.Wanted
		assert.Equal(t, m.Serving(), want, "serving groups 90 s after the last fault: %+v", status(m))
		assert.Equal(t, m.Stranded(), 0, "stranded accelerators: %+v", status(m))
		for _, g := range holder(m).Groups(m.Now) {
			assert.Equal(t, g.Row.Version, m.Config.Document.Model.Version)
		}
	})
}

func status(m *experiment.Model) []string {
	p := holder(m)
	if p == nil {
		return []string{"no holder"}
	}
	out := []string{fmt.Sprintf("counters %+v", p.Counters)}
	for _, g := range p.Groups(m.Now) {
		out = append(out, fmt.Sprintf("%s/%d %s %s ready=%t %s %v", g.Row.ID, g.Row.Epoch, g.Row.State, g.Row.Version, g.Ready, g.Reason, g.Row.Members))
	}
	return out
}

// ready runs a model until its groups serve.
func ready(t *testing.T, cfg experiment.ModelConfig) *experiment.Model {
	t.Helper()
	m := experiment.NewModel(cfg)
	m.Run(40 * time.Second)
	assert.Equal(t, m.Serving(), cfg.Document.Replicas.Wanted, "%v", status(m))
	return m
}

// lowest returns the smallest number of serving groups over a time.
func lowest(m *experiment.Model, d time.Duration) int {
	low := m.Serving()
	for end := m.Now + d; m.Now < end; {
		m.Run(m.Now + 50*time.Millisecond)
		low = min(low, m.Serving())
	}
	return low
}

// Guards against a change of version that stops groups before their
// replacements serve, or that goes below the minimum where no instances are
// free for a replacement.
func TestVersionChangeKeepsMinimum(t *testing.T) {
	for _, perDomain := range []int{9, 4} {
		cfg := modelConfig(1)
		cfg.PerDomain = perDomain
		m := ready(t, cfg)
		doc := cfg.Document
		doc.Model.Version = "2"
		m.SetDocument(doc)
		want := doc.Replicas.Wanted
		if perDomain == 4 {
			want = doc.Replicas.Minimum
		}
		assert.Equal(t, lowest(m, 60*time.Second), want, "with %d instances per domain", perDomain)
		for _, g := range holder(m).Groups(m.Now) {
			assert.Equal(t, g.Row.Version, "2", "%v", status(m))
		}
		noViolations(t, m)
	}
}

// Guards against a lost member whose group is formed anew although a spare is
// there, and against a spare that is slower than its preloaded weights.
func TestLostMemberIsSwapped(t *testing.T) {
	m := ready(t, modelConfig(1))
	p := holder(m)
	g := p.Groups(m.Now)[0].Row
	m.Engine(g.Members[1].Instance).Kill(20 * time.Second)
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	assert.Equal(t, p.Counters.Swapped, uint64(1))
	assert.Equal(t, p.Groups(m.Now)[0].Row.ID, g.ID)
	noViolations(t, m)
}

// Guards against a straggler that stays in its group, and against one that is
// replaced for a short slowdown.
func TestStragglerIsReplaced(t *testing.T) {
	m := ready(t, modelConfig(1))
	slow := holder(m).Groups(m.Now)[0].Row.Members[2].Instance
	m.Engine(slow).Slow(20_000)
	m.Run(m.Now + 5*time.Second)
	m.Engine(slow).Slow(5000)
	m.Run(m.Now + 20*time.Second)
	assert.Equal(t, holder(m).Counters.Swapped, uint64(0))
	m.Engine(slow).Slow(20_000)
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, holder(m).Counters.Swapped, uint64(1), "%v", status(m))
	assert.Equal(t, m.Serving(), 3)
	noViolations(t, m)
}

// Guards against a drained data centre that keeps its groups, and against
// groups that are not formed elsewhere.
func TestDataCentreDrain(t *testing.T) {
	cfg := modelConfig(1)
	cfg.Domains = 6
	m := ready(t, cfg)
	m.SetDrains(group.DrainsChanged{DataCentres: []ident.DataCentre{"dc0"}})
	assert.Assert(t, lowest(m, 30*time.Second) >= 2)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	for _, g := range holder(m).Groups(m.Now) {
		assert.Assert(t, g.Row.DataCentre != "dc0")
	}
	noViolations(t, m)
}

// Guards against the loss of a domain that leaves groups missing, and against a
// domain that comes back and leaves more groups than wanted.
func TestDarkDomain(t *testing.T) {
	cfg := modelConfig(1)
	cfg.Domains = 6
	m := ready(t, cfg)
	dark := holder(m).Groups(m.Now)[0].Row.Domain
	for _, e := range m.Engines {
		if e.Info.Domain == dark {
			e.Pause(20 * time.Second)
		}
	}
	m.Run(m.Now + 15*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	assert.Equal(t, len(holder(m).Groups(m.Now)), 3, "%v", status(m))
	assert.Equal(t, m.Stranded(), 0)
	noViolations(t, m)
}

// standbyConfig has two domains for each of the three groups. Weights from the
// store take long, so that only groups with preloaded weights are quick.
func standbyConfig() experiment.ModelConfig {
	cfg := modelConfig(1)
	cfg.Domains, cfg.Load = 6, 20*time.Second
	cfg.Document.Replicas.StandbyGroups = 1
	return cfg
}

// settled runs a model until its groups serve and the weights of its standby
// group are loaded.
func settled(t *testing.T, cfg experiment.ModelConfig) *experiment.Model {
	t.Helper()
	m := experiment.NewModel(cfg)
	m.Run(180 * time.Second)
	assert.Equal(t, m.Serving(), cfg.Document.Replicas.Wanted, "%v", status(m))
	return m
}

// Guards against a lost domain whose groups load their weights from the weight
// store although a standby group has them in memory.
func TestDarkDomainStandby(t *testing.T) {
	m := settled(t, standbyConfig())
	dark := holder(m).Groups(m.Now)[0].Row.Domain
	for _, e := range m.Engines {
		if e.Info.Domain == dark {
			e.Kill(5 * time.Minute)
		}
	}
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	noViolations(t, m)
}

// Guards against a group that waits for the weights of a second replacement
// while a standby group has them in memory elsewhere.
func TestSecondLossUsesStandby(t *testing.T) {
	m := settled(t, standbyConfig())
	g := holder(m).Groups(m.Now)[0].Row
	m.Engine(g.Members[0].Instance).Kill(5 * time.Minute)
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	m.Engine(g.Members[1].Instance).Kill(5 * time.Minute)
	m.Run(m.Now + 8*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	noViolations(t, m)
}

// Guards against a service whose roles do not get their share of the groups,
// and against groups that go on using a partner which withdrew.
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
	for _, g := range holder(m).Confirmed(m.Now) {
		roles[g.Role]++
	}
	assert.Equal(t, roles[engine.RolePrefill], 2, "%v", status(m))
	assert.Equal(t, roles[engine.RoleDecode], 1)
	assert.Equal(t, holder(m).CapacityWithout(m.Now, "firm"), 2)
	m.SetDrains(group.DrainsChanged{Partners: []ident.Partner{"firm"}})
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	assert.Equal(t, holder(m).CapacityWithout(m.Now, "firm"), 3)
	noViolations(t, m)
}

// Guards against a group that is confirmed although a member is missing,
// loading, of another epoch, doubled, or was polled too long ago.
func TestConfirmedNeedsEveryMember(t *testing.T) {
	doc := document(1, 3)
	const now = 10 * time.Second
	fresh := func() []group.PolledInstance {
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
	whole := group.Confirmed(&doc, fresh(), now)
	assert.Equal(t, len(whole), 1)
	assert.Equal(t, whole[0].Confirmed, 9*time.Second)
	assert.Equal(t, whole[0].Limit, doc.Backend.Requests)
	cold := fresh()
	cold[2].Report.Status.Cold = true
	assert.Equal(t, group.Confirmed(&doc, cold, now)[0].Limit, 1)
	for name, edit := range map[string]func(r *group.Report){
		"silent":        func(r *group.Report) { r.OK = false },
		"loading":       func(r *group.Report) { r.Status.State = engine.StateLoading },
		"failed":        func(r *group.Report) { r.Status.State = engine.StateFailed },
		"other epoch":   func(r *group.Report) { r.Status.Epoch = 1 },
		"other service": func(r *group.Report) { r.Status.Service = "drafts" },
		"doubled rank":  func(r *group.Report) { r.Status.Rank = 1 },
		"late poll":     func(r *group.Report) { r.SentAt = now - view.ConfirmTTL },
	} {
		seen := fresh()
		edit(&seen[2].Report)
		assert.Equal(t, len(group.Confirmed(&doc, seen, now)), 0, name)
	}
}

// Guards against a stopping group whose members all fall silent and come back
// together: entries confirm it again, so its leader must not be given away at
// once if it ignores the epoch of requests.
func TestSilentGroupComesBackWhole(t *testing.T) {
	cfg := modelConfig(1)
	cfg.IgnoresFencing, cfg.PerDomain = 1, 4
	m := ready(t, cfg)
	doc := cfg.Document
	doc.Replicas.Wanted = 2
	m.SetDocument(doc)
	for _, e := range m.Engines {
		e.Pause(12 * time.Second)
	}
	m.Run(m.Now + 8*time.Second)
	m.SetDocument(cfg.Document)
	m.Run(m.Now + 30*time.Second)
	assert.Equal(t, m.Serving(), 3, "%v", status(m))
	noViolations(t, m)
}
