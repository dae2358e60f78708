package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/internal/dial"
)

// Transport is an http.Transport that returns ErrMalformed for responses that net/http accepts
// although their status is not final or the name of a header field is invalid. It does not recognize
// lines that begin with a blank, which net/http joins to the value of the field before, and
// malformed informational responses, which net/http skips. A body that ends with its connection is an
// error if that was reset, also while the request was being written.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of t, which must not be used by itself.
func NewTransport(t *http.Transport) Transport {
	out := Transport{t}
	out.DialWith(t.DialContext)
	return out
}

// DialWith sets the function that opens connections; nil stands for that of package net. Call it before
// the first request.
func (t Transport) DialWith(f dial.Func) {
	if f == nil {
		f = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := f(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &transportConn{Conn: c}, nil
	}
}

// transportConn is a connection of a Transport. A read reports the reset of the connection also if a
// write has received it.
type transportConn struct {
	net.Conn
	writes writes
}

// Read implements net.Conn.
func (c *transportConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failed := c.writes.failure(c.Conn); failed != nil {
			err = failed
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *transportConn) Write(p []byte) (int, error) { return c.writes.write(c.Conn, p) }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		// After a response without a body its connection is among the idle ones already.
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error if the status is not final or the name of a header field is invalid.
func checkHead(resp *http.Response) error {
	if err := checkStatus(resp); err != nil {
		return err
	}
	for name := range resp.Header {
		if !isToken([]byte(name)) {
			return errors.Wrapf(ErrMalformed, "field name %.40q", name)
		}
	}
	return nil
}

// isInformational reports whether a response precedes the final one. Status 101 ends HTTP on the
// connection, which no request asks for.
func isInformational(resp *http.Response) bool {
	return resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols
}

// checkStatus returns an error if the status is not that of a final response.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return errors.Wrapf(ErrMalformed, "status %03d", resp.StatusCode)
	}
	return nil
}
