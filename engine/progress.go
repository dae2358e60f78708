package engine

import (
	"io"
	"sync/atomic"
	"time"
)

// Values of progressWatch.waitStart that are not the start of a wait.
const (
	notWaiting   = 0
	watchStalled = -1
	watchStopped = -2
)

// progressWatch closes a stream whose engine sends nothing for ProgressTimeout. Its
// timer is not reset at each token, because that took a tenth of the processor time
// of an entry instance. Instead the timer checks the start of the current wait when
// it fires.
type progressWatch struct {
	timer       *time.Timer
	closeStream func()
	startTime   time.Time
	// waitStart is the start of the wait for a line in ns after startTime, or one
	// of the values above.
	waitStart atomic.Int64
}

// start begins the first wait. closeStream is called when a wait reaches
// ProgressTimeout.
func (w *progressWatch) start(closeStream func()) {
	w.closeStream, w.startTime = closeStream, time.Now()
	// The timer is assigned before it can fire, because checkTimeout resets it.
	w.timer = time.AfterFunc(time.Hour, w.checkTimeout)
	w.startWait()
	w.timer.Reset(ProgressTimeout)
}

// startWait starts a wait unless one is in progress.
func (w *progressWatch) startWait() {
	if w.waitStart.Load() == notWaiting {
		w.waitStart.CompareAndSwap(notWaiting, max(1, int64(time.Since(w.startTime))))
	}
}

// endWait ends the wait. It is called when a whole line has arrived.
func (w *progressWatch) endWait() {
	if start := w.waitStart.Load(); start > notWaiting {
		w.waitStart.CompareAndSwap(start, notWaiting)
	}
}

// checkTimeout closes the stream if the current wait has reached ProgressTimeout,
// and resets the timer otherwise.
func (w *progressWatch) checkTimeout() {
	start := w.waitStart.Load()
	if start < notWaiting {
		return
	}
	left := ProgressTimeout
	if start > notWaiting {
		left -= time.Since(w.startTime) - time.Duration(start)
	}
	if left > 0 || !w.waitStart.CompareAndSwap(start, watchStalled) {
		w.timer.Reset(max(left, time.Millisecond))
		return
	}
	w.closeStream()
}

func (w *progressWatch) stalled() bool { return w.waitStart.Load() == watchStalled }

// stop ends the watch and reports whether the watch left the stream open. A timer
// that a concurrent checkTimeout has reset may fire once more, without effect.
func (w *progressWatch) stop() bool {
	w.timer.Stop()
	if w.waitStart.Swap(watchStopped) != watchStalled {
		return true
	}
	w.waitStart.Store(watchStalled)
	return false
}

// watchedBody is the body of a stream. Read starts the wait for a line, and
// Stream.Next ends it when the line is complete. Between lines no wait runs, because a
// slow reader of the stream is no sign of a stalled engine.
type watchedBody struct {
	body  io.Reader
	watch *progressWatch
}

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	b.watch.startWait()
	return b.body.Read(p)
}
