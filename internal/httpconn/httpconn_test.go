package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// piecewise is a connection on which each Read returns one piece, or the deadline between two of
// them. After the last piece it returns end.
type piecewise struct {
	net.Conn
	pieces  []string
	silence bool
	end     error
}

func (p *piecewise) SetReadDeadline(time.Time) error { return nil }

func (p *piecewise) Read(b []byte) (int, error) {
	if p.silence = !p.silence; p.silence {
		return 0, os.ErrDeadlineExceeded
	}
	if len(p.pieces) == 0 {
		return 0, p.end
	}
	n := copy(b, p.pieces[0])
	if p.pieces[0] = p.pieces[0][n:]; p.pieces[0] == "" {
		p.pieces = p.pieces[1:]
	}
	return n, nil
}

// readPieces reads a response with waits that end at their deadline before each piece.
func readPieces(c *Conn) (*http.Response, string, error) {
	await := func() {
		for c.Await(time.Now()) != nil {
		}
	}
	resp, err := c.ReadHead(nil)
	for ; errors.Is(err, ErrIncomplete); resp, err = c.ReadHead(nil) {
		await()
	}
	if err != nil {
		return nil, "", err
	}
	var body strings.Builder
	for b := make([]byte, 7); ; {
		n, err := c.ReadBody(b)
		body.Write(b[:n])
		switch {
		case errors.Is(err, ErrIncomplete):
			await()
		case err == io.EOF:
			return resp, body.String(), nil
		case err != nil:
			return resp, body.String(), err
		}
	}
}

// wholeResponses maps responses to their bodies, without the end of the connection.
var wholeResponses = map[string]string{
	"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello":                                                          "hello",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0010;x=\"y\"\r\n0123456789abcdef\r\n0\r\n\r\n":     "abc0123456789abcdef",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA \r\n0123456789\r\n00\r\nTrailer: a\r\nOther: b\r\n\r\n":      "0123456789",
	"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n":                                                                            "",
	"HTTP/1.1 503 Service Unavailable\nContent-Length: 2\n\nno":                                                          "no",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx": "x",
}

// TestResponseInPieces guards against a response that is lost or changed because a wait for its
// bytes ends, wherever these part.
func TestResponseInPieces(t *testing.T) {
	for text, want := range wholeResponses {
		var single []string
		for i := range len(text) {
			single = append(single, text[i:i+1])
		}
		splits := [][]string{single, {text}}
		for i := 1; i < len(text); i++ {
			splits = append(splits, []string{text[:i], text[i:]})
		}
		for _, pieces := range splits {
			c := New(&piecewise{pieces: pieces, end: errors.New("read after the end of the response")}, 64)
			_, body, err := readPieces(c)
			assert.NilError(t, err, "%q", pieces)
			assert.Equal(t, body, want, "%q", pieces)
			assert.Equal(t, c.Buffered(), 0)
		}
	}
}

// TestEndOfConnection guards against a response that looks whole although its connection ended
// before, and against one without length and chunks that doesn't although it is.
func TestEndOfConnection(t *testing.T) {
	reset := errors.New("connection reset")
	for text := range wholeResponses {
		for i := range len(text) {
			for _, end := range []error{io.EOF, reset} {
				_, _, err := readPieces(New(&piecewise{pieces: []string{text[:i]}, end: end}, 64))
				assert.Assert(t, err != nil, "%q", text[:i])
				if end == reset && i > 0 {
					assert.ErrorIs(t, err, reset)
				}
			}
		}
	}
	untilEnd := "HTTP/1.1 200 OK\r\nA: b\r\n\r\nhello"
	for i := strings.Index(untilEnd, "hello"); i < len(untilEnd); i++ {
		c := New(&piecewise{pieces: []string{untilEnd[:i], untilEnd[i:]}, end: io.EOF}, 64)
		_, body, err := readPieces(c)
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
		assert.Assert(t, c.BodyUntilEnd() && !c.Drain())
		_, _, err = readPieces(New(&piecewise{pieces: []string{untilEnd[:i], untilEnd[i:]}, end: reset}, 64))
		assert.ErrorIs(t, err, reset)
	}
}

// TestMalformedResponse guards against bytes that are taken for a response, and against a wait for
// more bytes after those that cannot begin one.
func TestMalformedResponse(t *testing.T) {
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, text := range []string{
		"HTTQ", "garbage\r\n", "\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n", "HTTP/1.1 200 OK\r\n: no name\r\n", "HTTP/1.1 twohundred\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		chunks + "zz", chunks + "\r\n", chunks + "5\n", chunks + "-1\r\n", chunks + "3\r\nabcd", chunks + "3\r\nabc\n", chunks + "0\r\n\rx",
		chunks + strings.Repeat("0", maxChunkSizeDigits+1), chunks + "1;" + strings.Repeat("x", maxChunkOverhead),
		chunks + "0\r\n" + strings.Repeat("a: b\r\n", maxChunkOverhead/6+1), chunks + strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\na\r\n", maxChunkOverhead/80),
	} {
		_, _, err := readPieces(New(&piecewise{pieces: []string{text}, end: errors.New("waits for more bytes")}, 64))
		assert.ErrorIs(t, err, ErrMalformed, "%.100q", text)
	}
	const header = "A: b\r\n"
	for name, text := range malformed.All(header, "body") {
		var single []string
		for i := range len(text) {
			single = append(single, text[i:i+1])
		}
		for _, pieces := range [][]string{{text}, single} {
			_, _, err := readPieces(New(&piecewise{pieces: pieces, end: io.EOF}, 64))
			assert.ErrorIs(t, err, ErrMalformed, name)
		}
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", MaxHeaderBytes), "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", MaxHeaderBytes/6+1),
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", MaxHeaderBytes/25+1),
	} {
		_, _, err := readPieces(New(&piecewise{pieces: []string{text}, end: errors.New("waits for more bytes")}, 64))
		assert.ErrorIs(t, err, ErrHeaderTooLarge)
	}
}

// TestDrainWaits guards against a request that waits for the rest of a response that is not
// needed, and against a connection that is used again before it.
func TestDrainWaits(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	c := New(client, 64)
	go func() { _, _ = io.WriteString(server, "HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nab") }()
	_, err := c.ReadResponse(nil)
	assert.NilError(t, err)
	begin := time.Now()
	assert.Assert(t, !c.Drain())
	assert.Assert(t, time.Since(begin) >= DrainTimeout)
	go func() { _, _ = io.WriteString(server, "cd") }()
	assert.Assert(t, c.Drain())
}

// FuzzResponse compares the decoding of bytes that arrive whole and in single pieces, and what it
// accepts with net/http.
func FuzzResponse(f *testing.F) {
	for text := range wholeResponses {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nuntil the end"))
	for _, text := range malformed.All("A: b\r\n", "body") {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var single []string
		for i := range b {
			single = append(single, string(b[i:i+1]))
		}
		resp, body, err := readPieces(New(&piecewise{pieces: []string{string(b)}, end: io.EOF}, 64))
		_, bodyOfPieces, errOfPieces := readPieces(New(&piecewise{pieces: single, end: io.EOF}, 64))
		if (err == nil) != (errOfPieces == nil) || err == nil && body != bodyOfPieces {
			t.Fatalf("whole: %q, %v; in pieces: %q, %v", body, err, bodyOfPieces, errOfPieces)
		}
		if err != nil {
			return
		}
		assert.Assert(t, resp.StatusCode >= http.StatusOK)
		for name := range resp.Header {
			assert.Assert(t, !strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c == 0x7f }), "%q", name)
		}
		other, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		assert.NilError(t, err)
		if other.StatusCode < http.StatusOK {
			return
		}
		want, err := io.ReadAll(other.Body)
		if err != nil {
			return // net/http allows fewer extensions and trailers.
		}
		assert.Equal(t, body, string(want))
		assert.Equal(t, fmt.Sprint(resp.Status), other.Status)
	})
}

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

// Guards against bytes that have arrived and are taken for missing, because the process was late
// and the deadline of the wait had passed when it looked for them.
func TestAwaitAfterItsDeadline(t *testing.T) {
	client, server := tcpPair(t)
	c := New(client, 1<<10)
	assert.ErrorIs(t, c.Await(time.Now().Add(-time.Second)), os.ErrDeadlineExceeded)
	_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, c.Await(time.Now().Add(-time.Second)))
	resp, err := c.ReadHead(nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.NilError(t, server.Close())
	time.Sleep(50 * time.Millisecond)
	b := make([]byte, 8)
	n, err := c.ReadBody(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b[:n]), "ok")
	assert.NilError(t, c.Await(time.Now().Add(-time.Second)), "the end of the connection has arrived")
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	client, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}
