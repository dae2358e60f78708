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
	// maxIdempotencyKeyBytes bounds a caller's key.
	maxIdempotencyKeyBytes = 255
	// outcomeGrace is how long after its deadline a dispatched call may still
	// give an answer, which a retry can then fetch.
	outcomeGrace = 30 * time.Second
	// orderRetryAfter is the delay asked of callers before a retry.
	orderRetryAfter = time.Second
	// claimChunkBytes bounds the part of an answer in one peer message. It
	// leaves room for headers below the frame limit of 1 MiB.
	claimChunkBytes = 512 << 10
	// earlierUnknown is the detail of a refusal that cannot tell whether an
	// earlier call with the same key ran.
	earlierUnknown = "this call did not run, but an earlier call with the same key may have; retry with the same key after Retry-After"
	// HeaderReplayed marks an answer that an earlier call with the same key got.
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

// kindClaimAsk asks an incarnation for the state of one of its attempts.
const kindClaimAsk wire.Kind = "claim.ask"

// askRequest asks for the part of a report's answer from an offset on.
type askRequest struct {
	Owner  claim.Owner `msgpack:"o"`
	Offset int         `msgpack:"f"`
}

// askReply carries a report; Total is the size of the whole answer body.
type askReply struct {
	Report claim.Report `msgpack:"r"`
	Total  int          `msgpack:"t"`
}

// Orders runs non-idempotent calls of plain services at most once.
type Orders struct {
	opts    OrderOptions
	runner  *runner.Runner
	forward forwardLimit
	// serve takes a forwarded request through the filters.
	serve Endpoint
}

// Register adds the peer handlers.
func (o *Orders) Register(mux *wire.Mux) {
	wire.Register(mux, kindClaimAsk, o.answerAsk)
	wire.Register(mux, kindClaimKey, o.answerKey)
	wire.Register(mux, kindTicketForward, o.answerForward)
}

// filter runs non-idempotent calls through the at-most-once record. All other
// calls pass.
func (o *Orders) filter(next Endpoint) Endpoint {
	return func(ctx context.Context, r *Request) (*Answer, error) {
		if r.Idempotent || r.Completion != nil {
			return next(ctx, r)
		}
		r.reachedRecord = true
		switch key := r.IdempotencyKey; {
		case key == "":
			return nil, &ProblemKeyRequired
		case !validKey(key):
			return nil, &ProblemKeyInvalid
		case claim.IsTicket(key):
			return o.redeem(ctx, r, next)
		default:
			return o.run(ctx, r, next, 0)
		}
	}
}

// validKey reports whether a key has an acceptable size and characters.
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

// run claims the key and dispatches at most once.
func (o *Orders) run(ctx context.Context, r *Request, next Endpoint, ticketExpires time.Duration) (*Answer, error) {
	v := o.runner.Run(ctx, runner.Request{
		Key:           r.claimKey(),
		Digest:        r.claimDigest(),
		Deadline:      r.Deadline,
		Retention:     r.Service.Document.OutcomeRetention,
		TicketExpires: ticketExpires,
		FirstCall:     r.FirstCall,
		Dispatch: func(ctx context.Context, attempt ident.AttemptID) claim.DispatchDone {
			// The caller's goroutine may answer before this one is done.
			q := *r
			q.AnswerID = string(attempt)
			q.AnswerBy = r.Deadline + outcomeGrace
			return dispatchDone(next(ctx, &q))
		},
	})
	if v.EarlierCallUnknown && ticketExpires == 0 {
		v = o.askPeers(ctx, r, v)
	}
	return verdictAnswer(v)
}

// dispatchDone tells what the result of the inner filters says about the run.
func dispatchDone(a *Answer, err error) claim.DispatchDone {
	if err == nil {
		answer := &claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
		return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: answer}
	}
	if asProblem(err).Outcome == OutcomeNotRun {
		return claim.DispatchDone{Status: claim.DispatchRefused, Cause: err}
	}
	return claim.DispatchDone{Status: claim.DispatchUnknown, Cause: err}
}

// verdictAnswer turns a verdict into the caller's answer or problem.
func verdictAnswer(v claim.Result) (*Answer, error) {
	switch v.Kind {
	case claim.ResultAnswer:
		return &Answer{Status: v.Answer.Status, Header: v.Answer.Header, Body: v.Answer.Body}, nil
	case claim.ResultReplay:
		if v.Cause != nil || v.Answer == nil {
			return nil, ProblemAnswerUnavailable.With("%v", v.Cause).After(orderRetryAfter)
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
		p := ProblemOutcomeUnknown.With("%s", v.Reason)
		switch {
		case v.EarlierCallUnknown:
			p = ProblemOutcomeUnknown.With("%s: %s", v.Reason, earlierUnknown)
		case v.Cause != nil:
			p = ProblemOutcomeUnknown.With("%s: %v", v.Reason, v.Cause)
		}
		return nil, p.After(orderRetryAfter)
	}
}

// notRunProblem keeps the problem of an inner filter that refused the call.
func notRunProblem(v claim.Result) error {
	var p *Problem
	if errors.As(v.Cause, &p) && p.Outcome == OutcomeNotRun {
		return p
	}
	return ProblemNotRecorded.With("%s", v.Reason).After(orderRetryAfter)
}

// AskPeer asks another incarnation for the state of an attempt.
func (o *Orders) AskPeer(ctx context.Context, owner claim.Owner) claim.Report {
	gone := claim.Report{State: claim.StateGone}
	addr := o.peerAddress(owner.Instance)
	if addr == "" {
		return gone
	}
	var whole claim.Report
	for {
		var reply askReply
		req := askRequest{Owner: owner}
		if whole.Answer != nil {
			req.Offset = len(whole.Answer.Body)
		}
		if err := o.opts.Node.Call(ctx, addr, kindClaimAsk, req, &reply); err != nil {
			return gone
		}
		if whole.Answer == nil {
			whole = reply.Report
		} else if reply.Report.Answer == nil || len(reply.Report.Answer.Body) == 0 {
			return gone
		} else {
			whole.Answer.Body = append(whole.Answer.Body, reply.Report.Answer.Body...)
		}
		if whole.Answer == nil || len(whole.Answer.Body) >= reply.Total {
			return whole
		}
	}
}

// answerAsk reports an own attempt to a peer, with a part of its answer.
func (o *Orders) answerAsk(_ context.Context, _ wire.Peer, req askRequest) (askReply, error) {
	reply := askReply{Report: o.runner.ReportByAttempt(req.Owner)}
	if a := reply.Report.Answer; a != nil {
		reply.Total = len(a.Body)
		part := *a
		from := min(max(req.Offset, 0), len(a.Body))
		part.Body = a.Body[from:min(from+claimChunkBytes, len(a.Body))]
		reply.Report.Answer = &part
	}
	return reply, nil
}

// peerAddress returns the peer address of an entry instance, or "".
func (o *Orders) peerAddress(id ident.InstanceID) string {
	for _, e := range o.opts.Snapshot().Entries {
		if e.Instance == id {
			return e.PeerAddress
		}
	}
	return ""
}
