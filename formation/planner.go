package formation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/route"
)

// Planner plans the groups of one service.
type Planner struct {
	cfg Config

	held    bool
	grant   lease.Grant
	since   time.Duration
	loaded  bool
	reading bool
	// storeAt is when the table may be asked again after a failure, storePause the
	// time between two such attempts.
	storeAt, storePause time.Duration
	// paused stops orders after a refusal by a newer token, until the lease was
	// renewed.
	paused bool

	service   *route.Service
	evacuated []ident.DataCentre
	servers   *fleet.Snapshot
	groups    map[ident.GroupID]*group
	dead      map[ident.InstanceID]deadMark
	probes    map[ident.InstanceID]time.Duration
	// answered is when servers last answered a probe; doubts are those that did not.
	answered map[ident.InstanceID]time.Duration
	doubts   map[ident.InstanceID]doubt
	staging  map[ident.InstanceID]staging
	leaves   map[ident.InstanceID]time.Duration
	// demand is the measured demand for each model, in slots.
	demand map[string]float64
	starts []time.Duration
	served bool
	// listed is the number of servers on the list, grewAt when it last grew.
	listed    int
	grewAt    time.Duration
	counter   int
	epoch     ident.Epoch
	summaryAt time.Duration

	out []Action
}

// group is a row with what the planner knows beside it.
type group struct {
	Row
	version uint64
	writing bool
	pending *Row // the row under way, nil for a deletion
	// joined is when the row was written, sent when each order was last sent.
	joined time.Duration
	sent   map[ident.InstanceID]time.Duration
	opened time.Duration
	closed time.Duration
	lostAt time.Duration
	// drainedAt is when a member was first seen to leave.
	drainedAt time.Duration
	suspect   bool
	// failing is when all requests to the head were first found to fail.
	failing  time.Duration
	seenGood bool
}

type deadMark struct {
	incarnation ident.Incarnation
	until       time.Duration
}

type staging struct {
	model       string
	incarnation ident.Incarnation
	since       time.Duration
}

// New returns a planner that does not hold the lease.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:      cfg,
		groups:   make(map[ident.GroupID]*group),
		dead:     make(map[ident.InstanceID]deadMark),
		probes:   make(map[ident.InstanceID]time.Duration),
		answered: make(map[ident.InstanceID]time.Duration),
		doubts:   make(map[ident.InstanceID]doubt),
		staging:  make(map[ident.InstanceID]staging),
		leaves:   make(map[ident.InstanceID]time.Duration),
		demand:   make(map[string]float64),
	}
}

// Step handles one event.
func (p *Planner) Step(now time.Duration, ev Event) []Action {
	p.out = nil
	switch e := ev.(type) {
	case ServersChanged:
		p.servers = e.Servers
		if n := len(e.Servers.Servers); n > p.listed {
			p.listed, p.grewAt = n, now
		}
	case ConfigChanged:
		p.service, p.evacuated = e.Service, e.Evacuated
	case LeaseChanged:
		p.leaseChanged(now, e)
	case RowsRead:
		p.rowsRead(now, e)
	case ReadFailed:
		p.reading = false
		p.storeFailed(now)
	case Written:
		p.written(now, e)
	case Ordered:
		p.ordered(e)
	case GroupStalled:
		p.suspected(e)
	case HeadFailing:
		p.headFailing(now, e)
	case Probed:
		p.probed(now, e)
	case TrafficStarted:
		p.served = true
	case Demand:
		for _, u := range e.PerModel {
			p.demand[u.Model] = u.Slots
		}
	}
	p.reconcile(now)
	return p.out
}

func (p *Planner) emit(a Action) { p.out = append(p.out, a) }

func (p *Planner) leaseChanged(now time.Duration, e LeaseChanged) {
	if e.Held && !p.held {
		p.since, p.loaded, p.reading = now, false, false
		clear(p.groups)
		clear(p.staging)
		clear(p.leaves)
		p.starts = nil
	}
	p.held, p.grant, p.paused = e.Held, e.Grant, false
}

func (p *Planner) rowsRead(now time.Duration, e RowsRead) {
	p.reading, p.loaded, p.storePause = false, true, 0
	clear(p.groups)
	for _, r := range e.Rows {
		row, err := decodeRow(r)
		if err != nil {
			p.emit(LogEntry{Text: "row left out", Group: ident.GroupID(r.Key), Detail: err.Error()})
			continue
		}
		p.groups[row.Group] = &group{Row: row, version: r.Version, joined: now, sent: make(map[ident.InstanceID]time.Duration)}
	}
}

func (p *Planner) written(now time.Duration, e Written) {
	g, ok := p.groups[e.Group]
	if !ok || !g.writing {
		return
	}
	g.writing = false
	defer func() { g.pending = nil }()
	switch e.Outcome {
	case infra.OutcomeApplied:
		g.failing, p.storePause = 0, 0
		if g.pending == nil {
			p.release(now, g)
			delete(p.groups, e.Group)
			return
		}
		p.releaseFormer(now, g)
		g.Row, g.version, g.joined = *g.pending, e.Version, now
		g.opened, g.closed, g.lostAt, g.drainedAt, g.suspect, g.seenGood = 0, 0, 0, 0, false, false
		clear(g.sent)
	case infra.OutcomeNotApplied:
		p.storeFailed(now)
		if g.version == 0 {
			delete(p.groups, e.Group)
		}
	default:
		// The row may have been written, here or by another holder.
		p.storeFailed(now)
		p.loaded = false
	}
}

// storeFailed puts the next attempt off: calls that are refused cost the store as
// much as others, and each event would cause one.
func (p *Planner) storeFailed(now time.Duration) {
	p.storePause = min(max(p.cfg.StoreRetry, 2*p.storePause), p.cfg.StoreRetryMost)
	p.storeAt = now + p.storePause
}

// releaseFormer orders members that the new row lacks to leave, if they live.
func (p *Planner) releaseFormer(now time.Duration, g *group) {
	for _, m := range g.Members {
		if !slices.ContainsFunc(g.pending.Members, func(n Member) bool { return n.ID == m.ID }) {
			p.leave(now, m.ID)
		}
	}
}

// release orders all members of a dissolved group to leave.
func (p *Planner) release(now time.Duration, g *group) {
	for _, m := range g.Members {
		p.leave(now, m.ID)
	}
}

func (p *Planner) leave(now time.Duration, id ident.InstanceID) {
	s, ok := p.servers.Get(id)
	if !ok || s.State == fleet.NoGroup || now < p.leaves[id] || p.isDead(id, s.Incarnation) {
		return
	}
	p.leaves[id] = now + p.cfg.Resend
	p.send(s, Order{Kind: Leave, Group: s.Group, Epoch: s.Epoch})
}

func (p *Planner) send(s *fleet.Server, o Order) {
	o.Server, o.Address, o.Fence = s.ID, s.Address, p.grant.Epoch
	p.emit(SendOrder{Order: o})
}

func (p *Planner) ordered(e Ordered) {
	if e.Outcome.Fenced {
		p.paused = true
		p.emit(LogEntry{Text: "order refused by a newer token", Group: e.Order.Group, Epoch: e.Order.Epoch, Detail: e.Outcome.Err.Error()})
	}
	if e.Order.Kind == Stage && !e.Outcome.Accepted {
		// Sent again when loads may start; a server that did take it answers so.
		delete(p.staging, e.Order.Server)
	}
}

func (p *Planner) suspected(e GroupStalled) {
	if g, ok := p.groups[e.Group]; ok && g.Epoch == e.Epoch {
		g.suspect = true
	}
}

func (p *Planner) headFailing(now time.Duration, e HeadFailing) {
	if g, ok := p.groups[e.Group]; ok && g.Epoch == e.Epoch && g.failing == 0 && !g.writing && p.held {
		g.failing, g.suspect = now, true
	}
}

// reconcile compares rows and list and issues what is missing.
func (p *Planner) reconcile(now time.Duration) {
	if !p.held || p.paused || now >= p.grant.Expires || p.service == nil || p.servers == nil || len(p.service.Models) == 0 {
		return
	}
	if !p.loaded {
		if !p.reading && now >= p.storeAt {
			p.reading = true
			p.emit(ReadRows{})
		}
		return
	}
	if now-p.since < p.cfg.Settle && len(p.groups) > 0 {
		return
	}
	if p.listGrows(now) {
		return
	}
	p.expire(now)
	p.judge(now)
	for _, g := range p.sorted() {
		p.tend(now, g)
	}
	p.dismissStrays(now)
	if !p.grow(now) {
		p.stage(now)
	}
	p.summarize(now)
}

// listGrows reports whether the first groups have to wait for the list to be whole:
// domains are given to models by their sizes, and loads are not taken back.
func (p *Planner) listGrows(now time.Duration) bool {
	return !p.served && len(p.groups) == 0 && now-p.grewAt < p.cfg.ListQuiet && now-p.since < p.cfg.ListWait
}

func (p *Planner) sorted() []*group {
	list := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.Group, b.Group) })
	return list
}

// expire forgets marks of servers that have been replaced or have answered.
func (p *Planner) expire(now time.Duration) {
	for id, d := range p.dead {
		s, ok := p.servers.Get(id)
		if !ok && now < d.until+p.cfg.Forget {
			continue // Silent, and its entry is gone too.
		}
		if now >= d.until || (ok && s.Incarnation != d.incarnation) {
			delete(p.dead, id)
		}
	}
	for id, st := range p.staging {
		s, ok := p.servers.Get(id)
		if !ok || s.Incarnation != st.incarnation || s.HasStaged(st.model) || s.State != fleet.NoGroup {
			delete(p.staging, id)
		}
	}
	for id, at := range p.answered {
		if now-at >= p.cfg.ProbeEvery {
			delete(p.answered, id)
		}
	}
	for id, at := range p.probes {
		if now-at > p.cfg.ProbeEvery {
			delete(p.probes, id)
		}
	}
	for id, until := range p.leaves {
		if now >= until {
			delete(p.leaves, id)
		}
	}
}

// summarize reports the state of groups and spares every few seconds.
func (p *Planner) summarize(now time.Duration) {
	if now < p.summaryAt {
		return
	}
	p.summaryAt = now + p.cfg.Summary
	taken := p.taken()
	for _, m := range p.service.Models {
		groups, serving, spare := 0, 0, 0
		for _, g := range p.groups {
			if g.row().Model != m.Name {
				continue
			}
			groups++
			if c, _ := p.condition(g, g.Row.head()); c == open && len(p.survivors(g)) == m.Size {
				serving++
			}
		}
		empty := 0
		for _, s := range p.servers.Servers {
			switch {
			case !p.isIdle(s) || taken[s.ID]:
			case s.HasStaged(m.Name):
				spare++
			case len(s.Staged) == 0:
				empty++
			}
		}
		p.emit(LogEntry{Text: "formation", Model: m.Name, Detail: fmt.Sprintf(
			"%d groups, %d serve, %d spares loaded, %d servers empty, %d loads under way", groups, serving, spare, empty, p.loading())})
	}
}

// head is the first member.
func (r *Row) head() Member {
	if len(r.Members) == 0 {
		return Member{}
	}
	return r.Members[0]
}

// epochsPerHolder is the number of epochs that one holder of the lease can give.
const epochsPerHolder = 1 << 20

// nextEpoch returns an epoch above all that a server may have seen. Servers that
// have left a dissolved group do not name its epoch any more, so the last one is
// kept, and each holder begins above those of former holders.
func (p *Planner) nextEpoch() ident.Epoch {
	p.epoch = max(p.epoch, p.grant.Epoch*epochsPerHolder)
	for _, g := range p.groups {
		p.epoch = max(p.epoch, g.row().Epoch)
	}
	for _, s := range p.servers.Servers {
		p.epoch = max(p.epoch, s.Epoch)
	}
	p.epoch++
	return p.epoch
}

// write stores a group's next row. A nil row deletes it.
func (p *Planner) write(g *group, next *Row) {
	g.writing, g.pending = true, next
	t := infra.Txn{Conditions: []infra.Condition{
		{RowKey: lease.EpochKey(LeaseName), Version: p.grant.EpochVersion},
		{RowKey: Key(g.Group), Version: g.version},
	}}
	if next == nil {
		t.Writes = []infra.Write{{RowKey: Key(g.Group), Delete: true}}
	} else {
		t.Writes = []infra.Write{{RowKey: Key(g.Group), Value: encode(next)}}
	}
	p.emit(WriteRow{Group: g.Group, Txn: t})
}

// LeaseName is the name of the planner's lease.
const LeaseName ident.ServiceName = "formation"

// encode marshals a row, whose fields always can be.
func encode(r *Row) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

// newID returns an id that no group has had: the lease's epoch is new with each
// holder.
func (p *Planner) newID() ident.GroupID {
	p.counter++
	return ident.GroupID(fmt.Sprintf("g%d-%d", p.grant.Epoch, p.counter))
}
