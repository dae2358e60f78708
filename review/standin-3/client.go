package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID, Method, Path string
	Headers          [][2]string
	Body             []byte
	Chunked          bool
	DeadlineMs       int
	Key              string
}

// Answer is what the client gets. Err is set if the channel ended without a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Begun  bool
	Err    error
	Took   time.Duration
}

var requestCount atomic.Uint64

func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()>>10), requestCount.Add(1))
}

const host = "ficu95.example"

func (r *Request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, host, r.ID, r.DeadlineMs)
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.Key)
	}
	for _, h := range r.Headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	switch {
	case r.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.Body; len(rest) > 0; {
			n := min(len(rest), 1000)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
	case r.Method == http.MethodPost:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// Channel is a kept channel of a client.
type Channel struct {
	conn net.Conn
	r    *bufio.Reader
	Dead bool
}

// Dial opens a channel. A client allows it one second.
func Dial(address string) (*Channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{conn: c, r: bufio.NewReader(c)}, nil
}

// Do sends a request and reads its answer.
func (c *Channel) Do(r *Request) Answer {
	begin := time.Now()
	_ = c.conn.SetDeadline(begin.Add(time.Duration(r.DeadlineMs)*time.Millisecond + 2*time.Second))
	if _, err := c.conn.Write(r.encode()); err != nil {
		c.Close()
		return Answer{Err: err, Took: time.Since(begin)}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
	if err != nil {
		c.Close()
		return Answer{Err: err, Took: time.Since(begin)}
	}
	body, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Begun: true, Err: err, Took: time.Since(begin)}
	if err != nil || resp.Close {
		c.Close()
	}
	return a
}

// Close closes the channel.
func (c *Channel) Close() {
	c.Dead = true
	_ = c.conn.Close()
}
