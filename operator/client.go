package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Errors of the client.
var (
	// ErrUnreachable means that no entry instance received the request.
	ErrUnreachable = errors.New("no entry instance could be reached: check the addresses and that the daemons run")
	// ErrConnectionLost means that an entry instance may have received the
	// request, but no valid answer arrived: the connection failed, or the answer
	// could not be decoded.
	ErrConnectionLost = errors.New("the connection failed before the answer and the outcome is unknown: read the record and compare its revision before repeating an edit")
)

// DefaultTimeout bounds a request. It exceeds the edit timeout of an entry
// instance, so that the client receives its answer.
const DefaultTimeout = 10 * time.Second

// maxAnswerBytes bounds the size of a JSON answer.
const maxAnswerBytes = 16 << 20

// Client sends requests to the first of several entry instances that accepts a
// connection.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// NewClient returns a client for the operators' addresses (ip:port) of entry
// instances, with a team's bearer token.
func NewClient(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, http: &http.Client{Timeout: DefaultTimeout}}
}

// SetTimeout replaces DefaultTimeout. Call it before the first request.
func (c *Client) SetTimeout(d time.Duration) { c.http.Timeout = d }

// Edit holds the parameters of an edit.
type Edit struct {
	// Expected is the revision that the operator based the edit on, or 0 if
	// there was no record.
	Expected ident.Revision
	Reason   string
	// Force allows a drain of a name that is not known.
	Force bool
}

// ListServices lists the services in force.
func (c *Client) ListServices(ctx context.Context) (Services, error) {
	return call[Services](ctx, c, http.MethodGet, servicesPath, nil, nil)
}

// GetService returns one service with its document.
func (c *Client) GetService(ctx context.Context, name ident.ServiceName) (Service, error) {
	return call[Service](ctx, c, http.MethodGet, servicePath(name), nil, nil)
}

// ApplyService creates or replaces a service document.
func (c *Client) ApplyService(ctx context.Context, name ident.ServiceName, document []byte, e Edit) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPut, servicePath(name), document, &e)
}

// DeleteService deletes a service document.
func (c *Client) DeleteService(ctx context.Context, name ident.ServiceName, e Edit) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodDelete, servicePath(name), nil, &e)
}

// ListDrains lists the drain records.
func (c *Client) ListDrains(ctx context.Context) (Drains, error) {
	return call[Drains](ctx, c, http.MethodGet, drainsPath, nil, nil)
}

// GetDrain returns a drain record, or one with revision 0 if there is none.
func (c *Client) GetDrain(ctx context.Context, kind config.DrainKind, name string) (Drain, error) {
	return call[Drain](ctx, c, http.MethodGet, drainPath(kind, name), nil, nil)
}

// SetDrain takes a data centre, an instance or a partner out of service if out is
// true, and else restores it.
func (c *Client) SetDrain(ctx context.Context, kind config.DrainKind, name string, out bool, e Edit) (Accepted, error) {
	method := http.MethodDelete
	if out {
		method = http.MethodPut
	}
	return call[Accepted](ctx, c, method, drainPath(kind, name), nil, &e)
}

// Status returns the state of the entry instance that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, statusPath, nil, nil)
}

// StartTrace starts a recording at the entry instance that answers.
func (c *Client) StartTrace(ctx context.Context) (TraceStatus, error) {
	return call[TraceStatus](ctx, c, http.MethodPost, traceStartPath, nil, nil)
}

// StopTrace stops the recording of the entry instance that answers.
func (c *Client) StopTrace(ctx context.Context) (TraceStatus, error) {
	return call[TraceStatus](ctx, c, http.MethodPost, traceStopPath, nil, nil)
}

// Trace returns the recorded trace of the entry instance that answers.
func (c *Client) Trace(ctx context.Context) ([]byte, error) {
	return call[[]byte](ctx, c, http.MethodGet, tracePath, nil, nil)
}

func servicePath(name ident.ServiceName) string {
	return servicesPath + "/" + url.PathEscape(string(name))
}

func drainPath(kind config.DrainKind, name string) string {
	return drainsPath + "/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// call sends a request to the first address that accepts a connection. It does
// not resend a request that an entry instance may have received.
func call[Out any](ctx context.Context, c *Client, method, path string, body []byte, e *Edit) (Out, error) {
	err := error(ErrUnreachable)
	for _, addr := range c.addresses {
		create := func(ctx context.Context, _ any) (*http.Request, error) {
			return c.request(ctx, method, "http://"+addr+path, body, e)
		}
		client := kithttp.NewExplicitClient(create, decodeAnswer[Out], kithttp.SetClient(c.http))
		out, callErr := client.Endpoint()(ctx, nil)
		if callErr == nil {
			return out.(Out), nil
		}
		var opErr *net.OpError
		if !errors.As(callErr, &opErr) || opErr.Op != "dial" {
			return *new(Out), asClientError(callErr)
		}
		err = errors.Wrap(ErrUnreachable, callErr.Error())
	}
	return *new(Out), err
}

// asClientError returns the problem that an entry instance answered, or wraps any
// other error in ErrConnectionLost.
func asClientError(err error) error {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

func (c *Client) request(ctx context.Context, method, target string, body []byte, e *Edit) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if e != nil {
		r.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(e.Expected), 10)))
		q := url.Values{}
		if e.Reason != "" {
			q.Set("reason", e.Reason)
		}
		if e.Force {
			q.Set("force", "true")
		}
		r.URL.RawQuery = q.Encode()
	}
	return r, nil
}

// decodeAnswer decodes a successful answer, or returns the problem in it as the
// error.
func decodeAnswer[Out any](_ context.Context, r *http.Response) (any, error) {
	body := io.LimitReader(r.Body, maxAnswerBytes)
	if r.StatusCode == http.StatusOK {
		var out Out
		if text, ok := any(&out).(*[]byte); ok {
			b, err := io.ReadAll(r.Body)
			*text = b
			return out, errors.Wrap(err, "read answer")
		}
		err := json.NewDecoder(body).Decode(&out)
		return out, errors.Wrap(err, "decode answer")
	}
	p := &Problem{}
	if err := json.NewDecoder(body).Decode(p); err != nil || p.Kind == "" {
		return nil, fmt.Errorf("the address answered status %d, which is not from an entry instance: check the operators' address", r.StatusCode)
	}
	return nil, p
}
