package operator

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/trace"
)

// traceWriter writes a recorded trace as the answer.
type traceWriter func(w io.Writer) error

var errNoTrace = newProblem(KindNoTrace, http.StatusNotFound, "No trace is recorded",
	"start a recording at this entry instance with `bulrushctl trace start`, or set trace.enabled in its settings")

// getTrace returns the running recording, or the last one that was stopped.
func (o Options) getTrace(context.Context, any) (any, error) {
	if o.Recorder == nil || o.Recorder.Empty() {
		return nil, errNoTrace
	}
	var h trace.Header
	if o.TraceHeader != nil {
		h = o.TraceHeader()
	}
	return traceWriter(func(w io.Writer) error {
		return errors.Wrap(o.Recorder.Write(w, h), "send trace")
	}), nil
}

func (o Options) startTrace(context.Context, any) (any, error) {
	if o.Recorder == nil {
		return nil, errNoTrace
	}
	if !o.Recorder.Start() {
		return nil, newProblem(KindTraceRunning, http.StatusConflict, "A trace is being recorded",
			"a new recording would discard it: get it, and stop it first")
	}
	return o.traceStatus(), nil
}

func (o Options) stopTrace(context.Context, any) (any, error) {
	if o.Recorder == nil || !o.Recorder.Stop() {
		return nil, errNoTrace
	}
	return o.traceStatus(), nil
}

func (o Options) traceStatus() TraceStatus {
	s := o.Recorder.Stats()
	out := TraceStatus{Recording: s.Recording, Events: s.Events, Dropped: s.Dropped, Bytes: s.Bytes, MaxBytes: s.MaxBytes}
	if o.Status != nil {
		out.Instance = o.Status().Instance
	}
	return out
}
