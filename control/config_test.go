package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// startLoop runs a control loop with a peer node on loopback.
func startLoop(t *testing.T, name, dc string, store *standin.Server, seeds ...string) *Loop {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := wire.NewMux()
	peer := wire.Peer{Instance: ident.InstanceID(name), Incarnation: "1"}
	node := wire.NewNode(peer, []byte("shared secret of 16"), mux)
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := infra.NewClient(store.URL())
	start := time.Now()
	recorder := trace.NewRecorder(1<<20, func() time.Duration { return time.Since(start) })
	recorder.Start()
	l := New(Options{
		Self: view.Entry{
			Instance: peer.Instance, DataCentre: ident.DataCentre(dc),
			PeerAddress: listener.Addr().String(), Alive: true,
		},
		Table: client, Objects: client, Instances: client, Engines: engine.NewControl(),
		Node: node, Mux: mux, Seeds: seeds, Log: log, Scope: tally.NoopScope,
		Now:      func() time.Duration { return time.Since(start) },
		Recorder: recorder,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = node.Serve(listener); done <- struct{}{} }()
	go func() { l.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		node.Close()
		<-done
		<-done
	})
	return l
}

// eventually fails the test unless a condition becomes true within a time.
func eventually(t *testing.T, what string, within time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition did not become true within %v: %s", within, what)
}

// TestDrainReachesSnapshots guards against a drain or document that one entry
// instance accepted and another one does not apply within 3 s, and against a new
// process that becomes ready during a store outage without the drain.
func TestDrainReachesSnapshots(t *testing.T) {
	store, err := standin.Start(standin.DefaultConfig())
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := startLoop(t, "entry-a", "dc-a", store)
	b := startLoop(t, "entry-b", "dc-b", store)
	list := []infra.Instance{
		{ID: "orders-a", Kind: infra.KindPlain, State: infra.StateLive, Service: "orders", DataCentre: "dc-a"},
		{ID: "orders-b", Kind: infra.KindPlain, State: infra.StateLive, Service: "orders", DataCentre: "dc-b", Partner: "firm"},
	}
	for _, l := range []*Loop{a, b} {
		self := l.opts.Self
		list = append(list, infra.Instance{
			ID: self.Instance, Kind: infra.KindEntry, State: infra.StateLive,
			DataCentre: self.DataCentre, PeerAddress: self.PeerAddress,
		})
	}
	store.PutInstances(list...)
	for _, l := range []*Loop{a, b} {
		eventually(t, "the entry instance is ready and both are in its snapshot", 10*time.Second, func() bool {
			return l.Snapshot().Ready && len(l.Snapshot().Entries) == 2
		})
	}
	applyEdit(t, a, config.Edit{Verb: config.VerbApply, Key: config.ServiceKey("orders"), Body: ordersDocument(t)})
	applyEdit(t, a, drainEdit(t, config.DrainDataCentre, "dc-a"))
	applyEdit(t, a, drainEdit(t, config.DrainPartner, "firm"))
	eventually(t, "entry-b drains dc-a and the partner's backend server", 3*time.Second, func() bool { return allOutOfService(b.Snapshot()) })
	assert.Assert(t, allOutOfService(a.Snapshot()))
	assert.DeepEqual(t, a.DrainTargets(config.DrainDataCentre), []string{"dc-a", "dc-b"})
	assert.Equal(t, b.Status().Services[0].Draining, 2)
	assertEditsTraced(t, a)

	// All table calls are refused with status 429. The instance list is still
	// served, so that readiness depends only on the revision that the peers report.
	store.SetFaults(standin.Faults{ThrottleAll: true})
	c := startLoop(t, "entry-c", "dc-b", store, a.opts.Self.PeerAddress, b.opts.Self.PeerAddress)
	eventually(t, "entry-c is ready", 10*time.Second, func() bool { return c.Snapshot().Ready })
	assert.Equal(t, c.Snapshot().Revision, ident.Revision(3))
	assert.Assert(t, allOutOfService(c.Snapshot()))
}

// TestStoreRestoredUnderEntries guards against a drain or a document that an entry instance
// accepted and that is lost when the store comes back from a copy without them, and against
// later edits that are refused, or not in force on another entry instance within 3 s.
func TestStoreRestoredUnderEntries(t *testing.T) {
	store, err := standin.Start(standin.DefaultConfig())
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := startLoop(t, "entry-a", "dc-a", store)
	b := startLoop(t, "entry-b", "dc-b", store, a.opts.Self.PeerAddress)
	var list []infra.Instance
	for _, l := range []*Loop{a, b} {
		self := l.opts.Self
		list = append(list, infra.Instance{
			ID: self.Instance, Kind: infra.KindEntry, State: infra.StateLive,
			DataCentre: self.DataCentre, PeerAddress: self.PeerAddress,
		})
	}
	store.PutInstances(list...)
	for _, l := range []*Loop{a, b} {
		eventually(t, "the entry instance is ready and both are in its snapshot", 10*time.Second, func() bool {
			return l.Snapshot().Ready && len(l.Snapshot().Entries) == 2
		})
	}
	start := time.Now()
	applyEdit(t, a, config.Edit{Verb: config.VerbApply, Key: config.ServiceKey("orders"), Body: ordersDocument(t)})
	applyEdit(t, b, drainEdit(t, config.DrainDataCentre, "dc-a"))
	drained := func(l *Loop, kind config.DrainKind, name string) func() bool {
		return func() bool { return l.Configuration().View().Drains.IsOut(kind, name) }
	}
	eventually(t, "entry-a drains dc-a", 3*time.Second, drained(a, config.DrainDataCentre, "dc-a"))

	store.SetFaults(standin.Faults{Outage: true})
	store.Restore(time.Since(start))
	store.SetFaults(standin.Faults{})
	requested := time.Now()
	applyEdit(t, a, drainEdit(t, config.DrainPartner, "firm"))
	assert.Assert(t, time.Since(requested) < 3*time.Second)
	eventually(t, "entry-b drains the partner", 3*time.Second, drained(b, config.DrainPartner, "firm"))
	for _, l := range []*Loop{a, b} {
		assert.Assert(t, drained(l, config.DrainDataCentre, "dc-a")())
		_, ok := l.Configuration().View().Service("orders")
		assert.Assert(t, ok, "%s lost the document", l.opts.Self.Instance)
	}
	// A process without peers serves what the store has again.
	alone := startLoop(t, "entry-c", "dc-b", store)
	eventually(t, "entry-c drains dc-a", 10*time.Second, drained(alone, config.DrainDataCentre, "dc-a"))
	_, ok := alone.Configuration().View().Service("orders")
	assert.Assert(t, ok)
}

// assertEditsTraced checks that the trace has exactly the edit and the two drains.
func assertEditsTraced(t *testing.T, l *Loop) {
	t.Helper()
	var buf bytes.Buffer
	assert.NilError(t, l.opts.Recorder.Write(&buf, l.TraceHeader()))
	r, err := trace.NewReader(&buf)
	assert.NilError(t, err)
	var got []trace.Kind
	for e, err := r.Next(); err == nil; e, err = r.Next() {
		// The number of other events depends on how busy the test machine is.
		if e.Kind == trace.KindEdit || e.Kind == trace.KindDrain {
			got = append(got, e.Kind)
		}
	}
	assert.DeepEqual(t, got, []trace.Kind{trace.KindEdit, trace.KindDrain, trace.KindDrain})
}

// allOutOfService reports whether the backend servers of dc-a and of the partner
// get no new work, and of the entry instances only those of dc-a are draining.
func allOutOfService(s *view.Snapshot) bool {
	svc := s.Service("orders")
	if svc == nil || len(svc.Backends) != 2 {
		return false
	}
	for _, backend := range svc.Backends {
		if !backend.Draining {
			return false
		}
	}
	for _, e := range s.Entries {
		if e.Draining != (e.DataCentre == "dc-a") {
			return false
		}
	}
	return true
}

func ordersDocument(t *testing.T) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "examples", "orders.yaml"))
	assert.NilError(t, err)
	doc, err := service.Parse(b)
	assert.NilError(t, err)
	body, err := json.Marshal(doc)
	assert.NilError(t, err)
	return body
}

// applyEdit submits an edit of a new record and fails the test if it is refused.
func applyEdit(t *testing.T, l *Loop, e config.Edit) {
	t.Helper()
	e.Team, e.Owner = "orders", "orders"
	e.Attempt = ident.AttemptID(e.Key.String())
	_, err := l.Configuration().Edit(context.Background(), e)
	assert.NilError(t, err)
}

func drainEdit(t *testing.T, kind config.DrainKind, name string) config.Edit {
	t.Helper()
	d := config.Drain{Kind: kind, Name: name, Out: true}
	body, err := json.Marshal(d)
	assert.NilError(t, err)
	return config.Edit{Verb: config.VerbDrain, Key: d.Key(), Body: body}
}
