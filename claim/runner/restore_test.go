package runner

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// TestKeyAfterRestore guards against a second run of a key after the store has lost the row of
// the first one in a restore.
func TestKeyAfterRestore(t *testing.T) {
	s := newMemoryStore()
	a, b := newTestRunner(t, s, "a"), newTestRunner(t, s, "b")
	runs := 0
	dispatch := func(ctx context.Context, n ident.AttemptID) claim.DispatchDone {
		runs++
		return answerWith([]byte("x"))(ctx, n)
	}
	first := runRequest(a, "key-1", dispatch)
	s.mu.Lock()
	s.version, s.rows = 0, map[infra.RowKey]infra.Row{} // an older copy, without the row
	s.mu.Unlock()
	second := runRequest(b, "key-1", dispatch)
	assert.Equal(t, runs, 1, "outcomes: first %v, second %v", first.Kind, second.Kind)
}
