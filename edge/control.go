package edge

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/route"
)

// event is an input of the control goroutine.
type event interface{ edgeEvent() }

type (
	// tableEvent brings new rows of a table of the store.
	tableEvent struct {
		table string
		rows  []infra.Change
	}
	leaseInput struct{ lease.Event }
	planInput  struct{ formation.Event }
	// suspectEvent tells that an entry instance found a group without progress.
	suspectEvent struct {
		beacon.Suspicion
		by ident.InstanceID
	}
	leaveEvent struct{}
	// noteEvent is a line for the log that may come often.
	noteEvent struct {
		key, text string
		err       error
	}
	// peerEvent tells that a run of an entry instance is alive or has ended.
	peerEvent struct {
		run   beacon.Run
		alive bool
	}
)

func (tableEvent) edgeEvent()   {}
func (leaseInput) edgeEvent()   {}
func (planInput) edgeEvent()    {}
func (suspectEvent) edgeEvent() {}
func (leaveEvent) edgeEvent()   {}
func (noteEvent) edgeEvent()    {}
func (peerEvent) edgeEvent()    {}

// storeTimeout bounds one call to the store by control.
const storeTimeout = 1500 * time.Millisecond

func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.ctx.Done():
	}
}

// control is the goroutine that owns the control state.
func (n *Node) control(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.events:
			n.handle(e)
			for len(n.events) > 0 {
				n.handle(<-n.events)
			}
		case <-ticker.C:
			n.tick()
		}
		n.publish()
	}
}

func (n *Node) handle(e event) {
	switch e := e.(type) {
	case tableEvent:
		if e.table == n.plat.OperatorTable {
			n.operatorChanged(e.rows)
		} else {
			n.serversChanged(e.rows)
		}
	case leaseInput:
		n.stepLease(e.Event)
	case planInput:
		n.stepPlanner(e.Event)
	case suspectEvent:
		n.suspected(e)
	case noteEvent:
		n.logOnce(e.key, e.text, e.err)
	case peerEvent:
		n.peerChanged(e.run, e.alive)
	case leaveEvent:
		n.stepLease(lease.Leave{})
	}
}

func (n *Node) tick() {
	now := n.now()
	for _, run := range n.peers.Expire(now) {
		n.log.WithField("peer", run.Instance).WithField("incarnation", run.Incarnation).Info("entry instance fell silent")
		n.peerChanged(run, false)
	}
	n.chooseRole(now)
	rank := 0
	served := n.handler.Accepted() > 0
	holder := lease.Identity{}
	for _, p := range n.peers.Seen(now) {
		served = served || p.Served
		if !p.Leaving && n.ranksBefore(formation.LeaseName, p.Message) {
			rank++
		}
		if p.Holds {
			holder = lease.Identity{Instance: p.From, Incarnation: p.Incarnation}
		}
	}
	n.holderChanged(holder)
	n.ownRunEnded()
	if rank != n.rank {
		n.rank = rank
		n.stepLease(lease.RankChanged{Rank: rank})
	}
	if served && !n.served {
		n.served = true
		n.stepPlanner(formation.TrafficStarted{})
	}
	if _, held := n.lease.Held(bootNow()); held || holder == (lease.Identity{}) || n.leaving.Load() {
		// While a holder says that it holds the lease, the store need not be asked.
		n.stepLease(lease.Tick{})
	}
	n.measureDemand(now)
	n.replaceHeads(now)
	n.stepPlanner(formation.Tick{})
}

// holderChanged tells the lease when the known holder says that it holds the
// lease no more, although its process runs.
func (n *Node) holderChanged(holder lease.Identity) {
	if holder == (lease.Identity{}) && n.holder != (lease.Identity{}) && n.ended != n.holder {
		n.stepLease(lease.HolderEnded{Holder: n.holder})
	}
	n.holder = holder
}

// ownRunEnded tells the lease when the last holder was a former run of this entry
// instance, as after a loss of power of all of them.
func (n *Node) ownRunEnded() {
	h, ok := n.lease.Holder()
	if ok && h.Instance == n.self.Instance && h != n.self && h != n.ended {
		n.ended = h
		n.stepLease(lease.HolderEnded{Holder: h})
	}
}

// peerChanged tells the lease which runs have ended. Backend servers check the
// fencing token, so a holder that is only out of reach can do no harm.
func (n *Node) peerChanged(run beacon.Run, alive bool) {
	id := lease.Identity{Instance: run.Instance, Incarnation: run.Incarnation}
	switch {
	case !alive:
		n.ended = id
		n.stepLease(lease.HolderEnded{Holder: id})
	case n.ended == id:
		n.ended = lease.Identity{}
		n.stepLease(lease.HolderEnded{})
	}
}

// operatorChanged takes configurations and data centres that are taken out.
func (n *Node) operatorChanged(rows []infra.Change) {
	evacuated := slices.Clone(n.evacuated)
	for _, r := range rows {
		zone, isZone := strings.CutPrefix(r.Key, n.plat.EvacuatePrefix)
		switch {
		case r.Key == n.plat.ConfigKey && !r.Deleted:
			n.configure(r.Row)
		case isZone && r.Deleted:
			evacuated = slices.DeleteFunc(evacuated, func(d ident.DataCentre) bool { return string(d) == zone })
		case isZone && !slices.Contains(evacuated, ident.DataCentre(zone)):
			evacuated = append(evacuated, ident.DataCentre(zone))
		}
	}
	if !slices.Equal(evacuated, n.evacuated) {
		n.log.WithFields(logrus.Fields{"data_centres": evacuated}).Info("data centres taken out")
		n.evacuated = evacuated
		n.dirty = true
	}
}

// configure puts a newer configuration in force.
func (n *Node) configure(r infra.Row) {
	cfg, problems, err := n.plat.DecodeConfig(r.Value)
	if err != nil {
		n.log.WithError(err).WithField("row_version", r.Version).Error("configuration refused: the last one stays in force")
		return
	}
	if n.routes != nil && cfg.Version <= n.routes.Version {
		return
	}
	for _, p := range problems {
		n.log.WithError(p).WithField("config_version", cfg.Version).Warn("configuration entry left out")
	}
	n.routes = route.Compile(cfg)
	n.dirty = true
	n.log.WithFields(logrus.Fields{
		"config_version": cfg.Version, "row_version": r.Version, "routes": len(cfg.Routes), "accounts": len(cfg.Accounts),
	}).Info("configuration in force")
}

// serversChanged takes entries of backend servers.
func (n *Node) serversChanged(rows []infra.Change) {
	now := n.now()
	n.listed = true
	for _, r := range rows {
		id := ident.InstanceID(r.Key)
		if r.Deleted {
			n.dirty = n.list.Remove(id, r.Version) || n.dirty
			continue
		}
		s, err := n.plat.DecodeServer(r.Row, now)
		if err != nil {
			// An entry that cannot be read names no server to use.
			n.logOnce("entry:"+r.Key, "backend server's entry left out", err)
			n.dirty = n.list.Remove(id, r.Version) || n.dirty
			continue
		}
		n.dirty = n.list.Put(s) || n.dirty
	}
}

// logEvery bounds lines about one entry.
const logEvery = 10 * time.Second

// logOnceAt is logOnce for other goroutines than control.
func (n *Node) logOnceAt(key, text string, err error) { n.post(noteEvent{key, text, err}) }

func (n *Node) logOnce(key, text string, err error) {
	now := n.now()
	if at, ok := n.notes[key]; ok && now-at < logEvery {
		return
	}
	n.remember(key, now)
	n.log.WithError(err).Warn(text)
}

// maxNotes bounds the remembered lines.
const maxNotes = 1024

// remember takes note of when a line was written.
func (n *Node) remember(key string, now time.Duration) {
	if len(n.notes) >= maxNotes {
		clear(n.notes)
	}
	n.notes[key] = now
}

// publish puts changes in force.
func (n *Node) publish() {
	if !n.dirty || n.routes == nil || !n.listed {
		return
	}
	n.dirty = false
	n.snapshot = n.list.Snapshot()
	n.handler.SetView(forward.NewView(n.routes, n.snapshot, n.evacuated))
	if !n.ready.Swap(true) {
		n.log.WithField("config_version", n.routes.Version).Info("ready")
		n.wake()
	}
	n.stepPlanner(formation.ConfigChanged{Service: n.modelService(), Evacuated: n.evacuated})
	n.stepPlanner(formation.ServersChanged{Servers: n.snapshot})
}

// modelService returns the service whose groups are planned.
func (n *Node) modelService() *route.Service {
	for i := range n.routes.Services {
		if len(n.routes.Services[i].Models) > 0 {
			return &n.routes.Services[i]
		}
	}
	return nil
}
