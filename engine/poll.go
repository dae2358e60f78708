package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/internal/dial"
)

// pollIdleTimeout is the time without a poll after which a connection is closed.
const pollIdleTimeout = 10 * time.Second

// poller sends status polls. A lease holder polls each engine of its service four
// times a second. To keep polls cheap, they start no goroutines, use one connection
// per engine, and decode a report only if it differs from the last one.
type poller struct {
	dial dial.Func
	mu   sync.Mutex
	idle map[string]*pollConn
}

// pollConn is a connection to one engine. One poll at a time uses it.
type pollConn struct {
	responseConn
	request []byte
	// lastBody is the last report as received, and lastStatus its decoded form.
	lastBody   []byte
	lastStatus Status
	// closeTimer closes the connection when it has been idle for pollIdleTimeout.
	closeTimer *time.Timer
}

func newPoller() *poller {
	return &poller{dial: dial.From(netip.Addr{}, 0), idle: make(map[string]*pollConn)}
}

// poll reads the status of an engine. The engine may have closed an idle connection:
// if a poll on one fails before any part of a response arrives, and not by a timeout
// or the end of ctx, it is repeated on a new connection.
func (p *poller) poll(ctx context.Context, addr string) (Status, error) {
	c := p.takeIdle(addr)
	if c != nil {
		status, answered, err := p.exchange(ctx, addr, c)
		if err == nil || answered || ctx.Err() != nil || isTimeout(err) {
			return status, err
		}
	}
	c, err := p.open(ctx, addr)
	if err != nil {
		return Status{}, err
	}
	status, _, err := p.exchange(ctx, addr, c)
	return status, err
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

func (p *poller) open(ctx context.Context, addr string) (*pollConn, error) {
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	request, err := statusRequest(addr)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &pollConn{responseConn: newResponseConn(conn, 2<<10), request: request}, nil
}

// takeIdle removes the idle connection to an engine and returns it, or nil if there
// is none.
func (p *poller) takeIdle(addr string) *pollConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.idle[addr]
	if !ok || !c.closeTimer.Stop() {
		return nil
	}
	delete(p.idle, addr)
	return c
}

// put stores a connection for the next poll.
func (p *poller) put(addr string, c *pollConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.idle[addr]; ok {
		_ = c.Close()
		return
	}
	p.idle[addr] = c
	if c.closeTimer != nil {
		c.closeTimer.Reset(pollIdleTimeout)
		return
	}
	c.closeTimer = time.AfterFunc(pollIdleTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.idle[addr] == c {
			delete(p.idle, addr)
		}
		_ = c.Close()
	})
}

// exchange sends one poll on a connection. It also reports whether any part of a
// response arrived.
func (p *poller) exchange(ctx context.Context, addr string, c *pollConn) (Status, bool, error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		_ = c.Close()
		return Status{}, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answered, reusable, err := c.roundTrip(addr)
	// After put, another poll may use the connection and change lastStatus.
	status := c.lastStatus
	if !stop() || !reusable {
		_ = c.Close()
	} else {
		p.put(addr, c)
	}
	if err != nil {
		return Status{}, answered, err
	}
	return status, answered, nil
}

// roundTrip sends one poll and decodes the response. It reports whether any part of
// a response arrived, and whether the connection may be used again.
func (c *pollConn) roundTrip(addr string) (answered, reusable bool, err error) {
	if _, err = c.Write(c.request); err != nil {
		return false, false, err
	}
	resp, err := c.ReadResponse(nil)
	if err != nil {
		return c.Buffered() > 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	buf.Grow(len(c.lastBody) + bytes.MinRead)
	if _, err = buf.ReadFrom(io.LimitReader(resp.Body, maxControlBytes)); err != nil {
		return true, false, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return true, !resp.Close, errors.Errorf("engine at %s responded with %s: %s", addr, resp.Status, bytes.TrimSpace(buf.Bytes()))
	}
	if c.lastBody == nil || !bytes.Equal(buf.Bytes(), c.lastBody) {
		var s Status
		if err = json.Unmarshal(buf.Bytes(), &s); err != nil {
			return true, false, errors.Wrap(err, "decode engine response")
		}
		c.lastStatus, c.lastBody = s, append(c.lastBody[:0], buf.Bytes()...)
	}
	return true, !resp.Close && buf.Len() < maxControlBytes && c.Buffered() == 0, nil
}
