package httpconn

import (
	"sync"
	"time"
)

// Pooled is a connection that a Pool holds.
type Pooled interface {
	// Alive reports whether the idle connection can be reused.
	Alive() bool
	Close() error
}

// Pool holds idle connections. It returns the most recently used one of a key first.
type Pool[K comparable, C Pooled] struct {
	maxIdle     int
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   map[K][]idleConn[C]
	closed bool
	// sweeper runs sweep. It is nil unless a sweep is scheduled.
	sweeper *time.Timer
}

type idleConn[C Pooled] struct {
	conn  C
	since time.Time
}

// NewPool returns a pool that keeps up to maxIdle connections for each key. A connection that was
// idle for idleTimeout is closed, at most half as long again later.
func NewPool[K comparable, C Pooled](maxIdle int, idleTimeout time.Duration) *Pool[K, C] {
	return &Pool[K, C]{maxIdle: maxIdle, idleTimeout: idleTimeout, idle: make(map[K][]idleConn[C])}
}

// Get removes and returns an idle connection that is alive. It closes those that are not.
func (p *Pool[K, C]) Get(key K) (C, bool) {
	for {
		c, ok := p.take(key)
		if !ok || c.Alive() {
			return c, ok
		}
		_ = c.Close()
	}
}

func (p *Pool[K, C]) take(key K) (c C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return c, false
	}
	last := len(conns) - 1
	c = conns[last].conn
	conns[last] = idleConn[C]{}
	p.idle[key] = conns[:last]
	return c, true
}

// Put stores a connection for another request. It closes the connection if the pool is full or
// closed.
func (p *Pool[K, C]) Put(key K, c C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[key]) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], idleConn[C]{c, time.Now()})
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.idleTimeout, p.sweep)
	}
}

// sweep closes the connections that were idle for idleTimeout.
func (p *Pool[K, C]) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeMatching(func(_ K, c idleConn[C]) bool { return time.Since(c.since) >= p.idleTimeout })
	p.sweeper = nil
	if len(p.idle) > 0 && !p.closed {
		p.sweeper = time.AfterFunc(p.idleTimeout/2, p.sweep)
	}
}

// closeMatching closes the idle connections that match. The caller holds p.mu.
func (p *Pool[K, C]) closeMatching(match func(K, idleConn[C]) bool) {
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if match(key, c) {
				_ = c.conn.Close()
			} else {
				kept = append(kept, c)
			}
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}

// CloseIdle closes the idle connections whose key matches.
func (p *Pool[K, C]) CloseIdle(match func(K) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeMatching(func(key K, _ idleConn[C]) bool { return match(key) })
}

// Close closes all idle connections. Connections in use are closed when they are put back.
func (p *Pool[K, C]) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeMatching(func(K, idleConn[C]) bool { return true })
}
