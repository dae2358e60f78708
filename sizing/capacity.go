package sizing

import (
	"math"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// work is the work of a request at the engine, in seconds and tokens.
type work struct {
	engine *route.Engine
	factor float64
	// prompt is the number of tokens of a prompt, passes the number of passes of an answer.
	prompt, passes float64
	answer         float64
}

// usualWork returns the work of a usual request of the service.
func usualWork(s *route.Service, m route.Model) work {
	w := work{engine: &s.Engine, factor: m.TimeFactor, prompt: s.Engine.UsualPrompt, answer: s.Engine.UsualAnswer, passes: 1}
	if w.factor <= 0 {
		w.factor = 1
	}
	if s.Engine.StepsPerPass > 0 {
		w.passes = max(1, w.answer/float64(s.Engine.StepsPerPass))
	}
	return w
}

// known reports whether the engine's figures are configured.
func (w *work) known() bool { return w.engine.StepsPerPass > 0 && w.engine.StepTime > 0 }

// reading returns the time to read a prompt.
func (w *work) reading() float64 {
	if w.engine.ReadRate <= 0 {
		return 0
	}
	return w.factor * (w.prompt/w.engine.ReadRate + w.prompt*w.prompt/1e6*w.engine.PairTime.Seconds())
}

// steps returns the time of a pass without prompts, and what each slot in use adds.
func (w *work) steps() (base, perSlot float64) {
	k := w.factor * float64(w.engine.StepsPerPass)
	context := (w.prompt + w.answer) / 1000 * w.engine.ContextTime.Seconds()
	return k * w.engine.StepTime.Seconds(), k * (w.engine.StepTimePerRequest.Seconds() + context)
}

// pass returns the time of a pass of a group that gets a rate of requests and has a number of
// slots in use. Reading takes its share of the time.
func (w *work) pass(rate, slots float64) float64 {
	if !w.known() {
		return 1
	}
	base, perSlot := w.steps()
	return (base + slots*perSlot) / max(minWritingShare, 1-rate*w.reading())
}

// minWritingShare bounds the time of a pass of an overloaded group.
const minWritingShare = 0.05

// slots returns the number of slots in use of a group that gets a rate of requests.
func (w *work) slots(rate float64) float64 {
	base, perSlot := w.steps()
	left := 1 - rate*w.reading() - rate*w.passes*perSlot
	if left <= 0 {
		return math.Inf(1)
	}
	return rate * w.passes * base / left
}

// rate returns the rate of requests with which a group has a number of slots in use, or the
// lower one with which first events and pauses are within what callers expect. The first event
// takes the rest of the pass under way, the prompt, and a pass. Without figures of the engine a
// request is taken to last a second.
func (w *work) rate(slots float64, goal, gap time.Duration) float64 {
	if !w.known() {
		return slots
	}
	low, high := 0.0, slots/w.passes/w.pass(0, 0)
	for range bisections {
		mid := (low + high) / 2
		n := w.slots(mid)
		pass := w.pass(mid, n)
		switch {
		case n > slots, goal > 0 && 2*pass+w.reading() > goal.Seconds(), gap > 0 && pass > gap.Seconds():
			high = mid
		default:
			low = mid
		}
	}
	return max(low, high/2)
}

// bisections is the number of steps in which rate is found.
const bisections = 30

// plannedSlots returns the mean number of slots in use from which chance rarely fills a group:
// the number in use varies by its square root, twice which is kept free.
func plannedSlots(slots int) float64 {
	root := math.Sqrt(1+float64(slots)) - 1
	return max(float64(slots)/2, root*root)
}

// centresOf returns the data centres in order.
func centresOf(in *Input) []ident.DataCentre {
	var out []ident.DataCentre
	for _, s := range in.Servers {
		if !slices.Contains(out, s.DataCentre) {
			out = append(out, s.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// staying returns the servers of a data centre that do not leave.
func (in *Input) staying(dc ident.DataCentre, leaving map[ident.InstanceID]bool) []Server {
	var out []Server
	for _, s := range in.Servers {
		if s.DataCentre == dc && !leaving[s.ID] {
			out = append(out, s)
		}
	}
	return out
}

// unloaded returns the number of servers that hold and load nothing yet.
func (in *Input) unloaded(leaving map[ident.InstanceID]bool) int {
	n := 0
	for _, s := range in.Servers {
		if s.Model == "" && !leaving[s.ID] {
			n++
		}
	}
	return n
}

func (in *Input) holders(model string, leaving map[ident.InstanceID]bool) map[ident.Domain]int {
	held := make(map[ident.Domain]int)
	for _, s := range in.Servers {
		if s.Model == model && !leaving[s.ID] {
			held[s.Domain]++
		}
	}
	return held
}

// possibleGroups returns the number of groups that the staying holders of a model can form.
func (in *Input) possibleGroups(model string, size int, leaving map[ident.InstanceID]bool) int {
	total := 0
	for _, n := range in.holders(model, leaving) {
		total += n / max(1, size)
	}
	return total
}

// largestDomainShare returns the largest part of a model's groups that are in one domain.
func (in *Input) largestDomainShare(model string, size, groups int) float64 {
	most := 0
	for _, n := range in.holders(model, nil) {
		most = max(most, n/max(1, size))
	}
	return min(0.5, float64(most)/float64(max(1, groups)))
}

func maxSize(s *route.Service) int {
	n := 1
	for _, m := range s.Models {
		n = max(n, m.Size)
	}
	return n
}

func minSize(s *route.Service) int {
	n := maxSize(s)
	for _, m := range s.Models {
		n = min(n, max(1, m.Size))
	}
	return n
}
