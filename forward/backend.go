package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/forecast"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of connections to backend servers.
const (
	// dialTimeout limits the time to open a connection. It usually takes about 1 ms,
	// but seconds when the backend server's accept queue is full.
	dialTimeout = 200 * time.Millisecond
	// defaultIdleTimeout is how long a connection may stay idle if the backend server
	// states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a backend server
	// states, because it may close the connection while a request is in transit.
	idleTimeoutMargin = time.Second
	// maxIdleConns limits the idle connections to one backend server.
	maxIdleConns = 32
)

// backendKey identifies one run of a backend server.
type backendKey struct {
	id          ident.InstanceID
	incarnation ident.Incarnation
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Backend is the state that this entry instance keeps of one run of a backend server.
type Backend struct {
	key      backendKey
	dial     DialFunc
	inFlight atomic.Int32
	// lastReceived is when the server last sent data.
	lastReceived atomic.Int64
	// lastFailureAt is when a request last failed, or 0 if one was answered since.
	// lastAnswerAt is when the last response began that was not a failure.
	lastFailureAt, lastAnswerAt atomic.Int64

	eventGaps gapAverage
	// deferredID names deferred among the loads that entry instances send each other.
	deferredID ident.InstanceID
	// unanswered counts the requests that wait for their first event, unansweredTokens their
	// prompt tokens, and deferred those of them that run behind all others. They are counted
	// only for services that defer requests.
	unanswered, deferred atomic.Int32
	unansweredTokens     atomic.Int64
	// paceMu guards pace, the pace of the group relative to the forecast.
	paceMu sync.Mutex
	pace   forecast.Pace
	// stalledUntil is the end of a pause because the group made no progress. Data from
	// the group ends it.
	stalledUntil atomic.Int64

	mu        sync.Mutex
	idleConns []*conn
	// pauseEpoch is the epoch of the group that pausedUntil and consecutiveFailures
	// belong to.
	pauseEpoch          ident.Epoch
	pausedUntil         time.Duration
	consecutiveFailures int
	// coldSendTimes are the times of recent requests sent while the server was cold.
	coldSendTimes []time.Duration
}

// backend returns the state of a server, and creates it if needed.
func (h *Handler) backend(s *fleet.Server) *Backend {
	key := backendKey{s.ID, s.Incarnation}
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.backends[key]
	if !ok {
		b = &Backend{key: key, dial: h.opts.Dial, deferredID: deferredKey(s.ID)}
		h.backends[key] = b
	}
	return b
}

// VisitInFlight calls visit for each backend server that has requests in flight.
func (h *Handler) VisitInFlight(visit func(id ident.InstanceID, inFlight int)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		if n := b.inFlight.Load(); n > 0 {
			visit(key.id, int(n))
			if n := b.deferred.Load(); n > 0 {
				visit(b.deferredID, int(n))
			}
		}
	}
}

// Pause stops new requests to the head of a group that makes no progress until a given
// time, until the group has another epoch or until it sends data again.
func (h *Handler) Pause(id ident.InstanceID, epoch ident.Epoch, until time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		if key.id == id {
			b.pauseStalled(epoch, until)
		}
	}
}

func (b *Backend) pauseStalled(epoch ident.Epoch, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pauseEpoch != epoch {
		b.pauseEpoch, b.pausedUntil, b.consecutiveFailures = epoch, 0, 0
	}
	b.stalledUntil.Store(int64(until))
}

// paused reports whether no requests may be sent to the server at present. A new
// epoch of the group ends a pause.
func (b *Backend) paused(s *fleet.Server, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pauseEpoch != s.Epoch {
		b.pauseEpoch, b.pausedUntil, b.consecutiveFailures = s.Epoch, 0, 0
		b.stalledUntil.Store(0)
	}
	return now < max(b.pausedUntil, time.Duration(b.stalledUntil.Load()))
}

// pauseAfterFailure pauses the server. Consecutive failures make the pause longer.
// Failures during a pause are ignored, so that those of concurrent requests count
// once.
func (b *Backend) pauseAfterFailure(epoch ident.Epoch, now time.Duration, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pauseEpoch == epoch && now < b.pausedUntil {
		return
	}
	b.consecutiveFailures = min(b.consecutiveFailures+1, maxPauseFactor)
	b.pauseEpoch, b.pausedUntil = epoch, now+pause*time.Duration(b.consecutiveFailures)
}

// hasIdleConn reports whether there is an idle connection.
func (b *Backend) hasIdleConn() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.idleConns) > 0
}

// maxPauseFactor limits the growth of pauses after consecutive failures.
const maxPauseFactor = 4

// clearFailures resets the count of consecutive failures and ends a pause.
func (b *Backend) clearFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consecutiveFailures, b.pausedUntil = 0, 0
}

// recordReceived records that the server has sent data, which ends a pause because of a
// stall.
func (b *Backend) recordReceived(now time.Duration) {
	b.lastReceived.Store(int64(now))
	b.stalledUntil.Store(0)
}

// belowColdLimit reports whether this entry instance may send another request to the
// cold server, given a limit of requests within coldWindow.
func (b *Backend) belowColdLimit(now time.Duration, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	recent := b.coldSendTimes[:0]
	for _, sentAt := range b.coldSendTimes {
		if now-sentAt < coldWindow {
			recent = append(recent, sentAt)
		}
	}
	b.coldSendTimes = recent
	return len(recent) < limit
}

// coldWindow is the time for which a request counts toward the limit per second of a
// cold server: 1 s plus a margin for differing transit times.
const coldWindow = 1200 * time.Millisecond

func (b *Backend) recordColdSend(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldSendTimes = append(b.coldSendTimes, now)
}

// connect returns an idle connection that is still open unless unused is set, and otherwise a new
// one.
func (b *Backend) connect(ctx context.Context, address string, now time.Duration, unused bool) (*conn, error) {
	for !unused {
		c := b.popIdleConn()
		if c == nil {
			break
		}
		if now < c.idleDeadline && c.Alive() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	nc, err := b.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func (b *Backend) popIdleConn() *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idleConns) == 0 {
		return nil
	}
	c := b.idleConns[len(b.idleConns)-1]
	b.idleConns = b.idleConns[:len(b.idleConns)-1]
	return c
}

// putIdleConn keeps a connection for reuse, or closes it if there are too many.
func (b *Backend) putIdleConn(c *conn, now time.Duration) {
	c.idleDeadline = now + c.idleTimeout
	b.mu.Lock()
	if len(b.idleConns) < maxIdleConns && c.idleTimeout > 0 {
		b.idleConns = append(b.idleConns, c)
		c = nil
	}
	b.mu.Unlock()
	if c != nil {
		c.close()
	}
}

func (b *Backend) closeIdleConns() {
	b.mu.Lock()
	idle := b.idleConns
	b.idleConns = nil
	b.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}
