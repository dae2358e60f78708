package sizing

import (
	"math"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// passTime returns the mean time of a pass, in seconds, of a group with a number of slots in
// use, which includes the prompts that are read in it. It is 1 if the engine's figures are not known.
func passTime(s *route.Service, model string, slots float64) float64 {
	e := &s.Engine
	if e.StepsPerPass <= 0 || e.StepTime <= 0 {
		return 1
	}
	context := (e.UsualPrompt + e.UsualAnswer) / 1000 * e.ContextTime.Seconds()
	pass := float64(e.StepsPerPass) * (e.StepTime.Seconds() + slots*(e.StepTimePerRequest.Seconds()+context))
	if e.ReadRate > 0 {
		pass += slots / answerPasses(e) * e.UsualPrompt / e.ReadRate
	}
	return pass * timeFactor(s, model)
}

// answerPasses returns the number of passes that a usual answer takes.
func answerPasses(e *route.Engine) float64 { return max(1, e.UsualAnswer/float64(e.StepsPerPass)) }

func timeFactor(s *route.Service, model string) float64 {
	for _, m := range s.Models {
		if m.Name == model && m.TimeFactor > 0 {
			return m.TimeFactor
		}
	}
	return 1
}

// firstEventPasses is the number of passes until a first event: the rest of the pass under way,
// and the pass that reads the prompt and makes the event.
const firstEventPasses = 2

// usableSlots returns the number of slots that a group may have in use while first events and
// pauses are within what callers expect.
func usableSlots(s *route.Service, model string, goal, gap time.Duration) float64 {
	for n := s.Slots; n > 1; n-- {
		pass := passTime(s, model, float64(n))
		if s.Engine.StepTime <= 0 || ((goal <= 0 || firstEventPasses*pass <= goal.Seconds()) && (gap <= 0 || pass <= gap.Seconds())) {
			return float64(n)
		}
	}
	return 1
}

// plannedSlots returns the mean number of slots in use from which chance rarely fills a group:
// the number in use varies by its square root.
func plannedSlots(usable float64) float64 {
	root := (math.Sqrt(1+4*usable) - 1) / 2
	return max(usable/2, root*root)
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
