package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
)

// TestRequestsRecorded guards against requests whose arrival, choice, release or
// outcome the trace lacks, and against text and keys of callers in it.
func TestRequestsRecorded(t *testing.T) {
	var b *Balancer
	var r *trace.Recorder
	cfg := standin.DefaultConfig()
	h := newHarness(t, 2, cfg, func(o *Options) {
		r = trace.NewRecorder(1<<20, o.Now)
		o.Recorder = r
		balance(t, &b, 20*time.Millisecond, func(b *Balancer) { b.SetRecorder(r) })(o)
	})
	_, body := completionBody(4, true)
	h.waitFor("an answer before the recording", func() bool {
		_, _, done := readText(h.post(body).Body)
		idle, _ := b.lane(testService).idle()
		return done && idle
	})
	r.Start()
	_, _, done := readText(h.post(body, HeaderIdempotencyKey, "secret-key").Body)
	assert.Assert(t, done)
	// The caller has the whole answer before the entry instance has recorded its
	// end: the next request may only be recorded after that.
	h.waitFor("the end of the answer in the recording", func() bool {
		var text bytes.Buffer
		assert.NilError(t, r.Write(&text, trace.Header{}))
		return strings.Contains(text.String(), string(trace.KindAnswer))
	})
	_, unfinished := completionBody(1<<20, true)
	_, err := io.ReadAll(h.post(unfinished).Body) // refused: too many tokens
	assert.NilError(t, err)
	var text bytes.Buffer
	assert.NilError(t, r.Write(&text, trace.Header{}))
	for _, secret := range []string{"a prompt", "secret-key", testKey} {
		assert.Assert(t, !strings.Contains(text.String(), secret), "the trace holds %q", secret)
	}
	back, err := trace.NewReader(&text)
	assert.NilError(t, err)
	var got []string
	group := ident.GroupID("")
	for e, err := back.Next(); err == nil; e, err = back.Next() {
		switch e.Kind {
		case trace.KindRequest:
			got = append(got, fmt.Sprintf("request %s %s %d", e.Request.ID, e.Request.Account, e.Request.PromptTokens))
		case trace.KindChoice:
			group = e.Choice.Group
			got = append(got, "choice "+e.Choice.ID)
		case trace.KindRelease:
			assert.Equal(t, e.Release.Group, group)
			assert.Assert(t, e.Release.HoldMicros > 0)
			got = append(got, "release "+e.Release.ID)
		case trace.KindAnswer:
			got = append(got, fmt.Sprintf("answer %s %s %d", e.Answer.ID, e.Answer.Outcome, e.Answer.Tokens))
		}
	}
	assert.DeepEqual(t, got, []string{
		"request r1 tester 2", "choice r1", "release r1", "answer r1 answered 5",
		"request r2 tester 2", "answer r2 not-run 0",
	})
}

// BenchmarkTrace measures what recording adds to the routing of a request, to a
// new snapshot of 300 groups and to the arrival of a prompt of 4 KiB.
func BenchmarkTrace(b *testing.B) {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind, doc.Backend.Requests = testService, service.KindModel, 1000
	svc := &view.Service{Document: doc}
	const groups = 300
	for i := range groups {
		svc.Groups = append(svc.Groups, &view.Group{ID: ident.GroupID(fmt.Sprint("quotes-1-", i)), Limit: 1000, Confirmed: time.Hour})
	}
	snap := view.New(view.Snapshot{Ready: true, Services: []*view.Service{svc}, Entries: []view.Entry{{Instance: "e"}}})
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	for _, mode := range []string{"nil", "off", "on"} {
		r := trace.NewRecorder(16<<20, now)
		switch mode {
		case "nil":
			r = nil
		case "on":
			r.Start()
		}
		bal := NewBalancer(view.Entry{Instance: "e"}, func() *view.Snapshot { return snap }, now, telemetry.New())
		bal.SetRecorder(r)
		g := New(Options{Metrics: telemetry.New(), Recorder: r, Now: now})
		l := bal.lane(testService)
		l.mu.Lock()
		l.refresh(now())
		for i := range l.free {
			l.free[i] = 1
		}
		l.mu.Unlock()
		req := &Request{Name: testService, Service: svc, Completion: &engine.CompletionRequest{Prompt: strings.Repeat("word ", 820)}}
		b.Run("route-"+mode, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t := &ticket{request: req}
				l.mu.Lock()
				i := l.policy.Pick(now(), l.table, &t.route)
				l.traceChoice(now(), t, i, false)
				l.traceRelease(now(), &permit{lane: l, ticket: t, target: l.targets[i]}, 1, 1, false)
				l.mu.Unlock()
			}
		})
		b.Run("snapshot-"+mode, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.mu.Lock()
				l.snapshot, l.refreshed = nil, 0
				l.refresh(now() + time.Hour)
				l.mu.Unlock()
			}
		})
		b.Run("arrival-"+mode, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req.trace = requestTrace{}
				g.traceRequest(req)
				g.traceAnswer(req, nil)
			}
		})
		g.Wait(context.Background())
	}
}
