package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/callerconn"
	"github.com/bulrushfall/bulrushfall/internal/dial"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
	"github.com/bulrushfall/bulrushfall/view"
)

// Limits of calls to plain services.
const (
	plainDialTimeout = 500 * time.Millisecond
	// maxPlainAnswerBytes limits the size of an answer, which is read into memory
	// as a whole.
	maxPlainAnswerBytes = 4 << 20
	// maxIdlePerServer bounds the idle connections kept to one backend server, and
	// plainIdleTimeout the time for which they are kept.
	maxIdlePerServer = 32
	plainIdleTimeout = 30 * time.Second
	// plainReadBytes is the size of the read buffer of a connection.
	plainReadBytes = 4 << 10
)

// Errors of a call to a backend server of a plain service.
var (
	// ErrBackendNotSent means that the backend server has not received the
	// request.
	ErrBackendNotSent = errors.New("request was not sent to the backend server")
	// ErrBackendNotRun means that the backend server stated that it did not run
	// the request.
	ErrBackendNotRun = errors.New("backend server refused the request and did not run it")
	// ErrBackendOutcomeUnknown means that the request may have run.
	ErrBackendOutcomeUnknown = errors.New("connection to the backend server failed during the request")
	errAnswerTooLarge        = errors.Wrap(ErrBackendOutcomeUnknown, "answer is too large")
)

// plainClient calls backend servers of plain services.
type plainClient struct {
	dial dial.Func
	// idle holds connections for idempotent requests. Others open a new one each: an
	// established connection may be dead without notice.
	idle   *httpconn.Pool[plainKey, *httpconn.Conn]
	pauses *ServerPauses
}

// plainKey binds connections to one run of a backend server.
type plainKey struct {
	address string
	run     fleet.Run
}

func newPlainClient(local netip.Addr, pauses *ServerPauses) *plainClient {
	return &plainClient{
		dial:   dialUnpaused(dial.From(local, plainDialTimeout), pauses),
		idle:   httpconn.NewPool[plainKey, *httpconn.Conn](maxIdlePerServer, plainIdleTimeout),
		pauses: pauses,
	}
}

// send makes one attempt and returns the whole answer, and the header of the response if there
// was one.
func (c *plainClient) send(ctx context.Context, r *Request, b *view.Backend, attempt ident.AttemptID) (*Answer, http.Header, error) {
	// The decoded path is escaped again, so that the backend server gets the path
	// that was classified: a decoded question mark must not start a query.
	target := url.URL{Scheme: "http", Host: b.Address, Path: r.Path, RawQuery: r.Query}
	run := runOf(b)
	if c.pauses.paused(c.pauses.now(), run) {
		return nil, nil, errors.Wrap(ErrBackendNotSent, errPauseRequested.Error())
	}
	ctx = context.WithValue(ctx, plainRunKey{}, run)
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, nil, errors.Wrap(ErrBackendNotSent, err.Error())
	}
	req.Close = !r.Idempotent
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set(engine.HeaderAttempt, string(attempt))
	return c.roundTrip(req, plainKey{b.Address, run}, func() admission.SendDecision {
		// Calls with a key go on without their callers, who can fetch the answer.
		left := ctx.Err() != nil || (r.IdempotencyKey == "" && callerconn.Left(ctx))
		return admission.DecideSend(c.pauses.now(), max(r.Deadline, r.AnswerDeadline), 0, left)
	})
}

// roundTrip sends a request on an idle connection or, if there is none or the request may not be
// sent on one, on a new one. decide decides immediately before each send.
func (c *plainClient) roundTrip(req *http.Request, key plainKey, decide func() admission.SendDecision) (*Answer, http.Header, error) {
	if !req.Close {
		if conn, ok := c.idle.Get(key); ok {
			if d := decide(); d != admission.MaySend {
				c.idle.Put(key, conn)
				return nil, nil, errors.Wrap(ErrBackendNotSent, d.String())
			}
			x := plainExchange{client: c, conn: conn, key: key, request: req}
			a, err := x.run()
			if err == nil || x.answered || !replayable(req) || req.Context().Err() != nil {
				return a, x.header, err
			}
		}
	}
	conn, err := c.dial(req.Context(), "tcp", key.address)
	switch ctx := req.Context(); {
	case err != nil && ctx.Err() != nil:
		return nil, nil, errors.Wrap(ErrBackendOutcomeUnknown, context.Cause(ctx).Error())
	case err != nil:
		return nil, nil, transportError(err)
	}
	if d := decide(); d != admission.MaySend {
		_ = conn.Close()
		return nil, nil, errors.Wrap(ErrBackendNotSent, d.String())
	}
	x := plainExchange{client: c, conn: httpconn.New(conn, plainReadBytes), key: key, request: req}
	a, err := x.run()
	return a, x.header, err
}

// replayable reports whether a request is sent again if its connection was reused and ended before
// a response.
func replayable(req *http.Request) bool {
	safe := []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
	return req.ContentLength == 0 && slices.Contains(safe, req.Method)
}

// plainExchange is one request on a connection, and its response.
type plainExchange struct {
	client  *plainClient
	conn    *httpconn.Conn
	key     plainKey
	request *http.Request

	// header is that of the response, if there was one.
	header http.Header
	// answered is set if a part of a response has arrived.
	answered bool
}

// run sends the request and reads the whole response. It stores the connection in the pool or closes
// it.
func (x *plainExchange) run() (*Answer, error) {
	ctx := x.request.Context()
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	written := make(chan error, 1)
	// The backend server may answer before it has read the whole request.
	go func() {
		err := x.request.Write(x.conn)
		if err != nil {
			// The response may have arrived before.
			_ = x.conn.SetReadDeadline(time.Now().Add(httpconn.DrainTimeout))
		}
		written <- err
	}()
	resp, body, err := x.read()
	if err != nil {
		_ = stop()
		select {
		case writeErr := <-written:
			if writeErr != nil && resp == nil {
				err = writeErr
			}
		default:
		}
		_ = x.conn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, errors.Wrap(ErrBackendOutcomeUnknown, err.Error())
	}
	reusable := !x.request.Close && !resp.Close && len(body) <= maxPlainAnswerBytes && x.conn.Drain() && x.awaitWritten(written)
	if stop() && reusable {
		x.client.idle.Put(x.key, x.conn)
	} else {
		_ = x.conn.Close()
	}
	return newAnswer(resp, body)
}

// read reads the response and up to maxPlainAnswerBytes and one more byte of its body.
func (x *plainExchange) read() (*http.Response, []byte, error) {
	resp, err := x.conn.ReadResponse(x.request)
	if err != nil {
		x.answered = x.conn.Buffered() > 0
		return nil, nil, err
	}
	x.answered, x.header = true, resp.Header
	x.client.pauses.observe(x.key.run, resp.StatusCode, resp.Header)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswerBytes+1))
	return resp, body, err
}

// awaitWritten reports whether the request is written. After the whole response, a longer wait
// costs more than a new connection.
func (x *plainExchange) awaitWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	case <-time.After(httpconn.DrainTimeout):
		return false
	}
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrBackendNotSent, err.Error())
	}
	return errors.Wrap(ErrBackendOutcomeUnknown, err.Error())
}

// newAnswer returns the answer of a response whose body was read.
func newAnswer(resp *http.Response, body []byte) (*Answer, error) {
	switch {
	case len(body) > maxPlainAnswerBytes:
		return nil, errors.Wrapf(errAnswerTooLarge, "limit is %d bytes", maxPlainAnswerBytes)
	case resp.Header.Get(engine.HeaderNotRun) != "":
		return nil, errors.Wrapf(ErrBackendNotRun, "status %d", resp.StatusCode)
	}
	header := make(http.Header, 1)
	if ct := resp.Header.Get("Content-Type"); ct != "" {
		header.Set("Content-Type", ct)
	}
	return &Answer{Status: resp.StatusCode, Header: header, Body: body}, nil
}

// pickBackend picks a random backend server in service. It prefers those in this
// data centre.
func (g *Gateway) pickBackend(r *Request, excluded []ident.InstanceID) *view.Backend {
	var local, remote []*view.Backend
	now := g.now()
	for _, b := range r.Service.Backends {
		switch {
		case b.Draining || slices.Contains(excluded, b.Instance) || g.opts.Pauses.paused(now, runOf(b)):
		case b.DataCentre == g.opts.Self.DataCentre:
			local = append(local, b)
		default:
			remote = append(remote, b)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return nil
	}
	return local[rand.IntN(len(local))]
}

// ServerRouter picks a backend server of a plain service and acquires a credit
// there. It waits until the request's deadline and then returns a Problem. The
// returned function releases the credit and must be called; calls after the first
// have no effect.
type ServerRouter interface {
	AcquireServer(ctx context.Context, r *Request, excluded []ident.InstanceID) (*view.Backend, func(Result), error)
}

func (g *Gateway) acquireServer(ctx context.Context, r *Request, excluded []ident.InstanceID) (*view.Backend, func(Result), error) {
	if g.opts.ServerRouter != nil {
		return g.opts.ServerRouter.AcquireServer(ctx, r, excluded)
	}
	if b := g.pickBackend(r, excluded); b != nil {
		return b, func(Result) {}, nil
	}
	if err := g.pauseProblem(r, excluded); err != nil {
		return nil, nil, err
	}
	return nil, nil, ProblemNoCapacity.WithDetail("service %q has no backend server in service", r.Name).WithRetryAfter(time.Second)
}

// dispatchPlain is the innermost endpoint of plain services. It retries idempotent
// calls on other backend servers, and other calls only if they certainly did not
// run.
func (g *Gateway) dispatchPlain(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, max(r.Deadline, r.AnswerDeadline)-g.now())
	defer cancel()
	var excluded []ident.InstanceID
	var last error
	for range maxAttempts {
		a, b, err := g.attemptPlain(ctx, r, excluded)
		switch {
		case err == nil:
			return a, nil
		case b == nil && (last == nil || errors.Is(err, errConvicted) || prefersPauseRefusal(err, asProblem(plainProblem(last)))):
			return nil, plainProblem(err)
		case b == nil:
			return nil, plainProblem(last)
		}
		last = err
		if ctx.Err() != nil || (!r.Idempotent && errors.Is(err, ErrBackendOutcomeUnknown)) {
			return nil, plainProblem(last)
		}
		g.counters.retries.Inc(1)
		excluded = append(excluded, b.Instance)
	}
	return nil, plainProblem(last)
}

func plainProblem(err error) error {
	switch {
	case errors.Is(err, ErrBackendNotSent):
		return ProblemNoCapacity.WithDetail("%v", err).WithRetryAfter(time.Second)
	case errors.Is(err, ErrBackendNotRun):
		return ProblemBackendRefused.WithDetail("%v", err)
	}
	return asProblem(err)
}

// encodePlain writes the answer of a plain service.
func encodePlain(_ context.Context, w http.ResponseWriter, response any) error {
	a := response.(*Answer)
	for k, v := range a.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.Status)
	// A write fails only if the caller is gone, so the error cannot be reported to
	// it.
	_, _ = w.Write(a.Body)
	return nil
}
