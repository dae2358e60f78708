package machines

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
)

const (
	// choiceHints bounds the prefix index as at an entry instance.
	choiceHints = 1 << 16
	// choiceEpoch is the time of the routing machine at the start of a trace. A
	// recording starts while the process runs, and its reports are older.
	choiceEpoch = time.Hour
	// drainLimit is when a drained data centre must get no new work any more.
	drainLimit = 5 * time.Second
)

// Choice replays the recorded routing of entry instances and compares each
// choice with the recorded one. The reports, the credits that were left and the
// ends of the attempts come from the trace. After a difference the replay
// follows the recorded choice, so that one difference does not cause others.
type Choice struct {
	lanes   []*choiceLane
	member  map[ident.InstanceID]*choiceMember
	drained map[ident.DataCentre]time.Duration
	// requests have no answer yet.
	requests map[requestKey]*trace.Request
}

// requestKey is the name of a request at its entry instance.
type requestKey struct {
	node ident.InstanceID
	id   string
}

// choiceLane is the routing of one service at one entry instance.
type choiceLane struct {
	node    ident.InstanceID
	service ident.ServiceName
	random  *rand.PCG
	policy  routing.Policy
	table   *routing.Table
	rows    []choiceRow
}

type choiceRow struct {
	trace.GroupRow
	sent time.Duration
}

// choiceMember is the last report of an engine member and its loss.
type choiceMember struct {
	incarnation ident.Incarnation
	group       ident.GroupID
	epoch       ident.Epoch
	lost        bool
	lostAt      time.Duration
}

// Name implements trace.Machine.
func (c *Choice) Name() string { return "choice" }

// RecordStart implements trace.Machine.
func (c *Choice) Start(trace.Header) error {
	*c = Choice{
		member:  make(map[ident.InstanceID]*choiceMember),
		drained: make(map[ident.DataCentre]time.Duration),

		requests: make(map[requestKey]*trace.Request),
	}
	return nil
}

// Step implements trace.Machine.
func (c *Choice) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	switch e.Kind {
	case trace.KindLoadReport:
		r := e.LoadReport
		c.member[r.Instance] = &choiceMember{incarnation: r.Incarnation, group: r.Group, epoch: r.Epoch}
	case trace.KindMemberLost, trace.KindMemberReturned:
		c.loss(now, e)
	case trace.KindDrain:
		dc := ident.DataCentre(e.Drain.Name)
		if delete(c.drained, dc); e.Drain.Kind == "datacentre" && !e.Drain.Restored {
			c.drained[dc] = now
		}
	case trace.KindGap:
		return []trace.Decision{decide("gap", string(e.Node), "%d events are missing", e.Gap.Dropped)}, nil
	case trace.KindGroups:
		return nil, c.groups(now, e)
	case trace.KindCache:
		for _, l := range c.lanes {
			if x := e.Cache.Event; l.node == e.Node && l.row(x.Group) != nil {
				l.table.ApplyCacheEvent(choiceEpoch+now, x.Group, x.Sequence, x.Prefix, x.Tokens, x.Evicted)
			}
		}
	case trace.KindRequest:
		c.requests[requestKey{e.Node, e.Request.ID}] = e.Request
	case trace.KindAnswer:
		return c.answer(e), nil
	case trace.KindChoice:
		return c.choice(now, e), nil
	case trace.KindRelease:
		if l := c.lane(e.Node, e.Release.Service); l != nil {
			r := e.Release
			l.table.RecordEnd(choiceEpoch+now, r.Group, r.Uncached, micros(r.FirstTokenMicros), micros(r.HoldMicros))
		}
	}
	return nil, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (c *Choice) lane(node ident.InstanceID, service ident.ServiceName) *choiceLane {
	for _, l := range c.lanes {
		if l.node == node && l.service == service {
			return l
		}
	}
	return nil
}

// loss notes the loss of a member. One that comes back as the same incarnation
// was not lost after all.
func (c *Choice) loss(now time.Duration, e *trace.Event) {
	m, ok := c.member[e.Member.Instance]
	switch {
	case !ok:
	case e.Kind == trace.KindMemberLost && !m.lost:
		m.lost, m.lostAt = true, now
	case e.Kind == trace.KindMemberReturned && m.incarnation == e.Member.Incarnation:
		m.lost = false
	}
}

func (c *Choice) answer(e *trace.Event) []trace.Decision {
	delete(c.requests, requestKey{e.Node, e.Answer.ID})
	return []trace.Decision{decide("answer", string(e.Answer.Service), "%s %s", e.Answer.ID, e.Answer.Outcome)}
}

// groups takes over the rows of a snapshot.
func (c *Choice) groups(now time.Duration, e *trace.Event) error {
	g := e.Groups
	l := c.lane(e.Node, g.Service)
	if l == nil {
		seed := ident.Score(string(g.Service), e.Node)
		l = &choiceLane{
			node: e.Node, service: g.Service, random: rand.NewPCG(seed, seed),
			table: routing.NewTable(routing.Location{DataCentre: g.DataCentre, Region: g.Region}, choiceHints),
		}
		l.policy = routing.ExpectedDelay{Rand: rand.New(l.random)}
		c.lanes = append(c.lanes, l)
	}
	if len(g.Rand) > 0 {
		if err := l.random.UnmarshalBinary(g.Rand); err != nil {
			return err
		}
	}
	if g.Complete {
		l.rows = nil
	}
	l.rows = slices.DeleteFunc(l.rows, func(r choiceRow) bool { return slices.Contains(g.Removed, r.ID) })
	for _, r := range g.Rows {
		row := choiceRow{GroupRow: r, sent: choiceEpoch + now - micros(r.AgeMicros)}
		if have := l.row(r.ID); have != nil {
			*have = row
		} else {
			l.rows = append(l.rows, row)
		}
	}
	slices.SortFunc(l.rows, func(a, b choiceRow) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	out := make([]routing.Group, 0, len(l.rows))
	for _, r := range l.rows {
		out = append(out, routing.Group{
			ID: r.ID, Epoch: r.Epoch, DataCentre: r.DataCentre, Region: r.Region, Limit: r.Limit,
			Running: r.Running, Queued: r.Queued, ReportedAt: r.sent,
		})
	}
	l.table.Update(choiceEpoch+now, out)
	for i, r := range l.rows {
		if g.Complete && r.Learned != nil {
			l.table.Restore(choiceEpoch+now, i, *r.Learned)
		}
	}
	return nil
}

func (l *choiceLane) row(id ident.GroupID) *choiceRow {
	for i := range l.rows {
		if l.rows[i].ID == id {
			return &l.rows[i]
		}
	}
	return nil
}

// choice repeats a recorded choice.
func (c *Choice) choice(now time.Duration, e *trace.Event) []trace.Decision {
	x := e.Choice
	l := c.lane(e.Node, x.Service)
	if l == nil {
		return []trace.Decision{decide("unknown", string(x.Group), "%s: no groups of %s are recorded", x.ID, x.Service)}
	}
	out := c.allowed(now, l, x)
	ask := routing.Request{FreeCredits: make([]int, len(l.rows)), Fingerprint: x.Fingerprint}
	req := c.requests[requestKey{e.Node, x.ID}]
	if req != nil {
		ask.PromptTokens, ask.Prefixes = req.PromptTokens, req.Prefixes
	}
	if x.Isolated {
		l.table.RecordStart(choiceEpoch+now, x.Group, ask.Prefixes)
		return append(out, decide("alone", string(x.Group), "%s", x.ID))
	}
	for i, r := range l.rows {
		if !slices.Contains(x.Blocked, r.ID) {
			ask.FreeCredits[i] = 1
		}
	}
	// A choice without a recorded arrival is repeated too: it draws from the
	// random source.
	picked := ident.GroupID("")
	if i := l.policy.Pick(choiceEpoch+now, l.table, &ask); i >= 0 {
		picked = l.table.ID(i)
	}
	if slices.Contains(x.Blocked, picked) {
		out = append(out, decide(ActionViolation, string(picked), "%s went to a group without a free credit", x.ID))
	}
	switch {
	case req == nil:
		out = append(out, decide("unknown", string(x.Group), "%s: its arrival is not recorded", x.ID))
	case picked != x.Group:
		out = append(out, decide(trace.ActionDiffers, string(picked), "%s: recorded %s", x.ID, x.Group))
	default:
		out = append(out, decide("pick", string(picked), "%s", x.ID))
	}
	if !x.Refused {
		l.table.RecordStart(choiceEpoch+now, x.Group, ask.Prefixes)
	}
	return out
}

// allowed checks a recorded choice against what the entry instance knew.
func (c *Choice) allowed(now time.Duration, l *choiceLane, x *trace.Choice) []trace.Decision {
	r := l.row(x.Group)
	if r == nil {
		return []trace.Decision{decide(ActionViolation, string(x.Group), "whole-group: %s went to a group that is not confirmed", x.ID)}
	}
	var out []trace.Decision
	at, drained := c.drained[r.DataCentre]
	if r.Draining || drained && now > at+drainLimit {
		out = append(out, decide(ActionViolation, string(x.Group), "data-centre-drain: %s went to %s", x.ID, r.DataCentre))
	}
	for _, m := range c.member {
		if m.lost && m.group == r.ID && m.epoch == r.Epoch && now > m.lostAt+view.ConfirmTTL {
			out = append(out, decide(ActionViolation, string(x.Group), "whole-group: %s ran %s after a member was lost", x.ID, now-m.lostAt))
			break
		}
	}
	return out
}
