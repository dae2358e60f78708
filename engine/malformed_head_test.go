package engine

import (
	"io"
	"maps"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// malformedResponses returns malformed responses with a header line and a body.
func malformedResponses(body string) map[string]string {
	const header = "Content-Type: application/json\r\n"
	responses := malformed.StatusZero(header, body)
	maps.Copy(responses, malformed.FieldNames(header, body))
	return responses
}

// TestMalformedStatus guards against the status of an engine that is taken from a malformed response,
// in polls and in the check of a new connection.
func TestMalformedStatus(t *testing.T) {
	for name, response := range malformedResponses(statusBody) {
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
