package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Kinds of peer messages about suspects.
const (
	kindSuspectCrash   wire.Kind = "suspect.crash"
	kindSuspectFinding wire.Kind = "suspect.finding"
	kindSuspectAcquire wire.Kind = "suspect.acquire"
	kindSuspectProbe   wire.Kind = "suspect.probe"
	kindSuspectRelease wire.Kind = "suspect.release"
	kindSuspectList    wire.Kind = "suspect.list"
)

// crashReply names the requests that the crash convicts in the peer's view.
type crashReply struct {
	Convicted []ident.Fingerprint `msgpack:"c"`
}

type acquireRequest struct {
	Fingerprint ident.Fingerprint `msgpack:"f"`
	Holder      quarantine.Holder `msgpack:"h"`
	// Age is how long the sender has held the request for a suspect.
	Age time.Duration `msgpack:"a"`
}

// probeTimeout bounds the owner's question to all peers. It is below
// spreadTimeout, so that the owner's answer is not late.
const probeTimeout = 200 * time.Millisecond

// probeRequest makes a request a suspect and asks whether it runs.
type probeRequest struct {
	Fingerprint ident.Fingerprint `msgpack:"f"`
	Age         time.Duration     `msgpack:"a"`
}

type probeReply struct {
	Running bool `msgpack:"r"`
}

type acquireReply struct {
	Permission quarantine.Permission `msgpack:"p"`
}

type releaseRequest struct {
	Fingerprint ident.Fingerprint    `msgpack:"f"`
	Holder      quarantine.Holder    `msgpack:"h"`
	Result      quarantine.RunResult `msgpack:"r"`
}

type findingsReply struct {
	Findings []quarantine.Finding `msgpack:"f"`
}

// none is an empty message.
type none struct{}

// Register adds the peer handlers.
func (q *Quarantine) Register(mux *wire.Mux) {
	wire.Register(mux, kindSuspectCrash, func(_ context.Context, _ wire.Peer, c quarantine.Crash) (crashReply, error) {
		now := q.opts.Now()
		q.mu.Lock()
		defer q.mu.Unlock()
		return crashReply{Convicted: q.tracker.Merge(now, c)}, nil
	})
	wire.Register(mux, kindSuspectFinding, func(_ context.Context, _ wire.Peer, f quarantine.Finding) (none, error) {
		q.apply(f)
		return none{}, nil
	})
	wire.Register(mux, kindSuspectAcquire, func(_ context.Context, _ wire.Peer, req acquireRequest) (acquireReply, error) {
		return acquireReply{Permission: q.acquireOwn(req.Fingerprint, req.Holder, req.Age)}, nil
	})
	wire.Register(mux, kindSuspectProbe, func(_ context.Context, _ wire.Peer, req probeRequest) (probeReply, error) {
		return probeReply{Running: q.probeOwn(req)}, nil
	})
	wire.Register(mux, kindSuspectRelease, func(_ context.Context, _ wire.Peer, req releaseRequest) (none, error) {
		q.releaseOwn(req.Fingerprint, req.Holder, req.Result)
		return none{}, nil
	})
	wire.Register(mux, kindSuspectList, func(context.Context, wire.Peer, none) (findingsReply, error) {
		now := q.opts.Now()
		q.mu.Lock()
		defer q.mu.Unlock()
		return findingsReply{Findings: q.tracker.Findings(now)}, nil
	})
}

// Learn takes over what a peer knows. A new entry instance calls it before it
// serves.
func (q *Quarantine) Learn(ctx context.Context, peerAddress string) error {
	var reply findingsReply
	if err := q.opts.Node.Call(ctx, peerAddress, kindSuspectList, none{}, &reply); err != nil {
		return err
	}
	for _, f := range reply.Findings {
		q.apply(f)
	}
	return nil
}

// ownerAddress returns the owner of a request and its peer address.
func (q *Quarantine) ownerAddress(f ident.Fingerprint) (ident.InstanceID, string) {
	entries := q.opts.Snapshot().Entries
	live := make([]ident.InstanceID, 0, len(entries)+1)
	self := false
	for _, e := range entries {
		if e.Alive {
			live = append(live, e.Instance)
			self = self || e.Instance == q.opts.Self.Instance
		}
	}
	if !self {
		live = append(live, q.opts.Self.Instance)
	}
	owner := quarantine.OwnerOf(f, live)
	for _, e := range entries {
		if e.Instance == owner {
			return owner, e.PeerAddress
		}
	}
	return owner, ""
}

// acquire asks the owner for a run. An owner that cannot be asked means later.
func (q *Quarantine) acquire(ctx context.Context, f ident.Fingerprint, h quarantine.Holder) quarantine.Permission {
	owner, addr := q.ownerAddress(f)
	age := q.suspectFor(f)
	if owner == q.opts.Self.Instance {
		return q.acquireOwn(f, h, age)
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var reply acquireReply
	if err := q.opts.Node.Call(ctx, addr, kindSuspectAcquire, acquireRequest{f, h, age}, &reply); err != nil {
		return quarantine.PermitRetryLater
	}
	return reply.Permission
}

// acquireOwn answers as the owner. Only entry instances that hold the request
// for a suspect ask.
func (q *Quarantine) acquireOwn(f ident.Fingerprint, h quarantine.Holder, age time.Duration) quarantine.Permission {
	now := q.opts.Now()
	q.mu.Lock()
	p := q.owner.Acquire(now, f, h, age)
	q.mu.Unlock()
	if p != quarantine.PermitNeedsProbe {
		return p
	}
	free := q.probe(probeRequest{Fingerprint: f, Age: q.suspectFor(f)})
	now = q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owner.CompleteProbe(now, f, h, free)
}

func (q *Quarantine) suspectFor(f ident.Fingerprint) time.Duration {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.SuspicionAge(now, f)
}

func (q *Quarantine) probeOwn(req probeRequest) bool {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Probe(now, req.Fingerprint, req.Age)
}

// probe asks all live entry instances whether they run a request. It returns
// true if all have answered that they do not.
func (q *Quarantine) probe(req probeRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	free := !q.probeOwn(req)
	var entries []view.Entry
	for _, e := range q.opts.Snapshot().Entries {
		if e.Alive && e.Instance != q.opts.Self.Instance && e.PeerAddress != "" {
			entries = append(entries, e)
		}
	}
	answers := make(chan bool, len(entries))
	for _, e := range entries {
		go func() {
			var reply probeReply
			err := q.opts.Node.Call(ctx, e.PeerAddress, kindSuspectProbe, req, &reply)
			answers <- err == nil && !reply.Running
		}()
	}
	for range entries {
		free = <-answers && free
	}
	if !free {
		q.probesBusy.Inc(1)
	}
	return free
}

// release tells the owner and then everybody how a run alone ended.
func (q *Quarantine) release(f ident.Fingerprint, h quarantine.Holder, result quarantine.RunResult) {
	owner, addr := q.ownerAddress(f)
	if owner == q.opts.Self.Instance {
		q.releaseOwn(f, h, result)
	} else {
		var reply none
		q.repeat(addr, kindSuspectRelease, releaseRequest{f, h, result}, &reply)
	}
	if result != quarantine.RunCrashed {
		return
	}
	q.convictions.Inc(1)
	finding := quarantine.Finding{Fingerprint: f, Status: quarantine.Convicted}
	q.apply(finding)
	q.spread(kindSuspectFinding, finding, true)
}

func (q *Quarantine) releaseOwn(f ident.Fingerprint, h quarantine.Holder, result quarantine.RunResult) {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.Release(now, f, h, result)
}

// spread sends a message to all live peers. With wait it returns when they
// have confirmed or the time is over; a message that a peer did not confirm is
// repeated in the background.
func (q *Quarantine) spread(kind wire.Kind, msg any, wait bool) {
	var first sync.WaitGroup
	for _, e := range q.opts.Snapshot().Entries {
		if !e.Alive || e.Instance == q.opts.Self.Instance || e.PeerAddress == "" {
			continue
		}
		first.Add(1)
		q.wg.Add(1)
		go func() {
			defer q.wg.Done()
			var reply crashReply
			err := q.send(e.PeerAddress, kind, msg, &reply)
			q.convict(reply.Convicted)
			first.Done()
			if err != nil {
				q.lostSpreads.Inc(1)
				q.repeat(e.PeerAddress, kind, msg, &reply)
				q.convict(reply.Convicted)
			}
		}()
	}
	if wait {
		first.Wait()
	}
}

// convict takes over the convictions in a peer's reply.
func (q *Quarantine) convict(requests []ident.Fingerprint) {
	for _, f := range requests {
		q.apply(quarantine.Finding{Fingerprint: f, Status: quarantine.Convicted})
	}
}

func (q *Quarantine) send(addr string, kind wire.Kind, msg, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	return q.opts.Node.Call(ctx, addr, kind, msg, reply)
}

func (q *Quarantine) repeat(addr string, kind wire.Kind, msg, reply any) {
	for try := range spreadTries {
		if try > 0 {
			time.Sleep(spreadDelay)
		}
		if q.send(addr, kind, msg, reply) == nil {
			return
		}
	}
}
