package httpconn

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLineFeedInExtension guards against a chunk whose end depends on whether a bare line feed ends
// the line of its size, as net/http refuses it.
func TestLineFeedInExtension(t *testing.T) {
	for _, text := range []string{"3;x\nabc\r\n0\r\n\r\n", "3 \nabc\r\n0\r\n\r\n", "0\r\n\n"} {
		t.Run(text, func(t *testing.T) {
			_, body, err := readPieces(New(&piecewise{pieces: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text}, end: errors.New("waits for more bytes")}, 64))
			assert.ErrorIs(t, err, ErrMalformed, "%q, body %q", text, body)
		})
	}
}

// TestBufferAfterLargeBody guards against a connection that keeps the buffer of a large response
// while it is idle.
func TestBufferAfterLargeBody(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	for name, text := range map[string]string{
		"body": "HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n" + body,
		"head": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 40<<10) + "\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := New(&piecewise{pieces: []string{text}, end: io.EOF}, 4<<10)
			_, _, err := readPieces(c)
			assert.NilError(t, err)
			assert.Assert(t, len(c.buf) <= 4<<10, "%d bytes", len(c.buf))
		})
	}
}

// BenchmarkBody measures the allocations of a body that arrives in pieces of 10 KiB.
func BenchmarkBody(b *testing.B) {
	b.ReportAllocs()
	piece := strings.Repeat("x", 10<<10)
	for b.Loop() {
		pieces := []string{"HTTP/1.1 200 OK\r\nContent-Length: 1048576000\r\n\r\n"}
		for range 100 {
			pieces = append(pieces, piece)
		}
		_, _, _ = readPieces(New(&piecewise{pieces: pieces, end: io.EOF}, 4<<10))
	}
}
