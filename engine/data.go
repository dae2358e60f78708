package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
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
	// maxIdlePerLeader bounds idle connections kept to one group leader.
	maxIdlePerLeader = 64
	// poolIdle is the time after which the pool of a leader that nobody uses
	// is dropped.
	poolIdle = time.Minute
)

// Errors of the data path. After ErrNotSent the engine has not received the
// request. After ErrBroken it may have run in part.
var (
	ErrNotSent            = errors.New("request was not sent to the engine")
	ErrIncarnationChanged = errors.New("engine restarted since its last confirmation")
	ErrTurnedCold         = errors.New("engine is cold, but the credit was for a warm one")
	ErrBroken             = errors.New("connection to the engine failed")
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

// poolKey binds connections to one incarnation of a leader, so that a restarted
// engine never gets load over what was granted to its predecessor.
type poolKey struct {
	address     string
	incarnation ident.Incarnation
}

type pool struct {
	transport *http.Transport
	lastUsed  time.Time
}

// Data opens streams to group leaders.
type Data struct {
	dial dial.Func

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// NewData returns a data client.
func NewData() *Data {
	return &Data{dial: dial.From(netip.Addr{}, dialTimeout), pools: make(map[poolKey]*pool)}
}

// DialFrom sets the local address of connections. Call it before Open.
func (d *Data) DialFrom(local netip.Addr) { d.dial = dial.From(local, dialTimeout) }

type targetKey struct{}

// transport returns the connection pool for a target and drops unused pools.
func (d *Data) transport(t Target) *http.Transport {
	key := poolKey{address: t.Address, incarnation: t.Incarnation}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[key]
	if !ok {
		d.dropUnused(now)
		p = &pool{transport: &http.Transport{
			DialContext:         d.dialChecked,
			MaxIdleConnsPerHost: maxIdlePerLeader,
			IdleConnTimeout:     poolIdle,
			DisableCompression:  true,
			ReadBufferSize:      readerBytes,
		}}
		d.pools[key] = p
	}
	p.lastUsed = now
	return p.transport
}

func (d *Data) dropUnused(now time.Time) {
	for key, p := range d.pools {
		if now.Sub(p.lastUsed) > poolIdle {
			p.transport.CloseIdleConnections()
			delete(d.pools, key)
		}
	}
}

// Forget closes the idle connections to an address. It is called when the
// address stops answering, so that silent connections are not used again.
func (d *Data) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, p := range d.pools {
		if key.address == address {
			p.transport.CloseIdleConnections()
		}
	}
}

// Close drops all idle connections.
func (d *Data) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.transport.CloseIdleConnections()
	}
}

// dialChecked opens a connection and reads the engine's status on it before any
// request uses it.
func (d *Data) dialChecked(ctx context.Context, network, addr string) (net.Conn, error) {
	target, _ := ctx.Value(targetKey{}).(Target)
	c, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if err := checkStatus(c, target); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func checkStatus(c net.Conn, target Target) error {
	if err := c.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if _, err := io.WriteString(c, "GET /status HTTP/1.1\r\nHost: "+target.Address+"\r\n\r\n"); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&s); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	switch {
	case s.Incarnation != target.Incarnation:
		return errors.Wrap(ErrNotSent, ErrIncarnationChanged.Error())
	case s.Cold && !target.Cold:
		return errors.Wrap(ErrNotSent, ErrTurnedCold.Error())
	}
	return errors.Wrap(c.SetDeadline(time.Time{}), "clear deadline")
}

// Open sends a request and returns its stream. The context bounds the whole
// stream.
func (d *Data) Open(ctx context.Context, r Request) (*Stream, error) {
	ctx, cancel := context.WithCancel(context.WithValue(ctx, targetKey{}, r.Target))
	s := &Stream{cancel: cancel, last: -1}
	s.watch = time.AfterFunc(ProgressTimeout, func() {
		s.stalled.Store(true)
		cancel()
	})
	resp, err := d.send(ctx, r)
	if err != nil {
		s.Close()
		if s.stalled.Load() {
			return nil, errors.Wrap(ErrNoProgress, "before the response")
		}
		return nil, err
	}
	s.body = resp.Body
	s.reader = newReader(resp.Body)
	return s, nil
}

func (d *Data) send(ctx context.Context, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Target.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	// Without GetBody the transport cannot resend the request by itself: the
	// gateway's dispatch filter is the only place that retries.
	req.GetBody = nil
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderGroup, string(r.Target.Group))
	h.Set(HeaderEpoch, strconv.FormatUint(uint64(r.Target.Epoch), 10))
	h.Set(HeaderAttempt, string(r.Attempt))
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.ResumeOffset > 0 {
		h.Set(HeaderResumeOffset, strconv.Itoa(r.ResumeOffset))
	}
	resp, err := d.transport(r.Target).RoundTrip(req)
	if err != nil {
		if errors.Is(err, ErrNotSent) {
			return nil, err
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return nil, &RefusedError{
		Status: resp.StatusCode,
		NotRun: resp.Header.Get(HeaderNotRun) != "",
		Detail: string(bytes.TrimSpace(detail)),
	}
}
