package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/standin/history"
	"github.com/bulrushfall/bulrushfall/standin/orders"
)

// Parameters of the open-loop load.
const (
	// loadAccounts is the number of client accounts that send requests.
	loadAccounts = 10
	// loadAnswerTokens is the length of an answer in tokens.
	loadAnswerTokens = 40
	// loadDeadline is the time within which an answer must start. The design target
	// for the 95th percentile is 0.36 s.
	loadDeadline = 2 * time.Second
	// maxOrderTries is how many times a caller places an order with the same key while
	// the order did not run or its outcome is unknown.
	maxOrderTries = 8
	// orderRetryDelay is the time between two tries.
	orderRetryDelay = 250 * time.Millisecond
)

// ordersPath is the path of the requests that place orders.
const ordersPath = "/services/" + cluster.OrderService + "/orders"

// requestKind is the kind of a request of the load.
type requestKind string

const (
	kindStream requestKind = "streams"
	kindOrder  requestKind = "orders"
	kindRepeat requestKind = "repeated orders"
	// kindTicket is an order that uses a ticket as its key.
	kindTicket requestKind = "ticketed orders"
)

// requestKinds are the rows of a summary.
var requestKinds = []requestKind{kindStream, kindOrder, kindRepeat, kindTicket}

// requestSample is one finished request of the load.
type requestSample struct {
	kind   requestKind
	result load.Result
}

// openLoad is an open-loop load: requests are sent at a fixed rate, independent of how
// long the answers take. Each order is placed, and then placed again with the same key
// through another entry instance.
type openLoad struct {
	cluster        *cluster.Cluster
	callerRequests []check.CallerRequest
	streamRate     float64
	orderRate      float64
	// ticketRate is the rate of orders with tickets; 0 means none.
	ticketRate float64
	startedAt  time.Time

	mu           sync.Mutex
	samples      []requestSample
	placedOrders []string
	wg           sync.WaitGroup
	clients      []*load.Caller
}

func newOpenLoad(c *cluster.Cluster, streams, ordersPerSecond float64) *openLoad {
	t := &openLoad{cluster: c, streamRate: streams, orderRate: ordersPerSecond}
	for i := range loadAccounts {
		t.clients = append(t.clients, load.NewCaller(cluster.AccountKey(i), callerAddresses(c)))
	}
	return t
}

// start starts the load, which lasts for the given time. The returned function waits
// for the last answer.
func (t *openLoad) start(ctx context.Context, length time.Duration) func() {
	t.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, length)
	var senders sync.WaitGroup
	if t.ticketRate > 0 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			t.sendAtRate(ctx, t.ticketRate, t.sendTicketedOrder)
		}()
	}
	senders.Add(2)
	go func() {
		defer senders.Done()
		t.sendAtRate(ctx, t.streamRate, t.sendStream)
	}()
	go func() {
		defer senders.Done()
		t.sendAtRate(ctx, t.orderRate, t.sendOrder)
	}()
	return func() {
		senders.Wait()
		cancel()
		t.wg.Wait()
		for _, c := range t.clients {
			c.Close()
		}
	}
}

// sendAtRate calls fn in a goroutine of its own at a rate per second, until the context
// ends.
func (t *openLoad) sendAtRate(ctx context.Context, rate float64, fn func(n int)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				fn(n)
			}()
		}
	}
}

func (t *openLoad) sendStream(n int) {
	req := engine.CompletionRequest{
		Model: cluster.ModelService, Prompt: fmt.Sprintf("request %d for a draft", n), MaxTokens: loadAnswerTokens,
	}
	r := t.clients[n%loadAccounts].Stream(context.Background(), req, loadDeadline)
	t.record(kindStream, history.PromptRequestName(req.Prompt), r)
}

// sendOrder places an order until it is answered, and then repeats it with the same key
// through other entry instances.
func (t *openLoad) sendOrder(n int) {
	id := fmt.Sprintf("order-%d", n)
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	if err != nil {
		return
	}
	t.mu.Lock()
	t.placedOrders = append(t.placedOrders, id)
	t.mu.Unlock()
	t.placeOrder(kindOrder, n, id, body)
	t.placeOrder(kindRepeat, n, id, body)
}

// sendTicketedOrder gets a ticket and places an order with it until it is answered.
func (t *openLoad) sendTicketedOrder(n int) {
	c := t.clients[n%loadAccounts]
	key, addr, err := c.Ticket(context.Background(), cluster.OrderService)
	if err != nil {
		t.record(kindTicket, "", load.Result{Outcome: load.NotRun, Detail: err.Error(), Start: time.Now()})
		return
	}
	id := fmt.Sprintf("ticketed-%d", n)
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	if err != nil {
		return
	}
	for try := range maxOrderTries {
		r := c.Order(context.Background(), addr, ordersPath, key, body)
		t.record(kindTicket, id, r)
		if r.Outcome == load.Answered || try == maxOrderTries-1 {
			return
		}
		time.Sleep(orderRetryDelay)
	}
}

func (t *openLoad) placeOrder(k requestKind, n int, id string, body []byte) {
	c := t.clients[n%loadAccounts]
	for try := range maxOrderTries {
		var headers []load.Header
		if k == kindOrder && try == 0 {
			headers = append(headers, load.Header{Name: gateway.HeaderFirstCall, Value: "true"})
		}
		r := c.Order(context.Background(), "", ordersPath, id, body, headers...)
		t.record(k, id, r)
		if r.Outcome == load.Answered || try == maxOrderTries-1 {
			return
		}
		time.Sleep(orderRetryDelay)
	}
}

// checkerOutcomes maps the outcomes of callers to those of the checker.
var checkerOutcomes = map[load.Outcome]check.Outcome{
	load.Answered: check.OutcomeAnswered,
	load.Late:     check.OutcomeAnswered,
	load.Wrong:    check.OutcomeAnswered,
	load.NotRun:   check.OutcomeNotRun,
	load.Unknown:  check.OutcomeUnknown,
	load.Cut:      check.OutcomeCut,
	load.Failed:   check.OutcomeUnreachable,
}

func (t *openLoad) record(k requestKind, name string, r load.Result) {
	c := check.CallerRequest{
		Request: name, SentAt: r.Start, EndedAt: r.Start.Add(r.Duration), Outcome: checkerOutcomes[r.Outcome], Complete: r.Outcome != load.Cut,
	}
	for _, e := range t.cluster.Entries {
		if e.CallerAddress == r.EntryAddress {
			c.Entry = e.Instance
		}
	}
	if r.Outcome == load.Wrong {
		c.Answer, c.WantAnswer = r.Detail, "the expected text"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, requestSample{kind: k, result: r})
	t.callerRequests = append(t.callerRequests, c)
}

// secondStats holds the outcomes of the requests that started in one second of a run.
type secondStats struct {
	answered, late, refused, failed int
	firstToken                      []time.Duration
}

// perSecond groups all requests but repeated orders by the second in which they started.
func (t *openLoad) perSecond(cfg MoveConfig) []secondStats {
	out := make([]secondStats, int(cfg.End/time.Second))
	for _, s := range t.samples {
		i := int(s.result.Start.Sub(t.startedAt) / time.Second)
		if i < 0 || i >= len(out) || s.kind == kindRepeat {
			continue
		}
		switch s.result.Outcome {
		case load.Answered:
			out[i].answered++
		case load.Late:
			out[i].late++
		case load.NotRun:
			out[i].refused++
		default:
			out[i].failed++
		}
		if s.kind == kindStream && s.result.FirstToken > 0 {
			out[i].firstToken = append(out[i].firstToken, s.result.FirstToken)
		}
	}
	return out
}

// loadSummary counts the requests by kind and outcome, and the orders that were lost or
// ran more than once.
type loadSummary struct {
	counts           map[requestKind]map[load.Outcome]int
	details          map[string]int
	firstTokens      []time.Duration
	orders           int
	lost, duplicated int
}

func (t *openLoad) summary() *loadSummary { return summarise(t.samples) }

// summarise counts the outcomes of requests by kind.
func summarise(samples []requestSample) *loadSummary {
	s := &loadSummary{counts: make(map[requestKind]map[load.Outcome]int), details: make(map[string]int)}
	for _, k := range requestKinds {
		s.counts[k] = make(map[load.Outcome]int)
	}
	for _, x := range samples {
		s.counts[x.kind][x.result.Outcome]++
		if x.result.Outcome != load.Answered && x.result.Outcome != load.Late {
			problem, _, _ := strings.Cut(x.result.Detail, " ")
			s.details[fmt.Sprintf("%s %s %s", x.kind, x.result.Outcome, problem)]++
		}
		if x.kind == kindStream && x.result.FirstToken > 0 {
			s.firstTokens = append(s.firstTokens, x.result.FirstToken)
		}
	}
	return s
}

// countOrders compares the orders that were placed with the number of times each ran.
func (s *loadSummary) countOrders(placed []string, runs map[string]int) {
	s.orders = len(placed)
	for _, id := range placed {
		switch n := runs[id]; {
		case n == 0:
			s.lost++
		case n > 1:
			s.duplicated++
		}
	}
}

func (s *loadSummary) hasWrongOutcome() bool {
	for _, counts := range s.counts {
		if counts[load.Cut]+counts[load.Wrong]+counts[load.Failed] > 0 {
			return true
		}
	}
	return s.lost+s.duplicated > 0
}

func (s *loadSummary) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	columns := []load.Outcome{load.Answered, load.Late, load.NotRun, load.Unknown, load.Cut, load.Wrong, load.Failed}
	_, _ = fmt.Fprint(t, "requests\t")
	for _, o := range columns {
		_, _ = fmt.Fprintf(t, "%s\t", o)
	}
	_, _ = fmt.Fprintln(t)
	for _, k := range requestKinds {
		if len(s.counts[k]) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t", k)
		for _, o := range columns {
			_, _ = fmt.Fprintf(t, "%d\t", s.counts[k][o])
		}
		_, _ = fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "orders placed %d, lost %d, doubled %d\n", s.orders, s.lost, s.duplicated)
	_, _ = fmt.Fprintf(w, "first token: 50th percentile %s, 95th %s, 99th %s\n",
		latencyQuantile(s.firstTokens, 0.50), latencyQuantile(s.firstTokens, 0.95), latencyQuantile(s.firstTokens, 0.99))
	details := make([]string, 0, len(s.details))
	for d := range s.details {
		details = append(details, d)
	}
	sort.Strings(details)
	for _, d := range details {
		_, _ = fmt.Fprintf(w, "%s: %d\n", d, s.details[d])
	}
	return nil
}

// latencyQuantile returns the quantile q of unsorted values, rounded to 0.1 ms.
func latencyQuantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

// backendInstances returns the instances that are not entry instances.
func backendInstances(instances []infra.Instance) []infra.Instance {
	var out []infra.Instance
	for _, inst := range instances {
		if inst.Kind != infra.KindEntry {
			out = append(out, inst)
		}
	}
	return out
}
