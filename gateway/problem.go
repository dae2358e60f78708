package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes in problem details.
const (
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request ran.
	OutcomeRan Outcome = "ran"
)

// problemTypePrefix is the prefix of a problem's type URI. The rest is the name of
// a section in docs/callers.md.
const problemTypePrefix = "https://bulrushfall.dev/problems/"

// Problem is an error that is sent to the caller as RFC 9457 problem details.
type Problem struct {
	// Kind is the stable name of the problem type, such as "unknown-account".
	Kind       string        `json:"-"`
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Outcome    Outcome       `json:"outcome"`
	RetryAfter time.Duration `json:"-"`
}

// Error returns the title and, if there is one, the detail.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// WithDetail returns a copy with a formatted detail.
func (p Problem) WithDetail(format string, args ...any) *Problem {
	p.Detail = fmt.Sprintf(format, args...)
	return &p
}

// WithRetryAfter returns a copy that asks the caller to wait for d before it
// retries.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	q := *p
	q.RetryAfter = d
	return &q
}

func newProblem(kind string, status int, outcome Outcome, title string) Problem {
	return Problem{
		Kind:    kind,
		Type:    problemTypePrefix + kind,
		Title:   title,
		Status:  status,
		Outcome: outcome,
	}
}

// Problems that the filters and the dispatch return.
var (
	ProblemUnknownAccount = newProblem("unknown-account", http.StatusUnauthorized, OutcomeNotRun,
		"The bearer key belongs to no client account of this service: check the Authorization header")
	ProblemUnknownService = newProblem("unknown-service", http.StatusNotFound, OutcomeNotRun,
		"No such service: check the model name or the path")
	ProblemBadRequest = newProblem("bad-request", http.StatusBadRequest, OutcomeNotRun,
		"The request is malformed: correct it before a retry")
	ProblemBodyTooLarge = newProblem("body-too-large", http.StatusRequestEntityTooLarge, OutcomeNotRun,
		"The request body exceeds the limit: send a smaller one")
	ProblemNotReady = newProblem("not-ready", http.StatusServiceUnavailable, OutcomeNotRun,
		"This entry instance has no configuration yet: use another address from the lookup")
	ProblemNoCapacity = newProblem("no-capacity", http.StatusServiceUnavailable, OutcomeNotRun,
		"No backend server could take the request before its deadline: retry after the given time")
	ProblemDeadline = newProblem("deadline", http.StatusGatewayTimeout, OutcomeUnknown,
		"The deadline passed before the answer was complete")
	ProblemBackendFailed = newProblem("backend-failed", http.StatusBadGateway, OutcomeUnknown,
		"The backend server failed during the request")
	ProblemBackendRefused = newProblem("backend-refused", http.StatusBadGateway, OutcomeNotRun,
		"The backend server refused the request and did not run it")
	ProblemShuttingDown = newProblem("shutting-down", http.StatusServiceUnavailable, OutcomeNotRun,
		"This entry instance is shutting down: use another address from the lookup")
)

// asProblem returns the Problem in err's chain, or a Problem that describes err.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return ProblemDeadline.WithDetail("%v", err)
	}
	return ProblemBackendFailed.WithDetail("%v", err)
}

// writeProblem is the error encoder of the go-kit transports.
func writeProblem(_ context.Context, err error, w http.ResponseWriter) {
	p := asProblem(err)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(p.RetryAfter)))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// retryAfterSeconds returns a random delay between d and 2*d, rounded up to
// seconds, so that refused callers do not all retry at the same time.
func retryAfterSeconds(d time.Duration) int {
	spread := d + time.Duration(rand.Int64N(int64(d)+1))
	return int((spread + time.Second - 1) / time.Second)
}
