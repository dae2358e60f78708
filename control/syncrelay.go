package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/wire"
)

// KindGroupSyncRelay asks a peer to pass a sync on to an owner that the sender
// cannot reach or hear. A delay on the way only shortens what the reply grants,
// because its validity counts from when the sync was sent.
const KindGroupSyncRelay wire.Kind = "group-sync-relay"

// GroupSyncRelay is a sync on its way through a relay.
type GroupSyncRelay struct {
	Owner   ident.InstanceID `msgpack:"o"`
	Request GroupSync        `msgpack:"r"`
}

// relaySync passes a sync on. The owner's refusal keeps its wording, by which
// the sender recognises it.
func (l *Loop) relaySync(ctx context.Context, req GroupSyncRelay) (GroupSyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	addr := peerAddress(l.Snapshot(), req.Owner)
	if addr == "" || req.Owner == l.opts.Self.Instance {
		return GroupSyncReply{}, errors.Errorf("no other entry instance is %s", req.Owner)
	}
	req.Request.Via = l.opts.Self.Instance
	var resp GroupSyncReply
	err := l.opts.Node.Call(ctx, addr, KindGroupSync, req.Request, &resp)
	var remote *wire.RemoteError
	if errors.As(err, &remote) {
		err = errors.New(remote.Message)
	}
	return resp, err
}
