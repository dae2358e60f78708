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

// readerBytes is the buffer size of a stream, and so the longest accepted line.
const readerBytes = 8 << 10

// ErrBadFrame means that an engine violated the protocol of streams.
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

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

func getReader(r io.Reader) *bufio.Reader {
	b := readerPool.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// Stream reads the frames of one attempt. It must be used by one goroutine only.
type Stream struct {
	pool     *connPool
	conn     *dataConn
	response *http.Response
	reader   *bufio.Reader
	ctx      context.Context
	// stopContextWatch makes the end of the context no longer close the connection.
	// It reports false if the end of the context has already started to close it.
	stopContextWatch func() bool
	watch            progressWatch
	// responseComplete is set when the last frame or all of an error response was
	// read.
	responseComplete bool
	// lastOffset is the offset of the last frame with an id, or -1.
	lastOffset int
	idBuf      []byte
	dataBuf    []byte
	// first is the frame that AwaitFirst has read, until Next returns it.
	first    Frame
	hasFirst bool
}

// AwaitFirst reads the first frame, which the next call of Next returns. The goroutine that
// calls Next has to wait for its return.
func (s *Stream) AwaitFirst() error {
	err := s.Next(&s.first)
	s.hasFirst = err == nil
	return err
}

// Next reads the next frame into f. Heartbeats restart the progress timeout and are
// skipped.
func (s *Stream) Next(f *Frame) error {
	if s.hasFirst {
		*f, s.hasFirst = s.first, false
		return nil
	}
	*f = Frame{Offset: -1}
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return s.readError(err)
		}
		if !s.watch.endWait() {
			return ErrNoProgress
		}
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

// markDone fills in the last frame. Engines send it without an id, so it gets the
// attempt of the frames before it and the offset after theirs.
func (s *Stream) markDone(f *Frame) {
	f.Done, s.responseComplete = true, true
	if f.Offset < 0 && s.lastOffset >= 0 {
		f.Attempt, f.Offset = s.idBuf, s.lastOffset+1
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
	f.Attempt, f.Offset, s.lastOffset = s.idBuf, n, n
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
	return s.failureCause(errors.Wrap(ErrConnectionFailed, err.Error()))
}

// failureCause returns the cause of a failed read or write: the progress timeout and
// the end of the context close the connection too. They must not be reported as
// ErrConnectionFailed, which the gateway counts as a crash of the engine
// (quarantine.RunCrashed) and which makes the requests that run on the engine suspects:
// a caller that disconnects does not indicate a crash.
func (s *Stream) failureCause(err error) error {
	switch {
	case s.watch.stalled():
		return ErrNoProgress
	case s.ctx.Err() != nil:
		return errors.Wrap(context.Cause(s.ctx), "attempt was given up")
	}
	return err
}

// Buffered reports whether received data of the stream is still unread.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// Close releases the connection. A stream closed before its last frame cancels
// the attempt at the engine, because the connection is closed.
func (s *Stream) Close() {
	if s.conn == nil {
		return
	}
	watchLeftOpen, contextLeftOpen := s.watch.stop(), s.stopContextWatch()
	reusable := watchLeftOpen && contextLeftOpen && s.responseComplete && s.conn.drain(s.response)
	if reusable {
		s.pool.Put(s.conn.key, s.conn)
	} else {
		_ = s.conn.Close()
	}
	s.conn = nil
	if s.reader != nil {
		s.reader.Reset(nil)
		readerPool.Put(s.reader)
		s.reader = nil
	}
}
