package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/dial"
)

// Timings and limits of the data path.
const (
	// dialTimeout bounds a connection attempt including its status check.
	dialTimeout = 500 * time.Millisecond
	// ProgressTimeout is the silence after which a stream is abandoned. Engines
	// send a heartbeat every 250 ms while a request is queued or running.
	ProgressTimeout = time.Second
	// maxErrorBytes bounds what is read of an error response.
	maxErrorBytes = 4 << 10
)

// Errors of the data path. After ErrNotSent the engine has not received the
// request. After ErrConnectionFailed it may have run in part.
var (
	ErrNotSent            = errors.New("request was not sent to the engine")
	ErrIncarnationChanged = errors.New("engine restarted since its last confirmation")
	ErrTurnedCold         = errors.New("engine is cold, but the credit was for a warm one")
	ErrConnectionFailed   = errors.New("connection to the engine failed")
	ErrNoProgress         = errors.New("engine sent neither a token nor a heartbeat in time")
)

// RefusedError is an engine's refusal of a request.
type RefusedError struct {
	Status int
	// NotRun is set when the engine states that it did not run the request.
	NotRun bool
	Detail string
}

// Error gives the engine's reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.Status, e.Detail)
}

// Target is the group leader that a request goes to, as it was confirmed.
type Target struct {
	Group       ident.GroupID
	Epoch       ident.Epoch
	Instance    ident.InstanceID
	Address     string
	Incarnation ident.Incarnation
	// Cold tells whether the credit was given for a cold engine.
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
}

// Data opens streams to group leaders.
type Data struct {
	dial dial.Func
	pool connPool
}

// NewData returns a data client.
func NewData() *Data {
	return &Data{dial: dial.From(netip.Addr{}, dialTimeout), pool: connPool{idle: make(map[poolKey][]*dataConn)}}
}

// DialFrom sets the local address of connections. Call it before Open.
func (d *Data) DialFrom(local netip.Addr) { d.dial = dial.From(local, dialTimeout) }

// CloseIdle closes the idle connections to an address. It is called when the
// address stops answering, so that silent connections are not used again.
func (d *Data) CloseIdle(address string) { d.pool.forget(address) }

// Close drops all idle connections.
func (d *Data) Close() { d.pool.close() }

// conn returns an idle connection to the target, or a new one.
func (d *Data) conn(ctx context.Context, t Target) (*dataConn, error) {
	key := poolKey{address: t.Address, incarnation: t.Incarnation}
	for c := d.pool.get(key); c != nil; c = d.pool.get(key) {
		if c.Alive() {
			return c, nil
		}
		_ = c.Close()
	}
	return d.dialChecked(ctx, t, key)
}

// Open sends a request and returns its stream. The context bounds the whole
// stream; its end is returned as the error of the context.
func (d *Data) Open(ctx context.Context, r Request) (*Stream, error) {
	c, err := d.conn(ctx, r.Target)
	if err != nil {
		return nil, err
	}
	s := &Stream{ctx: ctx, pool: &d.pool, conn: c, last: -1}
	s.watch.start(func() { _ = c.Close() })
	s.release = context.AfterFunc(ctx, func() { _ = c.Close() })
	if s.response, err = c.roundTrip(&r); err != nil {
		err = s.cause(err)
		s.Close()
		return nil, err
	}
	if s.response.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, s.refusal()
	}
	s.reader = newReader(watchedBody{body: s.response.Body, watch: &s.watch})
	return s, nil
}

// refusal reads an error response.
func (s *Stream) refusal() error {
	detail, err := io.ReadAll(io.LimitReader(s.response.Body, maxErrorBytes))
	s.done = err == nil && len(detail) < maxErrorBytes
	return &RefusedError{
		Status: s.response.StatusCode,
		NotRun: s.response.Header.Get(HeaderNotRun) != "",
		Detail: string(bytes.TrimSpace(detail)),
	}
}
