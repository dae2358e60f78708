package experiment

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/claim/runner"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	storesim "github.com/bulrushfall/bulrushfall/standin/platform"
)

// Sizes of the orders experiment.
const (
	orderWrites       = 300 // store transactions a second
	orderStoreLatency = 2   // milliseconds
	orderTime         = 4 * time.Second
	orderDeadline     = 2 * time.Second
	rememberedOrders  = 50_000
)

// orderLoad is one case: entries that place orders at a rate, or as fast as a
// number of callers can when the rate is 0.
type orderLoad struct {
	entries int
	grouped bool
	rate    int
	callers int
}

// Orders measures the claim step of non-idempotent calls: its rate and latency
// at a store of 300 writes a second with and without group commit, the memory
// per remembered attempt, and what a crashing request costs.
func Orders(w io.Writer) error {
	rememberedMemory(w)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "entries\tgroup commit\tload\torders/s\tnot run\tp50 ms\tp99 ms\ttransactions/order\tthrottled")
	for _, entries := range []int{1, 7} {
		for _, grouped := range []bool{false, true} {
			for _, load := range []orderLoad{{rate: 100}, {callers: 256}} {
				load.entries, load.grouped = entries, grouped
				if err := load.run(t); err != nil {
					return err
				}
			}
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return crashCosts(w)
}

// orderRunners starts one runner per entry instance. The backend server of the
// runners answers at once, so that only the claim step takes time.
func (l orderLoad) orderRunners(url string) ([]*runner.Runner, error) {
	batch := claim.DefaultBatchConfig()
	if !l.grouped {
		batch.MaxRows, batch.GroupDelay = 1, 0
	}
	begin := time.Now()
	var out []*runner.Runner
	for i := range l.entries {
		client := infra.NewClient(url)
		r, err := runner.New(runner.Options{
			Instance:    ident.InstanceID(fmt.Sprintf("entry-%d", i)),
			Incarnation: ident.Incarnation(uuid.NewString()),
			Table:       client, Objects: client,
			QueryOwner: func(context.Context, claim.Owner) claim.Report { return claim.Report{State: claim.StateGone} },
			Now:        func() time.Duration { return time.Since(begin) },
			WallClock:  time.Now,
			Scope:      tally.NoopScope, MachineConfig: claim.DefaultConfig(),
			RegistryConfig: claim.DefaultRegistryConfig(), BatchConfig: batch,
		})
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// orderStats are the results of one case.
type orderStats struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	placed  atomic.Int64
	notRun  atomic.Int64
	other   atomic.Int64
	ran     atomic.Int64
}

func (l orderLoad) run(w io.Writer) error {
	cfg := storesim.DefaultConfig()
	cfg.WritesPerSecond, cfg.RecordLimit = orderWrites, 1000
	store, err := storesim.Start(cfg)
	if err != nil {
		return err
	}
	defer store.Close()
	store.SetFaults(storesim.Faults{LatencyMillis: orderStoreLatency})
	runners, err := l.orderRunners(store.URL())
	if err != nil {
		return err
	}
	s := &orderStats{latency: hdrhistogram.New(1, 10_000_000, 3)}
	begin := time.Now()
	l.place(runners, s)
	elapsed := time.Since(begin)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	for _, r := range runners {
		if err := r.Wait(ctx); err != nil {
			return err
		}
	}
	if s.other.Load() > 0 || s.ran.Load() != s.placed.Load() {
		return errors.Errorf("%d orders placed, %d ran, %d had another outcome", s.placed.Load(), s.ran.Load(), s.other.Load())
	}
	counts := store.Counts()
	load := fmt.Sprintf("%d/s", l.rate)
	if l.rate == 0 {
		load = fmt.Sprintf("%d callers", l.callers)
	}
	_, err = fmt.Fprintf(w, "%d\t%t\t%s\t%.0f\t%d\t%.1f\t%.1f\t%.2f\t%d\n", l.entries, l.grouped, load,
		float64(s.placed.Load())/elapsed.Seconds(), s.notRun.Load(),
		float64(s.latency.ValueAtQuantile(50))/1000, float64(s.latency.ValueAtQuantile(99))/1000,
		float64(counts.Writes)/float64(max(1, s.placed.Load())), counts.Throttled)
	return errors.Wrap(err, "write result")
}

// place offers orders for the time of the experiment.
func (l orderLoad) place(runners []*runner.Runner, s *orderStats) {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(orderTime)
	if l.rate > 0 {
		tick := time.NewTicker(time.Second / time.Duration(l.rate))
		defer tick.Stop()
		for i := 0; time.Now().Before(end); i++ {
			<-tick.C
			wg.Go(func() { s.order(runners[i%len(runners)]) })
		}
		return
	}
	for i := range l.callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				s.order(runners[i%len(runners)])
			}
		})
	}
}

// order places one order with a new key.
func (s *orderStats) order(r *runner.Runner) {
	begin := time.Now()
	v := r.Run(context.Background(), runner.Request{
		Key:       claim.NewKey("bench", "orders", uuid.NewString()),
		Digest:    "digest",
		Deadline:  r.Now() + orderDeadline,
		FirstCall: true,
		Dispatch: func(context.Context, ident.AttemptID) claim.DispatchDone {
			s.ran.Add(1)
			return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201, Body: make([]byte, 200)}}
		},
	})
	switch v.Kind {
	case claim.ResultAnswer:
		s.placed.Add(1)
		s.mu.Lock()
		_ = s.latency.RecordValue(time.Since(begin).Microseconds())
		s.mu.Unlock()
	case claim.ResultNotRun:
		s.notRun.Add(1)
	default:
		s.other.Add(1)
	}
}

// rememberedMemory measures the heap per attempt in the register.
func rememberedMemory(w io.Writer) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, size := range []int{0, 200, 2000} {
		r := claim.NewRegistry(claim.DefaultRegistryConfig())
		before := heap()
		for i := range min(rememberedOrders, claim.DefaultRegistryConfig().MaxAnswerBytes/max(1, size)) {
			id := ident.AttemptID(uuid.NewString())
			key := claim.NewKey("bench", "orders", fmt.Sprint(i))
			r.Reserve(0, claim.Request{Key: key, Digest: claim.NewDigest("POST", "/orders", []byte(key)), Owner: claim.Owner{Attempt: id}}, 0)
			r.SetFinalState(0, id, claim.StateDone, &claim.Answer{Status: 201, Body: make([]byte, size)})
		}
		_, _ = fmt.Fprintf(w, "remembered attempt with an answer of %d bytes: %d bytes\n", size, (heap()-before)/uint64(r.Len()))
		runtime.KeepAlive(r)
	}
}
