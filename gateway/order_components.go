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

// OrderOptions contains the dependencies of at-most-once calls and of the
// quarantine.
type OrderOptions struct {
	Table    infra.Table
	Objects  infra.ObjectStore
	Node     *wire.Node
	Snapshot func() *view.Snapshot
	// Now returns the time of the local monotonic clock.
	Now   func() time.Duration
	Self  view.Entry
	Scope tally.Scope
}

// OrderComponents bundles the components of an entry instance that prevent orders from
// running twice and crashing requests from running repeatedly.
type OrderComponents struct {
	Orders     *Orders
	Runner     *runner.Runner
	Quarantine *Quarantine
	opts       OrderOptions
}

// NewOrderComponents returns the components with their default limits.
func NewOrderComponents(opts OrderOptions) (*OrderComponents, error) {
	p := &OrderComponents{opts: opts, Orders: &Orders{opts: opts, forwarded: newForwardLimit()}}
	r, err := runner.New(runner.Options{
		Instance:       opts.Self.Instance,
		Incarnation:    opts.Self.Incarnation,
		Table:          opts.Table,
		Objects:        opts.Objects,
		QueryOwner:     p.Orders.PeerReport,
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

// Register adds the handlers of peer messages. It must be called before the node
// serves.
func (p *OrderComponents) Register(mux *wire.Mux) {
	p.Orders.Register(mux)
	p.Quarantine.Register(mux)
}

// fetchSuspectsInterval is the delay between attempts to fetch the suspects from
// the peers.
const fetchSuspectsInterval = 250 * time.Millisecond

// fetchSuspects fetches the suspects from the first live peer that answers. It
// gives up when the context ends.
func (p *OrderComponents) fetchSuspects(ctx context.Context) {
	t := time.NewTicker(fetchSuspectsInterval)
	defer t.Stop()
	for {
		for _, e := range p.opts.Snapshot().Entries {
			if e.Alive && e.Instance != p.opts.Self.Instance && p.Quarantine.FetchFindings(ctx, e.PeerAddress) == nil {
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

// Run fetches the suspects from a peer, and deletes expired claims until the
// context ends. Only one live entry instance deletes claims: the one with the
// highest rendezvous score for the table's name.
func (p *OrderComponents) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.fetchSuspects(ctx) })
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

// Wait waits until all outcomes are recorded or the context ends.
func (p *OrderComponents) Wait(ctx context.Context) error { return p.Runner.Wait(ctx) }
