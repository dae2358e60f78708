package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the stopped-readers experiment.
const (
	// readerMemoryTarget is the maximum resident memory in bytes per stopped reader.
	readerMemoryTarget = 16 << 10
	// readerTokens is the length of an answer, which is longer than the socket buffers
	// hold.
	readerTokens = 5000
	// readerReceiveBuffer is the receive buffer in bytes of a reader that never resumes.
	readerReceiveBuffer = 4096
	// readerResumeBytes is how much a resumed reader reads, which is more than the kernel
	// buffers of both ends hold.
	readerResumeBytes = 256 << 10
	// sampledReaders is the number of readers that resume at the end.
	sampledReaders = 50
	// readerInterval is the time between two new readers. The simulated engines can
	// serve 250 new readers a second, of which about 600 are active at a time.
	readerInterval = 4 * time.Millisecond
	// maxReaderDials is the maximum number of concurrent connection attempts.
	maxReaderDials = 256
	// readerPhaseTimeout is the maximum length of each phase.
	readerPhaseTimeout = 4 * time.Minute
	// memorySettleTime lets the runtime return freed memory before it is measured.
	memorySettleTime = 12 * time.Second
)

// Readers measures the cost of stopped readers, callers that do not read their answers,
// at one entry instance: resident memory and goroutines per reader, and the time until a
// reader that resumes gets its next byte. It returns an error if the memory exceeds
// readerMemoryTarget.
func Readers(ctx context.Context, w io.Writer, binDir string, readers int) error {
	cfg := cluster.DefaultConfig(binDir)
	cfg.DataCentres = []ident.DataCentre{"dc-a"}
	cfg.Entries, cfg.EnginesPerDataCentre, cfg.DomainSize, cfg.OrderSystems = 1, 16, 16, 0
	doc := strings.NewReplacer(
		"requests: 16", "requests: 100000",
		"held_tokens: 50000", "held_tokens: 1000000000",
		"requests_per_second: 500", "requests_per_second: 100000",
		"burst: 500", "burst: 100000",
		"concurrency: 200", "concurrency: 100000",
		"deadline: 10s", "deadline: 120s",
	).Replace(cluster.ModelDocument(16, 1, 1, 1))
	cfg.Documents = []string{doc}
	cfg.EngineFlags = []string{
		"--limit", "100000", "--token-capacity", "2000000000",
		"--token-interval", "1ms", "--cold-time", "0s", "--load-time", "0s",
	}
	cfg.ExtraSettings = "limits:\n  stream_memory_bytes: 1073741824\n  account_stream_bytes: 1073741824\n"
	c, err := StartServing(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	r := &readersRun{cluster: c, entry: c.Entries[0], readerCount: readers}
	defer r.close()
	return r.run(ctx, w)
}

type readersRun struct {
	cluster     *cluster.Cluster
	entry       *cluster.Entry
	readerCount int

	mu    sync.Mutex
	conns []net.Conn
	// sampled are the connections of the readers that resume. They keep the kernel's
	// default receive buffer. The others have a small one, which fills sooner.
	sampled []net.Conn
}

func (r *readersRun) close() {
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func (r *readersRun) run(ctx context.Context, w io.Writer) error {
	before, err := r.sampleMemory()
	if err != nil {
		return err
	}
	if err := r.connect(ctx); err != nil {
		return err
	}
	err = cluster.WaitUntil(ctx, readerPhaseTimeout, "all readers are parked", func() bool {
		m, err := scrapeMetrics(r.entry.OperatorAddress)
		return err == nil && m["bulrushfall_streams_parked_total"]-m["bulrushfall_streams_park_refused_total"] >= float64(r.readerCount)
	})
	if err != nil {
		return err
	}
	time.Sleep(memorySettleTime)
	after, err := r.sampleMemory()
	if err != nil {
		return err
	}
	latency, err := r.resumeReaders()
	if err != nil {
		return err
	}
	return r.print(w, before, after, latency)
}

// memorySample is the memory in bytes and the number of goroutines of a process.
type memorySample struct {
	resident   float64
	goroutines float64
	heap       float64
}

func (r *readersRun) sampleMemory() (memorySample, error) {
	m, err := scrapeMetrics(r.entry.OperatorAddress)
	if err != nil {
		return memorySample{}, err
	}
	resident, err := residentBytes(r.entry.PID())
	return memorySample{
		resident:   resident,
		goroutines: m["go_goroutines"],
		heap:       m["go_memstats_heap_inuse_bytes"] + m["go_memstats_stack_inuse_bytes"],
	}, err
}

func (r *readersRun) connect(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxReaderDials)
	pace := time.NewTicker(readerInterval)
	defer pace.Stop()
	for i := range r.readerCount {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "interrupted")
		case <-pace.C:
		}
		g.Go(func() error { return r.connectReader(ctx, i) })
	}
	return g.Wait()
}

// connectReader sends a request and does not read the answer.
func (r *readersRun) connectReader(ctx context.Context, i int) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", r.entry.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "connect reader")
	}
	r.mu.Lock()
	r.conns = append(r.conns, conn)
	if i < sampledReaders {
		r.sampled = append(r.sampled, conn)
	}
	r.mu.Unlock()
	if i >= sampledReaders {
		if err := conn.(*net.TCPConn).SetReadBuffer(readerReceiveBuffer); err != nil {
			return errors.Wrap(err, "set read buffer")
		}
	}
	body, err := json.Marshal(engine.CompletionRequest{
		Model: cluster.ModelService, Prompt: fmt.Sprintf("reader %d", i), MaxTokens: readerTokens, Stream: true,
	})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		cluster.AccountKey(0), len(body), body)
	return errors.Wrap(err, "send request")
}

// resumeReaders lets all sampled readers resume at the same time and records the longest
// read of each in microseconds. It is an upper bound of the time from when a reader has
// emptied the kernel buffers to the next byte.
func (r *readersRun) resumeReaders() (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	var g errgroup.Group
	for _, conn := range r.sampled {
		g.Go(func() error {
			longest, err := longestRead(conn)
			if err != nil {
				return err
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			return errors.Wrap(h.RecordValue(longest.Microseconds()), "record read time")
		})
	}
	return h, g.Wait()
}

// longestRead reads readerResumeBytes and returns the duration of the longest read.
func longestRead(conn net.Conn) (time.Duration, error) {
	if err := conn.SetReadDeadline(time.Now().Add(readerPhaseTimeout)); err != nil {
		return 0, errors.Wrap(err, "set read deadline")
	}
	buffer := make([]byte, 16<<10)
	longest := time.Duration(0)
	for total := 0; total < readerResumeBytes; {
		start := time.Now()
		n, err := conn.Read(buffer)
		if err != nil {
			return 0, errors.Wrapf(err, "read after %d bytes", total)
		}
		longest = max(longest, time.Since(start))
		total += n
	}
	return longest, nil
}

func (r *readersRun) print(w io.Writer, before, after memorySample, latency *hdrhistogram.Histogram) error {
	n := float64(r.readerCount)
	perReader := (after.resident - before.resident) / n
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "stopped readers\t%d\n", r.readerCount)
	_, _ = fmt.Fprintf(t, "resident bytes per stopped reader\t%.0f\t(aim: under %d)\n", perReader, readerMemoryTarget)
	_, _ = fmt.Fprintf(t, "heap and stack bytes in use per stopped reader\t%.0f\n", (after.heap-before.heap)/n)
	_, _ = fmt.Fprintf(t, "goroutines per stopped reader\t%.2f\n", (after.goroutines-before.goroutines)/n)
	_, _ = fmt.Fprintf(t, "resident bytes of the process before\t%.0f\n", before.resident)
	_, _ = fmt.Fprintf(t, "return to next byte, 50th percentile (us)\t%d\n", latency.ValueAtQuantile(50))
	_, _ = fmt.Fprintf(t, "return to next byte, 99th percentile (us)\t%d\n", latency.ValueAtQuantile(99))
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if perReader > readerMemoryTarget {
		return errors.Errorf("%.0f resident bytes per stopped reader exceed the target of %d", perReader, readerMemoryTarget)
	}
	return nil
}

// scrapeMetrics reads the metrics of a process and sums each one over its labels.
func scrapeMetrics(addr string) (map[string]float64, error) {
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	out := make(map[string]float64)
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		name, _, _ = strings.Cut(name, "{")
		v, err := strconv.ParseFloat(value[strings.LastIndexByte(value, ' ')+1:], 64)
		if err == nil {
			out[name] += v
		}
	}
	return out, errors.Wrap(scanner.Err(), "read metrics")
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	for _, line := range strings.Split(string(b), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseFloat(fields[1], 64)
			return kib * 1024, errors.Wrap(err, "parse resident memory")
		}
	}
	return 0, errors.New("no VmRSS in the status of the process")
}
