package formation

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/route"
)

// world plays backend servers, the table of groups and planners in simulated
// time, and checks at each step what must hold.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	service route.Service
	servers map[ident.InstanceID]*simServer
	rows    map[ident.GroupID]infra.Row
	version uint64
	fence   ident.Epoch
	planner *Planner
	// loseOrders and lateOrders are the parts of orders without an answer, and
	// of those that are carried out seconds later.
	loseOrders, lateOrders float64
	loseWrites             float64
	// deaf has all probes fail.
	deaf bool
	// refuse has the store refuse all writes; writes counts them.
	refuse  bool
	writes  int
	queue   []simEvent
	listLag time.Duration
	loads   int
	orders  map[OrderKind]int
}

type simEvent struct {
	at time.Duration
	do func()
}

type simServer struct {
	fleet.Server
	dead   bool
	listed bool
	list   []ident.InstanceID
	seen   ident.Epoch
	fence  ident.Epoch
	last   string
	// readyAs are the epochs and lists under which the server was ready.
	readyAs map[string]bool
	born    int
}

const tickEvery = 50 * time.Millisecond

func testService() route.Service {
	return route.Service{
		Name: "llm", Slots: 26, LoadRate: 4.5, LoadsAtOnce: 6,
		Models: []route.Model{
			{Name: "m0", Size: 4, Share: 0.57, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "m1", Size: 3, Share: 0.43, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
}

func newWorld(t *testing.T, seed int64, domains, size int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewSource(seed)), service: testService(),
		servers: make(map[ident.InstanceID]*simServer), rows: make(map[ident.GroupID]infra.Row),
		listLag: 150 * time.Millisecond, orders: make(map[OrderKind]int),
	}
	for d := range domains {
		for i := range size {
			w.add(fmt.Sprintf("s%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	w.takeOver()
	return w
}

func (w *world) add(id, domain string) {
	w.servers[ident.InstanceID(id)] = &simServer{listed: true, readyAs: make(map[string]bool), Server: fleet.Server{
		ID: ident.InstanceID(id), Incarnation: "1", Service: "llm", Address: id, Domain: ident.Domain(domain),
		DataCentre: ident.DataCentre(domain), Slots: 26,
	}}
}

// takeOver starts a planner with a newer token, as after the loss of the holder.
func (w *world) takeOver() {
	w.fence++
	w.version++
	w.planner = New(DefaultConfig())
	w.step(ConfigChanged{Service: &w.service})
	w.step(ServersChanged{Servers: w.snapshot()})
	w.step(LeaseChanged{Held: true, Grant: lease.Grant{Epoch: w.fence, EpochVersion: w.version, Expires: time.Hour}})
}

func (w *world) snapshot() *fleet.Snapshot {
	l := fleet.NewList()
	for _, s := range w.servers {
		if s.listed {
			c := s.Server
			c.Version = 1
			c.Staged = slices.Clone(c.Staged)
			l.Put(c)
		}
	}
	return l.Snapshot()
}

func (w *world) after(d time.Duration, do func()) {
	w.queue = append(w.queue, simEvent{w.now + d, do})
}

func (w *world) step(ev Event) {
	planner := w.planner
	for _, a := range planner.Step(w.now, ev) {
		w.perform(planner, a)
	}
}

// answer passes an event to the planner that caused it, if it still acts.
func (w *world) answer(p *Planner, d time.Duration, ev Event) {
	w.after(d, func() {
		if p == w.planner {
			w.step(ev)
		}
	})
}

func (w *world) perform(p *Planner, a Action) {
	const call = 8 * time.Millisecond
	switch a := a.(type) {
	case ReadRows:
		var rows []infra.Row
		for _, r := range w.rows {
			rows = append(rows, r)
		}
		slices.SortFunc(rows, func(a, b infra.Row) int { return cmp.Compare(a.Key, b.Key) })
		w.answer(p, call, RowsRead{Rows: rows})
	case WriteRow:
		w.write(p, a)
	case SendOrder:
		w.orders[a.Order.Kind]++
		w.order(p, a.Order)
	case Probe:
		s := w.servers[a.Member.ID]
		w.answer(p, call, Probed{Member: a.Member, Alive: s != nil && !s.dead && !w.deaf})
	}
}

func (w *world) write(p *Planner, a WriteRow) {
	outcome := infra.OutcomeApplied
	w.writes++
	if w.refuse {
		w.answer(p, 6*time.Millisecond, Written{Group: a.Group, Outcome: infra.OutcomeNotApplied})
		return
	}
	for _, c := range a.Txn.Conditions[1:] {
		if w.rows[ident.GroupID(c.Key)].Version != c.Version {
			outcome = infra.OutcomeConflict
		}
	}
	if p.grant.Epoch != w.fence {
		outcome = infra.OutcomeConflict
	}
	if outcome == infra.OutcomeApplied {
		w.version++
		row := a.Txn.Writes[0]
		if row.Delete {
			delete(w.rows, a.Group)
		} else {
			w.rows[a.Group] = infra.Row{RowKey: row.RowKey, Version: w.version, Value: row.Value}
		}
	}
	version := w.version
	if w.rng.Float64() < w.loseWrites {
		outcome, version = infra.OutcomeUnknown, 0
	}
	w.answer(p, 8*time.Millisecond, Written{Group: a.Group, Outcome: outcome, Version: version})
}

func (w *world) order(p *Planner, o Order) {
	s := w.servers[o.Server]
	if s == nil || s.dead {
		w.answer(p, 800*time.Millisecond, Ordered{Order: o, Outcome: OrderOutcome{Err: fmt.Errorf("no answer")}})
		return
	}
	if r := w.rng.Float64(); r < w.lateOrders {
		born := s.born
		w.after(time.Duration(2+w.rng.Intn(8))*time.Second, func() {
			if s.born == born && !s.dead {
				w.carryOut(s, o)
			}
		})
		w.answer(p, 800*time.Millisecond, Ordered{Order: o, Outcome: OrderOutcome{Err: fmt.Errorf("no answer")}})
		return
	}
	out := w.carryOut(s, o)
	if w.rng.Float64() < w.loseOrders {
		out = OrderOutcome{Err: fmt.Errorf("no answer")}
	}
	w.answer(p, 5*time.Millisecond, Ordered{Order: o, Outcome: out})
}

// carryOut changes a server's state as the platform's pages say.
func (w *world) carryOut(s *simServer, o Order) OrderOutcome {
	if o.Fence < s.fence {
		return OrderOutcome{Fenced: true, Err: fmt.Errorf("fenced")}
	}
	s.fence = o.Fence
	switch o.Kind {
	case Join:
		return w.join(s, o)
	case Open:
		if s.Group != o.Group || s.Epoch != o.Epoch || s.State != fleet.Ready || s.Rank != 0 {
			return OrderOutcome{Err: fmt.Errorf("not ready")}
		}
		w.checkWhole(s)
		s.State = fleet.Open
	case Close:
		if s.Group == o.Group && s.Epoch == o.Epoch && s.State == fleet.Open {
			s.State = fleet.Closing
			w.after(700*time.Millisecond, func() {
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
		w.load(s, o.Model, func() {})
	}
	return OrderOutcome{Accepted: true}
}

func (w *world) load(s *simServer, model string, done func()) {
	m, _ := w.planner.model(model)
	w.loads++
	born := s.born
	w.after(m.LoadTime, func() {
		if s.born == born && !s.dead {
			s.Staged = []string{model}
			done()
		}
	})
}

func (w *world) join(s *simServer, o Order) OrderOutcome {
	if o.Epoch < s.seen {
		return OrderOutcome{Fenced: true, Err: fmt.Errorf("old epoch")}
	}
	if s.Group == o.Group && s.Epoch == o.Epoch && s.State != fleet.NoGroup {
		assert.DeepEqual(w.t, s.list, o.Members)
		return OrderOutcome{Accepted: true}
	}
	if s.Group != "" && s.Group != o.Group {
		// A member may change its group only when its head does not serve.
		for _, h := range w.servers {
			if h.Group == s.Group && h.Rank == 0 && !h.dead {
				assert.Assert(w.t, h.State != fleet.Open && h.State != fleet.Closing, "%s joins %s while the head of %s serves", s.ID, o.Group, s.Group)
			}
		}
	}
	s.seen, s.list = o.Epoch, o.Members
	s.Membership = fleet.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.ID), State: fleet.Joining}
	ready := func() {
		if s.Group == o.Group && s.Epoch == o.Epoch && s.State == fleet.Joining && !s.dead {
			s.State, s.Model, s.last = fleet.Ready, o.Model, o.Model
			s.readyAs[listKey(o.Group, o.Epoch, o.Members)] = true
		}
	}
	m, _ := w.planner.model(o.Model)
	switch {
	case s.last == o.Model:
		w.after(200*time.Millisecond, ready)
	case s.HasStaged(o.Model):
		w.after(m.WarmLoadTime, ready)
	default:
		w.load(s, o.Model, ready)
	}
	return OrderOutcome{Accepted: true}
}

func listKey(g ident.GroupID, e ident.Epoch, members []ident.InstanceID) string {
	return fmt.Sprint(g, e, members)
}

// checkWhole fails if a group is opened with a member that was never ready in it.
func (w *world) checkWhole(head *simServer) {
	m, _ := w.planner.model(head.last)
	assert.Equal(w.t, len(head.list), m.Size, "group %s has the wrong size", head.Group)
	for _, id := range head.list {
		s := w.servers[id]
		ready := s != nil && s.readyAs[listKey(head.Group, head.Epoch, head.list)]
		assert.Assert(w.t, ready, "group %s/%d opened although %s was never ready in it", head.Group, head.Epoch, id)
	}
}

// kill makes a server dark; its entry is removed after three heartbeats.
func (w *world) kill(id ident.InstanceID) {
	s := w.servers[id]
	if s == nil || s.dead {
		return
	}
	s.dead = true
	w.after(3600*time.Millisecond, func() { s.listed = !s.dead })
	if s.Group != "" {
		g, e := s.Group, s.Epoch
		w.after(600*time.Millisecond, func() { w.step(GroupStalled{Group: g, Epoch: e}) })
	}
}

// restart brings a server back with nothing but what its host holds.
func (w *world) restart(id ident.InstanceID) {
	s := w.servers[id]
	s.born++
	s.dead, s.listed = false, true
	s.Incarnation = ident.Incarnation(fmt.Sprint(s.born + 1))
	s.Membership, s.Model, s.last, s.seen, s.fence = fleet.Membership{}, "", "", 0, 0
	s.readyAs = make(map[string]bool)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tickEvery {
		due := w.queue
		w.queue = nil
		slices.SortStableFunc(due, func(a, b simEvent) int { return cmp.Compare(a.at, b.at) })
		for _, e := range due {
			if e.at <= w.now {
				e.do()
			} else {
				w.queue = append(w.queue, e)
			}
		}
		if w.now%w.listLag == 0 {
			w.step(ServersChanged{Servers: w.snapshot()})
		}
		w.step(Tick{})
		w.checkSingle()
	}
}

// checkSingle fails if a server stands in two rows.
func (w *world) checkSingle() {
	in := make(map[ident.InstanceID]ident.GroupID)
	for _, r := range w.rows {
		row, err := decodeRow(r)
		assert.NilError(w.t, err)
		for _, m := range row.Members {
			other, ok := in[m.ID]
			assert.Assert(w.t, !ok, "%s is in %s and %s", m.ID, other, row.Group)
			in[m.ID] = row.Group
		}
	}
}

// serving counts the groups of a model that are open and whole.
func (w *world) serving(model string) int {
	n := 0
	for _, s := range w.servers {
		if s.dead || s.State != fleet.Open || s.Rank != 0 || s.last != model {
			continue
		}
		whole := true
		for _, id := range s.list {
			o := w.servers[id]
			whole = whole && o != nil && !o.dead && o.Group == s.Group && o.Epoch == s.Epoch
		}
		if whole {
			n++
		}
	}
	return n
}
