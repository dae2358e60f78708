package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

const header = `{"format":"bulrush-trace","version":1,"name":"t","seed":1,"tick_us":1000}` + "\n"

// TestFormatErrors guards against malformed traces that are accepted or
// refused without the line, the field and a remedy.
func TestFormatErrors(t *testing.T) {
	cases := []struct{ name, trace, want string }{
		{"empty", "", "trace line 1: the trace is empty: start it with a header line"},
		{"not a header", `{"at_us":1}`, "unknown field"},
		{"version", `{"format":"bulrush-trace","version":9}`, "trace line 1, field version: is 9"},
		{"unknown field", header + `{"at_us":1,"kind":"tick","colour":1}`, `trace line 2: json: unknown field "colour"`},
		{"type", header + `{"at_us":"x","kind":"store"}`, "trace line 2, field at_us: is a string: write a int64"},
		{"order", header + `{"at_us":5,"kind":"store","store":{"state":"up"}}` + "\n" + `{"at_us":4,"kind":"store","store":{"state":"up"}}`, "trace line 3, field at_us: 4 is before"},
		{"payload missing", header + `{"at_us":5,"kind":"drain"}`, "trace line 2, field drain: is missing"},
		{"payload of another kind", header + `{"at_us":5,"kind":"drain","drain":{},"store":{}}`, "field store: does not belong"},
		{"kind", header + `{"at_us":5,"kind":"tick"}`, `field kind: "tick" is unknown`},
		{"two values", header + `{"at_us":5,"kind":"store","store":{"state":"up"}} {}`, "more than one value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := NewReader(strings.NewReader(c.trace))
			for err == nil {
				_, err = r.Next()
			}
			var format *FormatError
			assert.Assert(t, errors.As(err, &format), "%v", err)
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, format.Remedy != "")
		})
	}
}

// TestRecorderIsBounded guards against a recorder that grows or that hides
// what it lost, and against a trace that its own reader refuses. The newest of
// the dropped states stays, as the state that the trace starts with.
func TestRecorderIsBounded(t *testing.T) {
	var now time.Duration
	const limit = 4000
	r := NewRecorder(limit, func() time.Duration { now += time.Millisecond; return now })
	r.Record(Event{Kind: KindStore, Store: &Store{State: StoreDown}})
	assert.Equal(t, r.Stats(), Stats{MaxBytes: limit})
	assert.Assert(t, r.Start())
	assert.Assert(t, !r.Start())
	const n = 100
	for i := range n {
		r.Record(Event{Kind: KindStore, Store: &Store{State: StoreState(fmt.Sprint(i))}})
		assert.Assert(t, r.Stats().Bytes <= limit)
	}
	assert.Assert(t, r.Stop())
	r.Record(Event{Kind: KindStore, Store: &Store{State: StoreDown}})
	var b bytes.Buffer
	assert.NilError(t, r.Write(&b, Header{Name: "t"}))
	back, err := NewReader(&b)
	assert.NilError(t, err)
	dropped := int(back.Header.Dropped)
	kept := n - dropped
	assert.Assert(t, kept > 5 && kept < n/2, "kept %d", kept)
	for i := range kept {
		e, err := back.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(e.Store.State), fmt.Sprint(dropped+i))
		assert.Equal(t, e.At(), time.Duration(max(0, i-1))*time.Millisecond)
		if i == 0 {
			gap, err := back.Next()
			assert.NilError(t, err)
			assert.Equal(t, *gap.Gap, Gap{Dropped: uint64(dropped)})
		}
	}
	_, err = back.Next()
	assert.Assert(t, errors.Is(err, io.EOF))
}

// TestRecorderMarksGaps guards against events that are missing in the middle of
// a trace without a mark, and against one large event that takes the place of
// all others.
func TestRecorderMarksGaps(t *testing.T) {
	r := NewRecorder(4000, func() time.Duration { return time.Second })
	assert.Assert(t, r.Start())
	store := Event{Kind: KindStore, Store: &Store{State: StoreUp}}
	large := Event{Kind: KindEdit, Edit: &Edit{Service: "quotes", Document: strings.Repeat("x", 4000)}}
	for _, e := range []Event{store, large, large, store, large} {
		r.Record(e)
	}
	assert.Equal(t, r.Stats().Dropped, uint64(3))
	events, _ := r.last.snapshot()
	var got []string
	for _, e := range events {
		text := string(e.Kind)
		if e.Gap != nil {
			text += fmt.Sprint(e.Gap.Dropped)
		}
		got = append(got, text)
	}
	assert.DeepEqual(t, got, []string{"store", "gap2", "store", "gap1"})
}

// TestRecorderKeepsGroups guards against a trace whose routing rows are gone
// with the events that told of them, or have a wrong age.
func TestRecorderKeepsGroups(t *testing.T) {
	var now time.Duration
	r := NewRecorder(6000, func() time.Duration { return now })
	assert.Assert(t, r.Start())
	groups := func(g Groups) { g.Service = "quotes"; r.RecordAt(now, Event{Kind: KindGroups, Node: "e", Groups: &g}) }
	now = time.Second
	groups(Groups{Complete: true, DataCentre: "dc-a", Rows: []GroupRow{{ID: "g1"}, {ID: "g2", AgeMicros: 100}}})
	groups(Groups{Rows: []GroupRow{{ID: "g3", Running: 1}}, Removed: []ident.GroupID{"g1"}})
	for range 50 {
		now += time.Millisecond
		r.Record(Event{Kind: KindRelease, Release: &Release{ID: "r1", Service: "quotes", Group: "g2"}})
	}
	events, dropped := r.last.snapshot()
	assert.Equal(t, events[1].Gap.Dropped, dropped)
	start := now - time.Duration(len(events)-3)*time.Millisecond
	age := (start - time.Second).Microseconds()
	assert.DeepEqual(t, *events[0].Groups, Groups{Service: "quotes", Complete: true, DataCentre: "dc-a", Rows: []GroupRow{
		{ID: "g2", AgeMicros: 100 + age}, {ID: "g3", Running: 1, AgeMicros: age},
	}})
}

// counter decides on each event and each tenth tick.
type counter struct{ ticks int }

func (c *counter) Name() string         { return "counter" }
func (c *counter) Start(h Header) error { c.ticks = 0; return nil }
func (c *counter) Step(now time.Duration, e *Event) ([]Decision, error) {
	if e.Kind == KindTick {
		if c.ticks++; c.ticks%10 != 0 {
			return nil, nil
		}
	}
	return []Decision{{Action: string(e.Kind), Detail: now.String()}}, nil
}

// TestReplayFollowsTraceTime guards against a replay that skips ticks or
// depends on the wall clock.
func TestReplayFollowsTraceTime(t *testing.T) {
	text := strings.Replace(header, `"tick_us":1000`, `"tick_us":1000,"end_us":20000`, 1) +
		`{"at_us":5500,"kind":"store","store":{"state":"down"}}`
	r, err := NewReader(strings.NewReader(text))
	assert.NilError(t, err)
	var log bytes.Buffer
	var kept []Decision
	sum, err := NewDriver(&counter{}).Run(r, &log, func(d Decision) { kept = append(kept, d) })
	assert.NilError(t, err)
	assert.Equal(t, sum, Summary{Events: 1, Ticks: 20, Decisions: 3})
	assert.Equal(t, log.String(), `{"at_us":5500,"machine":"counter","action":"store","detail":"5.5ms"}
{"at_us":10000,"machine":"counter","action":"tick","detail":"10ms"}
{"at_us":20000,"machine":"counter","action":"tick","detail":"20ms"}
`)
	x, err := ParseExpectations(strings.NewReader(`
trace: t.jsonl
machines: [counter]
expect:
  - {outcome: one outage, machine: counter, action: store, at_least: 1, at_most: 1}
  - {outcome: no tick before 15 ms, machine: counter, action: tick, to_us: 15000, at_most: 0}
`))
	assert.NilError(t, err)
	unmet := x.Verify(kept)
	assert.Equal(t, len(unmet), 1)
	assert.Equal(t, unmet[0].String(), "no tick before 15 ms: 1 decisions counter/tick, want at least 0 and at most 0")
}

// FuzzReader guards against a panic on any input.
func FuzzReader(f *testing.F) {
	f.Add([]byte(header + `{"at_us":5,"kind":"store","store":{"state":"up"}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := NewReader(bytes.NewReader(b))
		for err == nil {
			_, err = r.Next()
		}
	})
}

// BenchmarkReplay measures reading and driving one cheap machine.
func BenchmarkReplay(b *testing.B) {
	const n = 100_000
	events := make([]Event, n)
	for i := range events {
		events[i] = Event{AtMicros: int64(i) * 100, Kind: KindRequest, Request: &Request{
			ID: fmt.Sprint(i), Service: "quotes", Account: "a", PromptTokens: 500, MaxTokens: 100, Prefixes: []uint64{1, 2, 3},
		}}
	}
	var text bytes.Buffer
	assert.NilError(b, Write(&text, Header{Name: "bench", TickMicros: 10_000}, events))
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		r, err := NewReader(bytes.NewReader(text.Bytes()))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := NewDriver(&counter{}).Run(r, io.Discard, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkRecord measures what recording costs a traffic goroutine.
func BenchmarkRecord(b *testing.B) {
	prefixes := make([]uint64, 64)
	record := func(r *Recorder) func(b *testing.B) {
		return func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if id := r.NextID(); id != "" {
					r.Record(Event{Kind: KindRequest, Node: "entry-0", Request: &Request{
						ID: id, Service: "quotes", Account: "a", PromptTokens: 1000, Prefixes: prefixes,
					}})
				}
			}
		}
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	on := NewRecorder(16<<20, now)
	on.Start()
	b.Run("nil", record(nil))
	b.Run("off", record(NewRecorder(16<<20, now)))
	b.Run("on", record(on))
	b.Run("on-parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				on.Record(Event{Kind: KindRelease, Release: &Release{ID: "r1", Service: "quotes", Group: "g"}})
			}
		})
	})
}
