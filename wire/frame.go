package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// frameType tells what a frame carries.
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

// frame is the unit of the protocol. Body is the msgpack encoding of the
// message that Kind names.
type frame struct {
	Type  frameType          `msgpack:"t"`
	ID    uint64             `msgpack:"id,omitempty"`
	Kind  Kind               `msgpack:"k,omitempty"`
	Body  msgpack.RawMessage `msgpack:"b,omitempty"`
	Error string             `msgpack:"e,omitempty"`
}

// Marshal encodes a message. Integers take as few bytes as they need: without
// the option, durations and versions take nine bytes each.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&b)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return b.Bytes(), err
}

// lengthBytes is the size of the big-endian length before each frame.
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

// readFrame reads one frame of at most limit bytes. It allocates only after the
// length was checked.
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
