package engine

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestProgressWatch guards against a stream that stays open longer than
// ProgressTimeout without a line from its engine, and against a stream that is
// closed although its engine sends heartbeats, or because its reader is slow.
func TestProgressWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		begin := time.Now()
		s := &Stream{ctx: t.Context(), lastOffset: -1}
		s.watch.start(func() { _ = r.Close() })
		s.reader = getReader(watchedBody{body: r, watch: &s.watch})
		go func() {
			for range 5 {
				time.Sleep(ProgressTimeout - time.Millisecond)
				_, _ = io.WriteString(w, ": heartbeat\n\n")
			}
			_, _ = io.WriteString(w, "id: a:0\ndata: x\n\n")
		}()
		var f Frame
		assert.NilError(t, s.Next(&f))
		assert.Equal(t, string(f.Data), "x")
		time.Sleep(3 * ProgressTimeout) // a slow reader of the stream
		untilSecondRead := time.Since(begin)
		assert.ErrorIs(t, s.Next(&f), ErrNoProgress)
		assert.Equal(t, time.Since(begin)-untilSecondRead, ProgressTimeout)
		s.watch.stop()
	})
}
