package engine

import (
	"bytes"
	"net"
	"net/http"
	"net/url"

	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

const userAgent = "bulrushfall"

// responseConn is a connection to an engine on which one goroutine at a time
// writes requests and reads the responses.
type responseConn struct{ *httpconn.Conn }

func newResponseConn(c net.Conn, readerBytes int) responseConn {
	return responseConn{httpconn.New(c, readerBytes)}
}

// response reads the header of the response to a request, past informational
// ones; nil stands for a GET request.
func (c responseConn) response(to *http.Request) (*http.Response, error) {
	for {
		resp, err := c.ReadResponse(to)
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
