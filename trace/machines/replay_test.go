package machines

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/trace"
)

// TestCommittedTraces replays each committed trace twice. It guards against
// decisions that do not meet the trace's expectations, and against decisions that depend
// on anything but the trace: the logs of both replays must be identical.
func TestCommittedTraces(t *testing.T) {
	files, err := filepath.Glob("../testdata/*.expect.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".expect.yaml"), func(t *testing.T) {
			t.Parallel()
			f, err := os.Open(file)
			assert.NilError(t, err)
			defer func() { _ = f.Close() }()
			x, err := trace.ParseExpectations(f)
			assert.NilError(t, err)
			text, err := os.ReadFile(filepath.Join("../testdata", x.Trace))
			assert.NilError(t, err)
			var first, second bytes.Buffer
			decisions, _, err := Replay(bytes.NewReader(text), &first, x.Machines...)
			assert.NilError(t, err)
			_, _, err = Replay(bytes.NewReader(text), &second, x.Machines...)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(first.Bytes(), second.Bytes()), "two replays differ")
			for _, u := range x.Verify(decisions) {
				t.Error(u.String())
			}
			for _, d := range decisions {
				if d.Action == ActionViolation {
					t.Errorf("%d us: %s %s", d.AtMicros, d.Subject, d.Detail)
				}
			}
			if t.Failed() {
				t.Log(first.String())
			}
		})
	}
}

// TestEveryMachineHasTraces guards against a machine with fewer than two committed
// traces.
func TestEveryMachineHasTraces(t *testing.T) {
	for _, m := range Names() {
		files, err := filepath.Glob("../testdata/" + m + "-*.expect.yaml")
		assert.NilError(t, err)
		assert.Assert(t, len(files) >= 2, "machine %s", m)
	}
}

// TestFailureTable guards against a trace that is listed in the table of
// docs/notes/proof.md but does not exist.
func TestFailureTable(t *testing.T) {
	text, err := os.ReadFile("../../docs/notes/proof.md")
	assert.NilError(t, err)
	names := regexp.MustCompile("`((?:"+strings.Join(Names(), "|")+")-[a-z-]+)`").FindAllStringSubmatch(string(text), -1)
	assert.Assert(t, len(names) > 50, "%d names", len(names))
	for _, n := range names {
		_, err := os.Stat("../testdata/" + n[1] + ".expect.yaml")
		assert.NilError(t, err)
	}
}

// BenchmarkReplay measures replays of committed traces, including ticks.
func BenchmarkReplay(b *testing.B) {
	for name, trace := range map[string]string{
		"lease": "lease-holder-killed", "group": "group-domain-dark", "config": "config-operators-race",
		"credit": "credit-backend-restarts", "admission": "admission-account-over-share", "routing": "routing-straggler",
		"claim": "claim-two-entries", "quarantine": "quarantine-request-resent",
	} {
		b.Run(name, func(b *testing.B) {
			text, err := os.ReadFile("../testdata/" + trace + ".jsonl")
			assert.NilError(b, err)
			steps := 0
			for b.Loop() {
				_, sum, err := Replay(bytes.NewReader(text), io.Discard, name)
				assert.NilError(b, err)
				steps += sum.Events + sum.Ticks
			}
			b.ReportMetric(float64(steps)/b.Elapsed().Seconds(), "steps/s")
		})
	}
}
