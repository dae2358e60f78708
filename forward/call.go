package forward

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/saturate"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// Values of the Retry-After header of refusals.
const (
	// noConfigRetryAfter is about the time that a starting entry instance takes to read
	// the configuration.
	noConfigRetryAfter = 500 * time.Millisecond
	// noServerRetryAfter is about the time that the repair of a group takes.
	noServerRetryAfter = 1500 * time.Millisecond
	// busyRetryAfter is about the time that a full group takes to finish its requests.
	busyRetryAfter = 1200 * time.Millisecond
)

// maxBodyBytes limits the size of a request body if the configuration sets no limit.
const maxBodyBytes = 4 << 20

// call is the state of one request of a caller.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	start   time.Duration // when the request arrived
	// deadline is the earlier of the route's timeout and the deadline that the caller
	// set.
	deadline time.Duration

	view       *View
	route      *route.Route
	service    ident.ServiceName
	account    *route.Account
	id         string
	requestURI string
	model      string
	prompt     Prompt
	// traits is what the request may have in common with others.
	traits []quarantine.Trait
	// scarce is nil unless the service defers requests.
	scarce *scarce
	// body is the request body, which bodyHold counts.
	body     []byte
	bodyHold hold

	// triedServers are the backend servers that the request was sent to. sendCount is
	// the number of times it was sent.
	triedServers []triedServer
	sendCount    int
	// possibleRuns is the number of sends after which a backend server may have run the
	// request.
	possibleRuns int
	// unsentCount is the number of attempts that did not reach a backend server.
	unsentCount int
	// silent are attempts whose backend servers are silent while another attempt is
	// followed.
	silent []*attempt
	// runCounted is true once Options.OnRun was called for the request.
	runCounted bool
	// lastEventID is the ID of the last event that the caller received.
	lastEventID string
	// eventsSent is true once the caller has received an event.
	eventsSent bool
	// steps describe the failed attempts, for the log.
	steps []string
	// longestDelay is the longest time by which a wait of the request ended late.
	longestDelay time.Duration
}

// newCall reads and validates a request. It returns an HTTP status other than 0 if the
// request must be rejected: 503 if its body does not fit into the memory.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request, view *View) (*call, int) {
	c := &call{handler: h, writer: w, request: r, view: view, start: h.opts.Now(), id: r.Header.Get(h.opts.Headers.RequestID)}
	c.requestURI = r.RequestURI
	if !strings.HasPrefix(c.requestURI, "/") {
		c.requestURI = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(c.requestURI, "?")
	rt, ok := view.Routes.Match(r.Host, path)
	if !ok {
		return c, http.StatusNotFound
	}
	c.route = rt
	if view.Routes.NeedsKey(rt) {
		key, _ := strings.CutPrefix(r.Header.Get(headerAuth), bearerPrefix)
		account, ok := view.Routes.Authenticate(key)
		if !ok {
			return c, http.StatusUnauthorized
		}
		c.account = account
	}
	if c.id == "" {
		return c, http.StatusBadRequest
	}
	c.service = rt.Target(c.id)
	c.model = r.Header.Get(h.opts.Headers.Model)
	if h.opts.Prompt != nil {
		c.prompt = h.opts.Prompt(r.Header)
	}
	c.lastEventID = r.Header.Get(headerLastEvent)
	c.deadline = c.start + timeLimit(rt.Timeout, r.Header.Get(h.opts.Headers.Deadline))
	if r.ContentLength != 0 {
		max := view.Routes.Limits.BodyBytes
		if max <= 0 {
			max = maxBodyBytes
		}
		if err := c.readBody(max); err != nil {
			return c, bodyStatus(err)
		}
	}
	c.traits = c.traitsOf(c.prompt)
	h.countRequest(c)
	c.classify()
	return c, 0
}

// timeLimit returns how long a request may take: the route's timeout or, if that is shorter or the
// route has none, the time that the caller waits, in milliseconds. One that is no number is ignored.
func timeLimit(timeout time.Duration, callerWaits string) time.Duration {
	ms, err := strconv.ParseFloat(callerWaits, 64)
	if err != nil || math.IsNaN(ms) {
		return timeout
	}
	if wait := saturate.Duration(ms, time.Millisecond); wait < timeout || timeout == 0 {
		return wait
	}
	return timeout
}

func bodyStatus(err error) int {
	if _, ok := err.(*http.MaxBytesError); ok {
		return http.StatusRequestEntityTooLarge
	}
	if err == errMemory {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func (c *call) now() time.Duration { return c.handler.opts.Now() }

// isCanceled reports whether the caller has closed the connection.
func (c *call) isCanceled() bool { return c.request.Context().Err() != nil }

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return c.deadline - c.now() }

// hopByHopHeaders are headers that apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// isEndToEnd reports whether a header is forwarded. connection holds the values of the
// Connection header, which can name further headers that are not forwarded.
func isEndToEnd(name string, connection []string) bool {
	if slices.Contains(hopByHopHeaders, name) {
		return false
	}
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return false
			}
		}
	}
	return true
}

// encodeRequest returns the encoded HTTP request for a backend server: its head with a body of up
// to inlineBodyBytes, and the rest of the body, which is not copied.
func (c *call) encodeRequest(server ident.InstanceID, now time.Duration) (head, rest []byte) {
	names := &c.handler.opts.Headers
	inline := min(len(c.body), inlineBodyBytes)
	var b bytes.Buffer
	b.Grow(1024 + inline)
	b.WriteString(c.request.Method)
	b.WriteByte(' ')
	b.WriteString(c.requestURI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(c.request.Host)
	b.WriteString("\r\n")
	connection := c.request.Header["Connection"]
	for name, values := range c.request.Header {
		switch name {
		case headerAuth, names.Account, names.Server, names.Deadline, names.Priority, headerLastEvent, "Content-Length", "Expect":
			continue
		}
		if !isEndToEnd(name, connection) {
			continue
		}
		for _, v := range values {
			writeHeader(&b, name, v)
		}
	}
	if c.account != nil {
		writeHeader(&b, names.Account, string(c.account.Name))
	}
	if c.scarce != nil {
		writeHeader(&b, names.Priority, c.scarce.priorityHeader())
	}
	if c.lastEventID != "" {
		writeHeader(&b, headerLastEvent, c.lastEventID)
	}
	writeHeader(&b, names.Server, string(server))
	writeHeader(&b, names.Deadline, strconv.FormatInt(max(1, (c.deadline-now).Milliseconds()), 10))
	if len(c.body) > 0 || c.request.ContentLength != 0 || c.request.Method == http.MethodPost || c.request.Method == http.MethodPut {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(c.body)))
	}
	b.WriteString("\r\n")
	b.Write(c.body[:inline])
	return b.Bytes(), c.body[inline:]
}

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// reject answers an invalid or unauthorized request.
func (c *call) reject(status int) {
	if c.isCanceled() {
		return
	}
	c.logOutcome("rejected", logrus.Fields{"status": status})
	c.writer.WriteHeader(status)
}

// refusal describes the response to a valid request that was not run.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// refuse tells the caller that the request was not run and when to retry it.
func (c *call) refuse(f refusal) {
	if c.isCanceled() {
		c.logOutcome("left", logrus.Fields{"reason": f.reason})
		return
	}
	c.logOutcome("refused", logrus.Fields{"reason": f.reason, "retry_after_ms": f.retryAfter.Milliseconds()})
	c.countOutcome(func(m outcomeMetrics) { m.Refused.Inc(1) })
	c.writer.Header().Set(headerRetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	c.writer.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers a request that may have run.
func (c *call) fail(status int, reason string) {
	if c.isCanceled() {
		c.logOutcome("left", logrus.Fields{"reason": reason})
		return
	}
	c.logOutcome("failed", logrus.Fields{"reason": reason, "status": status})
	c.countOutcome(func(m outcomeMetrics) { m.Unknown.Inc(1) })
	c.writer.WriteHeader(status)
}

// abort ends a response that has begun, in a way that the caller can't mistake for a
// complete response: it closes the connection.
func (c *call) abort(reason string) {
	c.logOutcome("cut", logrus.Fields{"reason": reason})
	c.countOutcome(func(m outcomeMetrics) { m.Unknown.Inc(1) })
	panic(http.ErrAbortHandler)
}

// minLoggedDelay is the delay of a wait from which it is logged.
const minLoggedDelay = 50 * time.Millisecond

// recordLateness records by how much a wait ended late, as it does where the process lacks
// processor time.
func (c *call) recordLateness(d time.Duration) { c.longestDelay = max(c.longestDelay, d) }

// addStep adds a step to the trail field of the log line of the request.
func (c *call) addStep(step string) { c.steps = append(c.steps, step) }

// logOutcome writes the log line of a finished request.
func (c *call) logOutcome(outcome string, fields logrus.Fields) {
	if c.handler.opts.Log == nil {
		return
	}
	f := logrus.Fields{"request": c.id, "outcome": outcome, "ms": (c.now() - c.start).Milliseconds(), "sends": c.sendCount}
	if c.route != nil {
		f["route"], f["service"], f["model"] = c.route.Name, c.service, c.model
		f["config_version"] = c.view.Routes.Version
	}
	if c.scarce != nil {
		f["urgency"], f["placement"], f["priority"], f["age_ms"] = route.UrgencyOf(c.route, c.account), c.scarce.placement.String(), c.scarce.priority, c.scarce.request.Age.Milliseconds()
	}
	if c.account != nil {
		f["account"] = c.account.Name
	}
	if c.longestDelay >= minLoggedDelay {
		f["late_ms"] = c.longestDelay.Milliseconds()
	}
	if len(c.steps) > 0 {
		f["trail"] = strings.Join(c.steps, " ")
	}
	for k, v := range fields {
		f[k] = v
	}
	c.handler.opts.Log.WithFields(f).Info("request")
}

type outcomeMetrics = *telemetry.RequestMetrics

func (c *call) countOutcome(f func(outcomeMetrics)) {
	if c.handler.opts.Metrics == nil || c.route == nil {
		return
	}
	account := ident.Account("")
	if c.account != nil {
		account = c.account.Name
	}
	f(c.handler.opts.Metrics.Request(account, c.service, service.Class(c.route.Kind.String())))
}

// triedServer is a backend server, in an epoch of its group, that a request was sent to.
type triedServer struct {
	id    ident.InstanceID
	epoch ident.Epoch
}
