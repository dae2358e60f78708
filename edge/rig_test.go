package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// memStore is a store in memory. Each entry instance has a view of its own, which
// can be cut off.
type memStore struct {
	mu      sync.Mutex
	rows    map[infra.RowKey]infra.Row
	history []infra.Change
	version uint64
	changed chan struct{}
}

func newMemStore() *memStore {
	return &memStore{rows: make(map[infra.RowKey]infra.Row), changed: make(chan struct{})}
}

func (s *memStore) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, _ = s.txn(infra.Txn{Writes: []infra.Write{{RowKey: infra.RowKey{Table: table, Key: key}, Value: b}}})
}

func (s *memStore) remove(table, key string) {
	_, _ = s.txn(infra.Txn{Writes: []infra.Write{{RowKey: infra.RowKey{Table: table, Key: key}, Delete: true}}})
}

func (s *memStore) txn(t infra.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &infra.ConflictError{}
	for _, c := range t.Conditions {
		if row := s.rows[c.RowKey]; row.Version != c.Version {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	s.version++
	for _, w := range t.Writes {
		row := infra.Row{RowKey: w.RowKey, Version: s.version, Value: w.Value}
		if w.Delete {
			delete(s.rows, w.RowKey)
		} else {
			s.rows[w.RowKey] = row
		}
		s.history = append(s.history, infra.Change{Row: row, Deleted: w.Delete})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// storeView is one entry instance's access to the store.
type storeView struct {
	*memStore
	cut     chan struct{}
	once    sync.Once
	mu      sync.Mutex
	watches int
}

// silence lets all calls from now on hang until their time is over.
func (v *storeView) silence() { v.once.Do(func() { close(v.cut) }) }

func (v *storeView) reach(ctx context.Context) error {
	select {
	case <-v.cut:
		wait, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-wait.Done()
		return infra.ErrOutcomeUnknown
	default:
		return nil
	}
}

func (v *storeView) Txn(ctx context.Context, t infra.Txn) (uint64, error) {
	if err := v.reach(ctx); err != nil {
		return 0, err
	}
	return v.txn(t)
}

func (v *storeView) Get(ctx context.Context, key infra.RowKey) (infra.Row, error) {
	if err := v.reach(ctx); err != nil {
		return infra.Row{}, err
	}
	v.memStore.mu.Lock()
	defer v.memStore.mu.Unlock()
	row, ok := v.rows[key]
	if !ok {
		return infra.Row{}, infra.ErrRowNotFound
	}
	return row, nil
}

func (v *storeView) Scan(ctx context.Context, table, after string, _ int) ([]infra.Row, error) {
	c, err := v.Snapshot(ctx, table)
	var out []infra.Row
	for _, r := range c.Rows {
		if r.Key > after {
			out = append(out, r.Row)
		}
	}
	return out, err
}

func (v *storeView) Snapshot(ctx context.Context, table string) (infra.Changes, error) {
	if err := v.reach(ctx); err != nil {
		return infra.Changes{}, err
	}
	v.memStore.mu.Lock()
	defer v.memStore.mu.Unlock()
	out := infra.Changes{Version: max(1, v.version)}
	for key, row := range v.rows {
		if key.Table == table {
			out.Rows = append(out.Rows, infra.Change{Row: row})
		}
	}
	slices.SortFunc(out.Rows, func(a, b infra.Change) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (v *storeView) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (infra.Changes, error) {
	v.mu.Lock()
	v.watches++
	v.mu.Unlock()
	timeout := time.After(wait)
	for {
		if err := v.reach(ctx); err != nil {
			return infra.Changes{}, err
		}
		v.memStore.mu.Lock()
		out, changed := infra.Changes{Version: max(1, v.version)}, v.changed
		for _, h := range v.history {
			if h.Table == table && h.Version > after {
				out.Rows = append(out.Rows, h)
			}
		}
		v.memStore.mu.Unlock()
		if len(out.Rows) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-v.cut:
		case <-timeout:
			return out, nil
		case <-ctx.Done():
			return infra.Changes{}, infra.ErrUnavailable
		}
	}
}

// engines carries out orders by changing the servers' entries.
type engines struct {
	store *memStore
	mu    sync.Mutex
	all   map[ident.InstanceID]fleet.Server
	dark  map[ident.InstanceID]bool
}

func (e *engines) write(s fleet.Server) {
	e.all[s.ID] = s
	e.store.put("servers", string(s.ID), s)
}

// Order implements formation.Commander.
func (e *engines) Order(_ context.Context, o formation.Order) formation.OrderOutcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.all[o.Server]
	if !ok || e.dark[o.Server] {
		return formation.OrderOutcome{Err: io.EOF}
	}
	switch o.Kind {
	case formation.Join:
		s.Model, s.Staged = o.Model, []string{o.Model}
		s.Membership = fleet.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.ID), State: fleet.Ready}
	case formation.Open:
		s.State = fleet.Open
	case formation.Close:
		s.State = fleet.Ready
	case formation.Leave:
		s.Membership = fleet.Membership{}
	case formation.Stage:
		s.Staged = []string{o.Model}
	}
	e.write(s)
	return formation.OrderOutcome{Accepted: true}
}

// Alive implements formation.Commander.
func (e *engines) Alive(_ context.Context, _ string, id ident.InstanceID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dark[id] {
		return io.EOF
	}
	return nil
}

// rig is some entry instances before one store and some backend servers.
type rig struct {
	t       *testing.T
	store   *memStore
	engines *engines
	nodes   []*testNode
}

type testNode struct {
	*Node
	view *storeView
	stop context.CancelFunc
	done chan struct{}
}

func testSettings(network, i int) Settings {
	ip := netip.MustParseAddr(fmt.Sprintf("127.%d.%d.%d", 77, network, i+1))
	at := func(port int) string { return net.JoinHostPort(ip.String(), fmt.Sprint(port)) }
	return Settings{
		Instance: ident.InstanceID(fmt.Sprint("entry-", i)), DataCentre: "a", IP: ip, CPULimit: 1,
		CallerAddress: at(8001), ReadyAddress: at(8002), LookupAddress: at(8003), PeerPort: 8004, MetricsPort: 8005,
		FirstStart: true, StoreAddress: "memory", GracePeriod: 4 * time.Second, LookupTTL: 5 * time.Second,
		ColdFactor: 1.5, ColdSlack: 5, LoadWindow: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
	}
}

// newRig starts entry instances. Each test has a loopback network of its own.
func newRig(t *testing.T, network, entries int) *rig {
	t.Helper()
	r := &rig{t: t, store: newMemStore()}
	r.engines = &engines{store: r.store, all: make(map[ident.InstanceID]fleet.Server), dark: make(map[ident.InstanceID]bool)}
	for i := range entries {
		r.nodes = append(r.nodes, r.start(network, i))
	}
	t.Cleanup(func() {
		for _, n := range r.nodes {
			n.stop()
		}
		for _, n := range r.nodes {
			<-n.done
		}
	})
	return r
}

func (r *rig) start(network, i int) *testNode {
	view := &storeView{memStore: r.store, cut: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	set := testSettings(network, i)
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{view: view, stop: stop, done: make(chan struct{})}
	n.Node = New(set, Platform{
		Table: view, Watcher: view, Servers: r.engines,
		Headers:       forward.Headers{RequestID: "X-Request", Deadline: "X-Deadline", Server: "X-Server", Account: "X-Account", NotRun: "X-Not-Run", Attestation: "X-Proof", Model: "X-Model"},
		OperatorTable: "op", ServerTable: "servers", ConfigKey: "config", EvacuatePrefix: "out/",
		DecodeConfig: func(b []byte) (route.Config, []error, error) {
			var c route.Config
			err := json.Unmarshal(b, &c)
			return c, nil, err
		},
		DecodeServer: func(row infra.Row, _ time.Duration) (fleet.Server, error) {
			var s fleet.Server
			err := json.Unmarshal(row.Value, &s)
			s.Version = row.Version
			return s, err
		},
		LookupHandler: func(lookup func() ([]string, time.Duration)) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				addresses, _ := lookup()
				_, _ = io.WriteString(w, strings.Join(addresses, " "))
			})
		},
		ReadyHandler: func(ready func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !ready() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
		ReloadSettings: func() (Settings, error) { return set, nil },
	}, log, telemetry.New())
	go func() {
		defer close(n.done)
		assert.Check(r.t, n.Run(ctx, make(chan struct{})))
	}()
	return n
}

func config(version uint64, keys ...string) route.Config {
	return route.Config{
		Version: version,
		Routes: []route.Route{
			{Name: "look", Host: "a.example", Prefix: "/l/", Kind: route.Idempotent, AttemptLimit: 2, Timeout: time.Second, LatencyGoal: 200 * time.Millisecond, Targets: []route.Target{{Service: "plain", Weight: 1}}},
			{Name: "s", Host: "a.example", Prefix: "/s/", Kind: route.Streaming, Resumable: true, UsesGroups: true, AttemptLimit: 2, Timeout: time.Second, LatencyGoal: 200 * time.Millisecond, Targets: []route.Target{{Service: "llm", Weight: 1}}},
		},
		Services: []route.Service{{Name: "plain"}, {
			Name: "llm", Slots: 8, LoadRate: 100, LoadsAtOnce: 100,
			Models: []route.Model{{Name: "m", Size: 2, Share: 1, TimeFactor: 1, LoadTime: time.Second, WarmLoadTime: time.Second}},
		}},
		Accounts: []route.Account{{Name: "mill", Keys: keys}},
	}
}

// plainServer is a backend server that answers each request.
func (r *rig) plainServer(id string, d ident.DataCentre) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Request", q.Header.Get("X-Request"))
		w.Header().Set("X-Proof", "p")
		w.Header().Set("X-By", id)
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = srv.Serve(l) }()
	r.t.Cleanup(func() { _ = srv.Close() })
	r.store.put("servers", id, fleet.Server{ID: ident.InstanceID(id), Incarnation: "1", Service: "plain", Address: l.Addr().String(), DataCentre: d, Slots: 6})
}

// get sends a request to an entry instance and returns status and server.
func (r *rig) get(n *testNode, path, key string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.set.CallerAddress+path, nil)
	assert.NilError(r.t, err)
	req.Host = "a.example"
	req.Header.Set("X-Request", "id")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("X-By")
}

func (r *rig) lookup(n *testNode) []string {
	resp, err := http.Get("http://" + n.set.LookupAddress + "/")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(r.t, err)
	return strings.Fields(string(b))
}

// eventually waits until a condition holds, for at most a time.
func (r *rig) eventually(limit time.Duration, what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(limit); ; {
		if holds() {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// everywhere reports whether all entry instances answer with a status.
func (r *rig) everywhere(path, key string, status int) bool {
	for _, n := range r.nodes {
		if got, _ := r.get(n, path, key); got != status {
			return false
		}
	}
	return true
}
