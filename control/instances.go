package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/wire"
)

// KindInstancesPull asks a peer for the instance list that it read last. A new
// process uses it while the platform does not answer.
const KindInstancesPull wire.Kind = "instances-pull"

// instancesTimeout bounds one question to a peer.
const instancesTimeout = 500 * time.Millisecond

// errNoList is the answer of a peer that has read no list either.
var errNoList = errors.New("this entry instance has no instance list: ask another one")

// InstancesPull is the question.
type InstancesPull struct{}

// InstancesAnswer is the list that a peer read last.
type InstancesAnswer struct {
	Instances []infra.Instance `msgpack:"i"`
}

// RegisterInstances adds the handler. Call it before the node serves.
func (l *Loop) RegisterInstances(mux *wire.Mux) {
	wire.Register(mux, KindInstancesPull, func(context.Context, wire.Peer, InstancesPull) (InstancesAnswer, error) {
		list := l.config.listed.Load()
		if list == nil || len(*list) == 0 {
			return InstancesAnswer{}, errNoList
		}
		return InstancesAnswer{Instances: *list}, nil
	})
}

// readInstances reads the platform's list. It runs outside the control
// goroutine. While this process knows no list, it asks the peers of its settings
// when the platform fails: the instances that they know are better than none.
func (l *Loop) readInstances(ctx context.Context, known string) instancesListed {
	list, err := l.opts.Instances.ListInstances(ctx, known)
	if err == nil || l.config.listed.Load() != nil {
		return instancesListed{list: list, err: err}
	}
	for _, addr := range l.opts.Seeds {
		if list, peerErr := l.askInstances(ctx, addr); peerErr == nil {
			l.counters.listsFromPeers.Inc(1)
			return instancesListed{list: infra.Listing{Instances: list}}
		}
	}
	return instancesListed{err: err}
}

func (l *Loop) askInstances(ctx context.Context, addr string) ([]infra.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, instancesTimeout)
	defer cancel()
	var answer InstancesAnswer
	err := l.opts.Node.Call(ctx, addr, KindInstancesPull, InstancesPull{}, &answer)
	return answer.Instances, err
}
