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
	// choicePrefixes is the maximum size of the prefix index, as in an entry instance.
	choicePrefixes = 1 << 16
	// choiceClockOffset is the time of the routing machine at the start of a trace.
	// It is above 0 because a recording starts in a running process, whose load
	// reports are older than the trace.
	choiceClockOffset = time.Hour
	// drainLimit is the time after the start of a drain from which the data centre
	// must get no new requests.
	drainLimit = 5 * time.Second
)

// Choice replays the recorded routing of entry instances and compares each
// choice with the recorded one. The load reports, the available credits and the
// ends of the attempts come from the trace. After a difference, the replay continues
// with the recorded choice, so that one difference does not cause others.
type Choice struct {
	services  []*choiceService
	members   map[ident.InstanceID]*choiceMember
	drainedAt map[ident.DataCentre]time.Duration
	// requests holds the requests without an answer so far.
	requests map[requestKey]*trace.Request
}

// requestKey identifies a request at an entry instance.
type requestKey struct {
	node ident.InstanceID
	id   string
}

// choiceService is the routing of one service at one entry instance.
type choiceService struct {
	node    ident.InstanceID
	service ident.ServiceName
	random  *rand.PCG
	policy  routing.Policy
	table   *routing.Table
	rows    []choiceRow
}

// choiceRow is a group row with the time at which the last poll that confirmed the
// group was sent.
type choiceRow struct {
	trace.GroupRow
	polledAt time.Duration
}

// choiceMember holds the incarnation, group and epoch from the latest load report of
// a group member, and whether and since when the member is lost.
type choiceMember struct {
	incarnation ident.Incarnation
	group       ident.GroupID
	epoch       ident.Epoch
	lost        bool
	lostAt      time.Duration
}

// Name implements trace.Machine.
func (c *Choice) Name() string { return "choice" }

// Start implements trace.Machine.
func (c *Choice) Start(trace.Header) error {
	*c = Choice{
		members:   make(map[ident.InstanceID]*choiceMember),
		drainedAt: make(map[ident.DataCentre]time.Duration),

		requests: make(map[requestKey]*trace.Request),
	}
	return nil
}

// Step implements trace.Machine.
func (c *Choice) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	switch e.Kind {
	case trace.KindLoadReport:
		r := e.LoadReport
		c.members[r.Instance] = &choiceMember{incarnation: r.Incarnation, group: r.Group, epoch: r.Epoch}
	case trace.KindMemberLost, trace.KindMemberReturned:
		c.applyLoss(now, e)
	case trace.KindDrain:
		dc := ident.DataCentre(e.Drain.Name)
		if delete(c.drainedAt, dc); e.Drain.Kind == "datacentre" && !e.Drain.Restored {
			c.drainedAt[dc] = now
		}
	case trace.KindGap:
		return []trace.Decision{decide("gap", string(e.Node), "%d events are missing", e.Gap.Dropped)}, nil
	case trace.KindGroups:
		return nil, c.updateGroups(now, e)
	case trace.KindCache:
		for _, s := range c.services {
			if x := e.Cache.Event; s.node == e.Node && s.row(x.Group) != nil {
				s.table.ApplyCacheEvent(choiceClockOffset+now, x.Group, x.Sequence, x.Prefix, x.Tokens, x.Evicted)
			}
		}
	case trace.KindRequest:
		c.requests[requestKey{e.Node, e.Request.ID}] = e.Request
	case trace.KindAnswer:
		return c.recordAnswer(e), nil
	case trace.KindChoice:
		return c.repeatChoice(now, e), nil
	case trace.KindRelease:
		if s := c.find(e.Node, e.Release.Service); s != nil {
			r := e.Release
			s.table.RecordEnd(choiceClockOffset+now, r.Group, r.Uncached, micros(r.FirstTokenMicros), micros(r.HoldMicros))
		}
	}
	return nil, nil
}

// micros converts microseconds to a duration.
func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// find returns the routing of a service at an entry instance, or nil.
func (c *Choice) find(node ident.InstanceID, service ident.ServiceName) *choiceService {
	for _, s := range c.services {
		if s.node == node && s.service == service {
			return s
		}
	}
	return nil
}

// applyLoss applies the loss or return of a member. A member that returns as the same
// incarnation no longer counts as lost. The return of another incarnation changes
// nothing.
func (c *Choice) applyLoss(now time.Duration, e *trace.Event) {
	m, ok := c.members[e.Member.Instance]
	switch {
	case !ok:
	case e.Kind == trace.KindMemberLost && !m.lost:
		m.lost, m.lostAt = true, now
	case e.Kind == trace.KindMemberReturned && m.incarnation == e.Member.Incarnation:
		m.lost = false
	}
}

func (c *Choice) recordAnswer(e *trace.Event) []trace.Decision {
	delete(c.requests, requestKey{e.Node, e.Answer.ID})
	return []trace.Decision{decide("answer", string(e.Answer.Service), "%s %s", e.Answer.ID, e.Answer.Outcome)}
}

// updateGroups applies a groups event to the routing table.
func (c *Choice) updateGroups(now time.Duration, e *trace.Event) error {
	g := e.Groups
	s := c.find(e.Node, g.Service)
	if s == nil {
		seed := ident.Score(string(g.Service), e.Node)
		s = &choiceService{
			node: e.Node, service: g.Service, random: rand.NewPCG(seed, seed),
			table: routing.NewTable(routing.Location{DataCentre: g.DataCentre, Region: g.Region}, choicePrefixes),
		}
		s.policy = routing.ExpectedDelay{Rand: rand.New(s.random)}
		c.services = append(c.services, s)
	}
	if len(g.Rand) > 0 {
		if err := s.random.UnmarshalBinary(g.Rand); err != nil {
			return err
		}
	}
	if g.Complete {
		s.rows = nil
	}
	s.rows = slices.DeleteFunc(s.rows, func(r choiceRow) bool { return slices.Contains(g.Removed, r.ID) })
	for _, r := range g.Rows {
		row := choiceRow{GroupRow: r, polledAt: choiceClockOffset + now - micros(r.AgeMicros)}
		if existing := s.row(r.ID); existing != nil {
			*existing = row
		} else {
			s.rows = append(s.rows, row)
		}
	}
	slices.SortFunc(s.rows, func(a, b choiceRow) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	out := make([]routing.Group, 0, len(s.rows))
	for _, r := range s.rows {
		out = append(out, routing.Group{
			ID: r.ID, Epoch: r.Epoch, DataCentre: r.DataCentre, Region: r.Region, Limit: r.Limit,
			Running: r.Running, Queued: r.Queued, ReportedAt: r.polledAt,
		})
	}
	s.table.Update(choiceClockOffset+now, out)
	for i, r := range s.rows {
		if g.Complete && r.Learned != nil {
			s.table.Restore(choiceClockOffset+now, i, *r.Learned)
		}
	}
	return nil
}

// row returns the row of a group, or nil.
func (s *choiceService) row(id ident.GroupID) *choiceRow {
	for i := range s.rows {
		if s.rows[i].ID == id {
			return &s.rows[i]
		}
	}
	return nil
}

// repeatChoice makes a recorded choice again and compares the results.
func (c *Choice) repeatChoice(now time.Duration, e *trace.Event) []trace.Decision {
	x := e.Choice
	s := c.find(e.Node, x.Service)
	if s == nil {
		return []trace.Decision{decide("unknown", string(x.Group), "%s: no groups of %s are recorded", x.ID, x.Service)}
	}
	out := c.checkRecorded(now, s, x)
	routed := routing.Request{FreeCredits: make([]int, len(s.rows)), Fingerprint: x.Fingerprint}
	req := c.requests[requestKey{e.Node, x.ID}]
	if req != nil {
		routed.PromptTokens, routed.Prefixes = req.PromptTokens, req.Prefixes
	}
	if x.Isolated {
		s.table.RecordStart(choiceClockOffset+now, x.Group, routed.Prefixes)
		return append(out, decide("alone", string(x.Group), "%s", x.ID))
	}
	for i, r := range s.rows {
		if !slices.Contains(x.Blocked, r.ID) {
			routed.FreeCredits[i] = 1
		}
	}
	// A choice is repeated even if the arrival of its request was not recorded,
	// because it advances the random source.
	picked := ident.GroupID("")
	if i := s.policy.Pick(choiceClockOffset+now, s.table, &routed); i >= 0 {
		picked = s.table.ID(i)
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
		s.table.RecordStart(choiceClockOffset+now, x.Group, routed.Prefixes)
	}
	return out
}

// checkRecorded reports a violation when a recorded choice was not allowed by the
// state of the entry instance at that time.
func (c *Choice) checkRecorded(now time.Duration, s *choiceService, x *trace.Choice) []trace.Decision {
	r := s.row(x.Group)
	if r == nil {
		return []trace.Decision{decide(ActionViolation, string(x.Group), "whole-group: %s went to a group that is not confirmed", x.ID)}
	}
	var out []trace.Decision
	drainStart, drained := c.drainedAt[r.DataCentre]
	if r.Draining || drained && now > drainStart+drainLimit {
		out = append(out, decide(ActionViolation, string(x.Group), "data-centre-drain: %s went to %s", x.ID, r.DataCentre))
	}
	for _, m := range c.members {
		if m.lost && m.group == r.ID && m.epoch == r.Epoch && now > m.lostAt+view.ConfirmTTL {
			out = append(out, decide(ActionViolation, string(x.Group), "whole-group: %s ran %s after a member was lost", x.ID, now-m.lostAt))
			break
		}
	}
	return out
}
