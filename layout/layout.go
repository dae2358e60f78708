// Package layout decides how many instances of each fabric domain hold the weights of
// each model. A group lies within one domain, so the instances that a domain's groups
// leave over serve only to replace lost members. Domains of one model waste few of them
// if several groups fit; where a domain leaves much of itself over, a smaller model is
// better placed beside the larger one.
//
// The package is pure: Plan compares layouts by the groups that are expected to serve
// after a share of the instances, and possibly a whole domain, has been lost.
package layout

import (
	"math"
	"slices"
)

// Model is a model to be placed.
type Model struct {
	// Size is the number of instances in a group.
	Size int
	// Share is the model's fraction of the expected demand.
	Share float64
}

// Domain is a fabric domain.
type Domain struct {
	// Size is the number of usable instances.
	Size int
	// Held is the number of instances for each model that hold its weights already, and
	// keep them. It may be nil.
	Held []int
}

// Layout is the number of instances that hold each model, by domain and model.
type Layout [][]int

const (
	// LossShare is the fraction of the members that is expected to be lost before a
	// load from the weight store has made a loss good.
	LossShare = 0.1
	// domainLossWeight is the weight of the cases in which one domain is lost, relative
	// to the case in which none is.
	domainLossWeight = 0.25
	// minCapacity is added to each model's capacity, in instances. It bounds the
	// utility of a layout without a group of some model.
	minCapacity = 0.5
	// minGain is the least gain in utility for which a domain's pattern is changed.
	minGain = 1e-9
	// maxPatternSteps bounds the number of counts that are tried for each of three or
	// more models in a domain.
	maxPatternSteps = 32
)

// ExpectedGroups returns the number of groups that are expected to be complete among n
// instances that hold a model, after each member has been lost with probability
// lossShare. Instances outside of groups replace lost members.
func ExpectedGroups(n, size int, lossShare float64) float64 {
	if size <= 0 || n < size {
		return 0
	}
	mean := lossShare * float64(n/size*size)
	probability := math.Exp(-mean)
	expected, left := 0.0, 1.0
	for lost := 0; lost <= n-size; lost++ {
		expected += probability * float64((n-lost)/size)
		left -= probability
		if left < 1e-6 {
			break
		}
		probability *= mean / float64(lost+1)
	}
	return expected
}

// planner holds the inputs of one call of Plan and the tables made from them.
type planner struct {
	models []Model
	// capacity[m][n] is the expected capacity, in instances, of n instances that hold
	// model m in one domain.
	capacity [][]float64
	classes  []class
	total    float64
}

// class is a set of domains with the same size and holdings.
type class struct {
	Domain
	members  []int // indices of the domains
	patterns [][]int
	// count is the number of the class's domains with each pattern.
	count []int
}

// Plan returns the layout with the highest utility that a local search finds. It starts
// from layouts that follow simple rules, so the result is no worse than any of them.
func Plan(models []Model, domains []Domain) Layout {
	p := newPlanner(models, domains)
	if p == nil {
		return make(Layout, len(domains))
	}
	starts := []func(){p.startDedicated, p.startPacked}
	best, bestUtility := [][]int(nil), math.Inf(-1)
	for _, start := range starts {
		start()
		p.improve()
		if u := p.utility(); u > bestUtility {
			bestUtility, best = u, p.counts()
		}
	}
	return p.layout(best, len(domains))
}

// Utility returns the value by which Plan compares layouts: the logarithm of each model's
// expected capacity, weighted by its share, averaged over the losses of one domain.
func Utility(models []Model, domains []Domain, l Layout) float64 {
	p := newPlanner(models, domains)
	if p == nil {
		return 0
	}
	contributions := make([]contribution, 0, len(l))
	for _, counts := range l {
		contributions = append(contributions, contribution{counts, 1})
	}
	return p.utilityOf(contributions)
}

func newPlanner(models []Model, domains []Domain) *planner {
	if len(models) == 0 || len(domains) == 0 {
		return nil
	}
	p := &planner{models: models}
	largest := 0
	for i, d := range domains {
		largest = max(largest, d.Size)
		p.total += float64(d.Size)
		k := slices.IndexFunc(p.classes, func(c class) bool { return c.Size == d.Size && slices.Equal(c.Held, d.Held) })
		if k < 0 {
			k = len(p.classes)
			p.classes = append(p.classes, class{Domain: d})
		}
		p.classes[k].members = append(p.classes[k].members, i)
	}
	for _, m := range models {
		byCount := make([]float64, largest+1)
		for n := range byCount {
			byCount[n] = float64(m.Size) * ExpectedGroups(n, m.Size, LossShare)
		}
		p.capacity = append(p.capacity, byCount)
	}
	for k := range p.classes {
		p.classes[k].patterns = p.patterns(p.classes[k].Domain)
		p.classes[k].count = make([]int, len(p.classes[k].patterns))
	}
	return p
}

// patterns returns the ways to divide a domain's instances among the models.
func (p *planner) patterns(d Domain) [][]int {
	held := make([]int, len(p.models))
	copy(held, d.Held)
	free := d.Size
	for _, n := range held {
		free -= n
	}
	if free <= 0 {
		return [][]int{held}
	}
	step := 1
	if len(p.models) > 2 {
		step = max(1, free/maxPatternSteps)
	}
	var out [][]int
	var divide func(m, left int, counts []int)
	divide = func(m, left int, counts []int) {
		if m == len(p.models)-1 {
			counts[m] = held[m] + left
			out = append(out, slices.Clone(counts))
			return
		}
		for n := 0; n <= left; n += step {
			counts[m] = held[m] + n
			divide(m+1, left-n, counts)
		}
		if left%step != 0 {
			counts[m] = held[m] + left
			divide(m+1, 0, counts)
		}
	}
	divide(0, free, make([]int, len(p.models)))
	return out
}

// startDedicated gives each domain to the model that lacks most instances of its share.
func (p *planner) startDedicated() {
	p.clear()
	shortfall := make([]float64, len(p.models))
	for m, model := range p.models {
		shortfall[m] = model.Share * p.total
	}
	for k := range p.classes {
		c := &p.classes[k]
		for range c.members {
			m := maxIndex(shortfall)
			i := bestPattern(c.patterns, func(counts []int) float64 { return float64(counts[m]) })
			c.count[i]++
			for j, n := range c.patterns[i] {
				shortfall[j] -= float64(n)
			}
		}
	}
}

// startPacked gives each domain the pattern that serves best if all domains have it.
func (p *planner) startPacked() {
	p.clear()
	for k := range p.classes {
		c := &p.classes[k]
		i := bestPattern(c.patterns, func(counts []int) float64 {
			u := 0.0
			for m, model := range p.models {
				u += model.Share * math.Log(minCapacity+p.capacity[m][counts[m]])
			}
			return u
		})
		c.count[i] = len(c.members)
	}
}

func (p *planner) clear() {
	for k := range p.classes {
		clear(p.classes[k].count)
	}
}

// improve changes the pattern of one domain at a time as long as the utility grows.
func (p *planner) improve() {
	for u := p.utility(); ; {
		best, from, to, changed := u+minGain, 0, 0, -1
		for k := range p.classes {
			c := &p.classes[k]
			for i := range c.count {
				if c.count[i] == 0 {
					continue
				}
				for j := range c.patterns {
					if j == i {
						continue
					}
					c.count[i]--
					c.count[j]++
					if v := p.utility(); v > best {
						best, changed, from, to = v, k, i, j
					}
					c.count[i]++
					c.count[j]--
				}
			}
		}
		if changed < 0 {
			return
		}
		p.classes[changed].count[from]--
		p.classes[changed].count[to]++
		u = best
	}
}

// contribution is a number of domains with the same counts.
type contribution struct {
	counts  []int
	domains int
}

func (p *planner) utility() float64 {
	var contributions []contribution
	for k := range p.classes {
		for i, n := range p.classes[k].count {
			if n > 0 {
				contributions = append(contributions, contribution{p.classes[k].patterns[i], n})
			}
		}
	}
	return p.utilityOf(contributions)
}

func (p *planner) utilityOf(contributions []contribution) float64 {
	capacity := make([]float64, len(p.models))
	domains := 0
	for _, c := range contributions {
		domains += c.domains
		for m, n := range c.counts {
			capacity[m] += float64(c.domains) * p.capacity[m][n]
		}
	}
	whole, lost := 0.0, 0.0
	for m, model := range p.models {
		whole += model.Share * math.Log(minCapacity+capacity[m])
		for _, c := range contributions {
			lost += model.Share * float64(c.domains) * math.Log(minCapacity+max(0, capacity[m]-p.capacity[m][c.counts[m]]))
		}
	}
	return (1-domainLossWeight)*whole + domainLossWeight*lost/float64(max(1, domains))
}

// counts returns a copy of the number of domains with each pattern, by class.
func (p *planner) counts() [][]int {
	var out [][]int
	for _, c := range p.classes {
		out = append(out, slices.Clone(c.count))
	}
	return out
}

// layout assigns the patterns of each class to its domains.
func (p *planner) layout(counts [][]int, domains int) Layout {
	out := make(Layout, domains)
	for k, c := range p.classes {
		next := 0
		for i, n := range counts[k] {
			for range n {
				out[c.members[next]] = slices.Clone(c.patterns[i])
				next++
			}
		}
	}
	return out
}

func maxIndex(values []float64) int {
	best := 0
	for i, v := range values {
		if v > values[best] {
			best = i
		}
	}
	return best
}

func bestPattern(patterns [][]int, score func([]int) float64) int {
	best, bestScore := 0, math.Inf(-1)
	for i, counts := range patterns {
		if s := score(counts); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
