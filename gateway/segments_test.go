package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/view"
)

// segmentSilence is a silence between two segments of a response.
const segmentSilence = engine.ProgressTimeout + 300*time.Millisecond

// Deadlines of requests. One that its only engine has failed waits for another until its deadline.
const (
	segmentDeadline = 10 * time.Second
	failureDeadline = 3 * time.Second
)

// rawServer is an engine and a backend server of a plain service that writes its responses to
// the connection itself.
type rawServer struct {
	address string
	// incarnation is unique, so that no leftover gateway of another test takes the server for
	// an engine that had its address before.
	incarnation ident.Incarnation
	// respond writes the response to a request other than status polls. The connection ends
	// if it returns false.
	respond func(c *net.TCPConn, r *http.Request) bool

	mu          sync.Mutex
	requests    []string
	connections int
}

func startRawServer(t testing.TB, respond func(c *net.TCPConn, r *http.Request) bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{address: l.Addr().String(), incarnation: ident.Incarnation(uuid.NewString()), respond: respond}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer stop()
				s.countConnection(1)
				s.serve(c.(*net.TCPConn))
				_ = c.Close()
				s.countConnection(-1)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		cancel()
		wg.Wait()
	})
	return s
}

func (s *rawServer) serve(c *net.TCPConn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/status" {
			status := fmt.Sprintf(`{"instance":"raw","incarnation":%q,"state":"ready","group":"raw","epoch":1,"limit":1000}`, s.incarnation)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(status), status)
			continue
		}
		s.mu.Lock()
		s.requests = append(s.requests, fmt.Sprintf("%s %s from %s, %v: %.200s", r.Method, r.URL, c.RemoteAddr(), r.Header, body))
		s.mu.Unlock()
		if !s.respond(c, r) {
			return
		}
	}
}

func (s *rawServer) countConnection(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections += n
}

func (s *rawServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// received returns a description of the requests.
func (s *rawServer) received() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.requests, "\n")
}

// awaitNoConnection waits until the server has closed all connections.
func (s *rawServer) awaitNoConnection() bool {
	closed := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.connections == 0
	}
	for end := time.Now().Add(waitLimit); !closed(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// newRawHarness starts a gateway whose only engine or backend server is s.
func newRawHarness(t testing.TB, s *rawServer, kind service.Kind) *harness {
	return newHarness(t, 0, standin.Config{}, func(o *Options) {
		doc := o.Snapshot().Services[0].Document
		doc.Kind = kind
		b := view.Backend{Instance: "raw", Address: s.address, Incarnation: s.incarnation}
		svc := &view.Service{Document: doc}
		if kind == service.KindPlain {
			svc.Backends = []*view.Backend{&b}
		} else {
			svc.Groups = []*view.Group{{ID: "raw", Epoch: 1, Confirmed: time.Hour, Limit: 1000, Incarnation: string(s.incarnation), Leader: b}}
		}
		snapshot := view.New(view.Snapshot{Ready: true, Entries: []view.Entry{o.Self}, Services: []*view.Service{svc}})
		o.Snapshot = func() *view.Snapshot { return snapshot }
		o.Router = &StaticShares{Snapshot: o.Snapshot, Now: o.Now, Self: o.Self.Instance}
	})
}

// segmentCall is a kind of request whose response arrives in segments.
type segmentCall struct {
	name, method, path string
	kind               service.Kind
	body               []byte
}

func segmentCalls() []segmentCall {
	_, stream := completionBody(2, true)
	_, collected := completionBody(2, false)
	path := servicesPrefix + testService + "/x"
	return []segmentCall{
		{"stream", http.MethodPost, completionPath, service.KindModel, stream},
		{"collected completion", http.MethodPost, completionPath, service.KindModel, collected},
		{"plain GET", http.MethodGet, path, service.KindPlain, nil},
		{"plain POST", http.MethodPost, path, service.KindPlain, []byte("order")},
	}
}

// do sends the request with a deadline and returns the status, and an error if the answer does not
// look whole.
func (c segmentCall) do(h *harness, deadline time.Duration) (status int, err error) {
	req, err := http.NewRequest(c.method, h.url+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	whole := string(b) == plainSegmentBody
	switch c.name {
	case "stream":
		text, _, done := readText(bytes.NewReader(b))
		whole = done && text == "01"
	case "collected completion":
		whole = bytes.Contains(b, []byte(`"text":"01"`))
	}
	if resp.StatusCode != http.StatusOK || !whole {
		return resp.StatusCode, fmt.Errorf("status %d, body %q", resp.StatusCode, b)
	}
	return resp.StatusCode, nil
}

// plainSegmentBody is the body of the responses of a plain service.
const plainSegmentBody = "one two three"

// segmentedResponse is a response in the segments between which it may be interrupted. The
// connection ends after the last one if closes is set.
type segmentedResponse struct {
	segments []string
	closes   bool
	// wholeAfter is the number of segments after which the answer is whole.
	wholeAfter int
}

func (r segmentedResponse) before(cut int) string { return strings.Join(r.segments[:cut], "") }
func (r segmentedResponse) after(cut int) string  { return strings.Join(r.segments[cut:], "") }

// framings are the ways in which a body can end.
var framings = []string{"length", "chunks", "until end"}

// segmented returns the response to a request.
func (c segmentCall) segmented(framing string, attempt ident.AttemptID) segmentedResponse {
	head := []string{"HTTP/1.1", " 200 OK", "\r\n", "X-Other: ", "a\r\n", "Content-Type: text/event-stream\r\n"}
	first := []string{"one", " t"}
	second := []string{"wo thr", "ee"}
	if c.kind == service.KindModel {
		first = []string{"id", ": " + string(attempt) + ":0\n", `data: {"choices":[{"te`, `xt":"0"}]}` + "\n", "\n"}
		second = []string{
			"id: " + string(attempt) + ":1\n" + `data: {"choices":[{"text":"1"}]}` + "\n\n",
			"data: ", "[DO", "NE]", "\n", "\n",
		}
	}
	size := len(strings.Join(first, "") + strings.Join(second, ""))
	r := segmentedResponse{}
	var header string
	var body []string
	switch framing {
	case "length":
		header, body = fmt.Sprintf("Content-Length: %d", size), slices.Concat(first, second)
	case "chunks":
		header = "Transfer-Encoding: chunked"
		for _, part := range [][]string{first, second} {
			hex := fmt.Sprintf("%02x", len(strings.Join(part, "")))
			body = slices.Concat(body, []string{hex[:1], hex[1:], "\r", "\n"}, part, []string{"\r", "\n"})
		}
		body = append(body, "0", "\r", "\n", "\r", "\n")
	default:
		header, body, r.closes = "X-Third: b", slices.Concat(first, second), true
	}
	r.segments = slices.Concat(head, []string{header + "\r", "\n", "\r", "\n"}, body)
	r.wholeAfter = len(r.segments)
	if c.kind == service.KindModel && framing == "chunks" {
		r.wholeAfter -= 2 + 5 // The end marker of a stream makes it whole.
	}
	return r
}

// attemptOf returns the attempt that a request belongs to.
func attemptOf(r *http.Request) ident.AttemptID {
	return ident.AttemptID(r.Header.Get(engine.HeaderAttempt))
}

// TestResponseInSegments guards against a request that ends without a whole answer, or is sent
// again, because its engine or backend server is silent between two segments of the response,
// wherever these part.
func TestResponseInSegments(t *testing.T) {
	var wg sync.WaitGroup
	for _, call := range segmentCalls() {
		for _, framing := range framings {
			sample := call.segmented(framing, "a")
			for cut := range len(sample.segments) + 1 {
				if cut == len(sample.segments) && !sample.closes {
					continue // Nothing is left to be sent.
				}
				s := startRawServer(t, func(c *net.TCPConn, r *http.Request) bool {
					response := call.segmented(framing, attemptOf(r))
					_, _ = io.WriteString(c, response.before(cut))
					time.Sleep(segmentSilence)
					_, _ = io.WriteString(c, response.after(cut))
					return !response.closes
				})
				h := newRawHarness(t, s, call.kind)
				wg.Go(func() {
					if _, err := call.do(h, segmentDeadline); err != nil {
						t.Errorf("%s, %s, silent after %q: %v", call.name, framing, sample.before(cut), err)
					}
					if n := s.requestCount(); n != 1 {
						t.Errorf("%s, %s, silent after %q: %d attempts\n%s", call.name, framing, sample.before(cut), n, s.received())
					}
				})
			}
		}
	}
	wg.Wait()
}

// TestConnectionEndsAfterLastByte guards against an answer that is not whole to its caller, or is
// requested again, because the connection ends with the last byte or some time after it.
func TestConnectionEndsAfterLastByte(t *testing.T) {
	var wg sync.WaitGroup
	for _, call := range segmentCalls() {
		for _, framing := range framings {
			for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
				s := startRawServer(t, func(c *net.TCPConn, r *http.Request) bool {
					_, _ = io.WriteString(c, call.segmented(framing, attemptOf(r)).after(0))
					time.Sleep(delay)
					return false
				})
				h := newRawHarness(t, s, call.kind)
				wg.Go(func() {
					for i := range 2 {
						if _, err := call.do(h, segmentDeadline); err != nil {
							t.Errorf("%s, %s, end after %s: %v", call.name, framing, delay, err)
						}
						if n := s.requestCount(); n != i+1 {
							t.Errorf("%s, %s, end after %s: %d attempts at %d requests\n%s", call.name, framing, delay, n, i+1, s.received())
						}
						if !s.awaitNoConnection() {
							t.Errorf("%s, %s, end after %s: the connection did not end", call.name, framing, delay)
						}
					}
				})
			}
		}
	}
	wg.Wait()
}

// TestConnectionEndsBeforeLastByte guards against an answer that looks whole to its caller although
// the connection ended, or was reset, before the whole response had arrived.
func TestConnectionEndsBeforeLastByte(t *testing.T) {
	var wg sync.WaitGroup
	for _, call := range segmentCalls() {
		for _, framing := range framings {
			sample := call.segmented(framing, "a")
			for _, reset := range []bool{false, true} {
				for cut := range sample.wholeAfter + 1 {
					inBody := strings.Contains(sample.before(cut), "\r\n\r\n")
					endMarked := call.kind == service.KindModel || framing != "until end"
					switch {
					case cut == sample.wholeAfter && (endMarked || !reset):
						continue // The answer is whole.
					case !reset && inBody && !endMarked:
						continue // Nothing tells a part from the whole.
					}
					s := startRawServer(t, func(c *net.TCPConn, r *http.Request) bool {
						_, _ = io.WriteString(c, call.segmented(framing, attemptOf(r)).before(cut))
						time.Sleep(20 * time.Millisecond)
						if reset {
							_ = c.SetLinger(0)
						}
						return false
					})
					h := newRawHarness(t, s, call.kind)
					wg.Go(func() {
						if status, err := call.do(h, failureDeadline); err == nil {
							t.Errorf("%s, %s, reset %t after %q: status %d and a whole answer", call.name, framing, reset, sample.before(cut), status)
						}
						if n := s.requestCount(); n != 1 {
							t.Errorf("%s, %s, reset %t after %q: %d attempts\n%s", call.name, framing, reset, sample.before(cut), n, s.received())
						}
					})
				}
			}
		}
	}
	wg.Wait()
}

// TestStreamEndsWithItsMarker guards against a stream that stays open to its caller after the end
// marker because the engine is silent before the last chunk.
func TestStreamEndsWithItsMarker(t *testing.T) {
	call := segmentCalls()[0]
	s := startRawServer(t, func(c *net.TCPConn, r *http.Request) bool {
		response := call.segmented("chunks", attemptOf(r))
		_, _ = io.WriteString(c, response.before(response.wholeAfter))
		time.Sleep(segmentSilence)
		return false
	})
	h := newRawHarness(t, s, call.kind)
	begin := time.Now()
	_, err := call.do(h, segmentDeadline)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) < engine.ProgressTimeout/2, "%s", time.Since(begin))
}
