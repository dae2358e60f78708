package engine

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Values of progressWatch.waitStart that are not the start of a wait.
const (
	notWaiting   = 0
	watchStalled = -1
	watchStopped = -2
	// watchSilent means that the wait has reached ProgressTimeout and the stream is
	// still open.
	watchSilent = -3
)

// SilenceObserver is told when the engine of a stream sends nothing for
// ProgressTimeout, and when it sends again. Its methods must not block.
type SilenceObserver interface {
	// Silent is called when the wait for a line has reached ProgressTimeout.
	// closeStream closes the stream if it is still silent: reads then return
	// ErrNoProgress.
	Silent(closeStream func())
	// Resumed is called when a line arrives after Silent. If it returns false, the
	// stream is closed and reads return ErrNoProgress.
	Resumed() bool
}

// progressWatch detects that the engine of a stream sends nothing for
// ProgressTimeout. It tells the observer or, if there is none, closes the stream. Its
// timer is not reset at each token, because that took a tenth of the processor time
// of an entry instance. Instead the timer checks the start of the current wait when
// it fires.
type progressWatch struct {
	timer       *time.Timer
	closeStream func()
	startTime   time.Time
	// mu orders the calls of the observer. It is not locked for each line.
	mu       sync.Mutex
	observer SilenceObserver
	// waitStart is the start of the wait for a line in ns after startTime, or one
	// of the values above.
	waitStart atomic.Int64
}

// start begins the first wait. closeStream closes the stream.
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

// endWait ends the wait. It is called when a whole line has arrived, and returns
// false if the stream was given up before.
func (w *progressWatch) endWait() bool {
	start := w.waitStart.Load()
	if start == notWaiting || start > notWaiting && w.waitStart.CompareAndSwap(start, notWaiting) {
		return true
	}
	return w.endSilence()
}

// endSilence ends a wait that has reached ProgressTimeout.
func (w *progressWatch) endSilence() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waitStart.Load() != watchSilent {
		return false
	}
	if !w.observer.Resumed() {
		w.closeIfSilent()
		return false
	}
	if !w.waitStart.CompareAndSwap(watchSilent, notWaiting) {
		return false
	}
	w.timer.Reset(ProgressTimeout)
	return true
}

// closeIfSilent closes the stream unless the engine has sent again or the stream has
// ended, because its connection may then carry another request.
func (w *progressWatch) closeIfSilent() {
	if w.waitStart.CompareAndSwap(watchSilent, watchStalled) {
		w.closeStream()
	}
}

// checkTimeout acts if the current wait has reached ProgressTimeout, and resets the
// timer otherwise.
func (w *progressWatch) checkTimeout() {
	w.mu.Lock()
	defer w.mu.Unlock()
	start := w.waitStart.Load()
	if start < notWaiting {
		return
	}
	left := ProgressTimeout
	if start > notWaiting {
		left -= time.Since(w.startTime) - time.Duration(start)
	}
	if left > 0 || !w.waitStart.CompareAndSwap(start, watchSilent) {
		w.timer.Reset(max(left, time.Millisecond))
		return
	}
	if w.observer == nil {
		w.closeIfSilent()
		return
	}
	w.observer.Silent(w.closeIfSilent)
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
