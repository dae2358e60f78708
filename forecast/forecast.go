// Package forecast predicts when a group of backend servers sends the first event of a
// request, and how long it pauses between the events of its streams.
//
// The load that it answers: at peaks, requests sent to a group whose prompts and writers
// already use the time up to the latency goal are all late. The number of requests in flight
// alone does not show that, because a group's time depends on prompt tokens, writers and its
// own pace.
//
// The figures of the engine give the form of the prediction. Each entry instance calibrates it
// with the events of its own streams: a pace for each group (Pace) and the time that a model
// needs besides (Overhead).
package forecast

import (
	"time"

	"github.com/bulrushfall/bulrushfall/internal/saturate"
	"github.com/bulrushfall/bulrushfall/route"
)

// Engine predicts the times of the groups of one model. The zero value predicts nothing.
type Engine struct {
	// pass is the time of a pass without requests, and perWriter the time that each
	// writing request adds to it.
	pass, perWriter float64
	// perToken is the time to read a prompt token.
	perToken float64
	// passes is the number of passes that a usual request writes in, prompt its prompt
	// tokens and slots the number of requests that run at once.
	passes, prompt, slots float64
	// steps is the number of tokens that a request writes in a pass.
	steps float64
}

// reservePart is the part of the slots that Reserve keeps free. A group of that many requests less
// completes 5 to 10 of 100 requests less, as its passes are shorter.
const reservePart = 6

// tokensPerContextUnit and pairsPerUnit are the units of the engine's figures.
const (
	tokensPerContextUnit = 1000
	pairsPerUnit         = 1e6
)

// NewEngine returns the predictor for a model of a service. It is not Known if the service
// states no figures of its engine.
func NewEngine(s *route.Service, model string) Engine {
	f := &s.Engine
	if f.StepTime <= 0 || f.StepsPerPass <= 0 || f.ReadRate <= 0 || s.Slots <= 0 {
		return Engine{}
	}
	factor := s.TimeFactor(model)
	steps := float64(f.StepsPerPass)
	context := (f.UsualPrompt + f.UsualAnswer/2) / tokensPerContextUnit * float64(f.ContextTime)
	return Engine{
		pass:      factor * steps * float64(f.StepTime),
		perWriter: factor * steps * (float64(f.StepTimePerRequest) + context),
		perToken:  factor * (float64(time.Second)/f.ReadRate + f.UsualPrompt/2/pairsPerUnit*float64(f.PairTime)),
		passes:    max(1, f.UsualAnswer/steps),
		prompt:    f.UsualPrompt,
		slots:     float64(s.Slots),
		steps:     steps,
	}
}

// Events returns the expected number of events of an answer of the given number of tokens, or of a
// usual one if that is 0. A pass sends one event.
func (e Engine) Events(tokens int) float64 {
	if tokens <= 0 {
		return e.passes
	}
	return float64(tokens) / e.steps
}

// Known reports whether the engine's figures are known.
func (e Engine) Known() bool { return e.slots > 0 }

// Load is what is known of the requests at a group.
type Load struct {
	// Ahead is the number of requests in flight that run before a further one, including
	// those of other entry instances.
	Ahead int
	// OwnUnanswered is the number of this entry instance's requests that wait for their first
	// event, and OwnPromptTokens the sum of their prompts.
	OwnUnanswered   int
	OwnPromptTokens float64
}

// Pause returns the time between two events of a stream.
func (e Engine) Pause(l Load) time.Duration {
	n := min(float64(l.Ahead)+1, e.slots)
	return time.Duration(e.pass + n*e.perWriter + n/e.passes*e.prompt*e.perToken)
}

// FirstEvent returns the time to the first event of a further request with a prompt of the
// given number of tokens, or with a usual prompt if that is 0. It waits for a place, for the
// pass under way, and for the pass that reads the prompt.
func (e Engine) FirstEvent(l Load, promptTokens float64) time.Duration {
	if promptTokens <= 0 {
		promptTokens = e.prompt
	}
	pause := float64(e.Pause(l))
	// The usual prompts of a pass are part of it; this entry instance knows its own better.
	own := l.OwnPromptTokens - float64(l.OwnUnanswered)*e.prompt
	reading := max(0, own) + promptTokens
	return saturate.Duration(1.5*pause+reading*e.perToken, time.Nanosecond) + e.PlaceWait(l.Ahead)
}

// FirstEventBefore returns the time to the first event of a request that runs before some of those
// ahead of it: it has the given part of the places that the group's requests compete for, 1 being
// the last. A request waits only for those with better places, at most as long as for all.
func (e Engine) FirstEventBefore(l Load, promptTokens, part float64) time.Duration {
	all := e.PlaceWait(l.Ahead)
	if all == 0 || part >= 1 {
		return e.FirstEvent(l, promptTokens)
	}
	own := time.Duration((1 + part/(2*(1-part))) / e.Turnover() * float64(time.Second))
	return e.FirstEvent(l, promptTokens) - all + min(all, own)
}

// Reserve returns the number of places that a group keeps free so that further requests reach their
// goal: none if those that wait for the next pass still reach it.
func (e Engine) Reserve(goal, overhead time.Duration) int {
	full := Load{Ahead: int(e.slots) - 1}
	if goal <= 0 || overhead+e.FirstEvent(full, 0)+e.Pause(full) <= goal {
		return 0
	}
	return int(e.slots / reservePart)
}

// PlaceWait returns how long a request waits for a place behind the given number of others.
func (e Engine) PlaceWait(ahead int) time.Duration {
	excess := float64(ahead) + 1 - e.slots
	if excess <= 0 {
		return 0
	}
	return saturate.Duration(excess/e.Turnover(), time.Second)
}

// Turnover returns the number of usual requests that a full group completes in a second.
func (e Engine) Turnover() float64 {
	residence := e.passes*(e.pass+e.slots*e.perWriter) + e.slots*e.prompt*e.perToken
	return e.slots / residence * float64(time.Second)
}
