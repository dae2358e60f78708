package route

import (
	"time"

	"github.com/bulrushfall/bulrushfall/internal/saturate"
)

// Engine describes how a group works: it processes all its requests in passes, each of
// which runs several token steps and reads prompts between them. Times are those of a
// model with a TimeFactor of 1. The zero value is an engine without known figures.
type Engine struct {
	// StepTime is the time of one token step, and StepTimePerRequest is added for each
	// request that is being answered.
	StepTime, StepTimePerRequest time.Duration
	// ContextTime is added to a step for each 1,000 tokens of context.
	ContextTime time.Duration
	// ReadRate is the number of prompt tokens read per second, and PairTime the
	// additional time for each million pairs of a token and an earlier one.
	ReadRate float64
	PairTime time.Duration
	// ChunkTokens bounds the prompt tokens that are read in a step, and StepsPerPass is
	// the number of steps in a pass.
	ChunkTokens, StepsPerPass int
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of a request.
	UsualPrompt, UsualAnswer float64
}

// tokensPerContextUnit and pairsPerUnit are the units of ContextTime and PairTime.
const (
	tokensPerContextUnit = 1000
	pairsPerUnit         = 1e6
)

// LongestPass returns the time of a pass of a full group whose steps all read as much of
// the prompts as they can, or 0 if the engine's figures are not known.
func (s *Service) LongestPass(model string) time.Duration {
	e := &s.Engine
	if e.StepsPerPass <= 0 || e.StepTime <= 0 {
		return 0
	}
	slots := float64(s.Slots)
	step := float64(e.StepTime) + slots*float64(e.StepTimePerRequest) +
		slots*(e.UsualPrompt+e.UsualAnswer)/tokensPerContextUnit*float64(e.ContextTime)
	if e.ReadRate > 0 {
		chunk := float64(e.ChunkTokens)
		step += chunk / e.ReadRate * float64(time.Second)
		step += chunk * (e.UsualPrompt + chunk/2) / pairsPerUnit * float64(e.PairTime)
	}
	return saturate.Duration(step*float64(e.StepsPerPass)*s.TimeFactor(model), time.Nanosecond)
}

// QueueTime returns how long a new request may wait for its first event at a group with
// the given number of other requests, beyond the passes that it takes itself: until the
// prompts of the others are read and, if the group is full, until some of them end.
func (s *Service) QueueTime(model string, others int) time.Duration {
	e := &s.Engine
	if e.ReadRate <= 0 || e.StepsPerPass <= 0 || s.Slots <= 0 {
		return 0
	}
	wait := float64(min(others, s.Slots)) * e.UsualPrompt / e.ReadRate * float64(time.Second) * s.TimeFactor(model)
	if excess := others - s.Slots + 1; excess > 0 {
		passes := e.UsualAnswer / float64(e.StepsPerPass)
		wait += float64(excess) / float64(s.Slots) * passes * float64(s.LongestPass(model))
	}
	return saturate.Duration(wait, time.Nanosecond)
}

// TimeFactor returns the factor for all durations of a group of a model.
func (s *Service) TimeFactor(model string) float64 {
	for _, m := range s.Models {
		if m.Name == model && m.TimeFactor > 0 {
			return m.TimeFactor
		}
	}
	return 1
}
