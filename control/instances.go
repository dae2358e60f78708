package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/wire"
)

// KindInstancesPull requests the instance list that a peer read last. A new process
// uses it while the platform does not answer.
const KindInstancesPull wire.Kind = "instances-pull"

// instancesPullTimeout limits one request to a peer.
const instancesPullTimeout = 500 * time.Millisecond

// errNoInstanceList is the response of a peer that has not read a list either.
var errNoInstanceList = errors.New("this entry instance has no instance list: ask another one")

// InstancesPull is the request of KindInstancesPull.
type InstancesPull struct{}

// InstancesResponse is the response, with the list that the peer read last.
type InstancesResponse struct {
	Instances []infra.Instance `msgpack:"i"`
}

// RegisterInstances registers the handler for KindInstancesPull. Call it before the
// node serves.
func (l *Loop) RegisterInstances(mux *wire.Mux) {
	wire.Register(mux, KindInstancesPull, func(context.Context, wire.Peer, InstancesPull) (InstancesResponse, error) {
		list := l.config.latestInstances.Load()
		if list == nil || len(*list) == 0 {
			return InstancesResponse{}, errNoInstanceList
		}
		return InstancesResponse{Instances: *list}, nil
	})
}

// readInstances reads the platform's list. It runs outside the control goroutine. If
// the platform fails and this process has not read any list yet, it requests the list
// from the seed peers: an outdated list is better than none.
func (l *Loop) readInstances(ctx context.Context, knownVersion string) instancesListed {
	list, err := l.opts.Instances.ListInstances(ctx, knownVersion)
	if err == nil || l.config.latestInstances.Load() != nil {
		return instancesListed{list: list, err: err}
	}
	for _, addr := range l.opts.Seeds {
		if list, peerErr := l.pullInstances(ctx, addr); peerErr == nil {
			l.counters.listsFromPeers.Inc(1)
			return instancesListed{list: infra.Listing{Instances: list}}
		}
	}
	return instancesListed{err: err}
}

// pullInstances requests the instance list of one peer.
func (l *Loop) pullInstances(ctx context.Context, addr string) ([]infra.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, instancesPullTimeout)
	defer cancel()
	var resp InstancesResponse
	err := l.opts.Node.Call(ctx, addr, KindInstancesPull, InstancesPull{}, &resp)
	return resp.Instances, err
}
