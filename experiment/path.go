package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/service"
)

// Parameters of the path measure.
const (
	pathEngines     = 4
	pathSequential  = 1000
	pathShort       = 20 // tokens of a sequential answer
	pathLong        = 200
	pathConnections = 64
	pathLoad        = 5 * time.Second
	pathMetricsWait = 2500 * time.Millisecond // counters reach the endpoint late
)

// pathCase is one way to the engines. Direct requests go to the engines in turn;
// the engines do not check the group and epoch, which a relay cannot know.
type pathCase struct {
	name    string
	targets []string
	headers [][2]string
	// mallocs counts the allocations of the process that relays.
	mallocs func() (float64, error)

	client  http.Client
	next    atomic.Uint64
	first   []time.Duration
	whole   []time.Duration
	tokens  int64
	answers int64
	allocs  float64
}

// pathRig is the processes and listeners of the measure.
type pathRig struct {
	cluster *cluster.Cluster
	relay   *http.Server
	cases   []*pathCase
}

func pathDocument() string {
	doc := cluster.ModelDocument(pathEngines, 1, 1, 10)
	for old, with := range map[string]string{
		"requests: 16\n": "requests: 64\n", "held_tokens: 50000": "held_tokens: 100000",
		"requests_per_second: 500": "requests_per_second: 1000000", "burst: 500": "burst: 1000000",
	} {
		doc = strings.ReplaceAll(doc, old, with)
	}
	return doc
}

func startPath(ctx context.Context, binDir string) (*pathRig, error) {
	cfg := cluster.DefaultConfig(binDir)
	cfg.Entries, cfg.OrderSystems, cfg.EnginesPerDataCentre = 1, 0, pathEngines
	cfg.DataCentres = cfg.DataCentres[:1]
	cfg.Documents = []string{pathDocument()}
	cfg.EngineFlags = []string{"--token-interval", "0s", "--prefill", "0s", "--limit", "64", "--cold-time", "100ms", "--ignore-fencing"}
	c, err := cluster.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	p := &pathRig{cluster: c}
	if err := p.prepare(ctx, cfg.Documents[0]); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *pathRig) prepare(ctx context.Context, document string) error {
	doc, err := service.Parse([]byte(document))
	if err != nil {
		return err
	}
	if err := p.cluster.FormGroups(ctx, doc); err != nil {
		return err
	}
	if err := waitServing(ctx, p.cluster); err != nil {
		return err
	}
	groups, err := p.cluster.Groups(ctx, doc)
	if err != nil {
		return err
	}
	var targets []string
	for _, g := range groups {
		targets = append(targets, g.Leader.Address)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the relay")
	}
	p.relay = &http.Server{
		Handler:           &relay{targets: targets, transport: pathTransport()},
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = p.relay.Serve(l) }()
	entry := p.cluster.Entries[0]
	auth := [][2]string{{"Authorization", "Bearer " + cluster.AccountKey(0)}}
	p.cases = []*pathCase{
		{name: "direct", targets: targets, mallocs: ownMallocs},
		{name: "bare relay", targets: []string{l.Addr().String()}, mallocs: ownMallocs},
		{name: "daemon", targets: []string{entry.Callers}, headers: auth, mallocs: func() (float64, error) {
			m, err := scrape(entry.Operators)
			return m["go_memstats_mallocs_total"], err
		}},
	}
	for _, pc := range p.cases {
		pc.client.Transport = pathTransport()
	}
	return nil
}

func (p *pathRig) close() {
	if p.relay != nil {
		_ = p.relay.Close()
	}
	p.cluster.Close()
}

func pathTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2 * pathConnections, DisableCompression: true}
}

func ownMallocs() (float64, error) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Mallocs), nil
}

// ask sends one request and reads the answer to its end marker. It returns the
// times to the first token and to the end.
func (c *pathCase) ask(tokens int, n int) (first, whole time.Duration, err error) {
	body, _ := json.Marshal(engine.CompletionRequest{
		Model: cluster.ModelService, Prompt: fmt.Sprint("quote ", n), MaxTokens: tokens, Stream: true,
	})
	i := int(c.next.Add(1)) % len(c.targets)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.targets[i]+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	for _, h := range c.headers {
		req.Header.Set(h[0], h[1])
	}
	req.Header.Set(engine.HeaderAttempt, "path-"+strconv.Itoa(n))
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(resp.Body)
		return 0, 0, errors.Errorf("%s answered %s: %s", c.name, resp.Status, detail)
	}
	first, whole, err = readPath(resp.Body, start)
	return first, whole, errors.Wrap(err, c.name)
}

var (
	pathData = []byte("data: ")
	pathDone = []byte("data: " + engine.DoneMarker)
)

func readPath(body io.Reader, start time.Time) (first, whole time.Duration, err error) {
	r := bufio.NewReaderSize(body, 4<<10)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return 0, 0, errors.Wrap(err, "answer ended without its end marker")
		}
		if first == 0 && bytes.HasPrefix(line, pathData) {
			first = time.Since(start)
		}
		if bytes.HasPrefix(line, pathDone) {
			_, _ = io.Copy(io.Discard, r)
			return first, time.Since(start), nil
		}
	}
}

// sequential asks through each way in turn, so that all see the same machine.
func (p *pathRig) sequential() error {
	for n := range pathSequential + 50 {
		for _, c := range p.cases {
			first, whole, err := c.ask(pathShort, n)
			if err != nil {
				return err
			}
			if n >= 50 { // connections are open, caches are warm
				c.first, c.whole = append(c.first, first), append(c.whole, whole)
			}
		}
	}
	return nil
}

// throughput keeps a number of connections busy.
func (c *pathCase) throughput() error {
	before, err := c.mallocs()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var failed atomic.Value
	end := time.Now().Add(pathLoad)
	for i := range pathConnections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := i; time.Now().Before(end); n += pathConnections {
				if _, _, err := c.ask(pathLong, n); err != nil {
					failed.Store(err)
					return
				}
				atomic.AddInt64(&c.answers, 1)
				atomic.AddInt64(&c.tokens, pathLong)
			}
		}()
	}
	wg.Wait()
	if err, ok := failed.Load().(error); ok {
		return err
	}
	time.Sleep(pathMetricsWait)
	after, err := c.mallocs()
	c.allocs = (after - before) / float64(c.tokens)
	return err
}
