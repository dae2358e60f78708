package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/dial"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

// Limits of the control client.
const (
	// maxControlBytes bounds the part of a control response that is read.
	maxControlBytes = 1 << 20
	// controlTimeout bounds a command whose context has no earlier deadline. The
	// hand-over of a lease waits this long for commands of the former holder.
	controlTimeout = time.Second
)

// StaleFencingError is returned when an engine refuses a command because it has
// seen a higher fencing token.
type StaleFencingError struct {
	Highest ident.Epoch `json:"fencing"`
}

// Error returns a message with the highest token that the engine has seen.
func (e *StaleFencingError) Error() string {
	return "engine refused a stale fencing token: highest seen is " + strconv.FormatUint(uint64(e.Highest), 10)
}

// ErrCommandOutcomeUnknown means that a command may have taken effect.
var ErrCommandOutcomeUnknown = errors.New("outcome of the engine command is unknown: poll the engine's status")

// Control is the client for status polls, commands and cache events of engines.
type Control struct {
	http      *http.Client
	transport httpconn.Transport
	poller    *poller
}

// NewControl returns a control client.
func NewControl() *Control {
	transport := httpconn.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
	})
	return &Control{http: &http.Client{Transport: transport}, transport: transport, poller: newPoller()}
}

// DialFrom sets the local address of connections. Call it before the first
// call.
func (c *Control) DialFrom(local netip.Addr) {
	from := dial.From(local, 0)
	c.transport.DialWith(from)
	c.poller.dial = from
}

// Status requests the status report of one engine.
func (c *Control) Status(ctx context.Context, addr string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	s, err := c.poller.poll(ctx, addr)
	return s, errors.Wrap(err, "request engine status")
}

// Assign makes an engine a member of a group.
func (c *Control) Assign(ctx context.Context, addr string, cmd AssignCommand) error {
	return c.command(ctx, addr, "/admin/assign", cmd)
}

// Release ends an engine's membership in a group.
func (c *Control) Release(ctx context.Context, addr string, cmd ReleaseCommand) error {
	return c.command(ctx, addr, "/admin/release", cmd)
}

// Preload makes an engine load weights into memory before it is assigned.
func (c *Control) Preload(ctx context.Context, addr string, cmd PreloadCommand) error {
	return c.command(ctx, addr, "/admin/preload", cmd)
}

// Cancel stops one running attempt.
func (c *Control) Cancel(ctx context.Context, addr string, cmd CancelCommand) error {
	return c.command(ctx, addr, "/admin/cancel", cmd)
}

// CacheEvents returns an engine's cache events after a sequence number.
func (c *Control) CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	var answer struct {
		Events []CacheEvent `json:"events"`
	}
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, addr, path, nil, &answer)
	return answer.Events, err
}

func (c *Control) command(ctx context.Context, addr, path string, cmd any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, err := json.Marshal(cmd)
	if err != nil {
		return errors.Wrap(err, "encode engine command")
	}
	return c.call(ctx, http.MethodPost, addr, path, body, nil)
}

func (c *Control) call(ctx context.Context, method, addr, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build engine request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(ErrCommandOutcomeUnknown, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return errors.Wrap(ErrCommandOutcomeUnknown, err.Error())
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		stale := &StaleFencingError{}
		_ = json.Unmarshal(b, stale)
		return stale
	case resp.StatusCode >= http.StatusBadRequest:
		return errors.Errorf("engine at %s responded with %s: %s", addr, resp.Status, bytes.TrimSpace(b))
	case out == nil:
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, out), "decode engine response")
}
