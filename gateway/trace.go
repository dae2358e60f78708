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

// Outcomes of requests in a trace, besides those in problem details.
const (
	tracedAnswered = "answered"
	tracedCut      = "cut"
	tracedCrashed  = "crashed"
)

// requestTrace is the trace state of a request. id is empty if the request is not
// recorded.
type requestTrace struct {
	id string
	// lastTarget is the group of the last attempt. For a plain service it is the
	// instance ID of the backend server.
	lastTarget ident.GroupID
	// firstToken is the time from the arrival to the first token.
	firstToken time.Duration
}

// traceKeySeed is random in each process, so that recorded hashes do not reveal
// idempotency keys.
var traceKeySeed = maphash.MakeSeed()

// traceRequest records the arrival of a request. The event contains sizes and
// hashes, but no text and no keys of the caller.
func (g *Gateway) traceRequest(r *Request) {
	if r.trace.id != "" {
		return // a stream that resumes
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
		e.Key = ident.Fingerprint(maphash.String(traceKeySeed, r.IdempotencyKey)).String()
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
	if r.trace.id == "" || !g.opts.Recorder.Recording() || errors.Is(err, errParked) {
		return
	}
	g.opts.Recorder.Record(trace.Event{Kind: trace.KindAnswer, Node: g.opts.Self.Instance, Answer: &trace.Answer{
		ID: r.trace.id, Service: r.Name, Account: r.Account.Name, Group: r.trace.lastTarget, Outcome: tracedOutcome(r, err),
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

// checkpointInterval is the interval at which all rows and the learned routing
// state are recorded again. This allows the replay of a trace that has lost its
// start to reproduce the recorded choices.
const checkpointInterval = 10 * time.Second

// schedulerTrace is the trace state of a service: the rows as recorded last, and
// what is needed to record the next ones. It is protected by the scheduler's mutex.
type schedulerTrace struct {
	// generation is the recorder's generation at the last checkpoint that a new
	// recording caused. Each new recording has another one.
	generation     uint64
	lastCheckpoint time.Duration
	// rows holds the rows recorded last. Their AgeMicros is the time of the last
	// confirming poll, not an age.
	rows map[ident.GroupID]trace.GroupRow
	// rowLimit is the concurrency limit of a backend server of a plain service.
	rowLimit int
}

// tracing reports whether routing is recorded. It writes a checkpoint when a new
// recording has started.
func (s *scheduler) tracing(now time.Duration) bool {
	g := s.balancer.recorder.Generation()
	if g == 0 {
		return false
	}
	if g != s.trace.generation {
		s.trace.generation = g
		s.recordCheckpoint(now)
	}
	return true
}

// recordCheckpoint records all rows, the learned routing state and the state of
// the random source.
func (s *scheduler) recordCheckpoint(now time.Duration) {
	s.trace.lastCheckpoint = now
	s.trace.rows = make(map[ident.GroupID]trace.GroupRow, len(s.targets))
	state, err := s.random.MarshalBinary()
	if err != nil {
		state = nil
	}
	s.recordChangedRows(now, &trace.Groups{
		Complete: true, Rand: state, DataCentre: s.balancer.self.DataCentre, Region: s.balancer.self.Region,
	})
}

// traceGroups records the changes of a new snapshot.
func (s *scheduler) traceGroups(now time.Duration) {
	switch {
	case !s.tracing(now):
	case now-s.trace.lastCheckpoint >= checkpointInterval:
		s.recordCheckpoint(now)
	default:
		s.recordChangedRows(now, &trace.Groups{})
	}
}

// recordChangedRows records the rows that differ from the last recorded ones. In
// s.trace.rows, AgeMicros holds the time of the last confirming poll instead of an
// age, so that rows compare equal until the next poll. In the event it holds the
// age at the time of the event.
func (s *scheduler) recordChangedRows(now time.Duration, out *trace.Groups) {
	out.Service = s.name
	current := make(map[ident.GroupID]bool, len(s.targets))
	for i := range s.targets {
		row, reported := s.traceRow(&s.targets[i])
		current[row.ID] = true
		row.AgeMicros = reported.Microseconds()
		if recorded, ok := s.trace.rows[row.ID]; ok && recorded == row {
			continue
		}
		s.trace.rows[row.ID] = row
		row.AgeMicros = now.Microseconds() - row.AgeMicros
		if out.Complete && i < s.table.Len() {
			learned := s.table.Learned(i)
			row.Learned = &learned
		}
		out.Rows = append(out.Rows, row)
	}
	for id := range s.trace.rows {
		if !current[id] {
			delete(s.trace.rows, id)
			out.Removed = append(out.Removed, id)
		}
	}
	s.record(now, trace.Event{Kind: trace.KindGroups, Groups: out})
}

// traceRow returns the row to record for a target, and the sending time of the last
// poll that confirmed its group, or 0 for a backend server of a plain service.
func (s *scheduler) traceRow(t *target) (trace.GroupRow, time.Duration) {
	g := t.routingGroup(&s.trace.rowLimit)
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

func (s *scheduler) record(now time.Duration, e trace.Event) {
	e.Node = s.balancer.self.Instance
	s.balancer.recorder.RecordAt(now, e)
}

// traceChoice records the choice of a target and the targets that had no free
// credits when it was chosen, so it is called before the acquired credit is
// subtracted from the free ones. refused means that no credit could be acquired.
func (s *scheduler) traceChoice(now time.Duration, pr *pendingRequest, i int, refused bool) {
	if !s.tracing(now) {
		return
	}
	c := &trace.Choice{
		ID: pr.request.trace.id, Service: s.name, Group: ident.GroupID(s.targets[i].backend),
		Uncached: s.table.UncachedTokens(i, &pr.route), Refused: refused, Fingerprint: pr.route.Fingerprint,
	}
	blocked := 0
	for _, free := range pr.route.FreeCredits {
		if free <= 0 {
			blocked++
		}
	}
	c.Blocked = slices.Grow(c.Blocked, blocked)
	for j, free := range pr.route.FreeCredits {
		if free <= 0 {
			c.Blocked = append(c.Blocked, ident.GroupID(s.targets[j].backend))
		}
	}
	s.record(now, trace.Event{Kind: trace.KindChoice, Choice: c})
}

// traceExclusive records that a request suspected of crashing backend servers
// starts on a target that runs no other suspect.
func (s *scheduler) traceExclusive(now time.Duration, p *permit) {
	if s.tracing(now) {
		s.record(now, trace.Event{Kind: trace.KindChoice, Choice: &trace.Choice{
			ID: p.pending.request.trace.id, Service: s.name, Group: ident.GroupID(p.target.backend), Uncached: p.uncachedTokens, Isolated: true,
		}})
	}
}

// traceRelease records the end of an attempt.
func (s *scheduler) traceRelease(now time.Duration, p *permit, firstToken, hold time.Duration, failed bool) {
	if s.tracing(now) {
		s.record(now, trace.Event{Kind: trace.KindRelease, Release: &trace.Release{
			ID: p.pending.request.trace.id, Service: s.name, Group: ident.GroupID(p.target.backend), Uncached: p.uncachedTokens,
			FirstTokenMicros: firstToken.Microseconds(), HoldMicros: hold.Microseconds(), Failed: failed,
		}})
	}
}

// traceCache records a cache event before it is applied to the prefix index.
func (s *scheduler) traceCache(now time.Duration, leader ident.InstanceID, e engine.CacheEvent) {
	if s.tracing(now) {
		s.record(now, trace.Event{Kind: trace.KindCache, Cache: &trace.Cache{Instance: leader, Event: e}})
	}
}

// SetRecorder sets the recorder of routing events. It must be called before Run.
func (b *Balancer) SetRecorder(r *trace.Recorder) { b.recorder = r }
