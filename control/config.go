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

// configPart drives the configuration machine on the control goroutine.
type configPart struct {
	shell   *configshell.Shell
	machine *config.Machine
	// done ends the goroutines of the shell.
	done     context.Context
	cancel   context.CancelFunc
	counters []configCounter
	// listed is the last instance list, for the operators' interface.
	listed atomic.Pointer[[]infra.Instance]
	logged bool
	// documents are the documents in force as of the view they were made from.
	documents     []service.Document
	documentsFrom *config.View
}

// configStep runs a function of the shell on the control goroutine.
type configStep struct{ fn func(now time.Duration) }

func (e configStep) apply(_ *Loop, now time.Duration) { e.fn(now) }

// startConfig creates the machine and registers the handlers for peers.
func (l *Loop) startConfig() {
	c := &l.config
	c.done, c.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = config.New(l.opts.Self.PeerAddress, config.DefaultSettings(), rng)
	c.shell = configshell.New(c.done, c.machine, configshell.NewStore(l.opts.Table), l.opts.Node, func(fn func(time.Duration)) bool {
		select {
		case l.events <- configStep{fn: fn}:
			return true
		case <-c.done.Done():
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

// Configuration returns the part that the operators' interface works with.
func (l *Loop) Configuration() *configshell.Shell { return l.config.shell }

// tickConfig lets the machine's time-driven work run.
func (l *Loop) tickConfig(now time.Duration) {
	l.config.shell.Step(now, config.Tick{})
	for i := range l.config.counters {
		l.config.counters[i].report()
	}
	if v := l.config.shell.View(); v.Ready && !l.config.logged {
		l.config.logged = true
		l.opts.Log.WithField("revision", v.Revision).Info("configuration reached its floor")
	}
}

// configInstances tells the machine who its peers are. The settings' seeds
// stand in until the list names other entry instances.
func (l *Loop) configInstances(now time.Duration) {
	listed := slices.Clone(l.instances)
	l.config.listed.Store(&listed)
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

// serviceDocuments returns the documents in force. Documents given at the start
// apply to services that the configuration never had: a deleted one stays so.
// Only the control goroutine calls it. The list is made once for each view, and
// read several times a tick.
func (l *Loop) serviceDocuments() []service.Document {
	v := l.config.shell.View()
	if v != l.config.documentsFrom {
		l.config.documents, l.config.documentsFrom = l.mergeDocuments(v), v
	}
	return l.config.documents
}

func (l *Loop) mergeDocuments(v *config.View) []service.Document {
	out := make([]service.Document, 0, len(v.Services)+len(l.documents))
	for _, s := range v.Services {
		out = append(out, s.Document)
	}
	for _, d := range l.documents {
		if !l.config.machine.Known(config.ServiceKey(d.Service)) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b service.Document) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// selfDrained tells the same of this entry instance.
func (l *Loop) selfDrained() bool {
	return l.config.shell.View().Drains.Covers(l.opts.Self.Instance, l.opts.Self.DataCentre, "")
}

// DrainTargets lists the names that a drain of a kind may name.
func (l *Loop) DrainTargets(kind config.DrainKind) []string {
	listed := l.config.listed.Load()
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

// Status returns what the snapshot says, for the operators' interface.
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
