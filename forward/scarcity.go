package forward

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/forecast"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/scarcity"
)

// forecastLogCount is the number of forecasts that a log line sums up.
const forecastLogCount = 50

// scarceModel is how requests for a model are placed whose service defers requests.
type scarceModel struct {
	engine  forecast.Engine
	classes scarcity.Classes
}

// scarceModels returns the models of the services that defer requests.
func scarceModels(t *route.Table) map[modelKey]*scarceModel {
	out := make(map[modelKey]*scarceModel)
	for i := range t.Services {
		s := &t.Services[i]
		classes, on := scarcity.ClassesOf(t, s)
		if !on {
			continue
		}
		for _, m := range s.Models {
			if e := forecast.NewEngine(s, m.Name); e.Known() {
				out[modelKey{s.Name, m.Name}] = &scarceModel{engine: e, classes: classes}
			}
		}
	}
	return out
}

// calibration is what requests have shown of the times of groups.
type calibration struct {
	mu        sync.Mutex
	overheads map[modelKey]*forecast.Overhead
	deadlines map[string]*scarcity.Deadlines
	errors    map[modelKey]*forecast.Errors
}

func newCalibration() *calibration {
	return &calibration{
		overheads: make(map[modelKey]*forecast.Overhead), deadlines: make(map[string]*scarcity.Deadlines),
		errors: make(map[modelKey]*forecast.Errors),
	}
}

// scarce is the state of a request to a service that defers requests.
type scarce struct {
	model     *scarceModel
	request   scarcity.Request
	usual     time.Duration
	placement scarcity.Placement
	priority  string
}

// classify prepares the placement of a request, if its service defers requests.
func (c *call) classify() {
	m := c.view.scarce[modelKey{c.service, c.model}]
	if m == nil || !c.route.UsesGroups {
		return
	}
	stated := c.deadline - c.start
	k := c.handler.calibration
	k.mu.Lock()
	d := k.deadlines[c.route.Name]
	if d == nil {
		d = &scarcity.Deadlines{}
		k.deadlines[c.route.Name] = d
	}
	usual := d.Observe(c.start, stated)
	k.mu.Unlock()
	s := &scarce{model: m, usual: usual, request: scarcity.Request{Urgency: route.UrgencyOf(c.route, c.account), Goal: c.route.LatencyGoal}}
	s.request.Age, s.request.CameBack = scarcity.Age(usual, stated)
	c.scarce = s
}

// deferredKey names the count of deferred requests at a backend server that it has not begun to
// answer, among the loads that entry instances tell each other.
func deferredKey(id ident.InstanceID) ident.InstanceID { return id + "/deferred" }

// groupLoad returns the load of a group: all requests in flight, and those that run before a
// further urgent one.
func (h *Handler) groupLoad(id ident.InstanceID, b *Backend) (all, urgent forecast.Load) {
	all.Ahead = int(b.inFlight.Load()) + h.opts.Peers.InFlight(id)
	all.OwnUnanswered, all.OwnPromptTokens = int(b.unanswered.Load()), float64(b.unansweredTokens.Load())
	urgent = all
	urgent.Ahead = max(0, all.Ahead-int(b.deferred.Load())-h.opts.Peers.InFlight(deferredKey(id)))
	return all, urgent
}

// room returns what a group can do for the request.
func (c *call) room(s *fleet.Server, b *Backend, now time.Duration) scarcity.Room {
	e := &c.scarce.model.engine
	all, urgent := c.handler.groupLoad(s.ID, b)
	pace := b.paceAt(now, e.Pause(all))
	k := c.handler.calibration
	k.mu.Lock()
	overhead := k.overhead(modelKey{c.service, c.model}).Mean()
	k.mu.Unlock()
	return scarcity.Room{
		FirstEvent:   overhead + time.Duration(pace*float64(e.FirstEvent(urgent, float64(c.prompt.Tokens)))),
		DeferredWait: time.Duration(pace * float64(e.PlaceWait(all.Ahead))),
	}
}

func (k *calibration) overhead(key modelKey) *forecast.Overhead {
	o := k.overheads[key]
	if o == nil {
		o = &forecast.Overhead{}
		k.overheads[key] = o
	}
	return o
}

// paceAt returns the pace of the group. Silence counts only while it works for requests of this
// entry instance.
func (b *Backend) paceAt(now, pause time.Duration) float64 {
	b.paceMu.Lock()
	defer b.paceMu.Unlock()
	last := time.Duration(b.lastReceived.Load())
	if b.inFlight.Load() > b.unanswered.Load() && last != 0 {
		return b.pace.Silent(now, pause, now-last)
	}
	return b.pace.At(now)
}

// beginForecast records a request that waits for its first event.
func (a *attempt) beginForecast(now time.Duration) {
	s := a.req.scarce
	if s == nil {
		return
	}
	e := &s.model.engine
	all, urgent := a.req.handler.groupLoad(a.server.ID, a.backend)
	l := urgent
	if s.placement == scarcity.Deferred {
		l = all
		a.deferred = true
		a.backend.deferred.Add(1)
	}
	a.predicted = time.Duration(a.backend.paceAt(now, e.Pause(all)) * float64(e.FirstEvent(l, float64(a.req.prompt.Tokens))))
	a.forecastAt = now
	a.backend.unanswered.Add(1)
	a.backend.unansweredTokens.Add(int64(a.req.prompt.Tokens))
}

// endWaiting records that a request no longer waits for its first event.
func (a *attempt) endWaiting() {
	if a.forecastAt == 0 {
		return
	}
	a.forecastAt = 0
	a.backend.unanswered.Add(-1)
	a.backend.unansweredTokens.Add(-int64(a.req.prompt.Tokens))
	if a.deferred {
		a.backend.deferred.Add(-1)
	}
}

// recordFirstForecast compares the time to the first event with the forecast.
func (a *attempt) recordFirstForecast(now time.Duration) {
	if a.forecastAt == 0 {
		return
	}
	actual := now - a.forecastAt
	a.endWaiting()
	if a.req.scarce.placement == scarcity.Deferred {
		return
	}
	key := modelKey{a.req.service, a.req.model}
	k := a.req.handler.calibration
	k.mu.Lock()
	o := k.overhead(key)
	r := k.errors[key]
	if r == nil {
		r = &forecast.Errors{}
		k.errors[key] = r
	}
	r.Record(a.predicted+o.Mean(), actual)
	o.RecordFirst(a.predicted, actual)
	var log forecast.Errors
	if r.Total() >= forecastLogCount {
		log, *r = *r, forecast.Errors{}
	}
	overhead := o.Mean()
	k.mu.Unlock()
	if log.Total() > 0 && a.req.handler.opts.Log != nil {
		a.req.handler.opts.Log.WithFields(logrus.Fields{
			"model": key.model, "within": log.Within, "more": log.More, "overhead_ms": overhead.Milliseconds(),
		}).Info("forecast of first events")
	}
}

// recordPauseForecast compares a pause between events with the forecast.
func (a *attempt) recordPauseForecast(now time.Duration) {
	s := a.req.scarce
	if s == nil {
		return
	}
	all, _ := a.req.handler.groupLoad(a.server.ID, a.backend)
	all.Ahead--
	predicted := s.model.engine.Pause(all)
	a.backend.paceMu.Lock()
	a.backend.pace.RecordPause(now, predicted, now-a.lastProgress)
	a.backend.paceMu.Unlock()
}

// returnAfter returns when a request that has no place is asked to come back.
func (c *call) returnAfter(d time.Duration) time.Duration {
	if c.scarce == nil {
		return d
	}
	return scarcity.ReturnAfter(c.scarce.usual, c.timeLeft(), rand.Float64())
}

// scarceRequest returns the request as it is placed at a time. One that was sent before counts as
// one that came back.
func (c *call) scarceRequest(now time.Duration) scarcity.Request {
	r := c.scarce.request
	r.Age += now - c.start
	r.CameBack = r.CameBack || c.sendCount > 0
	return r
}

// setPriority fixes the placement and priority of the request for its next send.
func (s *scarce) setPriority(p scarcity.Placement) {
	s.placement = p
	s.priority = strconv.Itoa(s.model.classes.Priority(s.request, p))
}
