package gateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/service"
)

// authenticate resolves the service and the client account.
func (g *Gateway) authenticate(next Endpoint) Endpoint {
	return func(ctx context.Context, r *Request) (*Answer, error) {
		snap := g.opts.Snapshot()
		if !snap.Ready {
			return nil, &ProblemNotReady
		}
		r.Service = snap.Service(r.Name)
		if r.Service == nil {
			return nil, ProblemUnknownService.WithDetail("%q", r.Name)
		}
		account, ok := r.Service.Document.Account(r.KeySHA256)
		if !ok {
			return nil, &ProblemUnknownAccount
		}
		r.Account = account
		return next(ctx, r)
	}
}

// classify sets class, priority, idempotence and deadline from the service
// document and the caller's headers.
func (g *Gateway) classify(next Endpoint) Endpoint {
	return func(ctx context.Context, r *Request) (*Answer, error) {
		doc := &r.Service.Document
		r.Class, r.Priority = doc.Class, doc.Priority
		limit := doc.Deadline
		if doc.Kind == service.KindPlain {
			if r.Completion != nil {
				return nil, ProblemBadRequest.WithDetail("service %q is not a model service: use %s%s/", r.Name, servicesPrefix, r.Name)
			}
			m := matchMethod(doc, r)
			r.Idempotent = m.Idempotent
			if m.Class != "" {
				r.Class = m.Class
			}
			if m.Deadline > 0 {
				limit = m.Deadline
			}
		} else if r.Completion == nil {
			return nil, ProblemBadRequest.WithDetail("service %q is a model service: use /v1/chat/completions", r.Name)
		}
		if r.CallerDeadline > 0 {
			limit = r.CallerDeadline
		}
		// A caller may lower the priority of the document but not raise it.
		if r.HasPriority && r.CallerPriority < r.Priority {
			r.Priority = r.CallerPriority
		}
		r.Deadline = r.Arrived + limit
		r.Fingerprint = fingerprint(r)
		g.traceRequest(r)
		return next(ctx, r)
	}
}

// matchMethod returns the service document's rule for a call. A call without a
// rule is non-idempotent unless its HTTP method is safe.
func matchMethod(doc *service.Document, r *Request) service.Method {
	for _, m := range doc.Methods {
		if m.Method == r.Method && strings.HasPrefix(r.Path, m.PathPrefix) {
			return m
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return service.Method{Idempotent: true}
	}
	return service.Method{}
}

// withUnknownEarlierCalls changes the outcome of a refusal from "not-run" to
// "unknown" if an earlier call with the same idempotency key may have run. This is
// the case if the request was refused before its key was checked against the
// at-most-once records, unless the caller states that it is the first call.
func withUnknownEarlierCalls(r *Request, err error) error {
	var p *Problem
	if r.IdempotencyKey == "" || r.Idempotent || r.Completion != nil || r.FirstCall || r.reachedAtMostOnce {
		return err
	}
	if !errors.As(err, &p) || p.Outcome != OutcomeNotRun {
		return err
	}
	uncertain := *p
	uncertain.Outcome, uncertain.Detail = OutcomeUnknown, strings.TrimPrefix(p.Detail+"; "+earlierCallUnknown, "; ")
	return &uncertain
}

// recordOutcome counts the outcome of each request in the metrics of its client
// account and class.
func (g *Gateway) recordOutcome(next Endpoint) Endpoint {
	return func(ctx context.Context, r *Request) (*Answer, error) {
		a, err := next(ctx, r)
		err = withUnknownEarlierCalls(r, err)
		g.traceAnswer(r, err)
		switch {
		case r.Account.Name == "":
			g.counters.unauthenticated.Inc(1)
			return a, err
		case errors.Is(err, errParked):
			// The request is counted when its answer is complete.
			return a, err
		case errors.Is(err, errCallerGone):
			g.counters.callersDisconnected.Inc(1)
			return a, err
		}
		m := g.opts.Metrics.Request(r.Account.Name, r.Name, r.Class)
		m.Duration.RecordDuration(g.now() - r.Arrived)
		m.Tokens.Inc(int64(r.Assembler.NextOffset()))
		switch {
		case err == nil:
			m.Answered.Inc(1)
		case asProblem(err).Outcome == OutcomeNotRun:
			m.Refused.Inc(1)
		default:
			m.Unknown.Inc(1)
		}
		return a, err
	}
}
