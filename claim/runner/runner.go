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
	// dispatchGracePeriod is how long after the deadline a dispatch may take to
	// finish before its caller gets an unknown outcome. It lets a dispatch that
	// was not sent by the deadline be reported as not run.
	dispatchGracePeriod = 100 * time.Millisecond
	// outcomeTimeout limits each of the two writes of an outcome: the object with a
	// large answer, and the row.
	outcomeTimeout = 5 * time.Second
	// minRetention is the minimum retention of a row. It is longer than any
	// attempt can run.
	minRetention = time.Hour
	// secretBytes is the size of the secret that authenticates tickets.
	secretBytes = 32
)

// Dispatch sends a request to a backend server. It must return
// claim.DispatchRefused if nothing was sent by the request's deadline. If the
// request was sent, it may wait for the outcome beyond the deadline.
type Dispatch func(ctx context.Context, attempt ident.AttemptID) claim.DispatchDone

// Options are the dependencies and the configuration of a Runner.
type Options struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Table       infra.Table
	Objects     infra.ObjectStore
	// QueryOwner queries another incarnation for the state of an attempt. It
	// returns claim.StateGone if that incarnation cannot be reached.
	QueryOwner func(ctx context.Context, owner claim.Owner) claim.Report
	// Now is the local monotonic clock. WallClock is the clock for retention.
	Now            func() time.Duration
	WallClock      func() time.Time
	Scope          tally.Scope
	MachineConfig  claim.Config
	RegistryConfig claim.RegistryConfig
	BatchConfig    claim.BatchConfig
}

type runnerMetrics struct {
	requests, answers, replays, notRun, unknown, conflicts           tally.Counter
	earlierUnknown                                                   tally.Counter
	transactions, transactionErrors, rowsWritten, rowsSwept, tickets tally.Counter
	registryAttempts, registryAnswerBytes                            tally.Gauge
}

func newMetrics(s tally.Scope) *runnerMetrics {
	return &runnerMetrics{
		requests:            s.Counter("claim_requests_total"),
		answers:             s.Counter("claim_answers_total"),
		replays:             s.Counter("claim_replays_total"),
		notRun:              s.Counter("claim_not_run_total"),
		unknown:             s.Counter("claim_unknown_total"),
		conflicts:           s.Counter("claim_conflicts_total"),
		earlierUnknown:      s.Counter("claim_earlier_unknown_total"),
		transactions:        s.Counter("claim_transactions_total"),
		transactionErrors:   s.Counter("claim_transaction_errors_total"),
		rowsWritten:         s.Counter("claim_rows_written_total"),
		rowsSwept:           s.Counter("claim_rows_swept_total"),
		tickets:             s.Counter("claim_tickets_total"),
		registryAttempts:    s.Gauge("claim_attempts_remembered"),
		registryAnswerBytes: s.Gauge("claim_answer_bytes_remembered"),
	}
}

// Runner runs the non-idempotent requests of one incarnation.
type Runner struct {
	opts    Options
	metrics *runnerMetrics
	writer  *rowWriter
	minter  *claim.Minter
	wg      sync.WaitGroup

	mu       sync.Mutex
	registry *claim.Registry
}

// New returns a runner with an empty registry.
func New(opts Options) (*Runner, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "generate the secret for tickets")
	}
	m := newMetrics(opts.Scope)
	return &Runner{
		opts:     opts,
		metrics:  m,
		writer:   newRowWriter(opts.Table, opts.Now, opts.BatchConfig, m),
		minter:   claim.NewMinter(opts.Instance, opts.Incarnation, secret),
		registry: claim.NewRegistry(opts.RegistryConfig),
	}, nil
}

// Request describes one non-idempotent request.
type Request struct {
	Key      claim.Key
	Digest   claim.Digest
	Deadline time.Duration
	// Retention is how long the outcome can be fetched.
	Retention time.Duration
	// TicketExpires is the expiry of the ticket if the key is a verified ticket of
	// this incarnation, or 0.
	TicketExpires time.Duration
	// FirstCall is set if the caller states that this is the first call with the key.
	FirstCall bool
	Dispatch  Dispatch
}

// Mint returns a new ticket of this incarnation.
func (r *Runner) Mint(account ident.Account, service ident.ServiceName) (string, error) {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return "", errors.Wrap(err, "create ticket")
	}
	r.metrics.tickets.Inc(1)
	return r.minter.Mint(r.opts.Now(), account, service, binary.BigEndian.Uint64(nonce[:])), nil
}

// Verify checks that a ticket was minted by this incarnation for the account and
// service and has not expired.
func (r *Runner) Verify(t claim.Ticket, account ident.Account, service ident.ServiceName) error {
	return r.minter.Verify(r.opts.Now(), t, account, service)
}

// ReportByAttempt returns the state of an attempt of this incarnation. For an
// attempt of any other incarnation the state is claim.StateGone.
func (r *Runner) ReportByAttempt(owner claim.Owner) claim.Report {
	if owner.Incarnation != r.opts.Incarnation || owner.Instance != r.opts.Instance {
		return claim.Report{State: claim.StateGone}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.ReportByAttempt(owner.Attempt)
}

// ReportByKey returns the state of the attempt of this incarnation that has a key.
func (r *Runner) ReportByKey(key claim.Key) claim.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.ReportByKey(key)
}

// RecordedResult returns the result of a request whose owner cannot be queried. It is
// a replay if the store has the answer, a conflict if the key was used for
// another request, and an unknown outcome otherwise.
func (r *Runner) RecordedResult(ctx context.Context, key claim.Key, digest claim.Digest) claim.Result {
	unknown := claim.Result{Kind: claim.ResultUnknown, Reason: claim.ReasonOwnerUnreachable}
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
	return r.loadBody(ctx, claim.Result{Kind: claim.ResultReplay, Answer: stored.Answer})
}

// Run handles a request and returns when its caller can be answered. The
// remaining steps, such as recording the outcome, continue in the background.
// Wait waits for them.
func (r *Runner) Run(ctx context.Context, req Request) claim.Result {
	r.metrics.requests.Inc(1)
	retention := max(req.Retention, minRetention)
	t := &task{
		runner: r,
		req:    req,
		claimRequest: claim.Request{
			Key:    req.Key,
			Digest: req.Digest,
			Owner: claim.Owner{
				Attempt:     ident.AttemptID(uuid.NewString()),
				Instance:    r.opts.Instance,
				Incarnation: r.opts.Incarnation,
			},
			KeyIsTicket: req.TicketExpires > 0,
			FirstCall:   req.FirstCall,
			Expires:     r.opts.WallClock().Add(retention).Unix(),
		},
		reply: make(chan claim.Result, 1),
	}
	t.machine = claim.NewMachine(r.opts.MachineConfig, t.claimRequest)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		t.run(ctx)
	}()
	return r.loadBody(ctx, r.recordMetrics(<-t.reply))
}

// recordMetrics counts the result of a request by its kind and updates the gauges
// of the registry.
func (r *Runner) recordMetrics(v claim.Result) claim.Result {
	switch v.Kind {
	case claim.ResultAnswer:
		r.metrics.answers.Inc(1)
	case claim.ResultReplay:
		r.metrics.replays.Inc(1)
	case claim.ResultNotRun:
		r.metrics.notRun.Inc(1)
	case claim.ResultUnknown:
		r.metrics.unknown.Inc(1)
		if v.EarlierCallUnknown {
			r.metrics.earlierUnknown.Inc(1)
		}
	case claim.ResultConflict:
		r.metrics.conflicts.Inc(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.registryAttempts.Update(float64(r.registry.Len()))
	r.metrics.registryAnswerBytes.Update(float64(r.registry.AnswerBytes()))
	return v
}

// ErrAnswerUnavailable means that the request ran, but its recorded answer
// cannot be read from the object store at the moment.
var ErrAnswerUnavailable = errors.New("recorded answer cannot be read at the moment: retry with the same key")

// loadBody loads the body of a replayed answer from the object store if it is
// stored there.
func (r *Runner) loadBody(ctx context.Context, v claim.Result) claim.Result {
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

// Wait waits until all requests have finished and their outcomes are recorded, or
// until the context ends.
func (r *Runner) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		r.writer.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the outcomes of requests to be recorded")
	}
}

// Sweep deletes expired rows until the context ends. It pauses while enabled
// returns false.
func (r *Runner) Sweep(ctx context.Context, cfg claim.SweepConfig, enabled func() bool) {
	sweeper := claim.NewSweeper(cfg)
	delay := cfg.Interval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = cfg.PassInterval
		if !enabled() {
			continue
		}
		delay = r.sweepPage(ctx, cfg, sweeper)
	}
}

func (r *Runner) sweepPage(ctx context.Context, cfg claim.SweepConfig, sweeper *claim.Sweeper) time.Duration {
	after, limit := sweeper.NextScan()
	rows, err := r.opts.Table.Scan(ctx, claim.TableName, after, limit)
	if err != nil {
		return cfg.PassInterval
	}
	txn, objects, delay := sweeper.HandlePage(r.opts.WallClock(), rows)
	if len(txn.Writes) == 0 {
		return delay
	}
	if _, err := r.opts.Table.Txn(ctx, txn); err != nil {
		// The next pass will try to delete the rows again.
		return delay
	}
	r.metrics.rowsSwept.Inc(int64(len(txn.Writes)))
	for _, key := range objects {
		_ = r.opts.Objects.DeleteObject(ctx, key)
	}
	return delay
}

// Now returns the time on the runner's monotonic clock.
func (r *Runner) Now() time.Duration { return r.opts.Now() }
