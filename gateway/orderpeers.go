package gateway

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Limits of the question to all peers about a key.
const (
	// keyTimeout bounds the delay that it adds to a refusal.
	keyTimeout = 200 * time.Millisecond
	// maxKeyPeers bounds the messages for one refusal.
	maxKeyPeers = 32
)

// kindClaimKey asks an entry instance for its attempt that holds a key.
const kindClaimKey wire.Kind = "claim.key"

type keyRequest struct {
	Key claim.Key `msgpack:"k"`
}

// answerKey reports the own attempt with a key. A large answer is left out: the
// caller gets it from the store or with the next retry.
func (o *Orders) answerKey(_ context.Context, _ wire.Peer, req keyRequest) (claim.Report, error) {
	r := o.runner.ReportByKey(req.Key)
	if r.Answer != nil && len(r.Answer.Body) > maxForwardBytes {
		r.State, r.Answer = claim.StateRunning, nil
	}
	return r, nil
}

// askPeers asks the live entry instances about a key whose call is about to be
// refused, because its row could not be read. An earlier call with the key may
// have run at one of them; also when the caller stated that there is none, since
// a client library may have resent the call.
func (o *Orders) askPeers(ctx context.Context, r *Request, refusal claim.Result) claim.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyTimeout)
	defer cancel()
	reports := make(chan claim.Report, maxKeyPeers)
	asked := 0
	for _, e := range o.opts.Snapshot().Entries {
		if !o.askable(e) || asked == maxKeyPeers {
			continue
		}
		asked++
		go func() {
			report := claim.Report{State: claim.StateGone}
			if err := o.opts.Node.Call(ctx, e.PeerAddress, kindClaimKey, keyRequest{r.claimKey()}, &report); err != nil {
				report = claim.Report{State: claim.StateGone}
			}
			reports <- report
		}()
	}
	verdict := refusal
	for range asked {
		if v, found := keyVerdict(<-reports, r.claimDigest()); found {
			verdict = v
			if v.Kind != claim.ResultUnknown {
				return v
			}
		}
	}
	return verdict
}

func (o *Orders) askable(e view.Entry) bool {
	return e.Alive && e.Instance != o.opts.Self.Instance && e.PeerAddress != ""
}

// keyVerdict tells what a peer's attempt means for a call with the same key.
func keyVerdict(r claim.Report, digest claim.Digest) (claim.Result, bool) {
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
