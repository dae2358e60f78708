package control

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/membership"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
)

// Reasons of a loss that an entry instance can tell apart.
const (
	// reasonKilled: the address refuses connections, or another incarnation
	// answers there.
	reasonKilled = "killed"
	// reasonUnreachable: no answer. The member may be dead, paused or cut off.
	reasonUnreachable = "unreachable"
	// reasonLeft: the platform lists the instance no more.
	reasonLeft = "left"
)

// loopTrace records what the control goroutine sees. It keeps what it recorded
// last, and records changes only. It belongs to the control goroutine.
type loopTrace struct {
	recorder *trace.Recorder
	node     ident.InstanceID
	// generation is the recording that the state below was recorded in.
	generation uint64
	instances  map[ident.InstanceID]infra.Instance
	reports    map[ident.InstanceID]engine.Status
	members    map[ident.InstanceID]*memberTrace
	documents  map[ident.ServiceName]service.Document
	drains     map[config.Key]ident.Revision
	store      trace.StoreState
	// storeErr is the last answer of the store, also while nothing is recorded.
	storeErr error
	// edits wait for their outcome.
	edits map[ident.AttemptID]config.Edit

	recorded, dropped, bytes tally.Gauge
}

// memberTrace is what polls say about an engine member.
type memberTrace struct {
	incarnation ident.Incarnation
	answered    time.Duration
	lost        bool
}

func newLoopTrace(r *trace.Recorder, node ident.InstanceID, s tally.Scope) loopTrace {
	return loopTrace{
		recorder: r, node: node,
		recorded: s.Gauge("trace_events_recorded"), dropped: s.Gauge("trace_events_dropped"), bytes: s.Gauge("trace_bytes"),
	}
}

// TraceHeader is the header of traces of this entry instance.
func (l *Loop) TraceHeader() trace.Header {
	return trace.Header{
		Name:        string(l.opts.Self.Instance),
		Description: "Recorded by entry instance " + string(l.opts.Self.Instance) + ".",
		TickMicros:  traceTick.Microseconds(),
	}
}

// traceTick is the time between the ticks of a replay. The models of the decision
// machines are made for it.
const traceTick = 50 * time.Millisecond

// on reports whether a recording runs. A new one starts with the whole state.
func (t *loopTrace) on(l *Loop) bool {
	g := t.recorder.Generation()
	if g == 0 {
		return false
	}
	if g != t.generation {
		t.reset(g)
		t.start(l)
	}
	return true
}

// reset forgets what was recorded.
func (t *loopTrace) reset(generation uint64) {
	t.generation = generation
	t.instances = make(map[ident.InstanceID]infra.Instance)
	t.reports = make(map[ident.InstanceID]engine.Status)
	t.members = make(map[ident.InstanceID]*memberTrace)
	t.documents = make(map[ident.ServiceName]service.Document)
	t.drains = make(map[config.Key]ident.Revision)
	t.edits = make(map[ident.AttemptID]config.Edit)
	t.store = ""
}

// start records the state at the start of a recording.
func (t *loopTrace) start(l *Loop) {
	t.storeState()
	t.listed(l.instances)
	for _, inst := range l.instances {
		if m, ok := l.statuses[inst.ID]; ok {
			t.answered(inst.ID, m.sent, m.status)
		}
	}
	t.configuration(l)
}

func (t *loopTrace) record(e trace.Event) {
	e.Node = t.node
	t.recorder.Record(e)
}

// traceInstances records the changes of the platform's list.
func (l *Loop) traceInstances() {
	if l.trace.on(l) {
		l.trace.listed(l.instances)
	}
}

func (t *loopTrace) listed(instances []infra.Instance) {
	here := make(map[ident.InstanceID]bool, len(instances))
	for _, inst := range instances {
		here[inst.ID] = true
		if have, ok := t.instances[inst.ID]; !ok || have != inst {
			t.instances[inst.ID] = inst
			t.record(trace.Event{Kind: trace.KindInstance, Instance: &inst})
		}
	}
	for id := range t.instances {
		if here[id] {
			continue
		}
		t.lost(id, "", reasonLeft)
		delete(t.instances, id)
		delete(t.reports, id)
		delete(t.members, id)
	}
}

func (t *loopTrace) lost(id ident.InstanceID, incarnation ident.Incarnation, reason string) {
	t.record(trace.Event{Kind: trace.KindMemberLost, Member: &trace.Member{Instance: id, Incarnation: incarnation, Reason: reason}})
}

func (t *loopTrace) returned(id ident.InstanceID, incarnation ident.Incarnation) {
	t.record(trace.Event{Kind: trace.KindMemberReturned, Member: &trace.Member{Instance: id, Incarnation: incarnation}})
}

// tracePoll records what a poll of an engine member tells.
func (l *Loop) tracePoll(now time.Duration, e memberPolled) {
	_, listed := l.byID[e.instance]
	switch {
	case !listed || !l.trace.on(l):
	case e.err == nil:
		l.trace.answered(e.instance, e.sent, e.status)
	default:
		l.trace.failed(now, e.instance, e.err)
	}
}

func (t *loopTrace) answered(id ident.InstanceID, sent time.Duration, s engine.Status) {
	m, known := t.members[id]
	if !known {
		m = &memberTrace{incarnation: s.Incarnation}
		t.members[id] = m
	}
	if m.incarnation != s.Incarnation && !m.lost {
		t.lost(id, m.incarnation, reasonKilled)
		m.lost = true
	}
	if m.lost {
		t.returned(id, s.Incarnation)
	}
	m.incarnation, m.answered, m.lost = s.Incarnation, sent, false
	t.report(s)
}

// report records a load report that differs from the last one.
func (t *loopTrace) report(s engine.Status) {
	if have, ok := t.reports[s.Instance]; ok && reflect.DeepEqual(have, s) {
		return
	}
	t.reports[s.Instance] = s
	t.record(trace.Event{Kind: trace.KindLoadReport, LoadReport: &s})
}

// failed notes a failed poll. A refused connection tells that the process is
// gone; other failures count once the member confirms nothing any more.
func (t *loopTrace) failed(now time.Duration, id ident.InstanceID, err error) {
	m, known := t.members[id]
	if !known || m.lost {
		return
	}
	reason := reasonUnreachable
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		reason = reasonKilled
	case now-m.answered < view.ConfirmTTL:
		return
	}
	m.lost = true
	t.lost(id, m.incarnation, reason)
}

// traceLearned records the load that the credit owner sent.
func (l *Loop) traceLearned(e groupsLearned) {
	if !l.trace.on(l) {
		return
	}
	for _, g := range e.groups {
		s := g.Status
		s.Instance, s.Incarnation, s.State = g.Leader.Instance, g.Leader.Incarnation, engine.StateReady
		s.Group, s.Epoch, s.Service, s.Role = g.ID, g.Epoch, e.service, g.Role
		s.Size, s.Cold = len(g.Members), g.Cold
		l.trace.report(s)
	}
}

// traceMembership records the opinion on another entry instance.
func (l *Loop) traceMembership(c membership.StateChanged) {
	if !l.trace.on(l) {
		return
	}
	switch c.State {
	case membership.StateDead:
		l.trace.lost(c.Instance, "", reasonUnreachable)
	case membership.StateAlive:
		l.trace.returned(c.Instance, "")
	}
}

// traceConfig sees each event of the configuration machine with its actions.
func (l *Loop) traceConfig(_ time.Duration, e config.Event, actions []config.Action) {
	t := &l.trace
	if read, ok := e.(config.HeadRead); ok {
		t.storeErr = read.Err
	}
	if !t.on(l) {
		return
	}
	switch e := e.(type) {
	case config.HeadRead:
		t.storeState()
	case config.EditRequested:
		t.edits[e.Edit.Attempt] = e.Edit
	}
	for _, a := range actions {
		if x, ok := a.(config.AnswerEdit); ok {
			t.edited(x)
		}
	}
}

// storeState records that the store became available or unavailable.
func (t *loopTrace) storeState() {
	state := trace.StoreUp
	if t.storeErr != nil {
		state = trace.StoreDown
	}
	if state != t.store {
		t.store = state
		t.record(trace.Event{Kind: trace.KindStore, Store: &trace.Store{State: state}})
	}
}

// edited records an edit at this entry instance with its outcome.
func (t *loopTrace) edited(a config.AnswerEdit) {
	e, ok := t.edits[a.Attempt]
	if !ok {
		return
	}
	delete(t.edits, a.Attempt)
	if e.Key.Kind != config.KindService {
		d, err := config.Record{Key: e.Key, Body: e.Body}.Drain()
		if err == nil && a.Err == nil {
			t.drained(config.DrainView{Revision: a.Revision, Drain: d})
		}
		return
	}
	name := ident.ServiceName(e.Key.Name)
	var doc service.Document
	out := trace.Edit{Service: name, Team: e.Team, Expected: e.Expected, Revision: a.Revision, Refused: a.Err != nil}
	if len(e.Body) > 0 && json.Unmarshal(e.Body, &doc) == nil {
		out.Document = documentText(doc)
	}
	t.record(trace.Event{Kind: trace.KindEdit, Edit: &out})
	switch {
	case a.Err != nil:
	case out.Document == "":
		delete(t.documents, name)
	default:
		t.documents[name] = doc
	}
}

func (t *loopTrace) drained(d config.DrainView) {
	key := d.Drain.Key()
	if t.drains[key] >= d.Revision {
		return
	}
	t.drains[key] = d.Revision
	t.record(trace.Event{Kind: trace.KindDrain, Drain: &trace.Drain{
		Kind: string(d.Drain.Kind), Name: d.Drain.Name, Revision: d.Revision, Restored: !d.Drain.Out,
	}})
}

// tickTrace starts a new recording and records what came from other entry
// instances.
func (l *Loop) tickTrace() {
	t := &l.trace
	if !t.on(l) {
		return
	}
	t.configuration(l)
	s := t.recorder.Stats()
	t.recorded.Update(float64(s.Events))
	t.dropped.Update(float64(s.Dropped))
	t.bytes.Update(float64(s.Bytes))
}

// configuration records documents and drains that came into force here without
// an edit at this entry instance.
func (t *loopTrace) configuration(l *Loop) {
	if !l.ready() {
		return
	}
	pending := make(map[config.Key]bool, len(t.edits))
	for _, e := range t.edits {
		pending[e.Key] = true
	}
	v := l.config.shell.View()
	for _, d := range v.Drains {
		if !pending[d.Drain.Key()] {
			t.drained(d)
		}
	}
	inForce := make(map[ident.ServiceName]bool)
	for _, doc := range l.serviceDocuments() {
		inForce[doc.Service] = true
		if pending[config.ServiceKey(doc.Service)] || reflect.DeepEqual(t.documents[doc.Service], doc) {
			continue
		}
		t.documents[doc.Service] = doc
		s, _ := v.Service(doc.Service)
		t.record(trace.Event{Kind: trace.KindEdit, Edit: &trace.Edit{
			Service: doc.Service, Team: doc.Owner, Revision: s.Revision, Document: documentText(doc),
		}})
	}
	for name, doc := range t.documents {
		if !inForce[name] && !pending[config.ServiceKey(name)] {
			delete(t.documents, name)
			t.record(trace.Event{Kind: trace.KindEdit, Edit: &trace.Edit{Service: name, Team: doc.Owner}})
		}
	}
}

// documentText returns a document as YAML without the hashes of the accounts'
// keys: in their place are hashes of the accounts' names, which keep it valid.
func documentText(doc service.Document) string {
	accounts := make([]service.Account, len(doc.Accounts))
	for i, a := range doc.Accounts {
		sum := sha256.Sum256([]byte("key of " + string(a.Name)))
		a.KeySHA256 = hex.EncodeToString(sum[:])
		accounts[i] = a
	}
	doc.Accounts = accounts
	b, err := doc.YAML()
	if err != nil {
		return ""
	}
	return string(b)
}
