package formation

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/route"
)

// simulation runs a planner against simulated backend servers and a simulated table in
// simulated time, and checks the invariants at each step.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Duration
	service    route.Service
	servers    map[ident.InstanceID]*simServer
	rows       map[ident.GroupID]infra.Row
	version    uint64
	leaseEpoch ident.Epoch
	// era is the era of the table, if it is not 0.
	era     uint64
	planner *Planner
	// lostAnswerFraction is the fraction of orders whose answers are lost.
	// lateOrderFraction is the fraction of orders that are executed seconds after the
	// call timed out.
	lostAnswerFraction, lateOrderFraction float64
	// lostWriteFraction is the fraction of writes whose results are lost.
	lostWriteFraction float64
	// unrepeatableTime is the longest time of requests that no other group can take over.
	unrepeatableTime time.Duration
	// fateOfWrite decides what becomes of a write, if it is set.
	fateOfWrite func(a WriteRow) writeFate
	// failProbes makes all probes fail.
	failProbes bool
	// refuseWrites makes the table refuse all writes; writeCalls counts the calls.
	refuseWrites  bool
	writeCalls    int
	pendingEvents []simEvent
	// conflictsUntil is the time until which rows may name one server twice.
	conflictsUntil time.Duration
	// staleEntries are the entries that the list shows instead of the servers' own, of
	// those that it has.
	staleEntries map[ident.InstanceID]fleet.Server
	// listInterval is the time between updates of the list of servers.
	listInterval time.Duration
	loadCount    int
	orderCounts  map[OrderKind]int
}

// writeFate is what becomes of a write.
type writeFate struct {
	// unanswered is set if the caller gets no answer within writeTimeout.
	unanswered bool
	// lost is set if the write is never done. Otherwise it is done after delay.
	lost  bool
	delay time.Duration
}

// writeTimeout is how long the caller of a write waits for the answer.
const writeTimeout = 1200 * time.Millisecond

// simEvent is an action due at a time.
type simEvent struct {
	at     time.Duration
	action func()
}

// simServer is a simulated backend server.
type simServer struct {
	fleet.Server
	dead   bool
	listed bool
	// silentUntil is when a live server that does not answer sends again.
	silentUntil time.Duration
	// members is the member list of its last join.
	members []ident.InstanceID
	// maxEpoch and maxFence are the highest epoch and fencing token it has seen.
	maxEpoch ident.Epoch
	maxFence ident.Epoch
	// loadedModel is the model it last became ready with.
	loadedModel string
	// readyIn holds the groups, epochs and member lists under which it was ready.
	readyIn  map[string]bool
	restarts int
}

const tickInterval = 50 * time.Millisecond

// silentProbeTime is how long a probe of a silent server takes to fail.
const silentProbeTime = 150 * time.Millisecond

func testService() route.Service {
	return route.Service{
		Name: "llm", Slots: 26, LoadRate: 4.5, LoadsAtOnce: 6,
		Models: []route.Model{
			{Name: "m0", Size: 4, Share: 0.57, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "m1", Size: 3, Share: 0.43, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
}

func newSimulation(t *testing.T, seed int64, domains, size int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewSource(seed)), service: testService(),
		servers: make(map[ident.InstanceID]*simServer), rows: make(map[ident.GroupID]infra.Row),
		listInterval: 150 * time.Millisecond, orderCounts: make(map[OrderKind]int),
	}
	for d := range domains {
		for i := range size {
			sim.add(fmt.Sprintf("s%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	sim.startPlanner()
	return sim
}

func (sim *simulation) add(id, domain string) {
	sim.servers[ident.InstanceID(id)] = &simServer{listed: true, readyIn: make(map[string]bool), Server: fleet.Server{
		ID: ident.InstanceID(id), Incarnation: "1", Service: "llm", Address: id, Domain: ident.Domain(domain),
		DataCentre: ident.DataCentre(domain), Slots: 26,
	}}
}

// startPlanner replaces the planner by a new one with a higher lease epoch, as after a
// change of the lease holder.
func (sim *simulation) startPlanner() {
	sim.leaseEpoch++
	sim.version++
	sim.planner = New(DefaultConfig())
	sim.step(ConfigChanged{Service: &sim.service, UnrepeatableTime: sim.unrepeatableTime})
	sim.step(ServersChanged{Servers: sim.snapshot()})
	sim.step(LeaseChanged{Held: true, Grant: lease.Grant{Epoch: sim.leaseEpoch, EpochVersion: sim.version, Expires: time.Hour}})
}

func (sim *simulation) snapshot() *fleet.Snapshot {
	list := fleet.NewList()
	for _, s := range sim.servers {
		if s.listed {
			entry := s.Server
			if stale, ok := sim.staleEntries[entry.ID]; ok {
				entry = stale
			}
			entry.Version = 1
			entry.Staged = slices.Clone(entry.Staged)
			list.Put(entry)
		}
	}
	return list.Snapshot()
}

func (sim *simulation) after(d time.Duration, action func()) {
	sim.pendingEvents = append(sim.pendingEvents, simEvent{sim.now + d, action})
}

func (sim *simulation) step(ev Event) {
	planner := sim.planner
	for _, a := range planner.Step(sim.now, ev) {
		sim.perform(planner, a)
	}
}

// reply passes an event to the planner that requested it, unless it was replaced.
func (sim *simulation) reply(p *Planner, d time.Duration, ev Event) {
	sim.after(d, func() {
		if p == sim.planner {
			sim.step(ev)
		}
	})
}

func (sim *simulation) perform(p *Planner, a Action) {
	const callTime = 8 * time.Millisecond
	switch a := a.(type) {
	case ReadRows:
		var rows []infra.Row
		for _, r := range sim.rows {
			rows = append(rows, r)
		}
		slices.SortFunc(rows, func(a, b infra.Row) int { return cmp.Compare(a.Key, b.Key) })
		sim.reply(p, callTime, RowsRead{Attempt: a.Attempt, Rows: rows, Era: sim.era})
	case WriteRow:
		sim.writeRow(p, a)
	case SendOrder:
		sim.orderCounts[a.Order.Kind]++
		sim.sendOrder(p, a.Order)
	case Probe:
		s := sim.servers[a.Member.ID]
		if s != nil && sim.now < s.silentUntil {
			sim.reply(p, silentProbeTime, Probed{Member: a.Member, Silent: true})
			return
		}
		sim.reply(p, callTime, Probed{Member: a.Member, Alive: s != nil && !s.dead && !sim.failProbes})
	}
}

func (sim *simulation) writeRow(p *Planner, a WriteRow) {
	sim.writeCalls++
	if sim.refuseWrites {
		sim.reply(p, 6*time.Millisecond, Written{Attempt: a.Attempt, Group: a.Group, Outcome: infra.OutcomeNotApplied})
		return
	}
	var fate writeFate
	if sim.fateOfWrite != nil {
		fate = sim.fateOfWrite(a)
	}
	if fate.unanswered {
		sim.reply(p, writeTimeout, Written{Attempt: a.Attempt, Group: a.Group, Outcome: infra.OutcomeUnknown})
		if !fate.lost {
			sim.after(fate.delay, func() { sim.applyTxn(p, a) })
		}
		return
	}
	outcome, version := sim.applyTxn(p, a)
	if sim.rng.Float64() < sim.lostWriteFraction {
		outcome, version = infra.OutcomeUnknown, 0
	}
	sim.reply(p, 8*time.Millisecond, Written{Attempt: a.Attempt, Group: a.Group, Outcome: outcome, Version: version})
}

// applyTxn performs a transaction if its conditions hold.
func (sim *simulation) applyTxn(p *Planner, a WriteRow) (infra.Outcome, uint64) {
	for _, c := range a.Txn.Conditions[1:] {
		if sim.rows[ident.GroupID(c.Key)].Version != c.Version {
			return infra.OutcomeConflict, 0
		}
	}
	if p.grant.Epoch != sim.leaseEpoch {
		return infra.OutcomeConflict, 0
	}
	sim.version++
	row := a.Txn.Writes[0]
	if row.Delete {
		delete(sim.rows, ident.GroupID(row.Key))
	} else {
		sim.rows[ident.GroupID(row.Key)] = infra.Row{RowKey: row.RowKey, Version: sim.version, Value: row.Value}
	}
	return infra.OutcomeApplied, sim.version
}

func (sim *simulation) sendOrder(p *Planner, o Order) {
	s := sim.servers[o.Server]
	if s == nil || s.dead {
		sim.reply(p, 800*time.Millisecond, Ordered{Order: o, Outcome: OrderOutcome{Err: fmt.Errorf("no answer")}})
		return
	}
	if sim.now < s.silentUntil {
		sim.after(s.silentUntil-sim.now, func() { sim.executeOrder(s, o) })
		sim.reply(p, 800*time.Millisecond, Ordered{Order: o, Outcome: OrderOutcome{Err: fmt.Errorf("no answer")}})
		return
	}
	if r := sim.rng.Float64(); r < sim.lateOrderFraction {
		restarts := s.restarts
		sim.after(time.Duration(2+sim.rng.Intn(8))*time.Second, func() {
			if s.restarts == restarts && !s.dead {
				sim.executeOrder(s, o)
			}
		})
		sim.reply(p, 800*time.Millisecond, Ordered{Order: o, Outcome: OrderOutcome{Err: fmt.Errorf("no answer")}})
		return
	}
	out := sim.executeOrder(s, o)
	if sim.rng.Float64() < sim.lostAnswerFraction {
		out = OrderOutcome{Err: fmt.Errorf("no answer")}
	}
	sim.reply(p, 5*time.Millisecond, Ordered{Order: o, Outcome: out})
}

// executeOrder changes a server's state as the platform specifies.
func (sim *simulation) executeOrder(s *simServer, o Order) OrderOutcome {
	if o.Fence < s.maxFence {
		return OrderOutcome{Fenced: true, Err: fmt.Errorf("fenced")}
	}
	s.maxFence = o.Fence
	switch o.Kind {
	case Join:
		return sim.join(s, o)
	case Open:
		if s.Group != o.Group || s.Epoch != o.Epoch || s.State != fleet.Ready || s.Rank != 0 {
			return OrderOutcome{Err: fmt.Errorf("not ready")}
		}
		sim.checkMembersReady(s)
		s.State = fleet.Open
	case Close:
		if s.Group == o.Group && s.Epoch == o.Epoch && s.State == fleet.Open {
			s.State = fleet.Closing
			sim.after(700*time.Millisecond, func() {
				if s.State == fleet.Closing {
					s.State = fleet.Ready
				}
			})
		}
	case Leave:
		if s.Group == o.Group && s.Epoch == o.Epoch {
			s.Membership = fleet.Membership{}
		}
	case Stage:
		sim.load(s, o.Model, func() {})
	}
	return OrderOutcome{Accepted: true}
}

func (sim *simulation) load(s *simServer, model string, loaded func()) {
	m, _ := sim.planner.findModel(model)
	sim.loadCount++
	restarts := s.restarts
	sim.after(m.LoadTime, func() {
		if s.restarts == restarts && !s.dead {
			s.Staged = []string{model}
			loaded()
		}
	})
}

func (sim *simulation) join(s *simServer, o Order) OrderOutcome {
	if o.Epoch < s.maxEpoch {
		return OrderOutcome{Fenced: true, Err: fmt.Errorf("old epoch")}
	}
	if s.Group == o.Group && s.Epoch == o.Epoch && s.State != fleet.NoGroup {
		assert.DeepEqual(sim.t, s.members, o.Members)
		return OrderOutcome{Accepted: true}
	}
	if s.Group != "" && s.Group != o.Group {
		// A member may join another group only while the head of its group is closed.
		for _, head := range sim.servers {
			if head.Group == s.Group && head.Rank == 0 && !head.dead {
				assert.Assert(sim.t, head.State != fleet.Open && head.State != fleet.Closing, "%s joins %s while the head of %s serves", s.ID, o.Group, s.Group)
			}
		}
	}
	s.maxEpoch, s.members = o.Epoch, o.Members
	s.Membership = fleet.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.ID), State: fleet.Joining}
	ready := func() {
		if s.Group == o.Group && s.Epoch == o.Epoch && s.State == fleet.Joining && !s.dead {
			s.State, s.Model, s.loadedModel = fleet.Ready, o.Model, o.Model
			s.readyIn[membershipKey(o.Group, o.Epoch, o.Members)] = true
		}
	}
	m, _ := sim.planner.findModel(o.Model)
	switch {
	case s.loadedModel == o.Model:
		sim.after(200*time.Millisecond, ready)
	case s.HasStaged(o.Model):
		sim.after(m.WarmLoadTime, ready)
	default:
		sim.load(s, o.Model, ready)
	}
	return OrderOutcome{Accepted: true}
}

func membershipKey(g ident.GroupID, e ident.Epoch, members []ident.InstanceID) string {
	return fmt.Sprint(g, e, members)
}

// checkMembersReady fails the test if a group is opened with a member that was never
// ready in it.
func (sim *simulation) checkMembersReady(head *simServer) {
	m, _ := sim.planner.findModel(head.loadedModel)
	assert.Equal(sim.t, len(head.members), m.Size, "group %s has the wrong size", head.Group)
	for _, id := range head.members {
		s := sim.servers[id]
		ready := s != nil && s.readyIn[membershipKey(head.Group, head.Epoch, head.members)]
		assert.Assert(sim.t, ready, "group %s/%d opened although %s was never ready in it", head.Group, head.Epoch, id)
	}
}

// kill stops a server. Its entry is removed after three heartbeats, and stalled requests
// are reported before that.
func (sim *simulation) kill(id ident.InstanceID) {
	s := sim.servers[id]
	if s == nil || s.dead {
		return
	}
	s.dead = true
	sim.after(3600*time.Millisecond, func() { s.listed = !s.dead })
	if s.Group != "" {
		g, e := s.Group, s.Epoch
		sim.after(600*time.Millisecond, func() { sim.step(GroupStalled{Group: g, Epoch: e}) })
	}
}

// restart starts a server again as a new incarnation that keeps only the weights staged
// on its host.
func (sim *simulation) restart(id ident.InstanceID) {
	s := sim.servers[id]
	s.restarts++
	s.dead, s.listed = false, true
	s.Incarnation = ident.Incarnation(fmt.Sprint(s.restarts + 1))
	s.Membership, s.Model, s.loadedModel, s.maxEpoch, s.maxFence = fleet.Membership{}, "", "", 0, 0
	s.readyIn = make(map[string]bool)
}

// silence makes servers answer nothing for a time, after which they go on. The stall of
// their group is reported after stallTime and then each second, as entry instances do.
func (sim *simulation) silence(d time.Duration, g ident.GroupID, e ident.Epoch, servers ...*simServer) {
	const stallTime = 400 * time.Millisecond
	for _, s := range servers {
		s.silentUntil = sim.now + d
	}
	for at := stallTime; at < d; at += time.Second {
		sim.after(at, func() { sim.step(GroupStalled{Group: g, Epoch: e}) })
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += tickInterval {
		due := sim.pendingEvents
		sim.pendingEvents = nil
		slices.SortStableFunc(due, func(a, b simEvent) int { return cmp.Compare(a.at, b.at) })
		for _, e := range due {
			if e.at <= sim.now {
				e.action()
			} else {
				sim.pendingEvents = append(sim.pendingEvents, e)
			}
		}
		if sim.now%sim.listInterval == 0 {
			sim.step(ServersChanged{Servers: sim.snapshot()})
		}
		sim.step(Tick{})
		sim.checkOneGroupPerServer()
	}
}

// checkOneGroupPerServer fails the test if a server is in two rows.
func (sim *simulation) checkOneGroupPerServer() {
	groupOf := make(map[ident.InstanceID]ident.GroupID)
	for _, r := range sim.rows {
		if strings.HasPrefix(r.Key, "@") {
			continue // It is no group's row.
		}
		row, err := decodeRow(r)
		assert.NilError(sim.t, err)
		if sim.now < sim.conflictsUntil {
			continue
		}
		for _, m := range row.Members {
			other, ok := groupOf[m.ID]
			assert.Assert(sim.t, !ok, "%s is in the rows of %s and %s", m.ID, other, row.Group)
			groupOf[m.ID] = row.Group
		}
	}
}

// servingGroups counts the groups of a model that are open with all members alive.
func (sim *simulation) servingGroups(model string) int {
	n := 0
	for _, s := range sim.servers {
		if s.dead || s.State != fleet.Open || s.Rank != 0 || s.loadedModel != model {
			continue
		}
		complete := true
		for _, id := range s.members {
			member := sim.servers[id]
			complete = complete && member != nil && !member.dead && member.Group == s.Group && member.Epoch == s.Epoch
		}
		if complete {
			n++
		}
	}
	return n
}
