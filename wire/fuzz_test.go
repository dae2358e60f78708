package wire

import (
	"bufio"
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// seedStreams returns valid and invalid byte streams of the protocol.
func seedStreams() [][]byte {
	peer := hello{Version: ProtocolVersion, Peer: Peer{Instance: "far"}, Nonce: make([]byte, nonceBytes)}
	body, _ := msgpack.Marshal(peer)
	proof, _ := msgpack.Marshal(auth{MAC: make([]byte, 32)})
	var good bytes.Buffer
	w := bufio.NewWriter(&good)
	_ = writeFrame(w, &frame{Type: frameHello, Body: body})
	_ = writeFrame(w, &frame{Type: frameAuth, Body: proof})
	return [][]byte{
		good.Bytes(),
		{0, 0, 0, 0},
		{0xff, 0xff, 0xff, 0xff},
		{0, 0, 0, 5, 0x81, 0xa1, 't', 0x63, 0xc0},
		// A body that claims 4 GiB in a frame of a few bytes.
		{0, 0, 0, 10, 0x82, 0xa1, 't', 0x03, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff},
	}
}

// FuzzReadFrame guards against a frame that panics the decoder, and against a
// decoded frame that changes when it is encoded and decoded again.
func FuzzReadFrame(f *testing.F) {
	for _, s := range seedStreams() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReader(bytes.NewReader(b))
		for {
			got, err := readFrame(r, MaxFrameBytes)
			if err != nil {
				return
			}
			var out bytes.Buffer
			if err := writeFrame(bufio.NewWriter(&out), got); err != nil {
				t.Fatalf("encode %+v: %v", got, err)
			}
			again, err := readFrame(bufio.NewReader(&out), MaxFrameBytes)
			if err != nil || again.Type != got.Type || again.ID != got.ID || again.Kind != got.Kind ||
				!bytes.Equal(again.Body, got.Body) || again.Error != got.Error {
				t.Fatalf("frame %+v became %+v after encoding and decoding (error: %v)", got, again, err)
			}
		}
	})
}

// byteConn is a connection on which fixed bytes are received.
type byteConn struct {
	net.Conn
	r *bytes.Reader
}

func (c byteConn) Read(b []byte) (int, error)       { return c.r.Read(b) }
func (c byteConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c byteConn) SetWriteDeadline(time.Time) error { return nil }
func (c byteConn) Close() error                     { return nil }

// FuzzHandshake guards against bytes that panic the handshake, and against fixed
// bytes that pass it although the nonce is new each time.
func FuzzHandshake(f *testing.F) {
	for _, s := range seedStreams() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newConn(byteConn{r: bytes.NewReader(b)})
		if peer, err := handshake(c, sideListener, Peer{Instance: "near"}, []byte("s")); err == nil {
			t.Fatalf("handshake accepted fixed bytes as peer %+v", peer)
		}
	})
}
