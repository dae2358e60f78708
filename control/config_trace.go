package control

import (
	"io"
	"time"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/trace"
)

// configTrace records edits, drains and the state of the store as this entry
// instance sees them.
type configTrace struct {
	recorder *trace.Recorder
	node     ident.InstanceID
	// edits wait for their outcome.
	edits map[ident.AttemptID]config.Edit
	store trace.StoreState
	// failed counts events that could not be recorded.
	failed uint64
}

func newConfigTrace(r *trace.Recorder, node ident.InstanceID) *configTrace {
	return &configTrace{recorder: r, node: node, edits: make(map[ident.AttemptID]config.Edit)}
}

// TraceWriter returns a function that writes the recorded trace, or nil when
// none is recorded.
func (l *Loop) TraceWriter() func(w io.Writer) error {
	r := l.opts.Recorder
	if r == nil {
		return nil
	}
	header := trace.Header{Name: string(l.opts.Self.Instance), TickMicros: tickInterval.Microseconds()}
	return func(w io.Writer) error { return r.Write(w, header) }
}

// step sees each event of the configuration machine with its actions.
func (t *configTrace) step(_ time.Duration, e config.Event, actions []config.Action) {
	switch e := e.(type) {
	case config.HeadRead:
		t.storeState(e.Err)
	case config.EditRequested:
		t.edits[e.Edit.Attempt] = e.Edit
	}
	for _, a := range actions {
		if x, ok := a.(config.AnswerEdit); ok {
			t.answered(x)
		}
	}
}

// storeState records that the store became available or unavailable.
func (t *configTrace) storeState(err error) {
	state := trace.StoreUp
	if err != nil {
		state = trace.StoreDown
	}
	if state != t.store {
		t.store = state
		t.record(trace.Event{Kind: trace.KindStore, Store: &trace.Store{State: state}})
	}
}

// answered records an edit with its outcome. Revision 0 means that it was not
// accepted.
func (t *configTrace) answered(a config.AnswerEdit) {
	e, ok := t.edits[a.Attempt]
	if !ok {
		return
	}
	delete(t.edits, a.Attempt)
	if e.Key.Kind == config.KindService {
		t.record(trace.Event{Kind: trace.KindEdit, Edit: &trace.Edit{
			Service: ident.ServiceName(e.Key.Name), Team: e.Team,
			Expected: e.Expected, Revision: a.Revision, Document: string(e.Body),
		}})
		return
	}
	d, err := config.Record{Key: e.Key, Body: e.Body}.Drain()
	if err != nil || a.Err != nil {
		return
	}
	t.record(trace.Event{Kind: trace.KindDrain, Drain: &trace.Drain{
		Kind: string(d.Kind), Name: d.Name, Revision: a.Revision, Restored: !d.Out,
	}})
}

func (t *configTrace) record(e trace.Event) {
	e.Node = t.node
	if err := t.recorder.Record(e); err != nil {
		t.failed++
	}
}
