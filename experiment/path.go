package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/service"
)

// Parameters of the path measurement.
const (
	pathEngines         = 4
	pathLatencyRequests = 1000
	pathWarmup          = 50 // requests that open connections and warm caches
	pathShortTokens     = 20 // tokens of a short answer
	pathLongTokens      = 200
	pathConnections     = 64
	pathRounds          = 5
	pathRoundTime       = time.Second
	pathIdleTime        = 5 * time.Second
)

// pathCase is one path to the engines: direct, through a bare relay or through the
// daemon. Requests go to the targets in turn. The engines run without the check of group
// and epoch, because direct requests and the relay do not send them.
type pathCase struct {
	name    string
	targets []string
	headers [][2]string
	// metrics is the address of the metrics of the process under test. It is empty for
	// direct requests.
	metrics string

	client       http.Client
	nextTarget   atomic.Uint64
	firstTokens  []time.Duration
	wholeAnswers []time.Duration
	shortLoad    pathLoad
	longLoad     pathLoad
	idleUsage    pathUsage
}

// pathSetup is the cluster and the paths of the measurement.
type pathSetup struct {
	cluster *cluster.Cluster
	cases   []*pathCase
}

func pathDocument() string {
	doc := cluster.ModelDocument(pathEngines, 1, 1, 10)
	for old, replacement := range map[string]string{
		"requests: 16\n": "requests: 64\n", "held_tokens: 50000": "held_tokens: 100000",
		"requests_per_second: 500": "requests_per_second: 1000000", "burst: 500": "burst: 1000000",
	} {
		doc = strings.ReplaceAll(doc, old, replacement)
	}
	return doc
}

func startPath(ctx context.Context, binDir string) (*pathSetup, error) {
	cfg := cluster.DefaultConfig(binDir)
	cfg.Entries, cfg.OrderSystems, cfg.EnginesPerDataCentre = 1, 0, pathEngines
	cfg.DataCentres = cfg.DataCentres[:1]
	cfg.Documents = []string{pathDocument()}
	cfg.EngineFlags = []string{"--token-interval", "0s", "--prefill", "0s", "--limit", "64", "--cold-time", "100ms", "--ignore-fencing"}
	c, err := cluster.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	p := &pathSetup{cluster: c}
	if err := p.prepare(ctx, cfg.Documents[0]); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *pathSetup) prepare(ctx context.Context, document string) error {
	doc, err := service.Parse([]byte(document))
	if err != nil {
		return err
	}
	if err := p.cluster.WaitForGroups(ctx, doc); err != nil {
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
	relay, err := p.cluster.StartRelay(ctx, targets)
	if err != nil {
		return err
	}
	entry := p.cluster.Entries[0]
	auth := [][2]string{{"Authorization", "Bearer " + cluster.AccountKey(0)}}
	p.cases = []*pathCase{
		{name: "direct", targets: targets},
		{name: "bare relay", targets: []string{relay.CallerAddress}, metrics: relay.MetricsAddress},
		{name: "daemon", targets: []string{entry.CallerAddress}, headers: auth, metrics: entry.OperatorAddress},
	}
	for _, pc := range p.cases {
		pc.client.Transport = pathTransport()
	}
	return nil
}

func (p *pathSetup) close() { p.cluster.Close() }

func pathTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2 * pathConnections, DisableCompression: true}
}

// send sends one request and reads the answer up to its end marker. It returns the times
// to the first token and to the end.
func (c *pathCase) send(tokens int, n int) (first, whole time.Duration, err error) {
	body, _ := json.Marshal(engine.CompletionRequest{
		Model: cluster.ModelService, Prompt: fmt.Sprint("quote ", n), MaxTokens: tokens, Stream: true,
	})
	i := int(c.nextTarget.Add(1)) % len(c.targets)
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
	first, whole, err = readAnswer(resp.Body, start)
	return first, whole, errors.Wrap(err, c.name)
}

var (
	pathData = []byte("data: ")
	pathDone = []byte("data: " + engine.DoneMarker)
)

func readAnswer(body io.Reader, start time.Time) (first, whole time.Duration, err error) {
	r := bufio.NewReaderSize(body, 4<<10)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return 0, 0, errors.Wrap(err, "read answer up to its end marker")
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

// measureLatency sends requests through each path in turn, so that all paths are measured
// under the same machine load. The order rotates, so that the first path differs each
// time.
func (p *pathSetup) measureLatency() error {
	for n := range pathLatencyRequests + pathWarmup {
		for i := range p.cases {
			c := p.cases[(n+i)%len(p.cases)]
			first, whole, err := c.send(pathShortTokens, n)
			if err != nil {
				return err
			}
			if n >= pathWarmup {
				c.firstTokens, c.wholeAnswers = append(c.firstTokens, first), append(c.wholeAnswers, whole)
			}
		}
	}
	return nil
}
