// Package sizing decides how many backend servers a service has in each data centre, where
// the platform lets the system order them. Servers are paid for as long as they run, and a new
// one serves only after it has started, loaded weights and joined a group, so growing is slow.
//
// It answers these loads and failures: demand that grows, falls or moves between models, the
// loss of a domain or of single servers, and servers that return after an outage. Only whole
// groups count: a server that completes none is not worth keeping. A Planner has no
// goroutine, socket or log; its state is rebuilt from what a new holder of the lease sees.
package sizing

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/layout"
	"github.com/bulrushfall/bulrushfall/route"
)

// Server is a backend server of the service that accepts requests or could.
type Server struct {
	ID         ident.InstanceID
	DataCentre ident.DataCentre
	Domain     ident.Domain
	// Model is the model whose weights the server holds or loads, or "" if there is none.
	Model string
	// Group is the group that the server is a member of, or "".
	Group ident.GroupID
}

// Demand is the measured demand for a model.
type Demand struct {
	Model string
	// Arrivals is the number of requests a second, those included that are refused, and
	// PromptTokens the number of their prompt tokens a second.
	Arrivals, PromptTokens float64
	// Slots is the number of slots in use.
	Slots float64
	// Goal is the time to the first event that callers expect, Gap the longest time between
	// two events. 0 means that they expect none.
	Goal, Gap time.Duration
}

// Input is what is known at the time of a step.
type Input struct {
	Service *route.Service
	// Servers lists the servers that do not leave yet, those last that the platform takes away
	// first.
	Servers []Server
	// Evacuated data centres get no orders, and their servers do not count.
	Evacuated []ident.DataCentre
	// Demand is empty until the demand for all models was measured.
	Demand []Demand
}

// Order is the number of servers that a data centre is to have.
type Order struct {
	DataCentre ident.DataCentre
	Servers    int
	Reason     string
}

// Config holds the times of a Planner.
type Config struct {
	// FormTime is the time from loaded weights until a group serves.
	FormTime time.Duration
	// SettleTime is how long after a decision a Planner gives up nothing more. It covers the update
	// of the list and of the demand.
	SettleTime time.Duration
	// EmptyTime is how long the groups of leaving servers may take to finish their requests.
	EmptyTime time.Duration
	// ListTime is the time until the list shows a started server.
	ListTime time.Duration
	// OrderTime is how long an order may take until its effect shows.
	OrderTime time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{FormTime: 2 * time.Second, SettleTime: 2 * time.Second, EmptyTime: 4 * time.Second, ListTime: 2 * time.Second, OrderTime: 10 * time.Second}
}

const (
	// shortHistoryMargin is the part of the demand that is added while demand was measured for
	// a short time only. It falls to minMargin over the lead time, because by then a change of
	// the demand is answered by orders.
	shortHistoryMargin = 0.25
	// maxGrowth bounds the expected growth of the demand. A jump is not taken for a trend that
	// lasts.
	maxGrowth = 0.5
	// minMargin is the part of the demand that is kept beyond the expected one. It keeps a small
	// change of the demand from causing orders by turns.
	minMargin = 0.1
	// spareShare is the part of the members of the groups that are kept for which spares are kept
	// too. A large group serves nothing once a member is lost that no spare replaces, and
	// spares in other domains do not help.
	spareShare = 2 * layout.LossShare
	// minGrowth is the growth from which it counts as a trend and not as chance.
	minGrowth = 0.1
	// outageShare is the part of a domain's servers whose loss at once is taken for an outage
	// from which they return.
	outageShare = 0.5
	// outageSuspicion is the number of servers that a domain may lose within outageWindow until
	// nothing is given up, because an outage may begin.
	outageSuspicion = 2
	// outageWindow is the time within which such servers disappear from the list.
	outageWindow = 4 * time.Second
	// maxRemoved is the largest part of the servers that one step gives up. The demand is
	// measured again before the next one.
	maxRemoved = 0.15
)

// Planner decides the number of servers of one service. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	started bool
	// measured is set once the demand was measured.
	measured bool
	// startedAt is when the first step was, knownSince when the demand became known.
	startedAt, knownSince time.Duration
	history               map[string][]sample
	centres               map[ident.DataCentre]*centre
	domains               map[ident.Domain]*domain
	leaving               map[ident.InstanceID]bool
	reassigned            map[ident.InstanceID]string
	// settledAt is when the effect of the last change is expected to show.
	settledAt time.Duration
	needed    []Need
}

// sample is the demand for a model at a time.
type sample struct {
	at time.Duration
	Demand
}

// centre is the state of the orders for a data centre.
type centre struct {
	// startingUntil is when the servers of the last order that added some are in the list, and
	// starting their number.
	startingUntil time.Duration
	starting      int
	// keep is the number of servers after a reduction that waits until the groups of the
	// leaving servers are empty, at the latest at emptyBy. 0 means that none waits.
	keep    int
	emptyBy time.Duration
	reason  string
	// ordered is the number in the last order, and orderedAt its time.
	ordered   int
	orderedAt time.Duration
}

// domain is the recent size of a domain.
type domain struct {
	centre ident.DataCentre
	// peak is the largest size since peakAt.
	peak   int
	peakAt time.Duration
	// size is the last size, and fellAt when it last fell.
	size   int
	fellAt time.Duration
	// outUntil is when an outage is taken for a loss.
	outUntil time.Duration
}

// Need is the number of groups that a model needs.
type Need struct {
	Model string
	// Arrivals is the present rate of requests, Forecast the rate to expect within the lead
	// time, and GroupRate the one that a group serves in time.
	Arrivals, Forecast, GroupRate float64
	// Groups is the number of groups that the servers can form. Servers are ordered if it is below
	// Needed, and given up if it is above Kept.
	Groups, Needed, Kept, GroupSize int
	// KeptForGood replaces Kept where servers that are given up cannot be had again.
	KeptForGood int
}

// New returns a Planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, history: make(map[string][]sample), centres: make(map[ident.DataCentre]*centre), domains: make(map[ident.Domain]*domain), leaving: make(map[ident.InstanceID]bool), reassigned: make(map[ident.InstanceID]string)}
}

// Leaving returns the servers that are given up. Their groups are to be emptied. The caller
// must not change the map.
func (p *Planner) Leaving() map[ident.InstanceID]bool { return p.leaving }

// Reassigned returns the servers that are to hold another model than they did, and that model.
// The caller must not change the map.
func (p *Planner) Reassigned() map[ident.InstanceID]string { return p.reassigned }

// Needs returns the needs of the last step.
func (p *Planner) Needs() []Need { return p.needed }

// Step returns the orders to send now.
func (p *Planner) Step(now time.Duration, in Input) []Order {
	if in.Service == nil || in.Service.Scaling == nil || len(in.Servers) == 0 {
		return nil
	}
	if !p.started {
		p.started, p.startedAt, p.settledAt = true, now, now+p.cfg.SettleTime
	}
	in.Servers = slices.DeleteFunc(slices.Clone(in.Servers), func(s Server) bool { return slices.Contains(in.Evacuated, s.DataCentre) })
	p.recordDomains(now, &in)
	p.recordDemand(now, &in)
	out := p.finishReductions(now, &in)
	if !p.measured || len(in.Demand) < len(in.Service.Models) || now < p.knownSince+p.cfg.SettleTime/2 {
		return out
	}
	p.needed = p.needs(now, &in)
	if p.mayRelease(now, &in) {
		p.reassign(&in)
	}
	if grown := p.grow(now, &in); len(grown) > 0 {
		return append(out, grown...)
	}
	p.reduce(now, &in)
	return out
}

// LeadTime is the time from an order until a new server serves.
func (p *Planner) LeadTime(s *route.Service) time.Duration {
	load := time.Duration(0)
	for _, m := range s.Models {
		load = max(load, m.LoadTime)
	}
	return s.Scaling.StartTime + load + p.cfg.FormTime
}

// mayRelease reports whether servers may be given up or reassigned: not during an outage, nor
// before a new holder of the lease can tell one from a size that was chosen.
func (p *Planner) mayRelease(now time.Duration, in *Input) bool {
	for _, d := range p.domains {
		if now < d.outUntil || d.peak-d.size > outageSuspicion {
			return false
		}
	}
	return now-p.startedAt >= p.LeadTime(in.Service)/2
}

// recordDomains notes the sizes of the domains and starts or ends outages.
func (p *Planner) recordDomains(now time.Duration, in *Input) {
	sizes := make(map[ident.Domain]int)
	for _, s := range in.Servers {
		if p.leaving[s.ID] {
			continue
		}
		sizes[s.Domain]++
		if p.domains[s.Domain] == nil {
			p.domains[s.Domain] = &domain{centre: s.DataCentre}
		}
	}
	for name, d := range p.domains {
		n := sizes[name]
		if n < d.size {
			d.fellAt = now
		}
		d.size = n
		if d.outUntil == 0 && float64(d.peak-n) >= max(2, outageShare*float64(d.peak)) {
			d.outUntil = now + p.LeadTime(in.Service)
		}
		if d.outUntil != 0 && (now >= d.outUntil || float64(n) > (1-outageShare)*float64(d.peak)) {
			d.outUntil, d.peak, d.peakAt = 0, n, now
		}
		if n >= d.peak || (d.outUntil == 0 && now-d.peakAt >= outageWindow) {
			d.peak, d.peakAt = n, now
		}
	}
}

// inOutage reports whether a domain of the data centre is away and expected back. Orders would
// then start servers that are late, and that are too many once the domain has returned.
func (p *Planner) inOutage(now time.Duration, dc ident.DataCentre) bool {
	for _, d := range p.domains {
		if d.centre == dc && now < d.outUntil {
			return true
		}
	}
	return false
}

// mayOrder reports whether servers may be ordered in a data centre. While entries disappear it is
// open whether an outage begins. The platform counts servers that will return, so that an order
// for as many as are listed would take servers away.
func (p *Planner) mayOrder(now time.Duration, dc ident.DataCentre) bool {
	for _, d := range p.domains {
		if d.centre == dc && d.fellAt != 0 && now-d.fellAt < outageWindow {
			return false
		}
	}
	return !p.inOutage(now, dc) && now >= p.centre(dc).startingUntil
}

// recordDemand adds the demand to the history, which covers twice the lead time.
func (p *Planner) recordDemand(now time.Duration, in *Input) {
	if len(in.Demand) < len(in.Service.Models) {
		return
	}
	if !p.measured {
		// The first rates are of a time that lies partly before the first requests.
		p.measured, p.knownSince = true, now+p.cfg.SettleTime/2
	}
	if now < p.knownSince {
		return
	}
	oldest := now - 2*p.LeadTime(in.Service)
	for _, d := range in.Demand {
		h := slices.DeleteFunc(p.history[d.Model], func(s sample) bool { return s.at < oldest })
		if len(h) > 0 {
			// At first the mean of all rates, later an exponential moving average.
			last := h[len(h)-1]
			elapsed := (now - last.at).Seconds()
			weight := max(1-math.Exp(-elapsed/smoothingTime.Seconds()), min(1, elapsed/(now-p.knownSince).Seconds()))
			d.Arrivals = last.Arrivals + weight*(d.Arrivals-last.Arrivals)
			d.PromptTokens = last.PromptTokens + weight*(d.PromptTokens-last.PromptTokens)
		}
		p.history[d.Model] = append(h, sample{now, d})
	}
}

// smoothingTime is the time constant of the demand's moving average. Chance alone varies the
// rate of a model with few requests by much within a second.
const smoothingTime = 4 * time.Second

// forecast returns the rate of requests to expect within the lead time: the recent peak, plus
// its growth over the time before. A wave that has been seen whole does not count as growth.
// margin is the part that is kept beyond it before servers are given up.
func (p *Planner) forecast(now time.Duration, in *Input, model string) (rate, margin float64) {
	lead := p.LeadTime(in.Service)
	// peaks are those of the last two quarters of the lead time, and of the time before.
	var peaks [3]float64
	for _, s := range p.history[model] {
		quarter := min(2, int(4*(now-s.at)/lead))
		peaks[quarter] = max(peaks[quarter], s.Arrivals)
	}
	growth := 0.0
	if before := peaks[2]; before > 0 && peaks[1] > before && peaks[0] > before*(1+minGrowth) {
		// A jump is no trend: it shows in one quarter only.
		growth = min(maxGrowth, 4*min(peaks[0]/peaks[1]-1, peaks[1]/before-1))
	}
	unseen := 1 - min(1, float64(now-p.knownSince)/float64(lead))
	return max(peaks[0], peaks[1], peaks[2]) * (1 + max(0, growth)), minMargin + (shortHistoryMargin-minMargin)*unseen
}

// needs returns the groups that each model needs.
func (p *Planner) needs(now time.Duration, in *Input) []Need {
	out := make([]Need, 0, len(in.Service.Models))
	for _, m := range in.Service.Models {
		n := Need{Model: m.Name, GroupSize: m.Size, Groups: in.possibleGroups(m.Name, m.Size, p.leaving)}
		if h := p.history[m.Name]; len(h) > 0 {
			n.Arrivals = h[len(h)-1].Arrivals
		}
		w := p.work(now, in, m, n.Groups)
		margin := 0.0
		n.Forecast, margin = p.forecast(now, in, m.Name)
		n.GroupRate = w.rate(plannedSlots(in.Service.Slots), goalOf(in, m.Name).Goal, goalOf(in, m.Name).Gap)
		share, mostRate := in.largestDomainShare(m.Name, m.Size, n.Groups), w.rate(float64(in.Service.Slots), 0, 0)
		n.Needed = groupsFor(n.Forecast, n.GroupRate, mostRate, share)
		n.Kept = groupsFor(n.Forecast*(1+margin), n.GroupRate, mostRate, share)
		n.KeptForGood = groupsFor(n.Forecast*(1+shortHistoryMargin), n.GroupRate, mostRate, share)
		out = append(out, n)
	}
	return out
}

// groupsFor returns the number of groups for a rate of requests, so that after the loss of the
// largest domain, which holds the given share of the groups, the rest serves all requests, though
// not in time.
func groupsFor(rate, groupRate, mostRate, share float64) int {
	n := max(1, int(math.Ceil(rate/groupRate-roundingMargin)))
	for {
		lost := max(1, int(math.Ceil(share*float64(n)-roundingMargin)))
		if float64(n-lost)*mostRate >= rate {
			return n
		}
		n++
	}
}

// goalOf returns what callers of a model expect.
func goalOf(in *Input, model string) Demand {
	for _, d := range in.Demand {
		if d.Model == model {
			return d
		}
	}
	return Demand{}
}

// roundingMargin keeps a number of groups that is whole but for rounding from being raised.
const roundingMargin = 1e-6

// work returns the work of a usual request of a model: as configured, and as measured once the
// demand has been seen for some time.
func (p *Planner) work(now time.Duration, in *Input, m route.Model, groups int) work {
	w := usualWork(in.Service, m)
	h := p.history[m.Name]
	if len(h) == 0 || now-p.knownSince < p.cfg.SettleTime {
		return w
	}
	arrivals, prompts, slots := 0.0, 0.0, 0.0
	for _, s := range h {
		arrivals, prompts, slots = arrivals+s.Arrivals, prompts+s.PromptTokens, max(slots, s.Slots)
	}
	if arrivals <= 0 {
		return w
	}
	if prompts > 0 {
		w.prompt = prompts / arrivals
	}
	// Slots in use over arrivals is the time of a request. Requests that wait for a slot prolong
	// it, so it may only lower the usual number of passes.
	mean := arrivals / float64(len(h))
	if perGroup := slots / float64(max(1, groups)); perGroup > 0 {
		passes := slots / mean / w.pass(mean/float64(max(1, groups)), perGroup)
		w.passes = min(w.passes, max(passes, w.passes*minAnswerShare))
	}
	return w
}

// minAnswerShare bounds by how much the measured answers of a model are shorter than usual ones.
const minAnswerShare = 0.3

// finishReductions returns the orders of reductions whose leaving servers are empty.
func (p *Planner) finishReductions(now time.Duration, in *Input) []Order {
	var out []Order
	for _, dc := range centresOf(in) {
		c := p.centre(dc)
		if c.keep == 0 {
			continue
		}
		busy := 0
		for _, s := range in.Servers {
			if s.DataCentre == dc && p.leaving[s.ID] && s.Group != "" {
				busy++
			}
		}
		if busy > 0 && now < c.emptyBy {
			continue
		}
		if p.inOutage(now, dc) {
			p.cancel(in, dc, c)
			continue
		}
		c.keep = min(c.keep, len(in.staying(dc, p.leaving))) // Others may have been lost meanwhile.
		out = append(out, Order{dc, c.keep, c.reason})
		c.ordered, c.orderedAt, c.keep = c.keep, now, 0
		p.settledAt = max(p.settledAt, now+p.cfg.SettleTime)
	}
	// A server that the platform has left after all can be used again.
	maps.DeleteFunc(p.leaving, func(id ident.InstanceID, _ bool) bool {
		i := slices.IndexFunc(in.Servers, func(s Server) bool { return s.ID == id })
		if i < 0 {
			return true
		}
		c := p.centre(in.Servers[i].DataCentre)
		return c.keep == 0 && (len(in.staying(in.Servers[i].DataCentre, nil)) <= c.ordered || now-c.orderedAt >= p.cfg.OrderTime)
	})
	return out
}

// cancel gives up a reduction that was not ordered yet.
func (p *Planner) cancel(in *Input, dc ident.DataCentre, c *centre) {
	c.keep = 0
	for _, s := range in.Servers {
		if s.DataCentre == dc {
			delete(p.leaving, s.ID)
		}
	}
}

func (p *Planner) cancelAll(in *Input) {
	for _, dc := range centresOf(in) {
		if c := p.centre(dc); c.keep > 0 {
			p.cancel(in, dc, c)
		}
	}
}

// grow orders servers for the groups that are missing.
func (p *Planner) grow(now time.Duration, in *Input) []Order {
	if now-p.startedAt < p.LeadTime(in.Service)/2 {
		return nil // A new holder cannot tell servers that will return from lost ones.
	}
	missing, reasons := 0, []string(nil)
	for _, n := range p.needed {
		if n.Groups < n.Needed {
			missing += (n.Needed - n.Groups) * n.GroupSize
			reasons = append(reasons, fmt.Sprintf("model %s has %d groups and needs %d for %.1f requests a second, expected to become %.1f", n.Model, n.Groups, n.Needed, n.Arrivals, n.Forecast))
		}
	}
	missing -= in.unloaded(p.leaving)
	for _, d := range p.domains {
		if now < d.outUntil {
			missing -= d.peak
		}
	}
	for _, c := range p.centres {
		if now < c.startingUntil {
			missing -= c.starting
		}
	}
	if missing <= 0 {
		return nil
	}
	for _, dc := range centresOf(in) {
		if p.centre(dc).keep > 0 {
			p.cancelAll(in)
			return nil // The needs are compared again with the servers that stay after all.
		}
	}
	reason := strings.Join(reasons, "; ")
	added := make(map[ident.DataCentre]int)
	centres := centresOf(in)
	for ; missing > 0; missing-- {
		best, bestCount := ident.DataCentre(""), in.Service.Scaling.Max
		for _, dc := range centres {
			if !p.mayOrder(now, dc) {
				continue
			}
			if n := len(in.staying(dc, p.leaving)) + added[dc]; n < bestCount {
				best, bestCount = dc, n
			}
		}
		if best == "" {
			break
		}
		added[best]++
	}
	var out []Order
	for _, dc := range centres {
		if added[dc] == 0 {
			continue
		}
		c := p.centre(dc)
		c.starting, c.startingUntil = added[dc], now+in.Service.Scaling.StartTime+p.cfg.ListTime
		c.ordered, c.orderedAt = len(in.staying(dc, p.leaving))+added[dc], now
		p.settledAt = max(p.settledAt, now+p.LeadTime(in.Service))
		out = append(out, Order{dc, c.ordered, reason})
	}
	return out
}

// reduce chooses the servers to give up. It takes one at a time from the data centre that has
// most, as long as the rest can form the groups that are needed.
func (p *Planner) reduce(now time.Duration, in *Input) {
	if now < p.settledAt || len(p.leaving) > 0 || !p.mayRelease(now, in) {
		return
	}
	for _, c := range p.centres {
		if c.keep > 0 || now < c.startingUntil {
			return
		}
	}
	centres := centresOf(in)
	stay := make(map[ident.DataCentre][]Server)
	for _, dc := range centres {
		stay[dc] = in.staying(dc, nil)
	}
	leaving := p.removeToMax(in, stay)
	most := max(maxSize(in.Service), int(maxRemoved*float64(len(in.Servers))))
	for r := newReduction(in, p.needed, leaving, false); len(leaving) < most; {
		best := ident.DataCentre("")
		for _, dc := range centres {
			n := len(stay[dc])
			if n > max(1, in.Service.Scaling.Min) && n <= in.Service.Scaling.Max && n > len(stay[best]) && !p.inOutage(now, dc) && r.allows(stay[dc][n-1]) {
				best = dc
			}
		}
		if best == "" {
			break
		}
		last := len(stay[best]) - 1
		r.remove(stay[best][last])
		leaving[stay[best][last].ID] = true
		stay[best] = stay[best][:last]
	}
	if len(leaving) < minSize(in.Service) {
		return
	}
	p.leaving = leaving
	for _, s := range in.Servers {
		if d := p.domains[s.Domain]; leaving[s.ID] {
			d.peak, d.size = d.peak-1, d.size-1 // It is not lost.
		}
	}
	for _, dc := range centres {
		if n, before := len(stay[dc]), len(in.staying(dc, nil)); n < before {
			c := p.centre(dc)
			c.keep, c.emptyBy = n, now+p.cfg.EmptyTime
			c.reason = fmt.Sprintf("%d of %d servers are not needed: %s", before-n, before, p.Describe())
		}
	}
	p.settledAt = now + p.cfg.SettleTime
}

// removeToMax gives up the servers beyond the maximum of at most one data centre, if the rest is
// enough. The platform holds each order to the maximum, so that these servers leave all at once
// and cannot be had again: a larger margin is kept.
func (p *Planner) removeToMax(in *Input, stay map[ident.DataCentre][]Server) map[ident.InstanceID]bool {
	most := in.Service.Scaling.Max
	for _, dc := range centresOf(in) {
		if len(stay[dc]) <= most {
			continue
		}
		leaving := make(map[ident.InstanceID]bool)
		r := newReduction(in, p.needed, nil, true)
		for i := len(stay[dc]) - 1; i >= most && r.allows(stay[dc][i]); i-- {
			r.remove(stay[dc][i])
			leaving[stay[dc][i].ID] = true
		}
		if len(leaving) == len(stay[dc])-most {
			stay[dc] = stay[dc][:most]
			return leaving
		}
	}
	return make(map[ident.InstanceID]bool)
}

// reduction counts the groups that the staying servers form while servers are given up.
type reduction struct {
	held map[string]map[ident.Domain]int
	// kept is the number of groups that is kept, size their size.
	kept, size map[string]int
}

// newReduction returns a reduction. final is set if the servers cannot be had again.
func newReduction(in *Input, needs []Need, leaving map[ident.InstanceID]bool, final bool) *reduction {
	r := &reduction{held: make(map[string]map[ident.Domain]int), kept: make(map[string]int), size: make(map[string]int)}
	for _, n := range needs {
		r.held[n.Model], r.kept[n.Model], r.size[n.Model] = in.holders(n.Model, leaving), n.Kept, n.GroupSize
		if final {
			r.kept[n.Model] = n.KeptForGood
		}
	}
	return r
}

// allows reports whether the servers without s form the groups that are needed, with spares
// that replace lost members. A server without weights that are used is not needed.
func (r *reduction) allows(s Server) bool {
	size, ok := r.size[s.Model]
	if !ok {
		return true
	}
	groups, servers := 0, 0
	for domain, held := range r.held[s.Model] {
		if domain == s.Domain {
			held--
		}
		groups += held / size
		servers += held
	}
	kept := r.kept[s.Model]
	return groups >= kept && float64(servers) >= (1+spareShare)*float64(kept*size)
}

func (r *reduction) remove(s Server) {
	if held := r.held[s.Model]; held != nil {
		held[s.Domain]--
	}
}

// Describe returns the needs of the last step as text.
func (p *Planner) Describe() string {
	var out []string
	for _, n := range p.needed {
		out = append(out, fmt.Sprintf("model %s has %d groups, needs %d, keeps %d for %.1f requests a second, at present %.1f, a group serves %.1f", n.Model, n.Groups, n.Needed, n.Kept, n.Forecast, n.Arrivals, n.GroupRate))
	}
	return strings.Join(out, ", ")
}

func (p *Planner) centre(dc ident.DataCentre) *centre {
	c := p.centres[dc]
	if c == nil {
		c = &centre{}
		p.centres[dc] = c
	}
	return c
}
