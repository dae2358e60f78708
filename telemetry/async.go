package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter writes log lines from a separate goroutine, so that a stalled reader
// of the log never delays a request. Lines that exceed the queue or the rate are
// dropped; a log line reports how many.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	rate    int
}

// asyncQueueLines is the maximum number of lines that wait to be written.
const asyncQueueLines = 1024

// NewAsyncWriter starts a writer to out that writes at most rate lines per second.
func NewAsyncWriter(out io.Writer, rate int) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), rate: rate}
	go w.run(out)
	return w
}

// Write queues a copy of one line, or drops the line when the queue is full. It
// never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) run(out io.Writer) {
	windowStart, written := time.Now(), 0
	for line := range w.lines {
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			windowStart, written = now, 0
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
			}
		}
		if written >= w.rate {
			w.dropped.Add(1)
			continue
		}
		written++
		_, _ = out.Write(line) // A failure to write the log cannot be reported anywhere else.
	}
}
