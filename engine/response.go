package engine

import (
	"bytes"
	"net"
	"net/http"
	"net/url"

	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

// userAgent is the User-Agent header of requests to engines.
const userAgent = "bulrushfall"

// responseConn is a connection to an engine on which one goroutine at a time
// writes requests and reads the responses.
type responseConn struct{ *httpconn.Conn }

func newResponseConn(c net.Conn, readerBytes int) responseConn {
	return responseConn{httpconn.New(c, readerBytes)}
}

// statusRequest returns an encoded request for a status report.
func statusRequest(addr string) ([]byte, error) {
	req := http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/status"}, Host: addr, Header: http.Header{"User-Agent": {userAgent}},
	}
	var b bytes.Buffer
	err := req.Write(&b)
	return b.Bytes(), err
}
