package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// readerBytes is the buffer of one stream and so the longest accepted line.
const readerBytes = 8 << 10

// ErrBadFrame means that an engine sent something other than the protocol.
var ErrBadFrame = errors.New("engine sent a malformed frame")

// Frame is one event of a stream. Its slices are valid until the next read.
type Frame struct {
	// Attempt is the attempt that the frame belongs to.
	Attempt []byte
	// Offset is the index of the token.
	Offset int
	// Data is the payload; for the last frame it is DoneMarker.
	Data []byte
	// Done is set on the last frame of a complete answer.
	Done bool
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

func newReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// Stream reads the frames of one attempt. It belongs to one goroutine.
type Stream struct {
	pool     *connPool
	conn     *dataConn
	response *http.Response
	reader   *bufio.Reader
	ctx      context.Context
	// release ends the hold of the context on the connection.
	release func() bool
	watch   progressWatch
	done    bool
	// last is the offset of the last frame with an id, or -1.
	last    int
	idBuf   []byte
	dataBuf []byte
}

// Next returns the next frame. Heartbeats only extend the progress deadline.
func (s *Stream) Next(f *Frame) error {
	*f = Frame{Offset: -1}
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return s.readError(err)
		}
		s.watch.progress()
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0:
			if f.Data != nil {
				return nil
			}
		case line[0] == ':':
		case bytes.HasPrefix(line, idPrefix):
			if err := s.parseID(line[len(idPrefix):], f); err != nil {
				return err
			}
		case bytes.HasPrefix(line, dataPrefix):
			// The line is copied because the next read may overwrite it.
			s.dataBuf = append(s.dataBuf[:0], line[len(dataPrefix):]...)
			f.Data = s.dataBuf
			if string(f.Data) == DoneMarker {
				s.markDone(f)
			}
		}
	}
}

// markDone completes the last frame. Engines send it without an id: it ends the
// attempt whose frames came before it on this connection.
func (s *Stream) markDone(f *Frame) {
	f.Done, s.done = true, true
	if f.Offset < 0 && s.last >= 0 {
		f.Attempt, f.Offset = s.idBuf, s.last+1
	}
}

var (
	idPrefix   = []byte("id: ")
	dataPrefix = []byte("data: ")
)

// parseID splits "<attempt>:<offset>".
func (s *Stream) parseID(b []byte, f *Frame) error {
	i := bytes.LastIndexByte(b, ':')
	if i < 0 {
		return ErrBadFrame
	}
	n, ok := parseInt(b[i+1:])
	if !ok {
		return ErrBadFrame
	}
	s.idBuf = append(s.idBuf[:0], b[:i]...)
	f.Attempt, f.Offset, s.last = s.idBuf, n, n
	return nil
}

// parseInt parses a short decimal number without allocation.
func parseInt(b []byte) (int, bool) {
	const maxDigits = 9
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

func (s *Stream) readError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return errors.Wrap(ErrBadFrame, "line exceeds "+strconv.Itoa(readerBytes)+" bytes")
	}
	return s.cause(errors.Wrap(ErrConnectionFailed, err.Error()))
}

// cause tells why a connection failed: closing it is how the progress deadline
// and the context end a stream. A caller that leaves says nothing about the
// engine, while ErrConnectionFailed makes the requests that run there suspects.
func (s *Stream) cause(err error) error {
	switch {
	case s.watch.stalled():
		return ErrNoProgress
	case s.ctx.Err() != nil:
		return errors.Wrap(context.Cause(s.ctx), "attempt was given up")
	}
	return err
}

// Buffered reports whether more of the stream can be read without waiting.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// Close releases the connection. A stream closed before its last frame cancels
// the attempt at the engine, because the connection is closed.
func (s *Stream) Close() {
	if s.conn == nil {
		return
	}
	// A response read to its end leaves the connection reusable. The progress
	// deadline bounds the wait for that end.
	s.watch.wait()
	reusable := s.done && s.conn.finish(s.response)
	if !s.watch.stop() || !s.release() {
		reusable = false
	}
	if reusable {
		s.pool.put(s.conn)
	} else {
		_ = s.conn.Close()
	}
	s.conn = nil
	if s.reader != nil {
		s.reader.Reset(nil)
		readers.Put(s.reader)
		s.reader = nil
	}
}
