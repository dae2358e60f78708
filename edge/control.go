package edge

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/route"
)

// event is an input of the control goroutine, which owns the control state.
type event interface{ edgeEvent() }

type (
	// tableEvent carries changed rows of a store table.
	tableEvent struct {
		table string
		rows  []infra.Change
	}
	// leaseEvent carries an event of the lease state machine, plannerEvent one of the
	// group planner.
	leaseEvent   struct{ lease.Event }
	plannerEvent struct{ formation.Event }
	// stallReportEvent carries an entry instance's report that requests at a group
	// make no progress.
	stallReportEvent struct {
		beacon.GroupEpoch
		reporter ident.InstanceID
	}
	// leaveEvent is posted when the process starts its shutdown.
	leaveEvent struct{}
	// warningEvent is a warning that may recur often. It is logged at most once per
	// warningInterval for each key.
	warningEvent struct {
		key, text string
		err       error
	}
	// peerEvent reports that a process run of another entry instance is alive or
	// has ended.
	peerEvent struct {
		run   beacon.Run
		alive bool
	}
)

func (tableEvent) edgeEvent()       {}
func (leaseEvent) edgeEvent()       {}
func (plannerEvent) edgeEvent()     {}
func (stallReportEvent) edgeEvent() {}
func (leaveEvent) edgeEvent()       {}
func (warningEvent) edgeEvent()     {}
func (peerEvent) edgeEvent()        {}

// storeTimeout bounds a store call that is made for the lease or the planner.
const storeTimeout = 1500 * time.Millisecond

// post queues an event for the control goroutine. It drops the event once the
// node's context has ended.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.ctx.Done():
	}
}

// runControlLoop handles events and ticks until ctx ends. Its goroutine owns the
// control state.
func (n *Node) runControlLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	idle := false
	for {
		if now := n.isIdle(); now != idle {
			idle = now
			if idle {
				ticker.Reset(idleTickFactor * tickInterval)
			} else {
				ticker.Reset(tickInterval)
			}
		}
		select {
		case <-ctx.Done():
			return
		case e := <-n.events:
			n.guard(func() { n.handleEvent(e) })
			for len(n.events) > 0 {
				e := <-n.events
				n.guard(func() { n.handleEvent(e) })
			}
		case <-ticker.C:
			n.guard(n.tick)
		}
		n.guard(n.publish)
	}
}

// isIdle reports whether this instance has no duty for which short reaction times matter:
// there are many others, and it neither holds the lease nor reads the store.
func (n *Node) isIdle() bool {
	return n.peers.Relayed() && !n.holdsLease.Load() && !n.readsStore.Load() && !n.isRelay.Load() && n.ready.Load()
}

// guard calls f. A panic ends f alone and is logged: one event that this instance cannot
// handle must not end the requests that it serves.
func (n *Node) guard(f func()) {
	defer func() {
		if v := recover(); v != nil {
			n.log.WithField("panic", fmt.Sprint(v)).WithField("stack", string(debug.Stack())).
				Error("event dropped after an unexpected error: report it with the stack")
		}
	}()
	f()
}

func (n *Node) handleEvent(e event) {
	switch e := e.(type) {
	case tableEvent:
		n.applyRows(e.table, e.rows)
	case leaseEvent:
		n.stepLease(e.Event)
	case plannerEvent:
		n.stepPlanner(e.Event)
	case stallReportEvent:
		n.handleStallReport(e)
	case warningEvent:
		n.warnRateLimited(e.key, e.text, e.err)
	case peerEvent:
		n.peerChanged(e.run, e.alive)
	case addressesWritten:
		n.handleAddressesWritten(e)
	case dutyEvent:
		n.stepDuties(e.Event)
	case windowEvent:
		n.handleWindow(e.Result)
	case leaveEvent:
		n.stepLease(lease.Leave{})
	}
}

// lateTickThreshold is the delay of a tick from which it is logged.
const lateTickThreshold = 300 * time.Millisecond

// lateness returns by how much the tick came late, as it does where the process lacks processor
// time, and logs it.
func (n *Node) lateness(now time.Duration) time.Duration {
	late := time.Duration(0)
	if n.lastTickAt != 0 {
		late = max(0, now-n.lastTickAt-idleTickFactor*tickInterval)
	}
	if late >= lateTickThreshold {
		n.log.WithFields(logrus.Fields{"late_ms": late.Milliseconds(), "in_flight": n.handler.InFlight(), "relay": n.isRelay.Load(), "reads_store": n.readsStore.Load(), "holds_lease": n.holdsLease.Load()}).Warn("control loop was late")
	}
	n.lastTickAt = now
	return late
}

// tick does the periodic work of the control goroutine.
func (n *Node) tick() {
	now := n.now()
	late := n.lateness(now)
	for _, run := range n.peers.Expire(now) {
		n.peerChanged(run, false)
	}
	n.logPeerChanges()
	n.checkRestore()
	n.updateRoster()
	n.updateReaderRole(now)
	n.updateCurrency(now, late)
	n.updateLeaseHolder(n.roster.holder)
	holder := n.roster.holder
	n.detectOwnFormerRun()
	contends := n.contendsForLease(now, holder)
	if contends != n.contending {
		n.contending = contends
		n.stepLease(lease.Standby{On: !contends})
	}
	if rank := n.roster.leaseRank; contends && rank != n.leaseRank {
		n.leaseRank = rank
		n.stepLease(lease.RankChanged{Rank: rank})
	}
	if (n.roster.requestsReceived || n.handler.Accepted() > 0) && !n.requestsReceived {
		n.requestsReceived = true
		n.stepPlanner(formation.TrafficStarted{})
	}
	if contends {
		n.stepLease(lease.Tick{})
	}
	n.writeAddressList(now)
	n.measureDemand(now)
	n.collectActivity(now)
	n.adjustSizes(now)
	n.replaceFailingHeads(now)
	n.stepPlanner(formation.Tick{})
	if n.holdsLease.Load() {
		n.stepDuties(duty.Tick{})
	}
}

// maxLeaseContenders is the number of instances that read the lease rows from the store
// while none announces that it holds the lease.
const maxLeaseContenders = 5

// contendsForLease reports whether this instance has to follow the lease in the store: if
// it holds the lease or shuts down, or if no other instance announces that it holds it and
// few are preferred to this one. Just after its start it does not know the others yet.
func (n *Node) contendsForLease(now time.Duration, holder lease.Identity) bool {
	if _, held := n.leaseMachine.Held(bootNow()); held || n.holdsLease.Load() || n.leaving.Load() {
		// A lease that has expired has to be given up too, so that another one acts.
		return true
	}
	discovered := now >= firstStartDiscoveryTime || (len(n.roster.records) > 0 && now >= peerDiscoveryTime && !n.settings.FirstStart)
	return holder == (lease.Identity{}) && discovered && (n.roster.leaseRank < maxLeaseContenders || !n.peers.Relayed())
}

// updateLeaseHolder records which other instance announces in its beacons that it holds
// the lease. If the previous one no longer does although its run has not ended, it has
// given up the lease: the lease machine is then told that this holder has ended.
func (n *Node) updateLeaseHolder(holder lease.Identity) {
	if holder == (lease.Identity{}) && n.leaseHolder != (lease.Identity{}) && n.lastEndedRun != n.leaseHolder {
		n.stepLease(lease.HolderEnded{Holder: n.leaseHolder})
	}
	n.leaseHolder = holder
}

// detectOwnFormerRun reports the lease holder as ended if it is a former run of
// this entry instance, as after a power loss of all entry instances.
func (n *Node) detectOwnFormerRun() {
	holder, ok := n.leaseMachine.Holder()
	if ok && holder.Instance == n.self.Instance && holder != n.self && holder != n.lastEndedRun {
		n.lastEndedRun = holder
		n.stepLease(lease.HolderEnded{Holder: holder})
	}
}

// peerChanged tells the lease machine that a run has ended, or that it is alive
// after all. Backend servers check the fencing token, so a holder that is only
// unreachable can do no harm.
func (n *Node) peerChanged(run beacon.Run, alive bool) {
	id := lease.Identity{Instance: run.Instance, Incarnation: run.Incarnation}
	if alive {
		n.peersAppeared = append(n.peersAppeared, run)
	} else {
		n.peersEnded = append(n.peersEnded, run)
	}
	switch {
	case !alive:
		n.lastEndedRun = id
		n.stepLease(lease.HolderEnded{Holder: id})
	case n.lastEndedRun == id:
		n.lastEndedRun = lease.Identity{}
		n.stepLease(lease.HolderEnded{})
	}
}

// applyRows applies changed rows of a table.
func (n *Node) applyRows(table string, rows []infra.Change) {
	if !n.storeEraKnown {
		n.storeEra, n.storeEraKnown = n.mirror.Era(), true
	}
	if table == n.platform.OperatorTable {
		n.applyOperatorRows(rows)
	} else {
		n.applyServerRows(rows)
	}
}

// applyOperatorRows applies changed rows of the operator table: configurations and
// evacuated data centres.
func (n *Node) applyOperatorRows(rows []infra.Change) {
	evacuated := slices.Clone(n.evacuated)
	for _, r := range rows {
		dataCentre, isEvacuation := strings.CutPrefix(r.Key, n.platform.EvacuatePrefix)
		switch {
		case r.Key == n.platform.ConfigKey && !r.Deleted:
			n.applyConfig(r.Row)
		case isEvacuation && r.Deleted:
			evacuated = slices.DeleteFunc(evacuated, func(d ident.DataCentre) bool { return string(d) == dataCentre })
		case isEvacuation && !slices.Contains(evacuated, ident.DataCentre(dataCentre)):
			evacuated = append(evacuated, ident.DataCentre(dataCentre))
		}
	}
	if !slices.Equal(evacuated, n.evacuated) {
		n.log.WithFields(logrus.Fields{"data_centres": evacuated}).Info("evacuated data centres changed")
		n.evacuated = evacuated
		n.viewOutdated = true
	}
}

// applyConfig compiles a configuration and uses it, unless its version is not newer
// than the current one.
func (n *Node) applyConfig(r infra.Row) {
	cfg, problems, err := n.platform.DecodeConfig(r.Value)
	if err != nil {
		n.log.WithError(err).WithField("row_version", r.Version).Error("configuration cannot be decoded: keeping the current one")
		return
	}
	if n.routes != nil && cfg.Version <= n.routes.Version {
		return
	}
	for _, p := range problems {
		n.log.WithError(p).WithField("config_version", cfg.Version).Warn("configuration entry left out")
	}
	n.routes = route.Compile(cfg)
	n.viewOutdated = true
	n.log.WithFields(logrus.Fields{
		"config_version": cfg.Version, "row_version": r.Version, "routes": len(cfg.Routes), "accounts": len(cfg.Accounts),
	}).Info("configuration in force")
}

// applyServerRows applies changed entries of backend servers to the server list.
func (n *Node) applyServerRows(rows []infra.Change) {
	now := n.now()
	n.serversReceived = true
	for _, r := range rows {
		id := ident.InstanceID(r.Key)
		if r.Deleted {
			n.viewOutdated = n.serverList.Remove(id, r.Version) || n.viewOutdated
			continue
		}
		s, err := n.platform.DecodeServer(r.Row, now)
		if err != nil {
			// A server whose entry cannot be decoded cannot be used.
			n.warnRateLimited("entry:"+r.Key, "backend server's entry left out", err)
			n.viewOutdated = n.serverList.Remove(id, r.Version) || n.viewOutdated
			continue
		}
		n.viewOutdated = n.serverList.Put(s) || n.viewOutdated
	}
}

// warningInterval is the least time between two warnings with the same key.
const warningInterval = 10 * time.Second

// postWarning has the control goroutine call warnRateLimited. Other goroutines use
// it, because the control goroutine owns lastLogged.
func (n *Node) postWarning(key, text string, err error) { n.post(warningEvent{key, text, err}) }

// warnRateLimited logs a warning unless one with the same key was logged within
// warningInterval.
func (n *Node) warnRateLimited(key, text string, err error) {
	now := n.now()
	if last, ok := n.lastLogged[key]; ok && now-last < warningInterval {
		return
	}
	n.recordLogged(key, now)
	n.log.WithError(err).Warn(text)
}

// maxLoggedKeys bounds the number of keys in lastLogged.
const maxLoggedKeys = 1024

// recordLogged records when the message with the given key was logged.
func (n *Node) recordLogged(key string, now time.Duration) {
	if len(n.lastLogged) >= maxLoggedKeys {
		clear(n.lastLogged)
	}
	n.lastLogged[key] = now
}

// publish gives the request handler and the planner a new view if routes, servers
// or evacuated data centres have changed. The first view needs a configuration and
// the list of backend servers.
func (n *Node) publish() {
	if !n.viewOutdated || n.routes == nil || !n.serversReceived {
		return
	}
	n.viewOutdated = false
	n.serverSnapshot = n.serverList.Snapshot()
	n.handler.SetView(forward.NewView(n.routes, n.serverSnapshot, n.evacuated))
	if !n.ready.Swap(true) {
		n.log.WithField("config_version", n.routes.Version).Info("ready")
		n.requestBeacon()
	}
	service, unrepeatable := n.modelService(), time.Duration(0)
	if service != nil {
		unrepeatable = n.routes.UnrepeatableTime(service.Name)
	}
	n.stepPlanner(formation.ConfigChanged{Service: service, Evacuated: n.evacuated, UnrepeatableTime: unrepeatable})
	n.stepPlanner(formation.ServersChanged{Servers: n.serverSnapshot})
}

// modelService returns the service whose groups the planner manages: the first one
// with models, or nil.
func (n *Node) modelService() *route.Service {
	for i := range n.routes.Services {
		if len(n.routes.Services[i].Models) > 0 {
			return &n.routes.Services[i]
		}
	}
	return nil
}
