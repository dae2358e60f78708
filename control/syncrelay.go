package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/wire"
)

// KindGroupSyncRelay asks a peer to relay a sync to an owner with which the sender
// has no working connection. The detour only shortens the validity of the granted
// credits, because it counts from when the sync was sent.
const KindGroupSyncRelay wire.Kind = "group-sync-relay"

// GroupSyncRelay is a sync that the receiver forwards to Owner.
type GroupSyncRelay struct {
	Owner   ident.InstanceID `msgpack:"o"`
	Request GroupSync        `msgpack:"r"`
}

// relaySync forwards a sync to its owner. It returns the text of the owner's error
// unchanged, because the sender recognises ErrNotOwner by its text.
func (l *Loop) relaySync(ctx context.Context, req GroupSyncRelay) (GroupSyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	addr := peerAddress(l.Snapshot(), req.Owner)
	if addr == "" || req.Owner == l.opts.Self.Instance {
		return GroupSyncReply{}, errors.Errorf("no other entry instance is %s", req.Owner)
	}
	req.Request.RelayedBy = l.opts.Self.Instance
	var resp GroupSyncReply
	err := l.opts.Node.Call(ctx, addr, KindGroupSync, req.Request, &resp)
	var remote *wire.RemoteError
	if errors.As(err, &remote) {
		err = errors.New(remote.Message)
	}
	return resp, err
}
