package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/claim/runner"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Parameters of non-idempotent calls.
const (
	// maxIdempotencyKeyBytes limits the length of a caller's key.
	maxIdempotencyKeyBytes = 255
	// outcomeGrace is how long after its deadline a dispatched call may still get
	// an answer, which a retry can then fetch.
	outcomeGrace = 30 * time.Second
	// orderRetryAfter is the delay that callers are asked to wait before a retry.
	orderRetryAfter = time.Second
	// claimChunkBytes limits the part of an answer in one peer message. It leaves
	// room for headers within the frame limit of 1 MiB.
	claimChunkBytes = 512 << 10
	// earlierCallUnknown is the detail of a refusal that cannot tell whether an
	// earlier call with the same key ran.
	earlierCallUnknown = "this call did not run, but an earlier call with the same key may have; retry with the same key after Retry-After"
	// HeaderReplayed marks an answer that an earlier call with the same key
	// produced.
	HeaderReplayed = "Idempotent-Replayed"
)

// Problems of non-idempotent calls.
var (
	ProblemKeyRequired = newProblem("idempotency-key-required", http.StatusBadRequest, OutcomeNotRun,
		"This call must not run twice: send an Idempotency-Key header, new for each order and the same for its retries")
	ProblemKeyInvalid = newProblem("idempotency-key-invalid", http.StatusBadRequest, OutcomeNotRun,
		"The Idempotency-Key header is invalid: use 1 to 255 visible ASCII characters")
	ProblemKeyConflict = newProblem("idempotency-key-conflict", http.StatusConflict, OutcomeNotRun,
		"The idempotency key was used for another request: use a new key for a new order")
	ProblemNotRecorded = newProblem("not-recorded", http.StatusServiceUnavailable, OutcomeNotRun,
		"The order was not run, because it could not be recorded in time: retry with the same key, or with a ticket from POST /v1/tickets")
	ProblemOutcomeUnknown = newProblem("outcome-unknown", http.StatusGatewayTimeout, OutcomeUnknown,
		"The order may have run: retry with the same key to fetch its outcome")
	ProblemAnswerUnavailable = newProblem("answer-unavailable", http.StatusServiceUnavailable, OutcomeRan,
		"The order ran, but its recorded answer cannot be read at the moment: retry with the same key")
)

// kindClaimReport asks an incarnation of an entry instance for the state of one of
// its attempts.
const kindClaimReport wire.Kind = "claim.ask"

// reportRequest asks for a claim report with the part of its answer that starts at
// Offset.
type reportRequest struct {
	Owner  claim.Owner `msgpack:"o"`
	Offset int         `msgpack:"f"`
}

// reportReply contains a claim report. Total is the size of the whole answer body.
type reportReply struct {
	Report claim.Report `msgpack:"r"`
	Total  int          `msgpack:"t"`
}

// Orders runs non-idempotent calls of plain services at most once.
type Orders struct {
	opts      OrderOptions
	runner    *runner.Runner
	forwarded forwardLimit
	// endpoint runs forwarded calls through all filters.
	endpoint Endpoint
}

// Register adds the handlers of peer messages.
func (o *Orders) Register(mux *wire.Mux) {
	wire.Register(mux, kindClaimReport, o.handleReportRequest)
	wire.Register(mux, kindClaimKeyReport, o.handleKeyRequest)
	wire.Register(mux, kindTicketForward, o.handleForward)
}

// filter claims the idempotency key of non-idempotent calls before they run. It
// passes other calls on unchanged.
func (o *Orders) filter(next Endpoint) Endpoint {
	return func(ctx context.Context, r *Request) (*Answer, error) {
		if r.Idempotent || r.Completion != nil {
			return next(ctx, r)
		}
		r.reachedAtMostOnce = true
		switch key := r.IdempotencyKey; {
		case key == "":
			return nil, &ProblemKeyRequired
		case !validKey(key):
			return nil, &ProblemKeyInvalid
		case claim.IsTicket(key):
			return o.runWithTicket(ctx, r, next)
		default:
			return o.runOnce(ctx, r, next, 0)
		}
	}
}

// validKey reports whether a key has a valid length and valid characters.
func validKey(key string) bool {
	if claim.IsTicket(key) {
		return true // checked by claim.ParseTicket
	}
	if len(key) > maxIdempotencyKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != ""
}

func (r *Request) claimKey() claim.Key {
	return claim.NewKey(r.Account.Name, r.Name, r.IdempotencyKey)
}

func (r *Request) claimDigest() claim.Digest {
	return claim.NewDigest(r.Method, r.Path+"?"+r.Query, r.Body)
}

// runOnce claims the key and dispatches the call at most once.
func (o *Orders) runOnce(ctx context.Context, r *Request, next Endpoint, ticketExpires time.Duration) (*Answer, error) {
	v := o.runner.Run(ctx, runner.Request{
		Key:           r.claimKey(),
		Digest:        r.claimDigest(),
		Deadline:      r.Deadline,
		Retention:     r.Service.Document.OutcomeRetention,
		TicketExpires: ticketExpires,
		FirstCall:     r.FirstCall,
		Dispatch: func(ctx context.Context, attempt ident.AttemptID) claim.DispatchDone {
			// The caller may get its answer before this call ends, so the call
			// must not share the request with the caller's goroutine.
			dispatched := *r
			dispatched.AnswerID = string(attempt)
			dispatched.AnswerDeadline = r.Deadline + outcomeGrace
			return dispatchResult(next(ctx, &dispatched))
		},
	})
	if v.EarlierCallUnknown && ticketExpires == 0 {
		v = o.queryPeers(ctx, r, v)
	}
	return verdictAnswer(v)
}

// dispatchResult converts the result of the inner endpoint for the claim.
func dispatchResult(a *Answer, err error) claim.DispatchDone {
	if err == nil {
		answer := &claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
		return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: answer}
	}
	if asProblem(err).Outcome == OutcomeNotRun {
		return claim.DispatchDone{Status: claim.DispatchRefused, Cause: err}
	}
	return claim.DispatchDone{Status: claim.DispatchUnknown, Cause: err}
}

// verdictAnswer converts a verdict to the caller's answer or problem.
func verdictAnswer(v claim.Result) (*Answer, error) {
	switch v.Kind {
	case claim.ResultAnswer:
		return &Answer{Status: v.Answer.Status, Header: v.Answer.Header, Body: v.Answer.Body}, nil
	case claim.ResultReplay:
		if v.Cause != nil || v.Answer == nil {
			return nil, ProblemAnswerUnavailable.WithDetail("%v", v.Cause).WithRetryAfter(orderRetryAfter)
		}
		header := v.Answer.Header.Clone()
		if header == nil {
			header = make(http.Header, 1)
		}
		header.Set(HeaderReplayed, "true")
		return &Answer{Status: v.Answer.Status, Header: header, Body: v.Answer.Body}, nil
	case claim.ResultConflict:
		return nil, &ProblemKeyConflict
	case claim.ResultNotRun:
		return nil, notRunProblem(v)
	default:
		p := ProblemOutcomeUnknown.WithDetail("%s", v.Reason)
		switch {
		case v.EarlierCallUnknown:
			p = ProblemOutcomeUnknown.WithDetail("%s: %s", v.Reason, earlierCallUnknown)
		case v.Cause != nil:
			p = ProblemOutcomeUnknown.WithDetail("%s: %v", v.Reason, v.Cause)
		}
		return nil, p.WithRetryAfter(orderRetryAfter)
	}
}

// notRunProblem returns the problem of the inner filter that refused the call, or
// ProblemNotRecorded if there is none.
func notRunProblem(v claim.Result) error {
	var p *Problem
	if errors.As(v.Cause, &p) && p.Outcome == OutcomeNotRun {
		return p
	}
	return ProblemNotRecorded.WithDetail("%s", v.Reason).WithRetryAfter(orderRetryAfter)
}

// PeerReport asks the owner of an attempt for its state and fetches the answer in
// chunks. It returns StateGone if the owner cannot be reached.
func (o *Orders) PeerReport(ctx context.Context, owner claim.Owner) claim.Report {
	gone := claim.Report{State: claim.StateGone}
	addr := o.peerAddress(owner.Instance)
	if addr == "" {
		return gone
	}
	var report claim.Report
	for {
		var reply reportReply
		req := reportRequest{Owner: owner}
		if report.Answer != nil {
			req.Offset = len(report.Answer.Body)
		}
		if err := o.opts.Node.Call(ctx, addr, kindClaimReport, req, &reply); err != nil {
			return gone
		}
		if report.Answer == nil {
			report = reply.Report
		} else if reply.Report.Answer == nil || len(reply.Report.Answer.Body) == 0 {
			return gone
		} else {
			report.Answer.Body = append(report.Answer.Body, reply.Report.Answer.Body...)
		}
		if report.Answer == nil || len(report.Answer.Body) >= reply.Total {
			return report
		}
	}
}

// handleReportRequest reports the state of an attempt of this entry instance, with
// one chunk of its answer.
func (o *Orders) handleReportRequest(_ context.Context, _ wire.Peer, req reportRequest) (reportReply, error) {
	reply := reportReply{Report: o.runner.ReportByAttempt(req.Owner)}
	if a := reply.Report.Answer; a != nil {
		reply.Total = len(a.Body)
		chunk := *a
		from := min(max(req.Offset, 0), len(a.Body))
		chunk.Body = a.Body[from:min(from+claimChunkBytes, len(a.Body))]
		reply.Report.Answer = &chunk
	}
	return reply, nil
}

// peerAddress returns the peer address of an entry instance, or "" if it is
// unknown.
func (o *Orders) peerAddress(id ident.InstanceID) string {
	for _, e := range o.opts.Snapshot().Entries {
		if e.Instance == id {
			return e.PeerAddress
		}
	}
	return ""
}
