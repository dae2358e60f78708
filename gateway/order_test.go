package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/claim/runner"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/standin/orders"
	storesim "github.com/bulrushfall/bulrushfall/standin/platform"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// orderFleet runs several entry instances in front of one order system.
type orderFleet struct {
	t       *testing.T
	store   *storesim.Server
	orders  *orders.Server
	entries []*orderEntry
	doc     service.Document

	mu       sync.Mutex
	backends []*view.Backend
}

type orderEntry struct {
	url        string
	gateway    *Gateway
	runner     *runner.Runner
	quarantine *Quarantine
	stop       func()
}

func newOrderFleet(t *testing.T, n int) *orderFleet {
	t.Helper()
	f := &orderFleet{t: t, doc: service.DefaultDocument()}
	cfg := storesim.DefaultConfig()
	cfg.WritesPerSecond, cfg.ReadsPerSecond = 10_000, 10_000
	var err error
	f.store, err = storesim.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(f.store.Close)
	f.orders, err = orders.Start(orders.DefaultConfig())
	assert.NilError(t, err)
	t.Cleanup(f.orders.Close)
	sum := sha256.Sum256([]byte(testKey))
	f.doc.Service, f.doc.Kind = "orders", service.KindPlain
	f.doc.Accounts = []service.Account{{Name: "tester", KeySHA256: hex.EncodeToString(sum[:])}}
	f.doc.Methods = []service.Method{
		{Method: http.MethodGet, PathPrefix: "/reserve", Idempotent: false},
		{Method: http.MethodPost, PathPrefix: "/quote", Idempotent: true},
	}
	f.backends = []*view.Backend{{Instance: "orders-1", Address: f.orders.Addr()}}
	peers := make([]net.Listener, n)
	var list []view.Entry
	for i := range n {
		peers[i], err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		list = append(list, view.Entry{
			Instance: ident.InstanceID(fmt.Sprintf("entry-%d", i)), Incarnation: ident.Incarnation(fmt.Sprintf("run-%d", i)),
			PeerAddress: peers[i].Addr().String(), Alive: true,
		})
	}
	for i := range n {
		f.start(list[i], list, peers[i])
	}
	return f
}

func (f *orderFleet) snapshot(entries []view.Entry) *view.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	svc := &view.Service{Document: f.doc, Backends: f.backends}
	return view.New(view.Snapshot{Ready: true, Services: []*view.Service{svc}, Entries: entries})
}

func (f *orderFleet) start(self view.Entry, entries []view.Entry, peers net.Listener) {
	begin := time.Now()
	now := func() time.Duration { return time.Since(begin) }
	snapshot := func() *view.Snapshot { return f.snapshot(entries) }
	metrics := telemetry.New()
	mux := wire.NewMux()
	node := wire.NewNode(wire.Peer{Instance: self.Instance, Incarnation: self.Incarnation}, []byte("secret"), mux)
	client := infra.NewClient(f.store.URL())
	parts, err := NewOrderComponents(OrderOptions{
		Node: node, Snapshot: snapshot, Now: now, Self: self, Scope: metrics.Scope, Table: client, Objects: client,
	})
	assert.NilError(f.t, err)
	parts.Register(mux)
	go func() { _ = node.Serve(peers) }()
	g := New(Options{
		Snapshot: snapshot, Now: now, Metrics: metrics, Data: engine.NewData(), Self: self,
		MaxBodyBytes: 1 << 20, Orders: parts.Orders, Quarantine: parts.Quarantine,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	server := g.Server(g.Handler(), 1<<16)
	go func() { _ = server.Serve(g.Listener(l)) }()
	e := &orderEntry{url: "http://" + l.Addr().String(), gateway: g, runner: parts.Runner, quarantine: parts.Quarantine}
	var once sync.Once
	e.stop = func() {
		once.Do(func() {
			_ = server.Close()
			_ = peers.Close()
			node.Close()
		})
	}
	f.t.Cleanup(e.stop)
	f.entries = append(f.entries, e)
}

// reply is an answer as the caller receives it.
type reply struct {
	status   int
	body     string
	problem  Problem
	replayed bool
	retry    string
}

func (f *orderFleet) call(entry int, method, path, key, body string, deadline time.Duration, first ...string) reply {
	f.t.Helper()
	req, err := http.NewRequest(method, f.entries[entry].url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set(HeaderIdempotencyKey, key)
	}
	for _, v := range first {
		req.Header.Set(HeaderFirstCall, v)
	}
	if deadline > 0 {
		req.Header.Set(HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	r := reply{status: resp.StatusCode, body: string(b), replayed: resp.Header.Get(HeaderReplayed) != "", retry: resp.Header.Get("Retry-After")}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		assert.NilError(f.t, json.Unmarshal(b, &r.problem))
		r.problem.Kind = strings.TrimPrefix(r.problem.Type, problemTypePrefix)
	}
	return r
}

func (f *orderFleet) order(entry int, key, id string) reply {
	f.t.Helper()
	return f.call(entry, http.MethodPost, "/services/orders/orders", key, `{"id":"`+id+`"}`, 2*time.Second)
}

func (f *orderFleet) assertRuns(id string, want int) {
	f.t.Helper()
	assert.Equal(f.t, f.orders.Record().Counts[id], want, "order %s", id)
}

func wantProblem(t *testing.T, r reply, kind Problem, outcome Outcome) {
	t.Helper()
	assert.Equal(t, r.problem.Kind, kind.Kind, r.body)
	assert.Equal(t, r.problem.Outcome, outcome, r.body)
}

// TestOrderOnce guards against an order that runs twice because its caller repeats
// it, and against replaying the answer for a different request.
func TestOrderOnce(t *testing.T) {
	f := newOrderFleet(t, 2)
	wantProblem(t, f.order(0, "", "o1"), ProblemKeyRequired, OutcomeNotRun)
	wantProblem(t, f.order(0, strings.Repeat("k", 256), "o1"), ProblemKeyInvalid, OutcomeNotRun)
	first := f.order(0, "k1", "o1")
	assert.Equal(t, first.status, http.StatusCreated)
	assert.Assert(t, !first.replayed)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			again := f.order(i%2, "k1", "o1")
			assert.Check(t, again.replayed && again.status == first.status && again.body == first.body, again.body)
		})
	}
	wg.Wait()
	wantProblem(t, f.order(1, "k1", "o2"), ProblemKeyConflict, OutcomeNotRun)
	f.assertRuns("o1", 1)
	f.assertRuns("o2", 0)
}

// TestOrderFaults guards against a wrong outcome when the store or the order
// system loses an answer or refuses a request.
func TestOrderFaults(t *testing.T) {
	f := newOrderFleet(t, 2)
	f.store.SetFaults(storesim.Faults{LoseAnswers: 2, LoseTable: claim.TableName})
	assert.Equal(t, f.order(0, "k1", "o1").status, http.StatusCreated)
	assert.Assert(t, f.order(1, "k1", "o1").replayed)
	assert.Assert(t, f.store.Counts().LostAnswers > 0)

	f.orders.SetFaults(orders.Faults{LoseAnswers: 1})
	lost := f.order(0, "k2", "o2")
	wantProblem(t, lost, ProblemOutcomeUnknown, OutcomeUnknown)
	assert.Assert(t, lost.retry != "")
	wantProblem(t, f.order(1, "k2", "o2"), ProblemOutcomeUnknown, OutcomeUnknown)

	f.orders.SetFaults(orders.Faults{RefuseNotRun: 1})
	wantProblem(t, f.order(0, "k3", "o3"), ProblemBackendRefused, OutcomeNotRun)
	assert.Equal(t, f.order(1, "k3", "o3").status, http.StatusCreated)

	f.orders.SetFaults(orders.Faults{DelayMillis: 300})
	slow := f.call(0, http.MethodPost, "/services/orders/orders", "k4", `{"id":"o4"}`, 100*time.Millisecond)
	wantProblem(t, slow, ProblemOutcomeUnknown, OutcomeUnknown)
	assert.Assert(t, f.order(1, "k4", "o4").replayed, "the late answer can be fetched")
	f.orders.SetFaults(orders.Faults{})
	assert.Equal(t, f.order(0, "k5", "o5").status, http.StatusCreated)
	f.store.SetFaults(storesim.Faults{Outage: true})
	retry := func(id string) reply {
		return f.call(1, http.MethodPost, "/services/orders/orders", "k5", `{"id":"`+id+`"}`, 100*time.Millisecond)
	}
	assert.Assert(t, retry("o5").replayed, "a retry without the store must not be refused as not run")
	wantProblem(t, retry("o6"), ProblemKeyConflict, OutcomeNotRun)
	for i, id := range []string{"o1", "o2", "o3", "o4", "o5"} {
		assert.Check(t, f.orders.Record().Counts[id] == 1, "order %d", i)
	}
}

// TestEarlierCallUnknown guards against refusing an order as not run, while the
// store is down, although it ran at an entry instance that has died since.
func TestEarlierCallUnknown(t *testing.T) {
	f := newOrderFleet(t, 2)
	assert.Equal(t, f.order(0, "k1", "o1").status, http.StatusCreated)
	assert.NilError(t, f.entries[0].runner.Wait(t.Context()))
	f.entries[0].stop()
	f.store.SetFaults(storesim.Faults{Outage: true})
	call := func(key, id string, first ...string) reply {
		return f.call(1, http.MethodPost, "/services/orders/orders", key, `{"id":"`+id+`"}`, 100*time.Millisecond, first...)
	}
	for _, r := range []reply{call("k1", "o1"), call("k1", "o1", "false"), call("k2", "o2")} {
		wantProblem(t, r, ProblemOutcomeUnknown, OutcomeUnknown)
		assert.Assert(t, strings.Contains(r.problem.Detail, earlierCallUnknown), r.body)
		assert.Assert(t, r.retry != "")
	}
	wantProblem(t, call("k3", "o3", "true"), ProblemNotRecorded, OutcomeNotRun)
	wantProblem(t, call("k4", "o4", "yes"), ProblemBadRequest, OutcomeNotRun)
	f.store.SetFaults(storesim.Faults{})
	assert.Assert(t, f.order(1, "k1", "o1").replayed)
	assert.Equal(t, f.order(1, "k2", "o2").status, http.StatusCreated)
	f.assertRuns("o1", 1)
	f.assertRuns("o2", 1)
	f.assertRuns("o3", 0)
}

// TestTickets guards against orders that cannot run while the store is down, and
// against a ticket that is used at two entry instances.
func TestTickets(t *testing.T) {
	f := newOrderFleet(t, 2)
	mint := func(entry int) string {
		r := f.call(entry, http.MethodPost, ticketsPath, "", `{"service":"orders"}`, 0)
		var a TicketAnswer
		assert.NilError(t, json.Unmarshal([]byte(r.body), &a))
		return a.Ticket
	}
	f.store.SetFaults(storesim.Faults{Outage: true})
	refused := f.call(0, http.MethodPost, "/services/orders/orders", "k1", `{"id":"o1"}`, 200*time.Millisecond, "true")
	wantProblem(t, refused, ProblemNotRecorded, OutcomeNotRun)
	f.assertRuns("o1", 0)
	ticket := mint(0)
	assert.Equal(t, f.order(1, ticket, "o2").status, http.StatusCreated, "forwarded to the issuer of the ticket")
	assert.Assert(t, f.order(0, ticket, "o2").replayed)
	assert.Assert(t, f.order(1, ticket, "o2").replayed)
	wantProblem(t, f.order(1, ticket, "other"), ProblemKeyConflict, OutcomeNotRun)
	wantProblem(t, f.order(0, ticket[:len(ticket)-2], "o3"), ProblemBadTicket, OutcomeNotRun)
	f.assertRuns("o2", 1)
	f.store.SetFaults(storesim.Faults{})
	unused := mint(0)
	assert.NilError(t, f.entries[0].runner.Wait(t.Context()), "outcomes are recorded when the store is available again")
	f.entries[0].stop()
	assert.Assert(t, f.order(1, ticket, "o2").replayed, "the recorded outcome is available after its issuer has stopped")
	wantProblem(t, f.order(1, unused, "o4"), ProblemOutcomeUnknown, OutcomeUnknown)
	f.assertRuns("o2", 1)
	f.assertRuns("o4", 0)
}

// TestLargeAnswer guards against losing an answer that fits neither in a row nor
// in a frame.
func TestLargeAnswer(t *testing.T) {
	f := newOrderFleet(t, 2)
	big := bytes.Repeat([]byte("x"), 1200<<10)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(big) })}
	f.setBackend(server)
	assert.Equal(t, len(f.order(0, "k1", "o1").body), len(big))
	assert.Equal(t, f.order(1, "k1", "o1").body, string(big), "from the object store or from the owner of the claim")
	assert.NilError(t, f.entries[0].runner.Wait(t.Context()))
	row, err := infra.NewClient(f.store.URL()).Scan(context.Background(), claim.TableName, "", 1)
	assert.NilError(t, err)
	owner, err := claim.DecodeRow(row[0])
	assert.NilError(t, err)
	assert.Assert(t, len(row[0].Value) < 1024)
	report := f.entries[1].gateway.opts.Orders.PeerReport(t.Context(), owner.Owner)
	assert.Equal(t, len(report.Answer.Body), len(big))
}

func (f *orderFleet) setBackend(servers ...*http.Server) {
	var backends []*view.Backend
	for i, s := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(f.t, err)
		go func() { _ = s.Serve(l) }()
		f.t.Cleanup(func() { _ = s.Close() })
		backends = append(backends, &view.Backend{Instance: ident.InstanceID(fmt.Sprintf("server-%d", i)), Address: l.Addr().String()})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends = backends
}

// TestNoResend guards against the retry in the HTTP client: it resends a request
// without a body, or with an idempotency key, when a reused connection closes
// before the answer.
func TestNoResend(t *testing.T) {
	f := newOrderFleet(t, 1)
	var mu sync.Mutex
	received := map[string]int{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		received[r.URL.Path]++
		if r.URL.Path != "/warm" {
			panic(http.ErrAbortHandler)
		}
	})}
	f.setBackend(server)
	for i := range 4 {
		path := fmt.Sprintf("/reserve/%d", i)
		// This call leaves an idle connection to the backend server.
		assert.Equal(t, f.call(0, http.MethodGet, "/services/orders/warm", "", "", 0).status, http.StatusOK)
		r := f.call(0, http.MethodGet, "/services/orders"+path, fmt.Sprint("k", i), "", 0)
		wantProblem(t, r, ProblemOutcomeUnknown, OutcomeUnknown)
		mu.Lock()
		assert.Equal(t, received[path], 1)
		mu.Unlock()
	}
}

// TestSuspects guards against a request that crashes more than two backend servers
// when its caller resends it through all entry instances, and against the refusal
// of other requests.
func TestSuspects(t *testing.T) {
	f := newOrderFleet(t, 3)
	var mu sync.Mutex
	crashed := map[int]bool{}
	var servers []*http.Server
	for i := range 10 {
		servers = append(servers, &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if string(body) == "poison" {
				mu.Lock()
				crashed[i] = true
				mu.Unlock()
				panic(http.ErrAbortHandler)
			}
		})})
	}
	f.setBackend(servers...)
	refused := 0
	for i := range 50 {
		r := f.call(i%3, http.MethodPost, "/services/orders/quote", "", "poison", time.Second)
		if r.problem.Kind == ProblemRequestCrashesBackends.Kind {
			assert.Equal(t, r.problem.Outcome, OutcomeNotRun)
			refused++
		}
		assert.Equal(t, f.call((i+1)%3, http.MethodPost, "/services/orders/quote", "", "innocent", time.Second).status, http.StatusOK)
	}
	assert.Equal(t, len(crashed), 2)
	assert.Equal(t, refused, 50)
	// A new entry instance fetches the conviction from a peer.
	fresh := NewQuarantine(quarantine.DefaultConfig(), f.entries[0].quarantine.opts)
	assert.NilError(t, fresh.FetchFindings(t.Context(), f.peerAddress(1)))
	convicted := 0
	for _, finding := range fresh.tracker.Findings(fresh.opts.Now()) {
		if finding.Status == quarantine.Convicted {
			convicted++
		}
	}
	assert.Equal(t, convicted, 1)
}

func (f *orderFleet) peerAddress(i int) string {
	return f.entries[i].gateway.opts.Snapshot().Entries[i].PeerAddress
}
