package forward

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/forecast"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/saturate"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/scarcity"
)

// forecastLogCount is the number of forecasts that a log line sums up.
const forecastLogCount = 50

// Names of the counters of deferral.
const (
	metricDeferred      = "requests_deferred_total"
	metricReturnRefused = "returned_requests_refused_total"
	metricForecasts     = "first_event_forecasts_total"
	metricForecastsGood = "first_event_forecasts_within_10_percent_total"
	metricForecastsFair = "first_event_forecasts_within_30_percent_total"
)

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
		classes, on := scarcity.ClassesOf(t, s.Name)
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

// observations is what this entry instance has seen of the requests for models whose services
// defer requests.
type observations struct {
	mu        sync.Mutex
	models    map[modelKey]*modelObservations
	deadlines map[string]*scarcity.Deadlines
}

type modelObservations struct {
	model forecast.Model
	lots  scarcity.Lots
	// goal is the shortest latency goal of the model's requests.
	goal   time.Duration
	errors forecast.Errors
}

func newObservations() *observations {
	return &observations{models: make(map[modelKey]*modelObservations), deadlines: make(map[string]*scarcity.Deadlines)}
}

// model returns the observations of a model. o.mu must be locked.
func (o *observations) model(key modelKey) *modelObservations {
	m := o.models[key]
	if m == nil {
		m = &modelObservations{}
		o.models[key] = m
	}
	return m
}

// forget drops the observations of routes and models that are no longer configured.
func (o *observations) forget(v *View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.models, func(key modelKey, _ *modelObservations) bool { return v.scarce[key] == nil })
	if len(o.deadlines) <= len(v.Routes.Routes) {
		return
	}
	kept := make(map[string]*scarcity.Deadlines)
	for i := range v.Routes.Routes {
		name := v.Routes.Routes[i].Name
		if d := o.deadlines[name]; d != nil {
			kept[name] = d
		}
	}
	o.deadlines = kept
}

// scarce is the state of a request to a service that defers requests.
type scarce struct {
	key     modelKey
	classes *scarcity.Classes
	// engine predicts the times of the model's groups, without the overhead.
	engine   forecast.Engine
	overhead time.Duration
	request  scarcity.Request
	usual    time.Duration
	// reserve is the number of places that groups of the model keep free.
	reserve   int
	placement scarcity.Placement
	priority  int
	// part is the request's place among those that its group takes.
	part float64
}

// classify prepares the placement of a request, if its service defers requests.
func (c *call) classify() {
	key := modelKey{c.service, c.model}
	m := c.view.scarce[key]
	if m == nil || !c.route.UsesGroups {
		return
	}
	stated := c.deadline - c.start
	s := &scarce{key: key, classes: &m.classes, placement: scarcity.Refused}
	s.request = scarcity.Request{Goal: c.route.LatencyGoal}
	rank, ranks := m.classes.Rank(route.UrgencyOf(c.route, c.account), c.route.Urgency)
	// The same request has the same place again, also at another entry instance: a caller that
	// repeats it at once gains nothing.
	content := rand.NewPCG(uint64(c.traits[0]), 0)
	point, floor := fraction(content.Uint64()), fraction(content.Uint64())
	o := c.handler.observations
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.deadlines[c.route.Name]
	if d == nil {
		d = &scarcity.Deadlines{}
		o.deadlines[c.route.Name] = d
	}
	s.usual = d.Observe(c.start, stated)
	s.request.Age, s.request.CameBack = scarcity.Age(s.usual, stated)
	seen := o.model(key)
	seen.model.RecordPrompt(c.prompt.Tokens)
	s.engine, s.overhead = seen.model.Apply(m.engine), seen.model.Overhead()
	if seen.goal == 0 || c.route.LatencyGoal < seen.goal {
		seen.goal = c.route.LatencyGoal
	}
	s.reserve = s.engine.Reserve(seen.goal, s.overhead)
	s.request.Lot = seen.lots.Draw(rank, ranks, point, floor)
	c.scarce = s
}

// fraction maps a number evenly to [0, 1).
func fraction(n uint64) float64 { return float64(n>>11) / (1 << 53) }

// deferredKey names the count of deferred requests at a backend server that it has not begun to
// answer, among the loads that entry instances send each other.
func deferredKey(id ident.InstanceID) ident.InstanceID { return id + "/deferred" }

// groupLoad returns the load of a group: all requests in flight, and those that run before a
// further urgent one.
func (h *Handler) groupLoad(id ident.InstanceID, b *Backend) (all, urgent forecast.Load) {
	all.Ahead = int(b.inFlight.Load()) + h.opts.Peers.InFlight(id)
	all.OwnUnanswered, all.OwnPromptTokens = int(b.unanswered.Load()), float64(b.unansweredTokens.Load())
	urgent = all
	urgent.Ahead = max(0, all.Ahead-int(b.deferred.Load())-h.opts.Peers.InFlight(b.deferredID))
	return all, urgent
}

// room returns what a group can do for the request.
func (c *call) room(s *fleet.Server, b *Backend, now time.Duration) scarcity.Room {
	e := &c.scarce.engine
	all, urgent := c.handler.groupLoad(s.ID, b)
	pause := e.Pause(all)
	pace := b.paceAt(now, pause)
	scaled := func(d time.Duration) time.Duration { return saturate.Duration(pace, d) }
	return scarcity.Room{
		FirstEvent:   c.scarce.overhead + scaled(e.FirstEvent(urgent, float64(c.prompt.Tokens))),
		UrgentWait:   scaled(e.PlaceWait(urgent.Ahead + c.scarce.reserve)),
		DeferredWait: scaled(e.PlaceWait(all.Ahead + c.scarce.reserve)),
		KeepsFree:    c.scarce.reserve > 0,
		Stream:       saturate.Duration(pace*e.Events(c.prompt.AnswerTokens), pause),
	}
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
	all, urgent := a.req.handler.groupLoad(a.server.ID, a.backend)
	if s.placement == scarcity.Deferred {
		a.deferred = true
		a.backend.deferred.Add(1)
		a.req.handler.count(metricDeferred)
	}
	pace := a.backend.paceAt(now, s.engine.Pause(all))
	a.predicted = saturate.Duration(pace, s.engine.FirstEventBefore(urgent, float64(a.req.prompt.Tokens), s.part))
	a.hasPlace = s.engine.PlaceWait(urgent.Ahead) == 0
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
	s := a.req.scarce
	if s.placement == scarcity.Deferred {
		return
	}
	o := a.req.handler.observations
	o.mu.Lock()
	seen := o.model(s.key)
	seen.errors.Record(a.predicted+seen.model.Overhead(), actual)
	if a.hasPlace {
		seen.model.RecordFirst(a.predicted, actual)
	}
	var sum forecast.Errors
	if seen.errors.Total() >= forecastLogCount {
		sum, seen.errors = seen.errors, forecast.Errors{}
	}
	overhead := seen.model.Overhead()
	o.mu.Unlock()
	if sum.Total() > 0 {
		a.req.handler.countForecasts(&sum)
	}
	if sum.Total() > 0 && a.req.handler.opts.Log != nil {
		a.req.handler.opts.Log.WithFields(logrus.Fields{
			"service": s.key.service, "model": s.key.model, "within": sum.Within, "more": sum.More, "overhead_ms": overhead.Milliseconds(),
		}).Info("forecast of first events")
	}
}

// countForecasts adds forecasts to the metrics.
func (h *Handler) countForecasts(e *forecast.Errors) {
	if h.opts.Metrics == nil {
		return
	}
	h.opts.Metrics.Scope.Counter(metricForecasts).Inc(int64(e.Total()))
	h.opts.Metrics.Scope.Counter(metricForecastsGood).Inc(int64(e.CountWithin(0.1)))
	h.opts.Metrics.Scope.Counter(metricForecastsFair).Inc(int64(e.CountWithin(0.3)))
}

// recordPauseForecast compares a pause between events with the forecast.
func (a *attempt) recordPauseForecast(now time.Duration) {
	s := a.req.scarce
	if s == nil {
		return
	}
	others := int(a.backend.inFlight.Load()) - 1 + a.req.handler.opts.Peers.InFlight(a.server.ID)
	predicted := s.engine.Pause(forecast.Load{Ahead: others})
	a.backend.paceMu.Lock()
	a.backend.pace.RecordPause(now, predicted, now-a.lastProgress)
	a.backend.paceMu.Unlock()
}

// recordStreamLength records the number of events of a whole stream.
func (c *call) recordStreamLength(events int64) {
	if c.scarce == nil {
		return
	}
	o := c.handler.observations
	o.mu.Lock()
	o.model(c.scarce.key).model.RecordEvents(int(events))
	o.mu.Unlock()
}

// returnAfter returns when a request that has no place is asked to come back.
func (c *call) returnAfter(d time.Duration) time.Duration {
	if c.scarce == nil {
		return d
	}
	if c.scarce.request.CameBack {
		c.handler.count(metricReturnRefused)
	}
	return scarcity.ReturnAfter(c.scarce.usual, c.timeLeft(), rand.Float64())
}

// scarceRequest returns the request as it is placed at a time.
func (c *call) scarceRequest(now time.Duration) scarcity.Request {
	r := c.scarce.request
	r.Age += now - c.start
	r.TimeLeft = c.deadline - now
	// One that was sent before and is late by now has waited like one that came back.
	r.CameBack = r.CameBack || (c.sendCount > 0 && r.Age >= r.Goal)
	r.Begun = c.eventsSent
	return r
}

// setPlacement fixes the placement and priority of the request for its next send.
func (s *scarce) setPlacement(r scarcity.Request, p scarcity.Placement, room scarcity.Room) {
	s.placement, s.priority, s.part = p, scarcity.Priority(r, p, room), scarcity.Part(r, room)
}

// priorityHeader returns the value of the priority header.
func (s *scarce) priorityHeader() string { return strconv.Itoa(s.priority) }
