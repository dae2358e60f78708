package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// frameType is the type of a frame.
type frameType uint8

const (
	frameHello frameType = iota + 1
	frameAuth
	frameRequest
	frameResponse
	frameOneWay
	framePing
	framePong
)

// frame is the unit of transmission. Body is the msgpack encoding of a message of
// kind Kind.
type frame struct {
	Type  frameType          `msgpack:"t"`
	ID    uint64             `msgpack:"id,omitempty"`
	Kind  Kind               `msgpack:"k,omitempty"`
	Body  msgpack.RawMessage `msgpack:"b,omitempty"`
	Error string             `msgpack:"e,omitempty"`
}

// Marshal encodes a message. Compact integers are enabled, because durations and
// versions otherwise take nine bytes each.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&b)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return b.Bytes(), err
}

// lengthBytes is the size of the length prefix of a frame, a big-endian integer.
const lengthBytes = 4

// writeFrame writes one frame and flushes.
func writeFrame(w *bufio.Writer, f *frame) error {
	b, err := Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(b) > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(b)))
	if _, err := w.Write(length[:]); err != nil {
		return errors.Wrap(err, "write frame length")
	}
	if _, err := w.Write(b); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return errors.Wrap(w.Flush(), "flush frame")
}

// readFrame reads one frame of at most limit bytes. It checks the length before it
// allocates the buffer.
func readFrame(r *bufio.Reader, limit uint32) (*frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read frame length")
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > limit {
		return nil, ErrFrameTooLarge
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	return decodeFrame(b)
}

// decodeFrame decodes the body of one frame.
func decodeFrame(b []byte) (*frame, error) {
	f := &frame{}
	if err := msgpack.Unmarshal(b, f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	if f.Type < frameHello || f.Type > framePong {
		return nil, errors.Errorf("decode frame: unknown type %d", f.Type)
	}
	return f, nil
}
