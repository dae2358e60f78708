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
	// maxTicketRequestBytes limits the body of a request for a ticket.
	maxTicketRequestBytes = 4 << 10
	// maxForwardBytes limits a request or answer that is forwarded between entry
	// instances. It must fit in one frame of at most 1 MiB.
	maxForwardBytes = 768 << 10
	// maxForwardsPerPeer limits the forwarded requests that run for one peer. A
	// peer connection runs at most 64 handlers concurrently, and other messages
	// need some of them.
	maxForwardsPerPeer = 16
)

// kindTicketForward forwards a call with a ticket to the entry instance that
// issued the ticket.
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

// TicketAnswer is the answer to POST /v1/tickets. The ticket is valid for one
// order.
type TicketAnswer struct {
	Ticket string `json:"ticket"`
	// Address is the address of the entry instance that runs the order. Calls to
	// any other instance are forwarded to it.
	Address         string `json:"address"`
	ExpiresInMillis int64  `json:"expires_in_ms"`
}

// decodeTicket decodes a request for a ticket.
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
		return nil, ProblemBadRequest.WithDetail(`body is not {"service": "<name>"}: %v`, err)
	}
	r.Name = req.Service
	return r, nil
}

// mintTicket is the endpoint of POST /v1/tickets.
func (g *Gateway) mintTicket(ctx context.Context, request any) (any, error) {
	var answer TicketAnswer
	issue := func(_ context.Context, r *Request) (*Answer, error) {
		if g.draining.Load() {
			// The ticket would be lost when this incarnation ends.
			return nil, &ProblemShuttingDown
		}
		if r.Service.Document.Kind != service.KindPlain {
			return nil, ProblemBadRequest.WithDetail("service %q is a model service: its calls need no ticket", r.Name)
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
	if _, err := g.authenticate(issue)(ctx, request.(*Request)); err != nil {
		return nil, err
	}
	return answer, nil
}

// runWithTicket runs a call whose key is a ticket. Only the incarnation that
// issued the ticket may run the call, because no other one knows whether it has
// already run.
func (o *Orders) runWithTicket(ctx context.Context, r *Request, next Endpoint) (*Answer, error) {
	t, err := claim.ParseTicket(r.IdempotencyKey)
	if err != nil {
		return nil, &ProblemBadTicket
	}
	if t.Instance != o.opts.Self.Instance {
		return o.forwardTicket(ctx, r, t)
	}
	if t.Incarnation != o.opts.Self.Incarnation {
		return verdictAnswer(o.recordedOutcome(ctx, r))
	}
	switch err := o.runner.Verify(t, r.Account.Name, r.Name); {
	case errors.Is(err, claim.ErrTicketExpired):
		return verdictAnswer(o.recordedOutcome(ctx, r))
	case err != nil:
		return nil, &ProblemBadTicket
	}
	return o.runOnce(ctx, r, next, t.Expires)
}

// recordedOutcome returns the recorded outcome of a call with a ticket whose
// issuer cannot be asked. Without a record the outcome is unknown, because the
// ticket may have been used.
func (o *Orders) recordedOutcome(ctx context.Context, r *Request) claim.Result {
	return o.runner.RecordedResult(ctx, r.claimKey(), r.claimDigest())
}

// forwardRequest is a call with a ticket. It identifies the caller by the hash of
// its bearer key; the key itself is not forwarded.
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

// forwardReply is the answer or the problem of a forwarded call. OtherIncarnation
// is set if another incarnation issued the ticket; then nothing was done.
type forwardReply struct {
	OtherIncarnation bool          `msgpack:"g"`
	Answer           *claim.Answer `msgpack:"a"`
	Problem          *Problem      `msgpack:"p"`
	RetryAfter       time.Duration `msgpack:"r"`
}

// forwardTicket forwards the call to the issuer of its ticket. If it is uncertain
// what the issuer did, it returns the recorded outcome or "unknown".
func (o *Orders) forwardTicket(ctx context.Context, r *Request, t claim.Ticket) (*Answer, error) {
	if len(r.Body) > maxForwardBytes {
		return nil, forwardRefusal(&ProblemForwardTooLarge, r.FirstCall)
	}
	addr := o.peerAddress(t.Instance)
	if addr == "" {
		return verdictAnswer(o.recordedOutcome(ctx, r))
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
	case err != nil || reply.OtherIncarnation:
		return verdictAnswer(o.recordedOutcome(context.WithoutCancel(ctx), r))
	case reply.Problem != nil:
		return nil, reply.Problem.WithRetryAfter(reply.RetryAfter)
	case reply.Answer == nil:
		return nil, ProblemOutcomeUnknown.WithDetail("the entry instance that gave out the ticket sent no answer")
	}
	return &Answer{Status: reply.Answer.Status, Header: reply.Answer.Header, Body: reply.Answer.Body}, nil
}

// forwardRefusal returns the problem of a call that was refused before its ticket
// was checked. Unless this is the first call, the outcome is unknown, because an
// earlier call with the ticket may have run.
func forwardRefusal(p *Problem, isFirstCall bool) *Problem {
	if isFirstCall {
		return p
	}
	q := p.WithDetail("%s", earlierCallUnknown).WithRetryAfter(orderRetryAfter)
	q.Outcome = OutcomeUnknown
	return q
}

// handleForward runs a forwarded call through the filters of this entry instance.
func (o *Orders) handleForward(ctx context.Context, from wire.Peer, req forwardRequest) (forwardReply, error) {
	if req.Incarnation != o.opts.Self.Incarnation {
		return forwardReply{OtherIncarnation: true}, nil
	}
	if !o.forwarded.acquire(from.Instance) {
		return forwardReply{Problem: forwardRefusal(&ProblemForwardBusy, req.FirstCall), RetryAfter: orderRetryAfter}, nil
	}
	defer o.forwarded.release(from.Instance)
	r := &Request{
		Arrived: o.opts.Now(), KeySHA256: req.KeySHA256, Name: req.Service,
		Method: req.Method, Path: req.Path, Query: req.Query, ContentType: req.ContentType,
		IdempotencyKey: req.IdempotencyKey, FirstCall: req.FirstCall, Body: req.Body, CallerDeadline: req.Remaining,
		AnswerID: req.IdempotencyKey,
	}
	a, err := o.endpoint(ctx, r)
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

// forwardLimit limits the concurrent forwarded calls per peer.
type forwardLimit struct {
	mu      *sync.Mutex
	running map[ident.InstanceID]int
}

func newForwardLimit() forwardLimit {
	return forwardLimit{mu: &sync.Mutex{}, running: make(map[ident.InstanceID]int)}
}

func (l *forwardLimit) acquire(id ident.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id] >= maxForwardsPerPeer {
		return false
	}
	l.running[id]++
	return true
}

func (l *forwardLimit) release(id ident.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id]--; l.running[id] == 0 {
		delete(l.running, id)
	}
}
