package engine

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/dial"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

// Timings and limits of the data path.
const (
	// dialTimeout bounds a connection attempt including its status check.
	dialTimeout = 500 * time.Millisecond
	// ProgressTimeout is the time without a token or heartbeat after which a
	// stream is silent (SilenceObserver). Engines send a heartbeat every 250 ms while a request is
	// queued or running.
	ProgressTimeout = time.Second
	// maxErrorBytes bounds the part of an error response that is read.
	maxErrorBytes = 4 << 10
)

// Errors of the data path. After ErrNotSent the engine has not received the
// request. After ErrConnectionFailed it may have run in part.
var (
	ErrNotSent            = errors.New("request was not sent to the engine")
	ErrIncarnationChanged = errors.New("engine restarted since its last confirmation")
	ErrEngineCold         = errors.New("engine is cold, but the credit was for a warm one")
	ErrConnectionFailed   = errors.New("connection to the engine failed")
	ErrNoProgress         = errors.New("engine sent neither a token nor a heartbeat in time")
)

// RefusedError is an engine's refusal of a request.
type RefusedError struct {
	Status int
	// NotRun is set when the response states that the request was not run.
	NotRun bool
	Detail string
	// Header is the header of the response.
	Header http.Header
}

// Error returns a message with the engine's status and reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.Status, e.Detail)
}

// Target is the group leader that a request is sent to, with its state when it was
// last confirmed.
type Target struct {
	Group       ident.GroupID
	Epoch       ident.Epoch
	Instance    ident.InstanceID
	Address     string
	Incarnation ident.Incarnation
	// Cold is set when the credit was granted for a cold engine.
	Cold bool
}

// Request is one attempt at a completion.
type Request struct {
	Target       Target
	Attempt      ident.AttemptID
	Path         string
	Body         []byte
	Priority     int
	ResumeOffset int
	// Observer is told of silences of the engine. If it is nil, a silence closes the
	// stream.
	Observer SilenceObserver
	// MaySend, if not nil, is called once a connection stands. The request is not sent if it
	// returns false.
	MaySend func() bool
}

// Data is the client that sends completion requests to group leaders and reads
// their streams.
type Data struct {
	dial dial.Func
	pool *connPool
}

// NewData returns a client for completion requests.
func NewData() *Data {
	return &Data{dial: dial.From(netip.Addr{}, dialTimeout), pool: httpconn.NewPool[poolKey, *dataConn](maxIdlePerLeader, poolIdleTimeout)}
}

// DialFrom sets the local address of connections. Call it before Open.
func (d *Data) DialFrom(local netip.Addr) { d.dial = dial.From(local, dialTimeout) }

// CloseIdle closes the idle connections to an address. Call it when the address stops
// responding, so that no request uses a dead connection.
func (d *Data) CloseIdle(address string) {
	d.pool.CloseIdle(func(k poolKey) bool { return k.address == address })
}

// Close drops all idle connections.
func (d *Data) Close() { d.pool.Close() }

// conn returns an idle connection to the target, or a new one.
func (d *Data) getConn(ctx context.Context, t Target) (*dataConn, error) {
	key := poolKey{address: t.Address, incarnation: t.Incarnation}
	if c, ok := d.pool.Get(key); ok {
		return c, nil
	}
	return d.dialChecked(ctx, t, key)
}

// Open sends a request and returns its stream. When the context ends, the stream
// is closed and its reads return the error of the context.
func (d *Data) Open(ctx context.Context, r Request) (*Stream, error) {
	c, err := d.getConn(ctx, r.Target)
	if err != nil {
		return nil, err
	}
	if r.MaySend != nil && !r.MaySend() {
		_ = c.Close()
		return nil, errors.Wrap(ErrNotSent, "engine asks for a pause, or the caller no longer waits")
	}
	s := &Stream{ctx: ctx, pool: d.pool, conn: c, lastOffset: -1}
	s.watch.observer = r.Observer
	s.watch.start(func() { _ = c.Close() })
	s.stopContextWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	if s.response, err = c.roundTrip(&r); err != nil {
		err = s.failureCause(err)
		s.Close()
		return nil, err
	}
	if s.response.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, s.readRefusal()
	}
	s.reader = getReader(watchedBody{body: s.response.Body, watch: &s.watch})
	return s, nil
}

// Header returns the header of the response.
func (s *Stream) Header() http.Header { return s.response.Header }

// readRefusal reads an error response. It does not wait long for a detail that is late.
func (s *Stream) readRefusal() error {
	detail := s.conn.ReadPrefix(maxErrorBytes)
	s.responseComplete = len(detail) < maxErrorBytes
	return &RefusedError{
		Status: s.response.StatusCode,
		NotRun: s.response.Header.Get(HeaderNotRun) != "",
		Detail: string(bytes.TrimSpace(detail)),
		Header: s.response.Header,
	}
}
