package experiment

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Sizes of the crash experiment.
const (
	crashEntries = 7
	crashServers = 60
	crashLimit   = 16
	crashCopies  = 50
	crashKey     = "bench"
	// crashBody is the body of a request that crashes a server, harmlessBody that of
	// one that many callers send.
	crashBody    = "crash"
	harmlessBody = "popular question"
	// harmlessFirstToken is the time to the first token at an idle server. It grows
	// with the number of running requests. harmlessDecodeTime is the time from the
	// first token to the end.
	harmlessFirstToken = 100 * time.Millisecond
	harmlessDecodeTime = time.Second
	// harmlessDuration is the time for which callers repeat a harmless request.
	harmlessDuration = 8 * time.Second
	// crashSyncInterval is the time between two exchanges with the credit owner.
	crashSyncInterval = 20 * time.Millisecond
)

// crashOrder is the order in which the copies of the crashing request are sent.
type crashOrder string

const (
	oneByOne      crashOrder = "one after another"
	resendsAtOnce crashOrder = "resends at once"
	allAtOnce     crashOrder = "first copies at once"
)

// crashCase is one case of the experiment.
type crashCase struct {
	quarantined bool
	order       crashOrder
	crashDelay  time.Duration
	// otherCallers is the number of callers that send other requests all the time.
	otherCallers int
}

var crashCases = []crashCase{
	{false, oneByOne, 0, 0},
	{false, resendsAtOnce, 0, 0},
	{false, allAtOnce, 0, 0},
	{true, oneByOne, 0, 0},
	{true, resendsAtOnce, 0, 0},
	{true, allAtOnce, 0, 0},
	{true, allAtOnce, 50 * time.Millisecond, 0},
	{true, allAtOnce, time.Second, 0},
	{true, allAtOnce, 0, 200},
	{true, allAtOnce, 50 * time.Millisecond, 200},
	{true, allAtOnce, time.Second, 200},
	{true, allAtOnce, 50 * time.Millisecond, 600},
}

// crashFleet runs entry instances and servers in one process. The servers crash on
// crashBody.
type crashFleet struct {
	service   *view.Service
	entries   []view.Entry
	closers   []func()
	startedAt time.Time
	// crashDelay is how long the crashing request runs before the crash.
	crashDelay time.Duration
	http       http.Client

	mu       sync.Mutex
	crashed  map[int]bool
	statuses map[int]int
	// running counts the harmless requests by server, and firstTokens holds the times
	// of their first tokens.
	running     map[int]int
	firstTokens []time.Duration

	creditMu sync.Mutex
	owner    *credit.Owner
}

func newCrashFleet(crashDelay time.Duration) *crashFleet {
	return &crashFleet{
		startedAt: time.Now(), crashDelay: crashDelay, owner: credit.NewOwner(1, -time.Hour),
		crashed: make(map[int]bool), statuses: make(map[int]int), running: make(map[int]int),
		http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: crashCopies}},
	}
}

func (f *crashFleet) now() time.Duration { return time.Since(f.startedAt) }

// sendOthers sends requests that differ from each other until the returned function is
// called. That function returns how many were sent and how many were not answered with
// status 200.
func (f *crashFleet) sendOthers(urls []string, callers int) (stop func() (sent, failed int64)) {
	var sent, failed atomic.Int64
	var stopped atomic.Bool
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				sent.Add(1)
				if status, err := f.post(urls[i%len(urls)], fmt.Sprintf("question %d of caller %d", n, i)); err != nil || status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	if callers > 0 {
		time.Sleep(2 * harmlessDecodeTime)
	}
	return func() (int64, int64) {
		stopped.Store(true)
		wg.Wait()
		return sent.Load(), failed.Load()
	}
}

// measureCrashes sends copies of one crashing request through seven entry instances and
// counts the servers that they take down.
func measureCrashes(w io.Writer) error {
	t := newTable(w, "quarantine\tcopies\trun before the crash\tother callers\tservers lost\tanswers by status\tothers sent\tothers failed")
	for _, c := range crashCases {
		f := newCrashFleet(c.crashDelay)
		sent, failed, err := f.run(c)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(t, "%t\t%s\t%v\t%d\t%d\t%v\t%d\t%d\n",
			c.quarantined, c.order, c.crashDelay, c.otherCallers, len(f.crashed), f.statuses, sent, failed)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return measureHarmlessCopies(w)
}

// measureHarmlessCopies sends bursts of one harmless request and measures the time to
// the first token of its copies. It then runs measureHarmlessLoad.
func measureHarmlessCopies(w io.Writer) error {
	t := newTable(w, "copies of a harmless request at once\tfirst token p50 ms\tp95 ms\tlast ms\tanswers by status\tall answered after s")
	for _, copies := range []int{10, 50, 200, 500} {
		f := newCrashFleet(0)
		urls, stop, err := f.start(true)
		if err != nil {
			return err
		}
		sent := f.now()
		var wg sync.WaitGroup
		for i := range copies {
			wg.Go(func() { _ = f.send(urls[i%len(urls)], harmlessBody) })
		}
		wg.Wait()
		took := f.now() - sent
		stop()
		for i := range f.firstTokens {
			f.firstTokens[i] -= sent
		}
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%v\t%.2f\n", copies, formatMillis(percentile(f.firstTokens, 50)),
			formatMillis(percentile(f.firstTokens, 95)), formatMillis(percentile(f.firstTokens, 100)), f.statuses, took.Seconds())
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return measureHarmlessLoad(w)
}

// measureHarmlessLoad measures the answers per second while callers repeat one harmless
// request, without the first second.
func measureHarmlessLoad(w io.Writer) error {
	t := newTable(w, "callers of one harmless request\tanswers/s\twhole answer p50 ms\tp95 ms\tfailed")
	for _, callers := range []int{100, 400, 800} {
		f := newCrashFleet(0)
		urls, stop, err := f.start(true)
		if err != nil {
			return err
		}
		var mu sync.Mutex
		var times []time.Duration
		failed := 0
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for f.now() < harmlessDuration {
					sent := f.now()
					status, err := f.post(urls[i%len(urls)], harmlessBody)
					mu.Lock()
					if err != nil || status != http.StatusOK {
						failed++
					} else if sent >= harmlessDecodeTime {
						times = append(times, f.now()-sent)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		took := f.now() - harmlessDecodeTime
		stop()
		_, _ = fmt.Fprintf(t, "%d\t%.0f\t%s\t%s\t%d\n", callers, float64(len(times))/took.Seconds(),
			formatMillis(percentile(times, 50)), formatMillis(percentile(times, 95)), failed)
	}
	return errors.Wrap(t.Flush(), "write table")
}

// start starts servers and entry instances and waits until the entry instances have
// credits.
func (f *crashFleet) start(quarantined bool) (urls []string, stop func(), err error) {
	stop = func() {
		for _, c := range f.closers {
			c()
		}
	}
	if err := f.startServers(); err != nil {
		stop()
		return nil, nil, err
	}
	if urls, err = f.startEntries(quarantined); err != nil {
		stop()
		return nil, nil, err
	}
	time.Sleep(10 * crashSyncInterval)
	return urls, stop, nil
}

func (f *crashFleet) run(c crashCase) (sent, failed int64, err error) {
	urls, stop, err := f.start(c.quarantined)
	if err != nil {
		return 0, 0, err
	}
	defer stop()
	stopOthers := f.sendOthers(urls, c.otherCallers)
	err = f.sendCopies(urls, c.order)
	sent, failed = stopOthers()
	return sent, failed, err
}

func (f *crashFleet) sendCopies(urls []string, order crashOrder) error {
	rest := crashCopies
	if order != allAtOnce {
		rest--
		if err := f.send(urls[0], crashBody); err != nil {
			return err
		}
	}
	failures := make(chan error, crashCopies)
	var wg sync.WaitGroup
	for i := range rest {
		if order == oneByOne {
			failures <- f.send(urls[i%len(urls)], crashBody)
			continue
		}
		wg.Go(func() { failures <- f.send(urls[i%len(urls)], crashBody) })
	}
	wg.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// send sends a request and counts the status of its answer.
func (f *crashFleet) send(url, body string) error {
	status, err := f.post(url, body)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[status]++
	return nil
}

func (f *crashFleet) post(url, body string) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, url+"/services/quotes/quote", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+crashKey)
	resp, err := f.http.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// serve handles one request at a server: crashBody closes the server, and any other
// request takes the time of a harmless one.
func (f *crashFleet) serve(i int, s *http.Server, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) == crashBody {
		time.Sleep(f.crashDelay)
		f.mu.Lock()
		f.crashed[i] = true
		f.mu.Unlock()
		_ = s.Close()
		panic(http.ErrAbortHandler)
	}
	f.mu.Lock()
	f.running[i]++
	first := harmlessFirstToken + harmlessFirstToken*time.Duration(f.running[i]-1)/crashLimit
	f.mu.Unlock()
	time.Sleep(first)
	f.mu.Lock()
	f.firstTokens = append(f.firstTokens, f.now())
	f.mu.Unlock()
	time.Sleep(harmlessDecodeTime)
	f.mu.Lock()
	f.running[i]--
	f.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (f *crashFleet) startServers() error {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = "quotes", service.KindPlain
	doc.Backend.Requests = crashLimit
	doc.Methods = []service.Method{{Method: http.MethodPost, PathPrefix: "/quote", Idempotent: true}}
	sum := sha256.Sum256([]byte(crashKey))
	doc.Accounts = []service.Account{{Name: "bench", KeySHA256: hex.EncodeToString(sum[:])}}
	f.service = &view.Service{Document: doc}
	for i := range crashServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		s := &http.Server{ReadHeaderTimeout: time.Second}
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(i, s, w, r) })
		go func() { _ = s.Serve(l) }()
		f.closers = append(f.closers, func() { _ = s.Close() })
		f.service.Backends = append(f.service.Backends, &view.Backend{
			Instance: ident.InstanceID(fmt.Sprintf("server-%d", i)), Address: l.Addr().String(),
		})
	}
	return nil
}

// serveCredits exchanges credits between a balancer and the owner, at each interval and
// when the balancer asks for it, until the context ends.
func (f *crashFleet) serveCredits(ctx context.Context, b *gateway.Balancer) {
	tick := time.NewTicker(crashSyncInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.SyncRequests():
		}
		f.syncCredits(b)
	}
}

func (f *crashFleet) syncCredits(b *gateway.Balancer) {
	name := f.service.Document.Service
	f.creditMu.Lock()
	now := f.now()
	for _, s := range f.service.Backends {
		f.owner.Step(now, credit.Report{
			Backend: gateway.ServerBackend(s.Instance), Limits: credit.Limits{Requests: crashLimit, HeldTokens: 1}, Sent: now,
		})
	}
	actions := f.owner.Step(now, b.NextSync(now, name))
	f.creditMu.Unlock()
	for _, a := range actions {
		if r, ok := a.(credit.Reply); ok {
			b.ApplyReply(f.now(), name, r)
		}
	}
}

func (f *crashFleet) startEntries(quarantined bool) ([]string, error) {
	var peers []net.Listener
	for i := range crashEntries {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		peers = append(peers, l)
		f.entries = append(f.entries, view.Entry{
			Instance: ident.InstanceID(fmt.Sprintf("entry-%d", i)), Incarnation: "1", PeerAddress: l.Addr().String(), Alive: true,
		})
	}
	snapshot := view.New(view.Snapshot{Ready: true, Services: []*view.Service{f.service}, Entries: f.entries})
	var urls []string
	for i := range crashEntries {
		url, err := f.startEntry(f.entries[i], snapshot, peers[i], quarantined)
		if err != nil {
			return nil, err
		}
		urls = append(urls, url)
	}
	return urls, nil
}

func (f *crashFleet) startEntry(self view.Entry, snapshot *view.Snapshot, peers net.Listener, quarantined bool) (string, error) {
	now := f.now
	metrics := telemetry.New()
	mux := wire.NewMux()
	node := wire.NewNode(wire.Peer{Instance: self.Instance, Incarnation: self.Incarnation}, []byte("bench"), mux)
	parts, err := gateway.NewOrderComponents(gateway.OrderOptions{
		Node: node, Snapshot: func() *view.Snapshot { return snapshot }, Now: now, Self: self, Scope: metrics.Scope,
	})
	if err != nil {
		return "", err
	}
	parts.Register(mux)
	go func() { _ = node.Serve(peers) }()
	opts := gateway.Options{
		Snapshot: func() *view.Snapshot { return snapshot }, Now: now, Metrics: metrics,
		Data: engine.NewData(), Self: self, MaxBodyBytes: 1 << 20,
	}
	balancer := gateway.NewBalancer(self, opts.Snapshot, now, metrics)
	opts.ServerRouter = balancer
	opts.Pauses = gateway.NewServerPauses(now, nil)
	balancer.SetPauses(opts.Pauses)
	if quarantined {
		opts.Quarantine = parts.Quarantine
	}
	g := gateway.New(opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	go balancer.Run(ctx)
	go f.serveCredits(ctx, balancer)
	server := g.Server(g.Handler(), 1<<16)
	go func() { _ = server.Serve(g.Listener(l)) }()
	f.closers = append(f.closers, func() {
		cancel()
		_ = server.Close()
		_ = peers.Close()
		node.Close()
	})
	return "http://" + l.Addr().String(), nil
}
