package engine

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// silenceRecorder is a SilenceObserver.
type silenceRecorder struct {
	silences, resumptions int
	closeStream           func()
	giveUp                bool
}

func (r *silenceRecorder) Silent(closeStream func()) {
	r.silences++
	r.closeStream = closeStream
}

func (r *silenceRecorder) Resumed() bool {
	r.resumptions++
	return !r.giveUp
}

// observedStream returns a stream whose observer is o, and the writer of its body.
func observedStream(t *testing.T, o SilenceObserver) (*Stream, *io.PipeWriter) {
	r, w := io.Pipe()
	s := &Stream{ctx: t.Context(), lastOffset: -1}
	s.watch.observer = o
	s.watch.start(func() { _ = r.Close() })
	s.reader = getReader(watchedBody{body: r, watch: &s.watch})
	return s, w
}

// TestSilentStreamStaysOpen guards against a stream with an observer that is closed by
// a silence, and against silences that are not reported, or reported twice.
func TestSilentStreamStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &silenceRecorder{}
		s, w := observedStream(t, o)
		go func() {
			for _, line := range []string{"id: a:0\ndata: x\n\n", ": heartbeat\n\n", "id: a:1\ndata: y\n\n"} {
				time.Sleep(5 * ProgressTimeout)
				_, _ = io.WriteString(w, line)
			}
		}()
		var f Frame
		for _, want := range []string{"x", "y"} {
			assert.NilError(t, s.Next(&f))
			assert.Equal(t, string(f.Data), want)
		}
		assert.Equal(t, o.silences, 3)
		assert.Equal(t, o.resumptions, 3)
		o.closeStream() // too late: the engine has sent again
		go func() { _, _ = io.WriteString(w, "id: a:2\ndata: z\n\n") }()
		assert.NilError(t, s.Next(&f))
		s.watch.stop()
	})
}

// TestGivenUpStream guards against a stream that delivers a line after its silence was
// given up, and against a broken connection as the error of such a stream.
func TestGivenUpStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f Frame
		o := &silenceRecorder{}
		s, _ := observedStream(t, o)
		go func() {
			time.Sleep(2 * ProgressTimeout)
			synctest.Wait()
			o.closeStream()
		}()
		assert.ErrorIs(t, s.Next(&f), ErrNoProgress)
		s.watch.stop()

		refused := &silenceRecorder{giveUp: true}
		s, w := observedStream(t, refused)
		go func() {
			time.Sleep(2 * ProgressTimeout)
			_, _ = io.WriteString(w, "id: a:0\ndata: x\n\n")
		}()
		assert.ErrorIs(t, s.Next(&f), ErrNoProgress)
		assert.Equal(t, refused.resumptions, 1)
		s.watch.stop()
	})
}

// TestEndedStreamStaysEnded guards against a silence that closes the connection of a
// stream that has ended: another request may use it.
func TestEndedStreamStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &silenceRecorder{}
		s := &Stream{ctx: t.Context(), lastOffset: -1}
		closed := false
		s.watch.observer = o
		s.watch.start(func() { closed = true })
		time.Sleep(2 * ProgressTimeout)
		synctest.Wait()
		assert.Equal(t, o.silences, 1)
		assert.Assert(t, s.watch.stop())
		o.closeStream()
		assert.Assert(t, !closed)
	})
}
