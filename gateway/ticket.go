package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/wire"
)

const (
	ticketsPath = "/v1/tickets"
	// maxTicketRequestBytes bounds the body of a request for a ticket.
	maxTicketRequestBytes = 4 << 10
	// maxForwardBytes bounds a request or answer that is forwarded between
	// entry instances in one frame of at most 1 MiB.
	maxForwardBytes = 768 << 10
	// maxForwardsPerPeer bounds forwarded requests that run for one peer. A peer
	// connection runs 64 handlers at a time, which its other messages need too.
	maxForwardsPerPeer = 16
)

// kindTicketForward carries a call with a ticket to the entry instance that
// minted it.
const kindTicketForward wire.Kind = "ticket.forward"

// Problems of tickets.
var (
	ProblemBadTicket = newProblem("bad-ticket", http.StatusBadRequest, OutcomeNotRun,
		"The idempotency key looks like a ticket but is not one for this account and service: request one with POST /v1/tickets")
	ProblemForwardTooLarge = newProblem("ticket-body-too-large", http.StatusRequestEntityTooLarge, OutcomeNotRun,
		"The request is too large to forward: send it to the entry instance that gave out the ticket")
	ProblemForwardBusy = newProblem("ticket-forward-busy", http.StatusServiceUnavailable, OutcomeNotRun,
		"Too many calls with tickets are being forwarded: retry after the given time")
	ProblemForwardedAnswerTooLarge = newProblem("ticket-answer-too-large", http.StatusServiceUnavailable, OutcomeRan,
		"The order ran, but its answer is too large to forward: retry at the entry instance that gave out the ticket")
)

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Service ident.ServiceName `json:"service"`
}

// TicketAnswer is a ticket for one order.
type TicketAnswer struct {
	Ticket string `json:"ticket"`
	// Address is the entry instance that runs the order, and so the best one to
	// send it to.
	Address         string `json:"address"`
	ExpiresInMillis int64  `json:"expires_in_ms"`
}

// decodeTicket reads a request for a ticket.
func (g *Gateway) decodeTicket(_ context.Context, h *http.Request) (any, error) {
	r := &Request{Arrived: g.now(), Method: h.Method, Path: h.URL.Path}
	if err := r.decodeHeaders(h.Header); err != nil {
		return nil, err
	}
	body, err := readBody(h, maxTicketRequestBytes)
	if err != nil {
		return nil, err
	}
	var req TicketRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, ProblemBadRequest.With(`body is not {"service": "<name>"}: %v`, err)
	}
	r.Name = req.Service
	return r, nil
}

// mint is the endpoint of POST /v1/tickets.
func (g *Gateway) mint(ctx context.Context, request any) (any, error) {
	var answer TicketAnswer
	minted := func(_ context.Context, r *Request) (*Answer, error) {
		if g.draining.Load() {
			// The ticket would be lost with this incarnation.
			return nil, &ProblemShuttingDown
		}
		if r.Service.Document.Kind != service.KindPlain {
			return nil, ProblemBadRequest.With("service %q is a model service: its calls need no ticket", r.Name)
		}
		ticket, err := g.opts.Orders.runner.Mint(r.Account.Name, r.Name)
		if err != nil {
			return nil, err
		}
		answer = TicketAnswer{
			Ticket:          ticket,
			Address:         g.opts.Self.Address,
			ExpiresInMillis: claim.TicketLifetime.Milliseconds(),
		}
		return &Answer{}, nil
	}
	if _, err := g.authenticate(minted)(ctx, request.(*Request)); err != nil {
		return nil, err
	}
	return answer, nil
}

// redeem runs a call whose key is a ticket. Only the incarnation that minted
// the ticket runs it: only that one knows whether it did so before.
func (o *Orders) redeem(ctx context.Context, r *Request, next Endpoint) (*Answer, error) {
	t, err := claim.ParseTicket(r.IdempotencyKey)
	if err != nil {
		return nil, &ProblemBadTicket
	}
	if t.Instance != o.opts.Self.Instance {
		return o.forwardTicket(ctx, r, t)
	}
	if t.Incarnation != o.opts.Self.Incarnation {
		return verdictAnswer(o.recorded(ctx, r))
	}
	switch err := o.runner.Verify(t, r.Account.Name, r.Name); {
	case errors.Is(err, claim.ErrTicketExpired):
		return verdictAnswer(o.recorded(ctx, r))
	case err != nil:
		return nil, &ProblemBadTicket
	}
	return o.run(ctx, r, next, t.Expires)
}

// recorded answers for a ticket whose minter cannot be asked. The ticket may
// have been used, so that nothing but its recorded outcome is certain.
func (o *Orders) recorded(ctx context.Context, r *Request) claim.Result {
	return o.runner.RecordedResult(ctx, r.claimKey(), r.claimDigest())
}

// forwardRequest is a call with a ticket. The hash of the bearer key stands for
// the caller; the key itself is not passed on.
type forwardRequest struct {
	Incarnation    ident.Incarnation `msgpack:"n"`
	KeySHA256      string            `msgpack:"k"`
	Service        ident.ServiceName `msgpack:"s"`
	Method         string            `msgpack:"m"`
	Path           string            `msgpack:"p"`
	Query          string            `msgpack:"q"`
	ContentType    string            `msgpack:"c"`
	IdempotencyKey string            `msgpack:"i"`
	FirstCall      bool              `msgpack:"f"`
	Body           []byte            `msgpack:"b"`
	Remaining      time.Duration     `msgpack:"r"`
}

// forwardReply is the answer or the problem. Gone is set by another
// incarnation of the minter, which did nothing.
type forwardReply struct {
	Gone       bool          `msgpack:"g"`
	Answer     *claim.Answer `msgpack:"a"`
	Problem    *Problem      `msgpack:"p"`
	RetryAfter time.Duration `msgpack:"r"`
}

// forwardTicket sends the call to the minter. When it is not certain what the
// minter did, the recorded outcome or "unknown" is the answer.
func (o *Orders) forwardTicket(ctx context.Context, r *Request, t claim.Ticket) (*Answer, error) {
	if len(r.Body) > maxForwardBytes {
		return nil, notForwarded(&ProblemForwardTooLarge, r.FirstCall)
	}
	addr := o.peerAddress(t.Instance)
	if addr == "" {
		return verdictAnswer(o.recorded(ctx, r))
	}
	remaining := r.Deadline - o.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining+orderRetryAfter)
	defer cancel()
	var reply forwardReply
	err := o.opts.Node.Call(ctx, addr, kindTicketForward, forwardRequest{
		Incarnation: t.Incarnation, KeySHA256: r.KeySHA256, Service: r.Name,
		Method: r.Method, Path: r.Path, Query: r.Query, ContentType: r.ContentType,
		IdempotencyKey: r.IdempotencyKey, FirstCall: r.FirstCall, Body: r.Body, Remaining: remaining,
	}, &reply)
	switch {
	case err != nil || reply.Gone:
		return verdictAnswer(o.recorded(context.WithoutCancel(ctx), r))
	case reply.Problem != nil:
		return nil, reply.Problem.After(reply.RetryAfter)
	case reply.Answer == nil:
		return nil, ProblemOutcomeUnknown.With("the entry instance that gave out the ticket sent no answer")
	}
	return &Answer{Status: reply.Answer.Status, Header: reply.Answer.Header, Body: reply.Answer.Body}, nil
}

// notForwarded is the refusal of a call that did not reach the register of its
// ticket: an earlier call with the ticket may have run.
func notForwarded(p *Problem, first bool) *Problem {
	if first {
		return p
	}
	q := p.With("%s", earlierUnknown).After(orderRetryAfter)
	q.Outcome = OutcomeUnknown
	return q
}

// answerForward runs a forwarded call through the own filters.
func (o *Orders) answerForward(ctx context.Context, from wire.Peer, req forwardRequest) (forwardReply, error) {
	if req.Incarnation != o.opts.Self.Incarnation {
		return forwardReply{Gone: true}, nil
	}
	if !o.forward.enter(from.Instance) {
		return forwardReply{Problem: notForwarded(&ProblemForwardBusy, req.FirstCall), RetryAfter: orderRetryAfter}, nil
	}
	defer o.forward.leave(from.Instance)
	r := &Request{
		Arrived: o.opts.Now(), KeySHA256: req.KeySHA256, Name: req.Service,
		Method: req.Method, Path: req.Path, Query: req.Query, ContentType: req.ContentType,
		IdempotencyKey: req.IdempotencyKey, FirstCall: req.FirstCall, Body: req.Body, CallerDeadline: req.Remaining,
		AnswerID: req.IdempotencyKey,
	}
	a, err := o.serve(ctx, r)
	if err != nil {
		p := asProblem(err)
		return forwardReply{Problem: p, RetryAfter: p.RetryAfter}, nil
	}
	if len(a.Body) > maxForwardBytes {
		p := ProblemForwardedAnswerTooLarge
		return forwardReply{Problem: &p, RetryAfter: orderRetryAfter}, nil
	}
	return forwardReply{Answer: &claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body}}, nil
}

// forwardLimit counts forwarded calls by the peer that sent them.
type forwardLimit struct {
	mu      *sync.Mutex
	running map[ident.InstanceID]int
}

func newForwardLimit() forwardLimit {
	return forwardLimit{mu: &sync.Mutex{}, running: make(map[ident.InstanceID]int)}
}

func (l *forwardLimit) enter(id ident.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id] >= maxForwardsPerPeer {
		return false
	}
	l.running[id]++
	return true
}

func (l *forwardLimit) leave(id ident.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id]--; l.running[id] == 0 {
		delete(l.running, id)
	}
}
