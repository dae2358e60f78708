package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/config/configshell"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/view"
)

// configState holds the configuration state machine, which runs on the control
// goroutine.
type configState struct {
	shell   *configshell.Shell
	machine *config.Machine
	// ctx ends the goroutines of the shell.
	ctx      context.Context
	cancel   context.CancelFunc
	counters []sampledCounter
	// latestInstances is the last instance list. Other goroutines read it, for
	// example the handlers of the operators' interface and of peers.
	latestInstances atomic.Pointer[[]infra.Instance]
	// readyLogged is set once the log says that the configuration is ready.
	readyLogged bool
	// restoresLogged is the number of restores of the store that the log has.
	restoresLogged uint64
	// documents are the documents in force, computed from documentsView.
	documents     []service.Document
	documentsView *config.View
}

// configEvent runs a function of the configuration shell on the control goroutine.
type configEvent struct{ fn func(now time.Duration) }

func (e configEvent) apply(_ *Loop, now time.Duration) { e.fn(now) }

// startConfig creates the state machine and registers its handlers for peers.
func (l *Loop) startConfig() {
	c := &l.config
	c.ctx, c.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = config.New(l.opts.Self.PeerAddress, config.DefaultSettings(), rng)
	c.shell = configshell.New(c.ctx, c.machine, configshell.NewStore(l.opts.Table), l.opts.Node, func(fn func(time.Duration)) bool {
		select {
		case l.events <- configEvent{fn: fn}:
			return true
		case <-c.ctx.Done():
			return false
		}
	})
	if l.opts.Recorder != nil {
		c.shell.OnStep = l.traceConfig
	}
	if l.opts.Mux != nil {
		c.shell.Register(l.opts.Mux)
	}
	c.counters = append(configCounters(l.opts.Scope, &c.machine.Counters), peerCounters(l.opts.Scope, &l.opts.Node.Counters)...)
	c.shell.Step(l.opts.Now(), config.PeersChanged{Peers: l.opts.Seeds})
}

// Configuration returns the configuration shell for the operators' interface.
func (l *Loop) Configuration() *configshell.Shell { return l.config.shell }

// tickConfig runs the time-driven work of the configuration and reports its counters.
func (l *Loop) tickConfig(now time.Duration) {
	l.config.shell.Step(now, config.Tick{})
	l.logRestore()
	for i := range l.config.counters {
		l.config.counters[i].report()
	}
	if v := l.config.shell.View(); v.Ready && !l.config.readyLogged {
		l.config.readyLogged = true
		l.opts.Log.WithField("revision", v.Revision).Info("configuration reached the highest revision known at startup")
	}
}

// logRestore logs a restore of the store.
func (l *Loop) logRestore() {
	c := &l.config
	if c.machine.Counters.Restores == c.restoresLogged {
		return
	}
	c.restoresLogged = c.machine.Counters.Restores
	l.opts.Log.WithField("revision", c.shell.View().Revision).
		Warn("the platform's store was restored from an older copy: entry instances write back the configuration that it lost")
}

// updateConfigPeers passes the addresses of the peers to the configuration machine.
// The seeds of the settings are used until the instance list has other entry
// instances.
func (l *Loop) updateConfigPeers(now time.Duration) {
	listed := slices.Clone(l.instances)
	l.config.latestInstances.Store(&listed)
	var peers []string
	for _, inst := range l.instances {
		if inst.Kind == infra.KindEntry && inst.PeerAddress != "" && inst.ID != l.opts.Self.Instance {
			peers = append(peers, inst.PeerAddress)
		}
	}
	if len(peers) == 0 {
		peers = l.opts.Seeds
	}
	l.config.shell.Step(now, config.PeersChanged{Peers: peers})
}

// serviceDocuments returns the documents in force. Only the control goroutine calls
// it. The list is cached for each configuration view, because it is read several
// times per tick.
func (l *Loop) serviceDocuments() []service.Document {
	v := l.config.shell.View()
	if v != l.config.documentsView {
		l.config.documents, l.config.documentsView = l.mergeDocuments(v), v
	}
	return l.config.documents
}

// mergeDocuments returns the documents of a configuration view. Documents from
// Options apply only to services that the configuration never had, so that a
// deleted service stays deleted.
func (l *Loop) mergeDocuments(v *config.View) []service.Document {
	out := make([]service.Document, 0, len(v.Services)+len(l.documents))
	for _, s := range v.Services {
		out = append(out, s.Document)
	}
	for _, d := range l.documents {
		if !l.config.machine.HasRecord(config.ServiceKey(d.Service)) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b service.Document) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// selfDrained reports whether a drain covers this entry instance.
func (l *Loop) selfDrained() bool {
	return l.config.shell.View().Drains.InstanceDrained(l.opts.Self.Instance, l.opts.Self.DataCentre, "")
}

// DrainTargets returns the names of the listed data centres, instances or partners,
// as drains of a kind refer to them.
func (l *Loop) DrainTargets(kind config.DrainKind) []string {
	listed := l.config.latestInstances.Load()
	if listed == nil {
		return nil
	}
	names := []string{}
	for _, inst := range *listed {
		switch kind {
		case config.DrainDataCentre:
			names = append(names, string(inst.DataCentre))
		case config.DrainInstance:
			names = append(names, string(inst.ID))
		case config.DrainPartner:
			names = append(names, string(inst.Partner))
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(s string) bool { return s == "" })
}

// Status summarises the snapshot for the operators' interface.
func (l *Loop) Status() operator.Status {
	s, self := l.Snapshot(), l.opts.Self
	out := operator.Status{
		Instance: self.Instance, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
		Ready: s.Ready, Entries: len(s.Entries), Services: []operator.ServiceStatus{},
	}
	now := l.opts.Now()
	for _, svc := range s.Services {
		out.Services = append(out.Services, serviceStatus(svc, now))
	}
	return out
}

func serviceStatus(svc *view.Service, now time.Duration) operator.ServiceStatus {
	st := operator.ServiceStatus{Name: svc.Document.Service, Kind: svc.Document.Kind, Wanted: svc.Document.Replicas.Wanted}
	usable := make(map[ident.Partner]int)
	for _, g := range svc.Groups {
		switch {
		case g.Draining:
			st.Draining++
		case g.Usable(now):
			usable[g.Partner]++
		}
		if g.Cold {
			st.Cold++
		}
	}
	for _, b := range svc.Backends {
		if b.Draining {
			st.Draining++
		} else {
			usable[b.Partner]++
		}
	}
	for _, n := range usable {
		st.Usable += n
	}
	for partner, n := range usable {
		if partner != "" {
			st.WithoutPartner = append(st.WithoutPartner, operator.PartnerStatus{Partner: partner, Usable: st.Usable - n})
		}
	}
	slices.SortFunc(st.WithoutPartner, func(a, b operator.PartnerStatus) int { return cmp.Compare(a.Partner, b.Partner) })
	return st
}
