package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Times of connections to backend servers.
const (
	// dialTimeout bounds a new connection. The platform opens one in about 1 ms;
	// a full queue of new connections delays it by seconds.
	dialTimeout = 200 * time.Millisecond
	// defaultIdle is how long a connection may stay idle when the backend server
	// does not say so.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the idle time that a backend server states,
	// because it may close the connection while a request is under way.
	idleMargin = time.Second
	// maxIdle bounds the kept connections to one backend server.
	maxIdle = 32
)

// backendKey names one run of a backend server.
type backendKey struct {
	id          ident.InstanceID
	incarnation ident.Incarnation
}

// Backend is the state of one run of a backend server at this entry instance.
type Backend struct {
	key      backendKey
	inFlight atomic.Int32
	// progress is when the server last sent anything.
	progress atomic.Int64
	// failedAt is when a request failed after which none was answered, answeredAt
	// when the last answer began.
	failedAt, answeredAt atomic.Int64

	mu   sync.Mutex
	idle []*conn
	// epoch is the group's epoch that the marks below belong to.
	epoch       ident.Epoch
	pausedUntil time.Duration
	failures    int
	// coldSent are the instants of requests sent while the server was cold.
	coldSent []time.Duration
}

// backend returns the state of a server.
func (h *Handler) backend(s *fleet.Server) *Backend {
	key := backendKey{s.ID, s.Incarnation}
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.backends[key]
	if !ok {
		b = &Backend{key: key}
		h.backends[key] = b
	}
	return b
}

// VisitInFlight returns the requests under way at each backend server.
func (h *Handler) VisitInFlight(visit func(id ident.InstanceID, inFlight int)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		if n := b.inFlight.Load(); n > 0 {
			visit(key.id, int(n))
		}
	}
}

// Pause keeps requests from a group's head until an instant, for one epoch.
func (h *Handler) Pause(id ident.InstanceID, epoch ident.Epoch, until time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		if key.id == id {
			b.pause(epoch, until)
		}
	}
}

func (b *Backend) pause(epoch ident.Epoch, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.epoch, b.pausedUntil = epoch, max(b.pausedUntil, until)
}

// paused reports whether the server takes no requests for now. A new epoch of
// the group ends a pause.
func (b *Backend) paused(s *fleet.Server, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch != s.Epoch {
		b.epoch, b.pausedUntil, b.failures = s.Epoch, 0, 0
	}
	return now < b.pausedUntil
}

// failed takes note of a failure. Repeated ones pause the server for longer;
// those of requests that were under way together count once.
func (b *Backend) failed(epoch ident.Epoch, now time.Duration, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch == epoch && now < b.pausedUntil {
		return
	}
	b.failures = min(b.failures+1, maxFailures)
	b.epoch, b.pausedUntil = epoch, now+pause*time.Duration(b.failures)
}

// hasIdle reports whether a connection is kept.
func (b *Backend) hasIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.idle) > 0
}

// maxFailures bounds the growth of pauses.
const maxFailures = 4

// succeeded ends the count of failures.
func (b *Backend) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.pausedUntil = 0, 0
}

func (b *Backend) touch(now time.Duration) { b.progress.Store(int64(now)) }

// coldRoom reports how many more requests a cold server may get from this entry
// instance within the current second.
func (b *Backend) coldRoom(now time.Duration, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	keep := b.coldSent[:0]
	for _, at := range b.coldSent {
		if now-at < coldWindow {
			keep = append(keep, at)
		}
	}
	b.coldSent = keep
	return len(keep) < limit
}

// coldWindow is the span in which requests to a cold server count, with a margin
// for their time on the way.
const coldWindow = 1200 * time.Millisecond

func (b *Backend) countCold(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldSent = append(b.coldSent, now)
}

// connect returns a kept connection that is still open, or a new one.
func (b *Backend) connect(ctx context.Context, address string, now time.Duration) (*conn, error) {
	for {
		c := b.takeIdle()
		if c == nil {
			break
		}
		if now < c.idleUntil && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func (b *Backend) takeIdle() *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle) == 0 {
		return nil
	}
	c := b.idle[len(b.idle)-1]
	b.idle = b.idle[:len(b.idle)-1]
	return c
}

// release keeps a connection for the next request.
func (b *Backend) release(c *conn, now time.Duration) {
	c.idleUntil = now + c.idleFor
	b.mu.Lock()
	if len(b.idle) < maxIdle && c.idleFor > 0 {
		b.idle = append(b.idle, c)
		c = nil
	}
	b.mu.Unlock()
	if c != nil {
		c.close()
	}
}

func (b *Backend) closeIdle() {
	b.mu.Lock()
	idle := b.idle
	b.idle = nil
	b.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}
