package engine

import (
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	// maxIdlePerLeader bounds idle connections kept to one group leader.
	maxIdlePerLeader = 64
	// poolIdleTimeout is the idle time after which sweep closes a connection. It
	// takes at most half as long again until sweep runs.
	poolIdleTimeout = time.Minute
)

// poolKey binds connections to one incarnation of a leader, so that a restarted
// engine gets no requests under credits that were granted for its previous run.
type poolKey struct {
	address     string
	incarnation ident.Incarnation
}

// connPool holds idle connections. It returns the most recently used one first.
type connPool struct {
	mu     sync.Mutex
	idle   map[poolKey][]*dataConn
	closed bool
	// sweeper runs sweep. It is nil unless a sweep is scheduled.
	sweeper *time.Timer
}

// get removes and returns an idle connection, or nil. The caller checks that the
// connection is still open.
func (p *connPool) get(key poolKey) *dataConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	p.idle[key] = conns[:last]
	return c
}

// put stores a connection for another request. It closes the connection if the pool
// is full or closed.
func (p *connPool) put(c *dataConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.key]) >= maxIdlePerLeader {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.key] = append(p.idle[c.key], c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(poolIdleTimeout, p.sweep)
	}
}

// sweep closes the connections that were idle for poolIdleTimeout.
func (p *connPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeMatching(func(c *dataConn) bool { return time.Since(c.idleSince) >= poolIdleTimeout })
	p.sweeper = nil
	if len(p.idle) > 0 && !p.closed {
		p.sweeper = time.AfterFunc(poolIdleTimeout/2, p.sweep)
	}
}

// closeMatching closes the idle connections that match. The caller holds p.mu.
func (p *connPool) closeMatching(match func(*dataConn) bool) {
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if match(c) {
				_ = c.Close()
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

// closeAddress closes the idle connections to an address.
func (p *connPool) closeAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeMatching(func(c *dataConn) bool { return c.key.address == address })
}

// close closes all idle connections; connections in use are closed at the end
// of their request.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeMatching(func(*dataConn) bool { return true })
}
