package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// malformedResponses returns malformed responses to the request, each with a whole body.
func (c segmentCall) malformedResponses(attempt ident.AttemptID) map[string]string {
	const header = "Content-Type: text/event-stream\r\n"
	body := plainSegmentBody
	if c.kind == service.KindModel {
		_, body, _ = strings.Cut(c.segmented("length", attempt).after(0), "\r\n\r\n")
	}
	return malformed.All(header, body)
}

// TestMalformedHead guards against a malformed response that reaches the caller as an answer, and
// against one after which the request is sent to the same server once more.
func TestMalformedHead(t *testing.T) {
	var wg sync.WaitGroup
	for _, call := range segmentCalls() {
		for name := range call.malformedResponses("a") {
			s := startRawServer(t, func(c *net.TCPConn, r *http.Request) bool {
				_, _ = io.WriteString(c, call.malformedResponses(attemptOf(r))[name])
				return false
			})
			h := newRawHarness(t, s, call.kind)
			wg.Go(func() {
				if status, err := call.do(h, failureDeadline); err == nil || status < http.StatusInternalServerError {
					t.Errorf("%s, %s: status %d, %v", call.name, name, status, err)
				}
				if n := s.requestCount(); n != 1 {
					t.Errorf("%s, %s: %d attempts\n%s", call.name, name, n, s.received())
				}
			})
		}
	}
	wg.Wait()
}
