package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter writes lines from a goroutine of its own, so that a reader of the
// log that stalls never delays a request. Lines beyond the queue or the rate are
// dropped and counted; a line tells how many those were.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	rate    int
}

// asyncQueue is the number of lines that wait for the writer.
const asyncQueue = 1024

// NewAsyncWriter starts a writer of at most rate lines a second.
func NewAsyncWriter(out io.Writer, rate int) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncQueue), rate: rate}
	go w.run(out)
	return w
}

// Write queues one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) run(out io.Writer) {
	window, written := time.Now(), 0
	for line := range w.lines {
		if now := time.Now(); now.Sub(window) >= time.Second {
			window, written = now, 0
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
			}
		}
		if written >= w.rate {
			w.dropped.Add(1)
			continue
		}
		written++
		_, _ = out.Write(line) // There is nowhere else to report a failing log.
	}
}
