package gateway

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/trace"
)

// Outcomes of requests in a trace that no problem names.
const (
	tracedAnswered = "answered"
	tracedCut      = "cut"
	tracedCrashed  = "crashed"
)

// requestTrace is what a recorded request carries along. ID is empty while
// nothing is recorded.
type requestTrace struct {
	id string
	// server is the group or backend server that the last attempt ran on.
	server ident.GroupID
	// firstToken is the time from the arrival to the first token.
	firstToken time.Duration
}

// traceKeys hides idempotency keys: the seed is random in each process.
var traceKeys = maphash.MakeSeed()

// traceRequest records the arrival of a request. It holds sizes and hashes, but
// neither text nor keys of the caller.
func (g *Gateway) traceRequest(r *Request) {
	if r.trace.id != "" {
		return // a stream that continues
	}
	if r.trace.id = g.opts.Recorder.NextID(); r.trace.id == "" {
		return
	}
	e := &trace.Request{
		ID: r.trace.id, Service: r.Service.Document.Service, Account: r.Account.Name, Class: r.Class, Priority: r.Priority,
		Idempotent: r.Idempotent, Fingerprint: r.Fingerprint, FirstCall: r.FirstCall,
		DeadlineMillis: (r.Deadline - r.Arrived).Milliseconds(),
	}
	if r.IdempotencyKey != "" {
		e.Key = ident.Fingerprint(maphash.String(traceKeys, r.IdempotencyKey)).String()
	}
	if r.Completion != nil {
		prompt := r.Completion.Text()
		e.PromptTokens, e.Prefixes = engine.TokenCount(prompt), prefixes(prompt)
		e.MaxTokens = r.Completion.MaxTokens
	}
	g.opts.Recorder.Record(trace.Event{Kind: trace.KindRequest, Node: g.opts.Self.Instance, Request: e})
}

// traceAnswer records the end of a request.
func (g *Gateway) traceAnswer(r *Request, err error) {
	if r.trace.id == "" || !g.opts.Recorder.On() || errors.Is(err, errParked) {
		return
	}
	g.opts.Recorder.Record(trace.Event{Kind: trace.KindAnswer, Node: g.opts.Self.Instance, Answer: &trace.Answer{
		ID: r.trace.id, Service: r.Name, Account: r.Account.Name, Group: r.trace.server, Outcome: tracedOutcome(r, err),
		FirstTokenMicros: r.trace.firstToken.Microseconds(), Tokens: r.Assembler.NextOffset(),
	}})
}

func tracedOutcome(r *Request, err error) string {
	switch {
	case err == nil:
		return tracedAnswered
	case errors.Is(err, errCallerGone), r.Sink != nil && r.Sink.Started():
		return tracedCut
	case errors.Is(err, engine.ErrConnectionFailed):
		return tracedCrashed
	}
	return string(asProblem(err).Outcome)
}

// checkpointInterval is the time after which all rows are recorded again, with
// what routing learned. A replay of a trace that lost its start comes to the
// recorded choices from the first one on.
const checkpointInterval = 10 * time.Second

// laneTrace is what the routing of a service recorded last. The lane's mutex
// covers it.
type laneTrace struct {
	generation uint64
	completed  time.Duration
	rows       map[ident.GroupID]trace.GroupRow
	// rowLimit is the limit of a backend server of a plain service.
	rowLimit int
}

// traced reports whether routing is recorded, and starts a new recording with
// all groups and the state of the random source.
func (l *lane) traced(now time.Duration) bool {
	g := l.b.recorder.Generation()
	if g == 0 {
		return false
	}
	if g != l.trace.generation {
		l.trace.generation = g
		l.recordAll(now)
	}
	return true
}

// recordAll records all rows with what routing learned, and the state of the
// random source.
func (l *lane) recordAll(now time.Duration) {
	l.trace.completed = now
	l.trace.rows = make(map[ident.GroupID]trace.GroupRow, len(l.targets))
	state, err := l.random.MarshalBinary()
	if err != nil {
		state = nil
	}
	l.recordRows(now, &trace.Groups{
		Complete: true, Rand: state, DataCentre: l.b.self.DataCentre, Region: l.b.self.Region,
	})
}

// traceGroups records what changed with a new snapshot.
func (l *lane) traceGroups(now time.Duration) {
	switch {
	case !l.traced(now):
	case now-l.trace.completed >= checkpointInterval:
		l.recordAll(now)
	default:
		l.recordRows(now, &trace.Groups{})
	}
}

// recordRows adds the rows that differ from the recorded ones. The recorded age
// is that at the time of the event.
func (l *lane) recordRows(now time.Duration, out *trace.Groups) {
	out.Service = l.name
	here := make(map[ident.GroupID]bool, len(l.targets))
	for i := range l.targets {
		row, reported := l.traceRow(&l.targets[i])
		here[row.ID] = true
		row.AgeMicros = reported.Microseconds()
		if have, ok := l.trace.rows[row.ID]; ok && have == row {
			continue
		}
		l.trace.rows[row.ID] = row
		row.AgeMicros = now.Microseconds() - row.AgeMicros
		if out.Complete && i < l.table.Len() {
			learned := l.table.Learned(i)
			row.Learned = &learned
		}
		out.Rows = append(out.Rows, row)
	}
	for id := range l.trace.rows {
		if !here[id] {
			delete(l.trace.rows, id)
			out.Gone = append(out.Gone, id)
		}
	}
	l.recordAt(now, trace.Event{Kind: trace.KindGroups, Groups: out})
}

// traceRow is a target as routing sees it, and the time of its report.
func (l *lane) traceRow(t *target) (trace.GroupRow, time.Duration) {
	g := t.row(&l.trace.rowLimit)
	row := trace.GroupRow{
		ID: g.ID, Epoch: g.Epoch, DataCentre: g.DataCentre, Region: g.Region,
		Limit: g.Limit, Running: g.Running, Queued: g.Queued,
	}
	if t.group != nil {
		row.Leader, row.Draining, row.Cold = t.group.Leader.Instance, t.group.Draining, t.group.Cold
	} else {
		row.Leader, row.Draining = t.server.Instance, t.server.Draining
	}
	return row, g.ReportedAt
}

func (l *lane) recordAt(now time.Duration, e trace.Event) {
	e.Node = l.b.self.Instance
	l.b.recorder.RecordAt(now, e)
}

// traceChoice records the choice of a target before its credit is counted.
func (l *lane) traceChoice(now time.Duration, t *ticket, i int, refused bool) {
	if !l.traced(now) {
		return
	}
	c := &trace.Choice{
		ID: t.request.trace.id, Service: l.name, Group: ident.GroupID(l.targets[i].backend),
		Uncached: l.table.UncachedTokens(i, &t.route), Refused: refused, Fingerprint: t.route.Fingerprint,
	}
	blocked := 0
	for _, free := range t.route.FreeCredits {
		if free <= 0 {
			blocked++
		}
	}
	c.Blocked = slices.Grow(c.Blocked, blocked)
	for j, free := range t.route.FreeCredits {
		if free <= 0 {
			c.Blocked = append(c.Blocked, ident.GroupID(l.targets[j].backend))
		}
	}
	l.recordAt(now, trace.Event{Kind: trace.KindChoice, Choice: c})
}

// traceAlone records the run of a suspect.
func (l *lane) traceAlone(now time.Duration, p *permit) {
	if l.traced(now) {
		l.recordAt(now, trace.Event{Kind: trace.KindChoice, Choice: &trace.Choice{
			ID: p.ticket.request.trace.id, Service: l.name, Group: ident.GroupID(p.target.backend), Uncached: p.uncached, Alone: true,
		}})
	}
}

// traceRelease records the end of an attempt.
func (l *lane) traceRelease(now time.Duration, p *permit, firstToken, hold time.Duration, failed bool) {
	if l.traced(now) {
		l.recordAt(now, trace.Event{Kind: trace.KindRelease, Release: &trace.Release{
			ID: p.ticket.request.trace.id, Service: l.name, Group: ident.GroupID(p.target.backend), Uncached: p.uncached,
			FirstTokenMicros: firstToken.Microseconds(), HoldMicros: hold.Microseconds(), Failed: failed,
		}})
	}
}

// traceCache records a cache event as it reaches the prefix index.
func (l *lane) traceCache(now time.Duration, leader ident.InstanceID, e engine.CacheEvent) {
	if l.traced(now) {
		l.recordAt(now, trace.Event{Kind: trace.KindCache, Cache: &trace.Cache{Instance: leader, Event: e}})
	}
}

// SetRecorder records routing with a recorder. Call it before Run.
func (b *Balancer) SetRecorder(r *trace.Recorder) { b.recorder = r }
