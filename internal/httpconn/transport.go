package httpconn

import (
	"net/http"

	"github.com/pkg/errors"
)

// Transport is an http.Transport that returns ErrMalformed for responses that net/http accepts
// although their status is not final or the name of a header field is invalid. It does not recognize
// lines that begin with a blank, which net/http joins to the value of the field before, and
// malformed informational responses, which net/http skips.
type Transport struct{ *http.Transport }

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
