package gateway

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Limits of the query to all peers about a key.
const (
	// keyQueryTimeout limits the delay that the query adds to a refusal.
	keyQueryTimeout = 200 * time.Millisecond
	// maxKeyPeers limits the number of messages per refusal.
	maxKeyPeers = 32
)

// kindClaimKeyReport asks an entry instance for its attempt with a given key.
const kindClaimKeyReport wire.Kind = "claim.key"

type keyRequest struct {
	Key claim.Key `msgpack:"k"`
}

// handleKeyRequest reports this entry instance's attempt with a key. A large
// answer is omitted and its attempt is reported as running: the caller gets the
// answer from the store or with the next retry.
func (o *Orders) handleKeyRequest(_ context.Context, _ wire.Peer, req keyRequest) (claim.Report, error) {
	r := o.runner.ReportByKey(req.Key)
	if r.Answer != nil && len(r.Answer.Body) > maxForwardBytes {
		r.State, r.Answer = claim.StateRunning, nil
	}
	return r, nil
}

// queryPeers asks the live entry instances about a key whose call is about to be
// refused because its row could not be read. An earlier call with the key may have
// run at one of them. This applies even if the caller stated that there was no
// earlier call, since a client library may have resent the call.
func (o *Orders) queryPeers(ctx context.Context, r *Request, refusal claim.Result) claim.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyQueryTimeout)
	defer cancel()
	reports := make(chan claim.Report, maxKeyPeers)
	asked := 0
	for _, e := range o.opts.Snapshot().Entries {
		if !o.isLivePeer(e) || asked == maxKeyPeers {
			continue
		}
		asked++
		go func() {
			report := claim.Report{State: claim.StateGone}
			if err := o.opts.Node.Call(ctx, e.PeerAddress, kindClaimKeyReport, keyRequest{r.claimKey()}, &report); err != nil {
				report = claim.Report{State: claim.StateGone}
			}
			reports <- report
		}()
	}
	verdict := refusal
	for range asked {
		if v, found := peerVerdict(<-reports, r.claimDigest()); found {
			verdict = v
			if v.Kind != claim.ResultUnknown {
				return v
			}
		}
	}
	return verdict
}

func (o *Orders) isLivePeer(e view.Entry) bool {
	return e.Alive && e.Instance != o.opts.Self.Instance && e.PeerAddress != ""
}

// peerVerdict returns the verdict for a call whose key a peer's attempt has used.
// It returns false if the peer has no such attempt or has abandoned it.
func peerVerdict(r claim.Report, digest claim.Digest) (claim.Result, bool) {
	switch {
	case r.State == claim.StateGone || r.State == claim.StateAbandoned:
		return claim.Result{}, false
	case r.Digest != digest:
		return claim.Result{Kind: claim.ResultConflict}, true
	case r.State == claim.StateDone && r.Answer != nil && r.Answer.Object == "":
		return claim.Result{Kind: claim.ResultReplay, Answer: r.Answer}, true
	case r.State == claim.StateUnknown:
		return claim.Result{Kind: claim.ResultUnknown, Reason: claim.ReasonAnswerLost}, true
	default:
		return claim.Result{Kind: claim.ResultUnknown, Reason: claim.ReasonStillRunning}, true
	}
}
