package runner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Parameters of the runner.
const (
	// dispatchGrace is how long a dispatch may go on after the deadline before
	// its caller gets an unknown outcome. A dispatch that was not sent ends at
	// the deadline and is then reported as not run.
	dispatchGrace = 100 * time.Millisecond
	// outcomeTimeout bounds one try to write an outcome.
	outcomeTimeout = 5 * time.Second
	// minRetention keeps a row longer than any attempt can run.
	minRetention = time.Hour
	// secretBytes is the size of the secret that signs tickets.
	secretBytes = 32
)

// Dispatch sends a request to a backend server. It has to return
// DispatchRefused if nothing was sent by the request's deadline. It may go on
// after the deadline to learn the outcome.
type Dispatch func(ctx context.Context, attempt ident.AttemptID) claim.DispatchDone

// Options are the parts that a Runner works with.
type Options struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Table       infra.Table
	Objects     infra.ObjectStore
	// ReportByAttempt asks another incarnation for the state of an attempt. It reports
	// StateGone when that incarnation cannot be reached.
	QueryOwner func(ctx context.Context, o claim.Owner) claim.Report
	// Now is the local monotonic clock, WallClock the clock for retention.
	Now            func() time.Duration
	WallClock      func() time.Time
	Scope          tally.Scope
	MachineConfig  claim.Config
	RegistryConfig claim.RegistryConfig
	BatchConfig    claim.BatchConfig
}

type metrics struct {
	requests, answers, replays, notRun, unknown, conflicts tally.Counter
	earlierUnknown                                         tally.Counter
	transactions, transactionErrors, rows, swept, tickets  tally.Counter
	remembered, rememberedBytes                            tally.Gauge
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		requests:          s.Counter("claim_requests_total"),
		answers:           s.Counter("claim_answers_total"),
		replays:           s.Counter("claim_replays_total"),
		notRun:            s.Counter("claim_not_run_total"),
		unknown:           s.Counter("claim_unknown_total"),
		conflicts:         s.Counter("claim_conflicts_total"),
		earlierUnknown:    s.Counter("claim_earlier_unknown_total"),
		transactions:      s.Counter("claim_transactions_total"),
		transactionErrors: s.Counter("claim_transaction_errors_total"),
		rows:              s.Counter("claim_rows_written_total"),
		swept:             s.Counter("claim_rows_swept_total"),
		tickets:           s.Counter("claim_tickets_total"),
		remembered:        s.Gauge("claim_attempts_remembered"),
		rememberedBytes:   s.Gauge("claim_answer_bytes_remembered"),
	}
}

// Runner runs the non-idempotent requests of one incarnation.
type Runner struct {
	opts   Options
	m      *metrics
	store  *store
	minter *claim.Minter
	wg     sync.WaitGroup

	mu       sync.Mutex
	register *claim.Registry
}

// New returns a runner.
func New(opts Options) (*Runner, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "create ticket secret")
	}
	m := newMetrics(opts.Scope)
	return &Runner{
		opts:     opts,
		m:        m,
		store:    newStore(opts.Table, opts.Now, opts.BatchConfig, m),
		minter:   claim.NewMinter(opts.Instance, opts.Incarnation, secret),
		register: claim.NewRegistry(opts.RegistryConfig),
	}, nil
}

// Request is one non-idempotent request.
type Request struct {
	Key      claim.Key
	Digest   claim.Digest
	Deadline time.Duration
	// Retention is how long the outcome can be fetched.
	Retention time.Duration
	// TicketExpires is set when the key is a verified ticket of this incarnation.
	TicketExpires time.Duration
	// FirstCall is set when the caller states that it never sent the key before.
	FirstCall bool
	Dispatch  Dispatch
}

// Mint returns a new ticket of this incarnation.
func (r *Runner) Mint(account ident.Account, service ident.ServiceName) (string, error) {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return "", errors.Wrap(err, "create ticket")
	}
	r.m.tickets.Inc(1)
	return r.minter.Mint(r.opts.Now(), account, service, binary.BigEndian.Uint64(nonce[:])), nil
}

// Verify checks a ticket of this incarnation.
func (r *Runner) Verify(t claim.Ticket, account ident.Account, service ident.ServiceName) error {
	return r.minter.Verify(r.opts.Now(), t, account, service)
}

// ReportByAttempt reports an own attempt to a peer. An attempt of another incarnation of
// this instance is gone.
func (r *Runner) ReportByAttempt(o claim.Owner) claim.Report {
	if o.Incarnation != r.opts.Incarnation || o.Instance != r.opts.Instance {
		return claim.Report{State: claim.StateGone}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.ReportByAttempt(o.Attempt)
}

// ReportByKey reports the own attempt that holds a key to a peer.
func (r *Runner) ReportByKey(key claim.Key) claim.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.AskKey(key)
}

// RecordedResult returns what the store says about a key whose owner cannot be
// asked: a replay, or an unknown outcome.
func (r *Runner) RecordedResult(ctx context.Context, key claim.Key, digest claim.Digest) claim.Result {
	unknown := claim.Result{Kind: claim.ResultUnknown, Reason: claim.ReasonOwnerGone}
	row, err := r.opts.Table.Get(ctx, key.RowKey())
	if err != nil {
		return unknown
	}
	stored, err := claim.DecodeRow(row)
	switch {
	case err != nil || (stored.State != claim.StateDone && stored.Digest == digest):
		return unknown
	case stored.Digest != digest:
		return claim.Result{Kind: claim.ResultConflict}
	}
	return r.fill(ctx, claim.Result{Kind: claim.ResultReplay, Answer: stored.Answer})
}

// Run handles a request and returns when its caller can be answered. What is
// left to do after that goes on in the background until Wait.
func (r *Runner) Run(ctx context.Context, req Request) claim.Result {
	r.m.requests.Inc(1)
	retention := max(req.Retention, minRetention)
	t := &task{
		runner: r,
		req:    req,
		claim: claim.Request{
			Key:    req.Key,
			Digest: req.Digest,
			Owner: claim.Owner{
				Attempt:     ident.AttemptID(uuid.NewString()),
				Instance:    r.opts.Instance,
				Incarnation: r.opts.Incarnation,
			},
			Ticket:    req.TicketExpires > 0,
			FirstCall: req.FirstCall,
			Expires:   r.opts.WallClock().Add(retention).Unix(),
		},
		verdict: make(chan claim.Result, 1),
	}
	t.machine = claim.NewMachine(r.opts.MachineConfig, t.claim)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		t.run(ctx)
	}()
	return r.fill(ctx, r.count(<-t.verdict))
}

func (r *Runner) count(v claim.Result) claim.Result {
	switch v.Kind {
	case claim.ResultAnswer:
		r.m.answers.Inc(1)
	case claim.ResultReplay:
		r.m.replays.Inc(1)
	case claim.ResultNotRun:
		r.m.notRun.Inc(1)
	case claim.ResultUnknown:
		r.m.unknown.Inc(1)
		if v.EarlierCallUnknown {
			r.m.earlierUnknown.Inc(1)
		}
	case claim.ResultConflict:
		r.m.conflicts.Inc(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.m.remembered.Update(float64(r.register.Len()))
	r.m.rememberedBytes.Update(float64(r.register.Bytes()))
	return v
}

// ErrAnswerUnavailable means that the request ran, but its recorded answer
// cannot be read at the moment.
var ErrAnswerUnavailable = errors.New("recorded answer cannot be read at the moment: retry with the same key")

// fill loads the body of a replayed answer from the object store.
func (r *Runner) fill(ctx context.Context, v claim.Result) claim.Result {
	if v.Kind != claim.ResultReplay || v.Answer == nil || v.Answer.Object == "" || v.Answer.Body != nil {
		return v
	}
	body, err := r.opts.Objects.GetObject(ctx, v.Answer.Object)
	if err != nil {
		v.Cause = errors.Wrap(ErrAnswerUnavailable, err.Error())
		return v
	}
	answer := *v.Answer
	answer.Body = body
	v.Answer = &answer
	return v
}

// Wait waits until all requests have finished, their outcomes included, or
// until the context ends.
func (r *Runner) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		r.store.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "outcomes of requests are not recorded yet")
	}
}

// Sweep deletes old rows until the context ends, while enabled returns true.
func (r *Runner) Sweep(ctx context.Context, cfg claim.SweepConfig, enabled func() bool) {
	s := claim.NewSweeper(cfg)
	delay := cfg.Interval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = cfg.Rest
		if !enabled() {
			continue
		}
		delay = r.sweepPage(ctx, cfg, s)
	}
}

func (r *Runner) sweepPage(ctx context.Context, cfg claim.SweepConfig, s *claim.Sweeper) time.Duration {
	after, limit := s.Next()
	rows, err := r.opts.Table.Scan(ctx, claim.TableName, after, limit)
	if err != nil {
		return cfg.Rest
	}
	txn, objects, delay := s.Page(r.opts.WallClock(), rows)
	if len(txn.Writes) == 0 {
		return delay
	}
	if _, err := r.opts.Table.Txn(ctx, txn); err != nil {
		// The rows stay until the next pass.
		return delay
	}
	r.m.swept.Inc(int64(len(txn.Writes)))
	for _, key := range objects {
		_ = r.opts.Objects.DeleteObject(ctx, key)
	}
	return delay
}

// Now returns the time on the runner's monotonic clock.
func (r *Runner) Now() time.Duration { return r.opts.Now() }
