package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestCounter atomic.Uint64

func newRequestID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, requestCounter.Add(1)) }

// channel is a client's connection to a machine, on which it sends one request at a time.
type channel struct {
	nc net.Conn
	r  *bufio.Reader
	// answered is the number of requests that were answered on it.
	answered int
}

func dialChannel(address string) (*channel, error) {
	nc, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{nc: nc, r: bufio.NewReaderSize(nc, 8<<10)}, nil
}

func (c *channel) close() { _ = c.nc.Close() }

// request is one client attempt.
type request struct {
	method, path, id string
	deadline         time.Duration
	headers          map[string]string
	body             []byte
}

// host is the host of all routes.
const host = "ficu95.example"

func (r *request) head() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds(), clientKey)
	for k, v := range r.headers {
		s += k + ": " + v + "\r\n"
	}
	if r.body != nil {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return s + "\r\n"
}

// answer is what a client got. err is set if the channel ended before the answer was complete.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	close  bool
}

// send sends a request and reads its answer, until the deadline of the request plus a second.
func (c *channel) send(r *request) answer {
	_ = c.nc.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(c.nc, r.head()); err != nil {
		return answer{err: err}
	}
	if len(r.body) > 0 {
		if _, err := c.nc.Write(r.body); err != nil {
			return answer{err: err}
		}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		c.answered++
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: b, err: err, close: resp.Close}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}
