package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// TestMalformedStatus guards against the status of an engine that is taken from a malformed response,
// in polls and in the check of a new connection.
func TestMalformedStatus(t *testing.T) {
	for name, response := range malformed.All("Content-Type: application/json\r\n", statusBody) {
		t.Run(name, func(t *testing.T) {
			target, _ := startRawLeader(t, func(c net.Conn, r *http.Request) bool {
				if r.URL.Path != "/status" {
					writeStream(c)
					return true
				}
				_, _ = io.WriteString(c, response)
				return false
			})
			_, err := NewControl().Status(t.Context(), target.Address)
			assert.ErrorContains(t, err, "malformed")
			assert.ErrorIs(t, readRawStream(t, target), ErrNotSent)
		})
	}
}

// TestMalformedStatusOnReusedConnection guards against a poll that is sent again after a malformed
// response, as after a connection that the engine had closed before.
func TestMalformedStatusOnReusedConnection(t *testing.T) {
	var requests atomic.Int32
	target, _ := startRawLeader(t, func(c net.Conn, _ *http.Request) bool {
		if requests.Add(1) == 2 {
			_, _ = io.WriteString(c, "HTTP/1.1 000 Failure\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(statusBody), statusBody)
		return true
	})
	c := NewControl()
	_, err := c.Status(t.Context(), target.Address)
	assert.NilError(t, err)
	_, err = c.Status(t.Context(), target.Address)
	assert.ErrorContains(t, err, "malformed")
	assert.Equal(t, requests.Load(), int32(2))
}

// TestMalformedCommandResponse guards against a command that counts as done or refused after a
// malformed response.
func TestMalformedCommandResponse(t *testing.T) {
	for name, response := range malformed.Heads("Content-Type: application/json\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			l, err := malformed.Listen(response)
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, l.Close()) })
			err = NewControl().Assign(t.Context(), l.Addr().String(), AssignCommand{})
			assert.ErrorIs(t, err, ErrCommandOutcomeUnknown)
		})
	}
}
