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

// The key of the only tenant.
const tenantKey = "n2ctnfzs989anu6wsjnb"

var requestCount atomic.Int64

// newID returns an id for a client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", 0x5eed, requestCount.Add(1)) }

// conn is a client's channel.
type conn struct {
	net.Conn
	br *bufio.Reader
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// send writes a request.
func (c *conn) send(method, path, id, deadline, body string) error {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, deadline, tenantKey, len(body), body)
	return err
}

// head reads the head of an answer, for which it waits up to a limit.
func (c *conn) head(limit time.Duration) (*http.Response, error) {
	c.SetReadDeadline(time.Now().Add(limit))
	return http.ReadResponse(c.br, nil)
}

// answer reads a whole answer, for which it waits up to a limit.
func (c *conn) answer(limit time.Duration) (*http.Response, string, error) {
	resp, err := c.head(limit)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// isTimeout reports whether a read ended because nothing came in time.
func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}
