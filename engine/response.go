package engine

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxResponseHeader bounds the header of an engine's response.
	maxResponseHeader = 64 << 10
	userAgent         = "bulrushfall"
)

// errHeaderTooLarge ends a response whose header does not end.
var errHeaderTooLarge = errors.New("response header exceeds " + strconv.Itoa(maxResponseHeader) + " bytes")

// responseConn is a connection to an engine on which one goroutine at a time
// writes requests and reads the responses.
type responseConn struct {
	net.Conn
	reader *bufio.Reader
	// headerLeft bounds what is read of a header, or is negative in a body.
	headerLeft int
}

func newResponseConn(c net.Conn, readerBytes int) *responseConn {
	r := &responseConn{Conn: c, headerLeft: -1}
	r.reader = bufio.NewReaderSize(r, readerBytes)
	return r
}

// Read implements net.Conn.
func (c *responseConn) Read(b []byte) (int, error) {
	if c.headerLeft < 0 {
		return c.Conn.Read(b)
	}
	if c.headerLeft == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headerLeft)])
	c.headerLeft -= n
	return n, err
}

// response reads the header of the response to a request; nil stands for a GET
// request.
func (c *responseConn) response(to *http.Request) (*http.Response, error) {
	c.headerLeft = maxResponseHeader
	defer func() { c.headerLeft = -1 }()
	for {
		resp, err := http.ReadResponse(c.reader, to)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// statusRequest is the request of a status report as it is sent.
func statusRequest(addr string) ([]byte, error) {
	req := http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/status"}, Host: addr, Header: http.Header{"User-Agent": {userAgent}},
	}
	var b bytes.Buffer
	err := req.Write(&b)
	return b.Bytes(), err
}
