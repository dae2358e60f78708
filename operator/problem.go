package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// Kind is a kind of problem. Each has a section in docs/operators.md.
type Kind string

// Kinds of problems.
const (
	KindConflict         Kind = "conflict"
	KindWrongOwner       Kind = "wrong-owner"
	KindStoreUnavailable Kind = "store-unavailable"
	KindOutcomeUnknown   Kind = "outcome-unknown"
	KindTooManyEdits     Kind = "too-many-edits"
	KindInvalidDocument  Kind = "invalid-document"
	KindUnknownTeam      Kind = "unknown-team"
	KindUnknownService   Kind = "unknown-service"
	KindUnknownTarget    Kind = "unknown-target"
	KindNoTrace          Kind = "no-trace"
	KindTraceRunning     Kind = "trace-running"
	KindRevisionRequired Kind = "revision-required"
	KindBadRequest       Kind = "bad-request"
	KindBodyTooLarge     Kind = "body-too-large"
	KindShuttingDown     Kind = "shutting-down"
)

// problemTypePrefix is the prefix of the type URI of each problem.
const problemTypePrefix = "https://bulrushfall.dev/problems/operator/"

// Outcome says whether an edit applied. A failed request that is not an edit has
// OutcomeNotApplied, unless its error is unrecognised.
type Outcome string

// Outcomes of failed requests.
const (
	OutcomeNotApplied Outcome = "not-applied"
	OutcomeUnknown    Outcome = "unknown"
)

// retryAfterSeconds is the Retry-After value of retryable errors: one interval of
// the polls of the head row.
const retryAfterSeconds = 2

// Problem is an error answer of the interface.
type Problem struct {
	Kind    Kind    `json:"kind"`
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// CurrentRevision is set if Kind is KindConflict.
	CurrentRevision ident.Revision `json:"current_revision,omitempty"`
	// Owner is set if Kind is KindWrongOwner.
	Owner ident.Team `json:"owner,omitempty"`
	// Attempt identifies the edit. An edit with an unknown outcome has applied if
	// a record or an audit row has this id.
	Attempt ident.AttemptID `json:"attempt,omitempty"`
	// Problems is set if Kind is KindInvalidDocument.
	Problems []service.Problem `json:"problems,omitempty"`
}

// Error returns the title and the detail.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

func newProblem(kind Kind, status int, title, format string, args ...any) *Problem {
	return &Problem{
		Kind: kind, Type: problemTypePrefix + string(kind), Title: title, Status: status,
		Detail: fmt.Sprintf(format, args...), Outcome: OutcomeNotApplied,
	}
}

// asProblem maps an error to the problem document for it. An unrecognised error
// counts as an unknown outcome, because an edit that fails with it may have applied.
func asProblem(err error) *Problem {
	var (
		p        *Problem
		conflict *config.ConflictError
		owner    *config.OwnerError
		invalid  *service.Error
		tooLarge *http.MaxBytesError
	)
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &conflict):
		p = newProblem(KindConflict, http.StatusConflict, "The record has another revision", "%v", err)
		p.CurrentRevision = conflict.Current
	case errors.As(err, &owner):
		p = newProblem(KindWrongOwner, http.StatusForbidden, "Another team owns the document", "%v", err)
		p.Owner = owner.Owner
	case errors.As(err, &invalid):
		p = newProblem(KindInvalidDocument, http.StatusUnprocessableEntity, "The document is invalid", "%v", err)
		p.Problems = invalid.Problems
	case errors.As(err, &tooLarge):
		p = newProblem(KindBodyTooLarge, http.StatusRequestEntityTooLarge, "The document is too large", "use at most %d bytes", tooLarge.Limit)
	case errors.Is(err, config.ErrStoreUnavailable):
		p = newProblem(KindStoreUnavailable, http.StatusServiceUnavailable, "The edit did not apply", "%v", err)
	case errors.Is(err, config.ErrTooManyEdits):
		p = newProblem(KindTooManyEdits, http.StatusTooManyRequests, "The edit did not apply", "%v", err)
	case errors.Is(err, config.ErrShutDown):
		p = newProblem(KindShuttingDown, http.StatusServiceUnavailable, "The edit did not apply", "%v", err)
	default:
		p = newProblem(KindOutcomeUnknown, http.StatusGatewayTimeout, "The outcome of the edit is unknown", "%v", err)
		p.Outcome = OutcomeUnknown
	}
	return p
}

// writeProblem writes an error as a problem document. It is the error encoder of
// the HTTP servers.
func writeProblem(_ context.Context, err error, w http.ResponseWriter) {
	p := asProblem(err)
	switch p.Kind {
	case KindStoreUnavailable, KindOutcomeUnknown, KindTooManyEdits:
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
