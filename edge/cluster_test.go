package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// memStore is an in-memory store. Each entry instance accesses it through a storeView of
// its own, whose calls can be made to hang.
type memStore struct {
	mu      sync.Mutex
	rows    map[infra.RowKey]infra.Row
	history []infra.Change
	version uint64
	// era rises with each restore.
	era uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newMemStore() *memStore {
	return &memStore{rows: make(map[infra.RowKey]infra.Row), changed: make(chan struct{}), era: 1}
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

// copyState returns a copy of the store's state, from which restore can restore it.
func (s *memStore) copyState() *memStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &memStore{rows: maps.Clone(s.rows), history: slices.Clone(s.history), version: s.version}
}

// restore replaces the state by that of a copy.
func (s *memStore) restore(c *memStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version = maps.Clone(c.rows), slices.Clone(c.history), c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// tagged returns a version of a restorable store for a counter. The mutex must be held.
func (s *memStore) tagged(counter uint64) uint64 {
	if counter == 0 {
		return 0
	}
	v, err := infra.NewVersion(s.era, counter)
	if err != nil {
		panic(err)
	}
	return v
}

// Era implements infra.EraReporter.
func (s *memStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// txn applies a transaction, or returns an infra.ConflictError with the rows whose
// versions differ from its conditions.
func (s *memStore) txn(t infra.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &infra.ConflictError{}
	for _, c := range t.Conditions {
		if row := s.rows[c.RowKey]; s.tagged(row.Version) != c.Version {
			row.Version = s.tagged(row.Version)
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
	return s.tagged(s.version), nil
}

// storeView is one entry instance's access to a memStore.
type storeView struct {
	*memStore
	// hangs is closed once calls are to hang.
	hangs      chan struct{}
	once       sync.Once
	mu         sync.Mutex
	watchCalls int
	// snapshots and gets count the calls of Snapshot and Get.
	snapshots, gets int
}

func (v *storeView) snapshotCalls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshots
}

func (v *storeView) getCalls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gets
}

// hang makes all further calls hang until they time out.
func (v *storeView) hang() { v.once.Do(func() { close(v.hangs) }) }

// checkReachable returns nil at once, or an error after a timeout if calls hang.
func (v *storeView) checkReachable(ctx context.Context) error {
	select {
	case <-v.hangs:
		wait, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-wait.Done()
		return infra.ErrOutcomeUnknown
	default:
		return nil
	}
}

func (v *storeView) Txn(ctx context.Context, t infra.Txn) (uint64, error) {
	if err := v.checkReachable(ctx); err != nil {
		return 0, err
	}
	return v.txn(t)
}

func (v *storeView) Get(ctx context.Context, key infra.RowKey) (infra.Row, error) {
	v.mu.Lock()
	v.gets++
	v.mu.Unlock()
	if err := v.checkReachable(ctx); err != nil {
		return infra.Row{}, err
	}
	v.memStore.mu.Lock()
	defer v.memStore.mu.Unlock()
	row, ok := v.rows[key]
	if !ok {
		return infra.Row{}, infra.ErrRowNotFound
	}
	row.Version = v.tagged(row.Version)
	return row, nil
}

func (v *storeView) Scan(ctx context.Context, table, after string, _ int) ([]infra.Row, error) {
	c, err := v.readTable(ctx, table)
	var out []infra.Row
	for _, r := range c.Rows {
		if r.Key > after {
			out = append(out, r.Row)
		}
	}
	return out, err
}

func (v *storeView) Snapshot(ctx context.Context, table string) (infra.Changes, error) {
	v.mu.Lock()
	v.snapshots++
	v.mu.Unlock()
	return v.readTable(ctx, table)
}

// readTable returns all rows of a table.
func (v *storeView) readTable(ctx context.Context, table string) (infra.Changes, error) {
	if err := v.checkReachable(ctx); err != nil {
		return infra.Changes{}, err
	}
	v.memStore.mu.Lock()
	defer v.memStore.mu.Unlock()
	out := infra.Changes{Version: v.tagged(max(1, v.version))}
	for key, row := range v.rows {
		if key.Table == table {
			row.Version = v.tagged(row.Version)
			out.Rows = append(out.Rows, infra.Change{Row: row})
		}
	}
	slices.SortFunc(out.Rows, func(a, b infra.Change) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (v *storeView) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (infra.Changes, error) {
	v.mu.Lock()
	v.watchCalls++
	v.mu.Unlock()
	timeout := time.After(wait)
	for {
		if err := v.checkReachable(ctx); err != nil {
			return infra.Changes{}, err
		}
		v.memStore.mu.Lock()
		out, changed := infra.Changes{Version: v.tagged(max(1, v.version))}, v.changed
		if infra.VersionCounter(after) > max(1, v.version) {
			v.memStore.mu.Unlock()
			return infra.Changes{}, infra.ErrHistoryLost
		}
		for _, h := range v.history {
			if h.Table == table && h.Version > infra.VersionCounter(after) {
				h.Version = v.tagged(h.Version)
				out.Rows = append(out.Rows, h)
			}
		}
		v.memStore.mu.Unlock()
		if len(out.Rows) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-v.hangs:
		case <-timeout:
			return out, nil
		case <-ctx.Done():
			return infra.Changes{}, infra.ErrUnavailable
		}
	}
}

// fakeServers are backend servers that carry out orders by changing their store entries.
type fakeServers struct {
	store       *memStore
	mu          sync.Mutex
	byID        map[ident.InstanceID]fleet.Server
	unreachable map[ident.InstanceID]bool
	// silent are the servers that answer nothing at present.
	silent map[ident.InstanceID]bool
}

func (f *fakeServers) write(s fleet.Server) {
	f.byID[s.ID] = s
	f.store.put("servers", string(s.ID), s)
}

// Order implements formation.Commander.
func (f *fakeServers) Order(_ context.Context, o formation.Order) formation.OrderOutcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.byID[o.Server]
	if f.silent[o.Server] {
		return formation.OrderOutcome{Err: os.ErrDeadlineExceeded}
	}
	if !ok || f.unreachable[o.Server] {
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
	f.write(s)
	return formation.OrderOutcome{Accepted: true}
}

// Alive implements formation.Commander.
func (f *fakeServers) Alive(_ context.Context, _ string, id ident.InstanceID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[id] {
		return os.ErrDeadlineExceeded
	}
	if f.unreachable[id] {
		return io.EOF
	}
	return nil
}

// testCluster consists of entry instances, the store that they share and backend servers.
type testCluster struct {
	t       *testing.T
	store   *memStore
	servers *fakeServers
	nodes   []*testNode
}

// testNode is an entry instance with its access to the store. stopped is closed when Run
// has returned.
type testNode struct {
	*Node
	view *storeView
	// beforeDecode, if set, is called before a configuration is decoded.
	beforeDecode atomic.Pointer[func()]
	stop         context.CancelFunc
	stopped      chan struct{}
}

// testSettings returns settings with an address of the loopback network 127.77.network.0.
func testSettings(network, i int) Settings {
	ip := netip.MustParseAddr(fmt.Sprintf("127.%d.%d.%d", 77, network, i+1))
	at := func(port int) string { return net.JoinHostPort(ip.String(), fmt.Sprint(port)) }
	return Settings{
		Instance: ident.InstanceID(fmt.Sprint("entry-", i)), DataCentre: "a", IP: ip, CPULimit: 1,
		CallerAddress: at(8001), ReadyAddress: at(8002), LookupAddress: at(8003), PeerPort: 8004, MetricsPort: 8005,
		FirstStart: true, StoreAddress: "memory", GracePeriod: 4 * time.Second, LookupTTL: 5 * time.Second,
		ColdFactor: 1.5, ColdSlack: 5, LoadWindow: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		DrainTime: 2 * time.Second, ConfigTime: changeDeadline,
	}
}

// newTestCluster starts a cluster with the given number of entry instances. Each test
// uses a loopback network of its own.
func newTestCluster(t *testing.T, network, entries int) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, store: newMemStore()}
	tc.servers = &fakeServers{store: tc.store, byID: make(map[ident.InstanceID]fleet.Server), unreachable: make(map[ident.InstanceID]bool), silent: make(map[ident.InstanceID]bool)}
	for i := range entries {
		tc.nodes = append(tc.nodes, tc.startNode(network, i))
	}
	t.Cleanup(func() {
		for _, n := range tc.nodes {
			n.stop()
		}
		for _, n := range tc.nodes {
			<-n.stopped
		}
	})
	return tc
}

// startNode starts the entry instance with index i.
func (tc *testCluster) startNode(network, i int) *testNode {
	view := &storeView{memStore: tc.store, hangs: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := testSettings(network, i)
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{view: view, stop: stop, stopped: make(chan struct{})}
	n.Node = New(settings, Platform{
		Table: view, Watcher: view, Servers: tc.servers,
		Headers:       forward.Headers{RequestID: "X-Request", Deadline: "X-Deadline", Server: "X-Server", Account: "X-Account", NotRun: "X-Not-Run", Attestation: "X-Proof", Model: "X-Model", RequestLimit: "X-Limit", ServerLeaving: "X-Leaving"},
		Prompt:        testPrompt,
		OperatorTable: "op", ServerTable: "servers", ConfigKey: "config", EvacuatePrefix: "out/",
		DecodeConfig: func(b []byte) (route.Config, []error, error) {
			if f := n.beforeDecode.Load(); f != nil {
				(*f)()
			}
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
		ReloadSettings: func() (Settings, error) { return settings, nil },
	}, log, telemetry.New())
	go func() {
		defer close(n.stopped)
		assert.Check(tc.t, n.Run(ctx, make(chan struct{})))
	}()
	return n
}

// config returns a configuration with a plain service, a service of one model and a client
// account with the given keys.
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

// startPlainServer starts a backend server that answers each request, and adds its entry
// to the store.
func (tc *testCluster) startPlainServer(id string, d ident.DataCentre) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tc.t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("X-Request", req.Header.Get("X-Request"))
		w.Header().Set("X-Proof", "p")
		w.Header().Set("X-By", id)
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = srv.Serve(l) }()
	tc.t.Cleanup(func() { _ = srv.Close() })
	tc.store.put("servers", id, fleet.Server{ID: ident.InstanceID(id), Incarnation: "1", Service: "plain", Address: l.Addr().String(), DataCentre: d, Slots: 6})
}

// get sends a request to an entry instance. It returns the status, or 0 if the request
// failed, and the backend server that answered.
func (tc *testCluster) get(n *testNode, path, key string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.settings.CallerAddress+path, nil)
	assert.NilError(tc.t, err)
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

// lookup returns the addresses that an entry instance's lookup endpoint lists.
func (tc *testCluster) lookup(n *testNode) []string {
	resp, err := http.Get("http://" + n.settings.LookupAddress + "/")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(tc.t, err)
	return strings.Fields(string(b))
}

// eventually waits until a condition holds, and fails the test if that takes longer than
// limit.
func (tc *testCluster) eventually(limit time.Duration, what string, holds func() bool) {
	tc.t.Helper()
	for end := time.Now().Add(limit); ; {
		if holds() {
			return
		}
		if time.Now().After(end) {
			tc.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// allAnswer reports whether all entry instances answer a request with the given status.
func (tc *testCluster) allAnswer(path, key string, status int) bool {
	for _, n := range tc.nodes {
		if got, _ := tc.get(n, path, key); got != status {
			return false
		}
	}
	return true
}
