package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const (
	reviewStatusBody = `{"incarnation":"first"}`
	reviewStreamBody = "id: a:3\ndata: x\n\ndata: [DONE]\n\n"
)

// startRawLeader starts an engine whose script answers each request on a connection. The
// connection is closed if it returns false.
func startRawLeader(t *testing.T, script func(c net.Conn, r *http.Request) bool) (Target, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !script(c, req) {
						return
					}
				}
			}()
		}
	}()
	return Target{Group: "group", Epoch: 7, Incarnation: "first", Address: l.Addr().String()}, &conns
}

func reviewRequest(target Target) Request {
	return Request{Target: target, Attempt: "a", Path: "/v1/completions", Body: []byte("body"), Priority: -1, ResumeOffset: 3, Observer: &silenceRecorder{}}
}

func writeStream(c net.Conn) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(reviewStreamBody), reviewStreamBody)
}

// readReviewed opens a stream and reads it to its end.
func readReviewed(t *testing.T, target Target) error {
	d := NewData()
	defer d.Close()
	s, err := d.Open(t.Context(), reviewRequest(target))
	if err != nil {
		return err
	}
	defer s.Close()
	for f := (Frame{}); !f.Done; {
		if err := s.Next(&f); err != nil {
			return err
		}
	}
	return nil
}

// TestStatusCheckInSegments guards against a request on a connection on which the rest of the
// status response is still due, which is reported as a crash of the engine.
func TestStatusCheckInSegments(t *testing.T) {
	size := fmt.Sprintf("%x", len(reviewStatusBody))
	segments := []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n", size, "\r\n", reviewStatusBody[:5], reviewStatusBody[5:], "\r", "\n", "0", "\r\n", "\r", "\n"}
	for cut := 1; cut < len(segments); cut++ {
		t.Run(fmt.Sprintf("silent after %d segments", cut), func(t *testing.T) {
			t.Parallel()
			target, _ := startRawLeader(t, func(c net.Conn, r *http.Request) bool {
				if r.URL.Path != "/status" {
					writeStream(c)
					return true
				}
				for i, s := range segments {
					if i == cut {
						time.Sleep(1300 * time.Millisecond)
					}
					_, _ = io.WriteString(c, s)
				}
				return true
			})
			if err := readReviewed(t, target); err != nil {
				assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
			}
		})
	}
}

// TestStatusCheckOnClosingConnection guards against a request on a connection that the engine
// closes after the status response.
func TestStatusCheckOnClosingConnection(t *testing.T) {
	for name, head := range map[string]string{
		"length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(reviewStatusBody)),
		"until end": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := startRawLeader(t, func(c net.Conn, r *http.Request) bool {
				if r.URL.Path != "/status" {
					writeStream(c)
					return true
				}
				_, _ = io.WriteString(c, head+reviewStatusBody)
				return false
			})
			if err := readReviewed(t, target); err != nil {
				assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
			}
		})
	}
}

// TestEngineStreamInSegments guards against a stream of an engine that ends because the engine is
// silent between two segments of it, and against a connection that is used again before the rest.
func TestEngineStreamInSegments(t *testing.T) {
	half := len(reviewStreamBody) - 4
	frame := map[string][]string{
		"length": {"HTTP", "/1.1 200 OK\r", "\n", fmt.Sprintf("Content-Length: %d\r\n", len(reviewStreamBody)), "\r", "\n", reviewStreamBody[:4], reviewStreamBody[4:half], reviewStreamBody[half:]},
		"chunks": {"HTTP", "/1.1 200 OK\r", "\n", "Transfer-Encoding: chunked\r\n", "\r", "\n", fmt.Sprintf("%x", len(reviewStreamBody)), "\r", "\n",
			reviewStreamBody[:4], reviewStreamBody[4:half], reviewStreamBody[half:], "\r", "\n", "0\r", "\n\r", "\n"},
		"until end": {"HTTP", "/1.1 200 OK\r", "\n", "A: b\r\n", "\r", "\n", reviewStreamBody[:4], reviewStreamBody[4:half], reviewStreamBody[half:]},
	}
	for name, segments := range frame {
		for cut := range segments {
			t.Run(fmt.Sprintf("%s, silent after %d segments", name, cut), func(t *testing.T) {
				t.Parallel()
				target, _ := startRawLeader(t, func(c net.Conn, r *http.Request) bool {
					if r.URL.Path == "/status" {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(reviewStatusBody), reviewStatusBody)
						return true
					}
					for i, s := range segments {
						if i == cut {
							time.Sleep(1300 * time.Millisecond)
						}
						_, _ = io.WriteString(c, s)
					}
					return name != "until end"
				})
				d := NewData()
				defer d.Close()
				for range 2 {
					s, err := d.Open(t.Context(), reviewRequest(target))
					assert.NilError(t, err)
					for f := (Frame{}); !f.Done; {
						assert.NilError(t, s.Next(&f))
					}
					s.Close()
				}
			})
		}
	}
}
