package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
)

// Parameters of the detection of crashes.
const (
	// crashCheckDelay is the time from a broken connection to a backend server until a new
	// one is tried. The connections of other requests break within it if the server has
	// crashed.
	crashCheckDelay = 10 * time.Millisecond
	// crashCheckTimeout bounds the time for the new connection.
	crashCheckTimeout = 200 * time.Millisecond
)

// Names of the counters of crashes.
const (
	metricCrashes           = "backend_crashes_total"
	metricConvictions       = "quarantine_convictions_total"
	metricQuarantineRefused = "quarantine_refused_total"
)

func (h *Handler) count(name string) {
	if h.opts.Metrics != nil {
		h.opts.Metrics.Scope.Counter(name).Inc(1)
	}
}

// crashes attributes crashes of backend servers to what the requests on them had in common,
// and refuses such requests.
type crashes struct {
	mu         sync.Mutex
	correlator *quarantine.Correlator
	// checking holds the backend servers that may have crashed.
	checking map[quarantine.Server]bool
}

func newCrashes() *crashes {
	return &crashes{correlator: quarantine.NewCorrelator(quarantine.DefaultCorrelatorConfig()), checking: make(map[quarantine.Server]bool)}
}

// Prompt describes the prompt of a request.
type Prompt struct {
	// SharedParts are the ids of the parts that other requests may share.
	SharedParts []string
	// Content identifies the prompt as a whole.
	Content string
	// Tokens is the length of the prompt, or 0 if it is not known.
	Tokens uint64
	// AnswerTokens is the caller's estimate of the tokens of the answer, or 0 if it states none.
	AnswerTokens int
}

// traitsOf returns the traits of a request: its content and the shared parts of its prompt.
func (c *call) traitsOf(p Prompt) []quarantine.Trait {
	account := ident.Account("")
	if c.account != nil {
		account = c.account.Name
	}
	content := fmt.Appendf(nil, "%s\n%s\n%s\n%s\n%s\n%s\n", c.request.Method, c.request.Host, c.requestURI, account, c.model, p.Content)
	traits := []quarantine.Trait{quarantine.ContentTrait(ident.NewFingerprint(c.service, content, c.body))}
	for _, part := range p.SharedParts {
		traits = append(traits, quarantine.PartTrait(c.service, part))
	}
	return traits
}

// isConvicted reports whether the request is refused because such requests crash backend
// servers, and how long.
func (c *call) isConvicted() (remaining time.Duration, ok bool) {
	w := c.handler.crashes
	now := c.now()
	w.mu.Lock()
	convicted := w.correlator.Tick(now)
	remaining, ok = w.correlator.Convicted(now, c.traits)
	w.mu.Unlock()
	c.handler.announce(convicted, "")
	return remaining, ok
}

// reasonConvicted is the reason of a refusal in the log.
const reasonConvicted = "such requests crash backend servers"

// refuseConvicted refuses a request of which such requests crash backend servers.
func (c *call) refuseConvicted(remaining time.Duration) {
	c.handler.count(metricQuarantineRefused)
	if c.possibleRuns > 0 {
		c.giveUp(reasonConvicted)
		return
	}
	c.refuse(refusal{reason: reasonConvicted, retryAfter: remaining})
}

// begin records that the request is being sent to the backend server.
func (a *attempt) begin(now time.Duration) {
	w := a.req.handler.crashes
	w.mu.Lock()
	defer w.mu.Unlock()
	a.run = w.correlator.Begin(now, serverOf(a.server), a.req.traits)
}

func serverOf(s *fleet.Server) quarantine.Server {
	return quarantine.Server{Instance: s.ID, Incarnation: s.Incarnation, DataCentre: s.DataCentre}
}

// recordAnswering records that the backend server has sent a part of the answer.
func (a *attempt) recordAnswering(now time.Duration) {
	if a.survived {
		return
	}
	w := a.req.handler.crashes
	w.mu.Lock()
	defer w.mu.Unlock()
	a.survived = w.correlator.Answering(now, a.run)
}

// recordWhole records that the response looks whole.
func (a *attempt) recordWhole() {
	a.runResult = quarantine.RunSucceeded
	if a.conn.BodyUntilEnd() && !a.survived {
		a.runResult = quarantine.RunUnconfirmed
	}
}

// end records the result of the attempt. If its connection has ended during the response, it checks
// whether the backend server has crashed.
func (a *attempt) end(now time.Duration) {
	if a.run == nil {
		return
	}
	w := a.req.handler.crashes
	s := serverOf(a.server)
	w.mu.Lock()
	w.correlator.End(now, a.run, a.runResult)
	check := (a.runResult == quarantine.RunCrashed || a.runResult == quarantine.RunUnconfirmed) && !w.checking[s]
	if check {
		w.checking[s] = true
	}
	w.mu.Unlock()
	a.run = nil
	if check {
		go a.req.handler.checkCrash(s, a.server.Address)
	}
}

// checkCrash finds out whether a backend server whose connections have broken has crashed:
// then it refuses new connections. It records the crash with its suspects if so.
func (h *Handler) checkCrash(s quarantine.Server, address string) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := h.opts.Dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	w := h.crashes
	w.mu.Lock()
	delete(w.checking, s)
	if !errors.Is(err, unix.ECONNREFUSED) {
		w.correlator.DismissBroken(h.opts.Now(), s)
		w.mu.Unlock()
		return
	}
	suspects := w.correlator.RecordCrash(h.opts.Now(), s)
	w.mu.Unlock()
	h.count(metricCrashes)
	if h.opts.Log != nil {
		h.opts.Log.WithFields(logrus.Fields{"server": s.Instance, "incarnation": s.Incarnation, "suspects": suspects}).Info("backend server crashed")
	}
	if h.opts.OnFindings != nil {
		h.opts.OnFindings()
	}
}

// CrashFindings returns what the other entry instances have to know of crashes.
func (h *Handler) CrashFindings(now time.Duration) quarantine.Findings {
	h.crashes.mu.Lock()
	convicted := h.crashes.correlator.Tick(now)
	f := h.crashes.correlator.Findings(now)
	h.crashes.mu.Unlock()
	h.announce(convicted, "")
	return f
}

// MergeCrashFindings applies the findings of another entry instance, and reports whether
// anything was new.
func (h *Handler) MergeCrashFindings(now time.Duration, from ident.InstanceID, f quarantine.Findings) bool {
	if f.Empty() {
		return false
	}
	h.crashes.mu.Lock()
	convicted, changed := h.crashes.correlator.Merge(now, f)
	h.crashes.mu.Unlock()
	h.announce(convicted, from)
	return changed
}

// announce logs new convictions and tells the other entry instances. Those of another entry
// instance have its name.
func (h *Handler) announce(convicted []quarantine.Conviction, from ident.InstanceID) {
	if len(convicted) == 0 {
		return
	}
	for _, k := range convicted {
		h.count(metricConvictions)
		if h.opts.Log != nil {
			h.opts.Log.WithFields(logrus.Fields{"traits": formatTraits(k.Traits), "from": from}).
				Warn("requests are refused because such requests crash backend servers")
		}
	}
	if h.opts.OnFindings != nil {
		h.opts.OnFindings()
	}
}

func formatTraits(traits []quarantine.Trait) string {
	s := ""
	for i, t := range traits {
		if i > 0 {
			s += " "
		}
		s += fmt.Sprintf("%016x", uint64(t))
	}
	return s
}
