package httpconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// TestTransport guards against a malformed response that net/http accepts.
func TestTransport(t *testing.T) {
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	get := func(response string) error {
		l, err := malformed.Listen(response)
		assert.NilError(t, err)
		defer func() { assert.NilError(t, l.Close()) }()
		resp, err := client.Get("http://" + l.Addr().String())
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	for name, response := range malformed.Heads("A: b\r\n", "body") {
		assert.ErrorContains(t, get(response), "malformed", name)
	}
	for response := range wholeResponses {
		assert.NilError(t, get(response), response)
	}
}

// TestTransportResetDuringUpload guards against a body without length that looks whole although its connection
// was reset while the request was being written.
func TestTransportResetDuringUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(2 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	whole := 0
	for range 50 {
		resp, err := client.Post("http://"+l.Addr().String(), "text/plain", bytes.NewReader(make([]byte, 16<<20)))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, resp.Body.Close())
		if err == nil {
			whole++
		}
	}
	assert.Equal(t, whole, 0, "bodies that look whole, of 50")
}

// TestTransportAfterMalformedResponse guards against a connection that carries another request
// after a malformed response.
func TestTransportAfterMalformedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	conns := make(chan net.Conn, 2)
	go func() {
		for _, line := range []string{"X Extra: a", "X-Extra: a"} {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 0\r\n\r\n", line)
		}
	}()
	url := "http://" + l.Addr().String()
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	_, err = client.Get(url)
	assert.ErrorIs(t, err, ErrMalformed)
	resp, err := client.Get(url)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	for range 2 {
		assert.NilError(t, (<-conns).Close())
	}
}
