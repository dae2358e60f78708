package control

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
)

// newEventLines returns the events recorded since the last call, one line each. seen
// counts the events returned so far.
func newEventLines(t *testing.T, r *trace.Recorder, seen *int) []string {
	t.Helper()
	var b strings.Builder
	assert.NilError(t, r.Write(&b, trace.Header{}))
	reader, err := trace.NewReader(strings.NewReader(b.String()))
	assert.NilError(t, err)
	var out []string
	for e, err := reader.Next(); err == nil; e, err = reader.Next() {
		line := string(e.Kind)
		switch {
		case e.Member != nil:
			line += fmt.Sprintf(" %s %s %s", e.Member.Instance, e.Member.Incarnation, e.Member.Reason)
		case e.Instance != nil:
			line += " " + string(e.Instance.ID)
		case e.LoadReport != nil:
			line += fmt.Sprintf(" %s %d", e.LoadReport.Instance, e.LoadReport.Running)
		}
		out = append(out, line)
	}
	out = out[*seen:]
	*seen += len(out)
	return out
}

// TestMemberLossesAndReturnsRecorded guards against losses and returns of members that
// are missing from the trace, recorded twice, or recorded for a member that answers.
func TestMemberLossesAndReturnsRecorded(t *testing.T) {
	r := trace.NewRecorder(1<<20, func() time.Duration { return time.Second })
	r.Start()
	tr := newLoopTrace(r, "e", tally.NoopScope)
	tr.reset(r.Generation())
	seen := 0
	expect := func(want ...string) {
		t.Helper()
		assert.DeepEqual(t, newEventLines(t, r, &seen), want)
	}
	status := func(incarnation ident.Incarnation, running int) engine.Status {
		return engine.Status{Instance: "w", Incarnation: incarnation, Running: running}
	}
	list := []infra.Instance{{ID: "w", Kind: infra.KindEngine}}
	tr.recordInstances(list)
	tr.recordInstances(list)
	tr.recordFailure(time.Second, "w", syscall.ECONNREFUSED) // The member never answered before.
	expect("instance w")
	tr.recordAnswer("w", time.Second, status("1", 3))
	tr.recordAnswer("w", 2*time.Second, status("1", 3))
	expect("load-report w 3")
	tr.recordFailure(2*time.Second+view.ConfirmTTL-1, "w", syscall.ETIMEDOUT)
	expect([]string{}...)
	tr.recordFailure(2*time.Second+view.ConfirmTTL, "w", syscall.ETIMEDOUT)
	tr.recordFailure(10*time.Second, "w", syscall.ETIMEDOUT)
	expect("member-lost w 1 unreachable")
	tr.recordAnswer("w", 11*time.Second, status("1", 4))
	expect("member-returned w 1 ", "load-report w 4")
	tr.recordFailure(11*time.Second, "w", errors.Wrap(syscall.ECONNREFUSED, "status"))
	tr.recordAnswer("w", 12*time.Second, status("2", 0))
	tr.recordAnswer("w", 13*time.Second, status("3", 0))
	expect("member-lost w 1 killed", "member-returned w 2 ", "load-report w 0",
		"member-lost w 2 killed", "member-returned w 3 ", "load-report w 0")
	tr.recordInstances(nil)
	expect("member-lost w  left")
}

// TestDocumentsRecordedWithoutKeys guards against hashes of callers' keys in a
// trace, and against a recorded document that a replay cannot parse.
func TestDocumentsRecordedWithoutKeys(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "examples", "orders.yaml"))
	assert.NilError(t, err)
	doc, err := service.Parse(b)
	assert.NilError(t, err)
	text := documentText(doc)
	parsed, err := service.Parse([]byte(text))
	assert.NilError(t, err)
	assert.Assert(t, len(doc.Accounts) > 0)
	for i, a := range doc.Accounts {
		assert.Assert(t, !strings.Contains(text, a.KeySHA256))
		assert.Equal(t, parsed.Accounts[i].Name, a.Name)
	}
}
