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

// Reasons for the loss of a member, as an entry instance can distinguish them.
const (
	// reasonKilled: the address refuses connections, or another incarnation
	// answers there.
	reasonKilled = "killed"
	// reasonUnreachable: the member does not answer. It may be dead, paused or
	// partitioned.
	reasonUnreachable = "unreachable"
	// reasonLeft: the platform no longer lists the instance.
	reasonLeft = "left"
)

// loopTrace records the events of the control goroutine in a trace. It keeps the last
// recorded state and records only changes. Only the control goroutine uses it.
type loopTrace struct {
	recorder *trace.Recorder
	node     ident.InstanceID
	// generation identifies the recording that contains the state below.
	generation    uint64
	instances     map[ident.InstanceID]infra.Instance
	lastReports   map[ident.InstanceID]engine.Status
	members       map[ident.InstanceID]*memberTrace
	documents     map[ident.ServiceName]service.Document
	drains        map[config.Key]ident.Revision
	recordedStore trace.StoreState
	// lastStoreErr is the error of the last read from the store. It is kept up to
	// date also while nothing is recorded.
	lastStoreErr error
	// pendingEdits are edits without an outcome yet.
	pendingEdits map[ident.AttemptID]config.Edit

	eventsRecorded, eventsDropped, recordedBytes tally.Gauge
}

// memberTrace is the recorded state of an engine member, as polls show it.
type memberTrace struct {
	incarnation    ident.Incarnation
	lastAnsweredAt time.Duration
	lost           bool
}

func newLoopTrace(r *trace.Recorder, node ident.InstanceID, s tally.Scope) loopTrace {
	return loopTrace{
		recorder: r, node: node,
		eventsRecorded: s.Gauge("trace_events_recorded"), eventsDropped: s.Gauge("trace_events_dropped"), recordedBytes: s.Gauge("trace_bytes"),
	}
}

// TraceHeader returns the header for traces of this entry instance.
func (l *Loop) TraceHeader() trace.Header {
	return trace.Header{
		Name:        string(l.opts.Self.Instance),
		Description: "Recorded by entry instance " + string(l.opts.Self.Instance) + ".",
		TickMicros:  replayTick.Microseconds(),
	}
}

// replayTick is the time between the ticks of a replay. The models of the state
// machines are designed for this value.
const replayTick = 50 * time.Millisecond

// active reports whether a recording is running. At the start of a new one it records
// the complete state.
func (t *loopTrace) active(l *Loop) bool {
	g := t.recorder.Generation()
	if g == 0 {
		return false
	}
	if g != t.generation {
		t.reset(g)
		t.recordState(l)
	}
	return true
}

// reset discards the recorded state, for a new recording.
func (t *loopTrace) reset(generation uint64) {
	t.generation = generation
	t.instances = make(map[ident.InstanceID]infra.Instance)
	t.lastReports = make(map[ident.InstanceID]engine.Status)
	t.members = make(map[ident.InstanceID]*memberTrace)
	t.documents = make(map[ident.ServiceName]service.Document)
	t.drains = make(map[config.Key]ident.Revision)
	t.pendingEdits = make(map[ident.AttemptID]config.Edit)
	t.recordedStore = ""
}

// recordState records the complete state at the start of a recording.
func (t *loopTrace) recordState(l *Loop) {
	t.recordStoreState()
	t.recordInstances(l.instances)
	for _, inst := range l.instances {
		if m, ok := l.statuses[inst.ID]; ok {
			t.recordAnswer(inst.ID, m.sentAt, m.status)
		}
	}
	t.recordConfiguration(l)
}

func (t *loopTrace) record(e trace.Event) {
	e.Node = t.node
	t.recorder.Record(e)
}

// traceInstances records the changes of the platform's list.
func (l *Loop) traceInstances() {
	if l.trace.active(l) {
		l.trace.recordInstances(l.instances)
	}
}

// recordInstances records new, changed and removed instances.
func (t *loopTrace) recordInstances(instances []infra.Instance) {
	present := make(map[ident.InstanceID]bool, len(instances))
	for _, inst := range instances {
		present[inst.ID] = true
		if recorded, ok := t.instances[inst.ID]; !ok || recorded != inst {
			t.instances[inst.ID] = inst
			t.record(trace.Event{Kind: trace.KindInstance, Instance: &inst})
		}
	}
	for id := range t.instances {
		if present[id] {
			continue
		}
		t.recordLost(id, "", reasonLeft)
		delete(t.instances, id)
		delete(t.lastReports, id)
		delete(t.members, id)
	}
}

func (t *loopTrace) recordLost(id ident.InstanceID, incarnation ident.Incarnation, reason string) {
	t.record(trace.Event{Kind: trace.KindMemberLost, Member: &trace.Member{Instance: id, Incarnation: incarnation, Reason: reason}})
}

func (t *loopTrace) recordReturned(id ident.InstanceID, incarnation ident.Incarnation) {
	t.record(trace.Event{Kind: trace.KindMemberReturned, Member: &trace.Member{Instance: id, Incarnation: incarnation}})
}

// tracePoll records the result of a poll of an engine member.
func (l *Loop) tracePoll(now time.Duration, e memberPolled) {
	_, listed := l.instancesByID[e.instance]
	switch {
	case !listed || !l.trace.active(l):
	case e.err == nil:
		l.trace.recordAnswer(e.instance, e.sentAt, e.status)
	default:
		l.trace.recordFailure(now, e.instance, e.err)
	}
}

// recordAnswer records an answered poll: the load report and, if the member was lost
// or restarted, its loss and return.
func (t *loopTrace) recordAnswer(id ident.InstanceID, sent time.Duration, s engine.Status) {
	m, known := t.members[id]
	if !known {
		m = &memberTrace{incarnation: s.Incarnation}
		t.members[id] = m
	}
	if m.incarnation != s.Incarnation && !m.lost {
		t.recordLost(id, m.incarnation, reasonKilled)
		m.lost = true
	}
	if m.lost {
		t.recordReturned(id, s.Incarnation)
	}
	m.incarnation, m.lastAnsweredAt, m.lost = s.Incarnation, sent, false
	t.recordReport(s)
}

// recordReport records a load report that differs from the last one of its instance.
func (t *loopTrace) recordReport(s engine.Status) {
	if last, ok := t.lastReports[s.Instance]; ok && reflect.DeepEqual(last, s) {
		return
	}
	t.lastReports[s.Instance] = s
	t.record(trace.Event{Kind: trace.KindLoadReport, LoadReport: &s})
}

// recordFailure records the loss of a member after a failed poll. A refused
// connection shows that the process has ended. After other failures the member
// counts as lost once its last answer is older than ConfirmTTL.
func (t *loopTrace) recordFailure(now time.Duration, id ident.InstanceID, err error) {
	m, known := t.members[id]
	if !known || m.lost {
		return
	}
	reason := reasonUnreachable
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		reason = reasonKilled
	case now-m.lastAnsweredAt < view.ConfirmTTL:
		return
	}
	m.lost = true
	t.recordLost(id, m.incarnation, reason)
}

// traceOwnerGroups records the load of the groups that a credit owner sent.
func (l *Loop) traceOwnerGroups(e ownerGroupsReceived) {
	if !l.trace.active(l) {
		return
	}
	for _, g := range e.groups {
		s := g.Status
		s.Instance, s.Incarnation, s.State = g.Leader.Instance, g.Leader.Incarnation, engine.StateReady
		s.Group, s.Epoch, s.Service, s.Role = g.ID, g.Epoch, e.service, g.Role
		s.Size, s.Cold = len(g.Members), g.Cold
		l.trace.recordReport(s)
	}
}

// traceMembership records that another entry instance is lost or has returned.
func (l *Loop) traceMembership(c membership.StateChanged) {
	if !l.trace.active(l) {
		return
	}
	switch c.State {
	case membership.StateDead:
		l.trace.recordLost(c.Instance, "", reasonUnreachable)
	case membership.StateAlive:
		l.trace.recordReturned(c.Instance, "")
	}
}

// traceConfig records edits and the state of the store. The shell calls it for each
// event of the configuration machine, with the resulting actions.
func (l *Loop) traceConfig(_ time.Duration, e config.Event, actions []config.Action) {
	t := &l.trace
	if read, ok := e.(config.HeadRead); ok {
		t.lastStoreErr = read.Err
	}
	if !t.active(l) {
		return
	}
	switch e := e.(type) {
	case config.HeadRead:
		t.recordStoreState()
	case config.EditRequested:
		t.pendingEdits[e.Edit.Attempt] = e.Edit
	}
	for _, a := range actions {
		if x, ok := a.(config.AnswerEdit); ok {
			t.recordEdit(x)
		}
	}
}

// recordStoreState records that the store became available or unavailable.
func (t *loopTrace) recordStoreState() {
	state := trace.StoreUp
	if t.lastStoreErr != nil {
		state = trace.StoreDown
	}
	if state != t.recordedStore {
		t.recordedStore = state
		t.record(trace.Event{Kind: trace.KindStore, Store: &trace.Store{State: state}})
	}
}

// recordEdit records an edit at this entry instance with its outcome.
func (t *loopTrace) recordEdit(a config.AnswerEdit) {
	e, ok := t.pendingEdits[a.Attempt]
	if !ok {
		return
	}
	delete(t.pendingEdits, a.Attempt)
	if e.Key.Kind != config.KindService {
		d, err := config.Record{Key: e.Key, Body: e.Body}.Drain()
		if err == nil && a.Err == nil {
			t.recordDrain(config.DrainView{Revision: a.Revision, Drain: d})
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

// recordDrain records a drain unless this or a later revision of it is recorded.
func (t *loopTrace) recordDrain(d config.DrainView) {
	key := d.Drain.Key()
	if t.drains[key] >= d.Revision {
		return
	}
	t.drains[key] = d.Revision
	t.record(trace.Event{Kind: trace.KindDrain, Drain: &trace.Drain{
		Kind: string(d.Drain.Kind), Name: d.Drain.Name, Revision: d.Revision, Restored: !d.Drain.Out,
	}})
}

// tickTrace records the complete state when a recording has started, and then changes
// of the configuration that came from other entry instances.
func (l *Loop) tickTrace() {
	t := &l.trace
	if !t.active(l) {
		return
	}
	t.recordConfiguration(l)
	s := t.recorder.Stats()
	t.eventsRecorded.Update(float64(s.Events))
	t.eventsDropped.Update(float64(s.Dropped))
	t.recordedBytes.Update(float64(s.Bytes))
}

// recordConfiguration records documents and drains that came into force without an
// edit at this entry instance.
func (t *loopTrace) recordConfiguration(l *Loop) {
	if !l.ready() {
		return
	}
	pending := make(map[config.Key]bool, len(t.pendingEdits))
	for _, e := range t.pendingEdits {
		pending[e.Key] = true
	}
	v := l.config.shell.View()
	for _, d := range v.Drains {
		if !pending[d.Drain.Key()] {
			t.recordDrain(d)
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

// documentText returns a document as YAML without the hashes of the accounts' keys.
// Hashes of the accounts' names replace them, so that the document stays valid.
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
