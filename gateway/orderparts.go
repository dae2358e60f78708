package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/claim/runner"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// OrderOptions are the parts that at-most-once calls and the quarantine work
// with.
type OrderOptions struct {
	Table    infra.Table
	Objects  infra.ObjectStore
	Node     *wire.Node
	Snapshot func() *view.Snapshot
	// Now is the local monotonic clock.
	Now   func() time.Duration
	Self  view.Entry
	Scope tally.Scope
}

// OrderComponents are the parts of an entry instance that keep orders from running
// twice and crashing requests from running often.
type OrderComponents struct {
	Orders     *Orders
	Runner     *runner.Runner
	Quarantine *Quarantine
	opts       OrderOptions
}

// NewOrderComponents builds the parts with their default limits.
func NewOrderComponents(opts OrderOptions) (*OrderComponents, error) {
	p := &OrderComponents{opts: opts, Orders: &Orders{opts: opts, forward: newForwardLimit()}}
	r, err := runner.New(runner.Options{
		Instance:       opts.Self.Instance,
		Incarnation:    opts.Self.Incarnation,
		Table:          opts.Table,
		Objects:        opts.Objects,
		QueryOwner:     p.Orders.AskPeer,
		Now:            opts.Now,
		WallClock:      time.Now,
		Scope:          opts.Scope,
		MachineConfig:  claim.DefaultConfig(),
		RegistryConfig: claim.DefaultRegistryConfig(),
		BatchConfig:    claim.DefaultBatchConfig(),
	})
	if err != nil {
		return nil, err
	}
	p.Runner, p.Orders.runner = r, r
	p.Quarantine = NewQuarantine(quarantine.DefaultConfig(), opts)
	return p, nil
}

// RegistryConfig adds the peer handlers. Call it before the node serves.
func (p *OrderComponents) Register(mux *wire.Mux) {
	p.Orders.Register(mux)
	p.Quarantine.Register(mux)
}

// learnInterval separates tries to learn the suspects from peers.
const learnInterval = 250 * time.Millisecond

// learn takes over the suspects that a live peer knows. An entry instance that
// has no peers stops when the context ends.
func (p *OrderComponents) learn(ctx context.Context) {
	t := time.NewTicker(learnInterval)
	defer t.Stop()
	for {
		for _, e := range p.opts.Snapshot().Entries {
			if e.Alive && e.Instance != p.opts.Self.Instance && p.Quarantine.Learn(ctx, e.PeerAddress) == nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Run learns the suspects from a peer, and deletes old claims until the context
// ends. One live entry instance deletes for all: the owner of the table's name.
func (p *OrderComponents) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.learn(ctx) })
	p.Runner.Sweep(ctx, claim.DefaultSweepConfig(), func() bool {
		var owner ident.InstanceID
		var best uint64
		for _, e := range p.opts.Snapshot().Entries {
			if s := ident.Score(claim.TableName, e.Instance); e.Alive && (owner == "" || s > best) {
				owner, best = e.Instance, s
			}
		}
		return owner == p.opts.Self.Instance
	})
}

// Wait waits for outcomes that are not recorded yet.
func (p *OrderComponents) Wait(ctx context.Context) error { return p.Runner.Wait(ctx) }
