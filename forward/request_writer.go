package forward

import (
	"sync/atomic"
	"time"
)

const (
	// inlineBodyBytes is the size up to which a request body is written together with the
	// head.
	inlineBodyBytes = 16 << 10
	// writePieceBytes is the size of a write to a backend server that reads slowly.
	writePieceBytes = 256 << 10
)

// requestWriter writes the part of a request that its connection has not accepted at once, while
// the goroutine of the request reads the response: a backend server may answer before it has read
// the request, and reads no more of it then.
type requestWriter struct {
	conn *conn
	now  Clock
	// lastWrite is when the connection last accepted bytes.
	lastWrite atomic.Int64
	// written is true once the whole request was written.
	written atomic.Bool
}

// run writes the parts. An error is not reported, because a response may have arrived before it;
// reading finds the end of the connection too.
func (w *requestWriter) run(parts ...[]byte) {
	for _, p := range parts {
		for len(p) > 0 {
			n, err := w.conn.Write(p[:min(len(p), writePieceBytes)])
			p = p[n:]
			if n > 0 {
				w.lastWrite.Store(int64(w.now()))
			}
			if err != nil {
				return
			}
		}
	}
	w.written.Store(true)
}

// write writes the request. What the connection does not accept at once is written while the
// response is read. It returns the number of bytes written so far, and an error if the connection
// has failed.
func (a *attempt) write(head, body []byte) (int, error) {
	n, err := a.conn.WriteReady(head)
	if n == 0 && err == nil {
		n, err = a.conn.Write(head)
	}
	head = head[n:]
	if err == nil && len(head) == 0 {
		var k int
		k, err = a.conn.WriteReady(body)
		body = body[k:]
		n += k
	}
	if err != nil || len(head)+len(body) == 0 {
		return n, err
	}
	a.writer = &requestWriter{conn: a.conn, now: a.req.now}
	a.writer.lastWrite.Store(int64(a.req.now()))
	go a.writer.run(head, body)
	return n, nil
}

// recordWritten counts the bytes that the backend server has accepted as progress.
func (a *attempt) recordWritten() {
	if a.writer != nil && !a.eventReceived {
		a.lastProgress = max(a.lastProgress, time.Duration(a.writer.lastWrite.Load()))
	}
}

// requestWritten reports whether the whole request was written.
func (a *attempt) requestWritten() bool {
	return !a.writeFailed && (a.writer == nil || a.writer.written.Load())
}
