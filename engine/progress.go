package engine

import (
	"io"
	"sync/atomic"
	"time"
)

// States of a progressWatch other than the start of a wait.
const (
	notWaiting   = 0
	watchStalled = -1
	watchStopped = -2
)

// progressWatch abandons a stream whose engine stays silent. Its timer is not
// moved with each token, which took a tenth of the processor time of an entry
// instance: it looks at the start of the current wait when it fires.
type progressWatch struct {
	timer       *time.Timer
	closeStream func()
	startTime   time.Time
	// since is the start of the wait for a line in ns after started, or a state.
	waitStart atomic.Int64
}

// start begins the first wait.
func (w *progressWatch) start(abandon func()) {
	w.closeStream, w.startTime = abandon, time.Now()
	// The timer is set before it is started, because check uses it.
	w.timer = time.AfterFunc(time.Hour, w.checkTimeout)
	w.startWait()
	w.timer.Reset(ProgressTimeout)
}

// wait begins a wait unless one is under way.
func (w *progressWatch) startWait() {
	if w.waitStart.Load() == notWaiting {
		w.waitStart.CompareAndSwap(notWaiting, max(1, int64(time.Since(w.startTime))))
	}
}

// progress ends the wait.
func (w *progressWatch) endWait() {
	if since := w.waitStart.Load(); since > notWaiting {
		w.waitStart.CompareAndSwap(since, notWaiting)
	}
}

func (w *progressWatch) checkTimeout() {
	since := w.waitStart.Load()
	if since < notWaiting {
		return
	}
	left := ProgressTimeout
	if since > notWaiting {
		left -= time.Since(w.startTime) - time.Duration(since)
	}
	if left > 0 || !w.waitStart.CompareAndSwap(since, watchStalled) {
		w.timer.Reset(max(left, time.Millisecond))
		return
	}
	w.closeStream()
}

func (w *progressWatch) stalled() bool { return w.waitStart.Load() == watchStalled }

// stop ends the watch and reports whether the stream was not abandoned. A check
// that runs at this moment may fire once more, without effect.
func (w *progressWatch) stop() bool {
	w.timer.Stop()
	if w.waitStart.Swap(watchStopped) != watchStalled {
		return true
	}
	w.waitStart.Store(watchStalled)
	return false
}

// watchedBody is the body of a stream. The progress deadline counts only while
// it is read: the pace of the reader of the answer is not the engine's.
type watchedBody struct {
	body  io.Reader
	watch *progressWatch
}

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	b.watch.startWait()
	return b.body.Read(p)
}
