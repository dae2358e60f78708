package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
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
	kindSuspectTraits  wire.Kind = "suspect.traits"
)

// crashReply contains the requests that the crash convicts, according to the
// peer's records.
type crashReply struct {
	Convicted []ident.Fingerprint `msgpack:"c"`
}

type acquireRequest struct {
	Fingerprint ident.Fingerprint `msgpack:"f"`
	Holder      quarantine.Holder `msgpack:"h"`
	// Age is how long the sender has suspected the request.
	Age time.Duration `msgpack:"a"`
}

// probeTimeout limits the time in which the owner asks all peers. It is shorter
// than broadcastTimeout, so that the owner answers in time.
const probeTimeout = 200 * time.Millisecond

// probeRequest marks a request as a suspect and asks whether it runs.
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

// emptyMessage is a message without content.
type emptyMessage struct{}

// Register adds the handlers of peer messages.
func (q *Quarantine) Register(mux *wire.Mux) {
	wire.Register(mux, kindSuspectCrash, func(_ context.Context, _ wire.Peer, c quarantine.Crash) (crashReply, error) {
		now := q.opts.Now()
		q.mu.Lock()
		defer q.mu.Unlock()
		return crashReply{Convicted: q.tracker.Merge(now, c)}, nil
	})
	wire.Register(mux, kindSuspectFinding, func(_ context.Context, _ wire.Peer, f quarantine.Finding) (emptyMessage, error) {
		q.applyFinding(f)
		return emptyMessage{}, nil
	})
	wire.Register(mux, kindSuspectAcquire, func(_ context.Context, _ wire.Peer, req acquireRequest) (acquireReply, error) {
		return acquireReply{Permission: q.acquireAsOwner(req.Fingerprint, req.Holder, req.Age)}, nil
	})
	wire.Register(mux, kindSuspectProbe, func(_ context.Context, _ wire.Peer, req probeRequest) (probeReply, error) {
		return probeReply{Running: q.probeLocal(req)}, nil
	})
	wire.Register(mux, kindSuspectRelease, func(_ context.Context, _ wire.Peer, req releaseRequest) (emptyMessage, error) {
		q.releaseAsOwner(req.Fingerprint, req.Holder, req.Result)
		return emptyMessage{}, nil
	})
	wire.Register(mux, kindSuspectTraits, func(_ context.Context, _ wire.Peer, f quarantine.Findings) (quarantine.Findings, error) {
		return q.mergeFindings(f), nil
	})
	wire.Register(mux, kindSuspectList, func(context.Context, wire.Peer, emptyMessage) (findingsReply, error) {
		now := q.opts.Now()
		q.mu.Lock()
		defer q.mu.Unlock()
		return findingsReply{Findings: q.tracker.Findings(now)}, nil
	})
}

// FetchFindings applies the findings of a peer. It is called when an entry
// instance starts.
func (q *Quarantine) FetchFindings(ctx context.Context, peerAddress string) error {
	var reply findingsReply
	if err := q.opts.Node.Call(ctx, peerAddress, kindSuspectList, emptyMessage{}, &reply); err != nil {
		return err
	}
	for _, f := range reply.Findings {
		q.applyFinding(f)
	}
	var traits quarantine.Findings
	if err := q.opts.Node.Call(ctx, peerAddress, kindSuspectTraits, quarantine.Findings{}, &traits); err != nil {
		return err
	}
	q.mergeFindings(traits)
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

// acquire asks the request's owner for the permission to run. If the owner cannot
// be reached, it returns PermitRetryLater.
func (q *Quarantine) acquire(ctx context.Context, f ident.Fingerprint, h quarantine.Holder) quarantine.Permission {
	owner, addr := q.ownerAddress(f)
	age := q.suspectAge(f)
	if owner == q.opts.Self.Instance {
		return q.acquireAsOwner(f, h, age)
	}
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var reply acquireReply
	if err := q.opts.Node.Call(ctx, addr, kindSuspectAcquire, acquireRequest{f, h, age}, &reply); err != nil {
		return quarantine.PermitRetryLater
	}
	return reply.Permission
}

// acquireAsOwner decides as the owner of the request. Only entry instances that
// suspect the request ask for it.
func (q *Quarantine) acquireAsOwner(f ident.Fingerprint, h quarantine.Holder, age time.Duration) quarantine.Permission {
	now := q.opts.Now()
	q.mu.Lock()
	p := q.owner.Acquire(now, f, h, age)
	q.mu.Unlock()
	if p != quarantine.PermitNeedsProbe {
		return p
	}
	free := q.probeAll(probeRequest{Fingerprint: f, Age: q.suspectAge(f)})
	now = q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.owner.CompleteProbe(now, f, h, free)
}

func (q *Quarantine) suspectAge(f ident.Fingerprint) time.Duration {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.SuspicionAge(now, f)
}

func (q *Quarantine) probeLocal(req probeRequest) bool {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Probe(now, req.Fingerprint, req.Age)
}

// probeAll asks all live entry instances whether they run a request. It returns
// true if all of them answered that they do not.
func (q *Quarantine) probeAll(req probeRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	free := !q.probeLocal(req)
	entries := q.livePeers()
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
		q.busyProbes.Inc(1)
	}
	return free
}

// release reports the result of an exclusive run to the owner. If the run crashed
// its backend server, it also reports the conviction to all peers.
func (q *Quarantine) release(f ident.Fingerprint, h quarantine.Holder, result quarantine.RunResult) {
	owner, addr := q.ownerAddress(f)
	if owner == q.opts.Self.Instance {
		q.releaseAsOwner(f, h, result)
	} else {
		var reply emptyMessage
		q.sendWithRetries(addr, kindSuspectRelease, releaseRequest{f, h, result}, &reply)
	}
	if result != quarantine.RunCrashed {
		return
	}
	q.convictions.Inc(1)
	finding := quarantine.Finding{Fingerprint: f, Status: quarantine.Convicted}
	q.applyFinding(finding)
	q.broadcast(kindSuspectFinding, finding, true)
}

func (q *Quarantine) releaseAsOwner(f ident.Fingerprint, h quarantine.Holder, result quarantine.RunResult) {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.Release(now, f, h, result)
}

// broadcast sends a message to all live peers. If wait is set, it returns when
// they have confirmed it or the time is up. Messages that were not confirmed are
// retried in the background.
func (q *Quarantine) broadcast(kind wire.Kind, msg any, wait bool) {
	var first sync.WaitGroup
	for _, e := range q.livePeers() {
		first.Add(1)
		q.wg.Add(1)
		go func() {
			defer q.wg.Done()
			var reply crashReply
			err := q.send(e.PeerAddress, kind, msg, &reply)
			q.applyConvictions(reply.Convicted)
			first.Done()
			if err != nil {
				q.failedBroadcasts.Inc(1)
				q.sendWithRetries(e.PeerAddress, kind, msg, &reply)
				q.applyConvictions(reply.Convicted)
			}
		}()
	}
	if wait {
		first.Wait()
	}
}

// applyConvictions applies the convictions in a peer's reply.
func (q *Quarantine) applyConvictions(requests []ident.Fingerprint) {
	for _, f := range requests {
		q.applyFinding(quarantine.Finding{Fingerprint: f, Status: quarantine.Convicted})
	}
}

func (q *Quarantine) send(addr string, kind wire.Kind, msg, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	return q.opts.Node.Call(ctx, addr, kind, msg, reply)
}

func (q *Quarantine) sendWithRetries(addr string, kind wire.Kind, msg, reply any) {
	for try := range broadcastAttempts {
		if try > 0 {
			time.Sleep(broadcastRetryDelay)
		}
		if q.send(addr, kind, msg, reply) == nil {
			return
		}
	}
}
