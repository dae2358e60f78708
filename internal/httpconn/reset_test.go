package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadConn returns a connection on which a large request is being written, and whose server has read
// only the head of the request. written receives the result of the write.
func uploadConn(t *testing.T) (c *Conn, server *net.TCPConn, written chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	server = accepted.(*net.TCPConn)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	c, written = New(client, 4<<10), make(chan error, 1)
	request := append([]byte("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 67108864\r\n\r\n"), make([]byte, 64<<20)...)
	go func() {
		_, err := c.Write(request)
		written <- err
	}()
	_, err = http.ReadRequest(bufio.NewReaderSize(server, 16))
	assert.NilError(t, err)
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\npart")
	assert.NilError(t, err)
	return c, server, written
}

// readResponse reads a response and its body.
func readResponse(c *Conn) (string, error) {
	resp, err := c.ReadResponse(nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestResetDuringUpload guards against a body without length that looks whole although its connection
// was reset: the write of the request receives the error of the reset, and a read after it the end
// of the connection.
func TestResetDuringUpload(t *testing.T) {
	c, server, written := uploadConn(t)
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
	assert.ErrorIs(t, <-written, syscall.ECONNRESET)
	_, err := readResponse(c)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestEndDuringUpload guards against a body without length that looks broken off, or is waited for,
// although its server has ended it while the request was being written.
func TestEndDuringUpload(t *testing.T) {
	for name, closes := range map[string]bool{"reads on": false, "closes": true} {
		t.Run(name, func(t *testing.T) {
			c, server, written := uploadConn(t)
			assert.NilError(t, server.CloseWrite())
			if closes {
				// The unread bytes of the request cause a reset, which follows the end of the body.
				assert.NilError(t, server.Close())
				assert.ErrorIs(t, <-written, syscall.EPIPE)
			}
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			body, err := readResponse(c)
			assert.NilError(t, err)
			assert.Equal(t, body, "part")
		})
	}
}

// failingWrites is a connection whose writes fail.
type failingWrites struct {
	piecewise
	err error
}

func (f *failingWrites) Write([]byte) (int, error) { return 0, f.err }

func (f *failingWrites) SetWriteDeadline(time.Time) error { return nil }

// TestEndAfterFailedWrite guards against an end of the connection that is taken for the end of a body
// after any failed write but one that the server's end of the connection explains.
func TestEndAfterFailedWrite(t *testing.T) {
	for _, c := range []struct {
		err   error
		whole bool
	}{
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		{syscall.EPIPE, true},
	} {
		conn := New(&failingWrites{piecewise{pieces: []string{"HTTP/1.1 200 OK\r\n\r\npart"}, end: io.EOF}, c.err}, 64)
		_, err := conn.Write([]byte("request"))
		assert.ErrorIs(t, err, c.err)
		_, _, err = readPieces(conn)
		if c.whole {
			assert.NilError(t, err)
		} else {
			assert.Assert(t, errors.Is(err, c.err), "%v: %v", c.err, err)
		}
	}
}
