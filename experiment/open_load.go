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
	// loadAccounts is the number of client accounts that send.
	loadAccounts = 10
	// loadTokens is the length of an answer.
	loadTokens = 40
	// loadDeadline is the time in which an answer must start; the brief's
	// target at the 95th percentile is 0.36 s.
	loadDeadline = 2 * time.Second
	// orderTries is how often a caller places an order that did not run or
	// whose outcome is not known, with the same key.
	orderTries = 8
	// orderPause separates the tries.
	orderPause = 250 * time.Millisecond
)

// ordersPath is where orders are placed.
const ordersPath = "/services/" + cluster.OrderService + "/orders"

// kind tells requests of the load apart.
type kind string

const (
	kindStream kind = "streams"
	kindOrder  kind = "orders"
	kindRepeat kind = "repeated orders"
	// kindTicket orders are placed with a ticket as their key.
	kindTicket kind = "ticketed orders"
)

// kinds are the rows of a summary.
var kinds = []kind{kindStream, kindOrder, kindRepeat, kindTicket}

// sample is one finished request of the load.
type sample struct {
	kind   kind
	result load.Result
}

// openLoad is an open-loop load: requests arrive at a rate, no matter how long
// the answers take. Each order is placed, and then placed again under the same
// key through another entry instance.
type openLoad struct {
	cluster *cluster.Cluster
	callers []check.CallerRequest
	streams float64
	rate    float64
	// tickets is the rate of orders with tickets.
	tickets float64
	begin   time.Time

	mu      sync.Mutex
	samples []sample
	orders  []string
	wg      sync.WaitGroup
	clients []*load.Caller
}

func newOpenLoad(c *cluster.Cluster, streams, ordersPerSecond float64) *openLoad {
	t := &openLoad{cluster: c, streams: streams, rate: ordersPerSecond}
	for i := range loadAccounts {
		t.clients = append(t.clients, load.NewCaller(cluster.AccountKey(i), seeds(c)))
	}
	return t
}

// start sends load for a time. The returned function waits for the last answer.
func (t *openLoad) start(ctx context.Context, length time.Duration) func() {
	t.begin = time.Now()
	ctx, cancel := context.WithTimeout(ctx, length)
	var feeders sync.WaitGroup
	if t.tickets > 0 {
		feeders.Add(1)
		go func() {
			defer feeders.Done()
			t.arrive(ctx, t.tickets, t.ticketed)
		}()
	}
	feeders.Add(2)
	go func() {
		defer feeders.Done()
		t.arrive(ctx, t.streams, t.stream)
	}()
	go func() {
		defer feeders.Done()
		t.arrive(ctx, t.rate, t.order)
	}()
	return func() {
		feeders.Wait()
		cancel()
		t.wg.Wait()
		for _, c := range t.clients {
			c.Close()
		}
	}
}

// arrive starts one request per period.
func (t *openLoad) arrive(ctx context.Context, rate float64, fn func(n int)) {
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

func (t *openLoad) stream(n int) {
	req := engine.CompletionRequest{
		Model: cluster.ModelService, Prompt: fmt.Sprintf("request %d for a draft", n), MaxTokens: loadTokens,
	}
	r := t.clients[n%loadAccounts].Stream(context.Background(), req, loadDeadline)
	t.add(kindStream, history.PromptRequestName(req.Prompt), r)
}

// order places an order until it is answered, then places it again through
// other entry instances.
func (t *openLoad) order(n int) {
	id := fmt.Sprintf("order-%d", n)
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	if err != nil {
		return
	}
	t.mu.Lock()
	t.orders = append(t.orders, id)
	t.mu.Unlock()
	t.place(kindOrder, n, id, body)
	t.place(kindRepeat, n, id, body)
}

// ticketed places an order with a ticket, until it is answered.
func (t *openLoad) ticketed(n int) {
	c := t.clients[n%loadAccounts]
	key, addr, err := c.Ticket(context.Background(), cluster.OrderService)
	if err != nil {
		t.add(kindTicket, "", load.Result{Outcome: load.NotRun, Detail: err.Error(), Start: time.Now()})
		return
	}
	id := fmt.Sprintf("ticketed-%d", n)
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	if err != nil {
		return
	}
	for try := range orderTries {
		r := c.Order(context.Background(), addr, ordersPath, key, body)
		t.add(kindTicket, id, r)
		if r.Outcome == load.Answered || try == orderTries-1 {
			return
		}
		time.Sleep(orderPause)
	}
}

func (t *openLoad) place(k kind, n int, id string, body []byte) {
	c := t.clients[n%loadAccounts]
	for try := range orderTries {
		var headers []load.Header
		if k == kindOrder && try == 0 {
			headers = append(headers, load.Header{Name: gateway.HeaderFirstCall, Value: "true"})
		}
		r := c.Order(context.Background(), "", ordersPath, id, body, headers...)
		t.add(k, id, r)
		if r.Outcome == load.Answered || try == orderTries-1 {
			return
		}
		time.Sleep(orderPause)
	}
}

// outcomes maps the outcomes of callers to those of the checker.
var outcomes = map[load.Outcome]check.Outcome{
	load.Answered: check.OutcomeAnswered,
	load.Late:     check.OutcomeAnswered,
	load.Wrong:    check.OutcomeAnswered,
	load.NotRun:   check.OutcomeNotRun,
	load.Unknown:  check.OutcomeUnknown,
	load.Cut:      check.OutcomeCut,
	load.Failed:   check.OutcomeUnreachable,
}

func (t *openLoad) add(k kind, name string, r load.Result) {
	c := check.CallerRequest{
		Request: name, SentAt: r.Start, EndedAt: r.Start.Add(r.Duration), Outcome: outcomes[r.Outcome], Complete: r.Outcome != load.Cut,
	}
	for _, e := range t.cluster.Entries {
		if e.Callers == r.Entry {
			c.Entry = e.Instance
		}
	}
	if r.Outcome == load.Wrong {
		c.Answer, c.WantAnswer = r.Detail, "the expected text"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, sample{kind: k, result: r})
	t.callers = append(t.callers, c)
}

// second is what ended in one second of a run.
type second struct {
	answered, late, refused, failed int
	firstToken                      []time.Duration
}

// seconds groups the streams and first placements by the second they started.
func (t *openLoad) seconds(cfg MoveConfig) []second {
	out := make([]second, int(cfg.End/time.Second))
	for _, s := range t.samples {
		i := int(s.result.Start.Sub(t.begin) / time.Second)
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

// moveSummary is the table of outcomes.
type moveSummary struct {
	counts        map[kind]map[load.Outcome]int
	details       map[string]int
	firstTokens   []time.Duration
	orders        int
	lost, doubled int
}

func (t *openLoad) summary() *moveSummary { return summarise(t.samples) }

// summarise counts outcomes by kind.
func summarise(samples []sample) *moveSummary {
	s := &moveSummary{counts: make(map[kind]map[load.Outcome]int), details: make(map[string]int)}
	for _, k := range kinds {
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

// countOrders compares what was placed with what ran.
func (s *moveSummary) countOrders(placed []string, runs map[string]int) {
	s.orders = len(placed)
	for _, id := range placed {
		switch n := runs[id]; {
		case n == 0:
			s.lost++
		case n > 1:
			s.doubled++
		}
	}
}

func (s *moveSummary) wrong() bool {
	for _, counts := range s.counts {
		if counts[load.Cut]+counts[load.Wrong]+counts[load.Failed] > 0 {
			return true
		}
	}
	return s.lost+s.doubled > 0
}

func (s *moveSummary) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	columns := []load.Outcome{load.Answered, load.Late, load.NotRun, load.Unknown, load.Cut, load.Wrong, load.Failed}
	_, _ = fmt.Fprint(t, "requests\t")
	for _, o := range columns {
		_, _ = fmt.Fprintf(t, "%s\t", o)
	}
	_, _ = fmt.Fprintln(t)
	for _, k := range kinds {
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
	_, _ = fmt.Fprintf(w, "orders placed %d, lost %d, doubled %d\n", s.orders, s.lost, s.doubled)
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

// latencyQuantile returns a quantile of unsorted values, rounded to 0.1 ms.
func latencyQuantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

// backendsOf returns the instances that serve requests.
func backendsOf(instances []infra.Instance) []infra.Instance {
	var out []infra.Instance
	for _, inst := range instances {
		if inst.Kind != infra.KindEntry {
			out = append(out, inst)
		}
	}
	return out
}
