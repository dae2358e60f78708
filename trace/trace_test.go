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
// what it lost, and against a trace that its own reader refuses.
func TestRecorderIsBounded(t *testing.T) {
	var now time.Duration
	const limit = 1000
	r := NewRecorder(limit, func() time.Duration { now += time.Millisecond; return now })
	const n = 100
	for i := range n {
		assert.NilError(t, r.Record(Event{Kind: KindStore, Store: &Store{State: StoreState(fmt.Sprint(i))}}))
		assert.Assert(t, r.Bytes() <= limit)
	}
	var b bytes.Buffer
	assert.NilError(t, r.Write(&b, Header{Name: "t"}))
	back, err := NewReader(&b)
	assert.NilError(t, err)
	kept := n - int(back.Header.Dropped)
	assert.Assert(t, kept > 5)
	for i := range kept {
		e, err := back.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(e.Store.State), fmt.Sprint(n-kept+i))
		assert.Equal(t, e.At(), time.Duration(i)*time.Millisecond)
	}
	_, err = back.Next()
	assert.Assert(t, errors.Is(err, io.EOF))
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
