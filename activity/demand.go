package activity

import (
	"cmp"
	"slices"
	"time"
)

// Rates are the demand for a model a second.
type Rates struct {
	Arrivals     float64 `msgpack:"a"`
	Refused      float64 `msgpack:"f"`
	PromptTokens float64 `msgpack:"p"`
}

func (r Rates) plus(o Rates) Rates {
	return Rates{r.Arrivals + o.Arrivals, r.Refused + o.Refused, r.PromptTokens + o.PromptTokens}
}

// ratesOf returns the rates from the difference of two cumulative demands.
func ratesOf(from, to Demand, d time.Duration) Rates {
	s := d.Seconds()
	return Rates{
		Arrivals: float64(to.Requests-from.Requests) / s, Refused: float64(to.Refused-from.Refused) / s,
		PromptTokens: float64(to.PromptTokens-from.PromptTokens) / s,
	}
}

// ModelRates are the rates of a model, summed over entry instances.
type ModelRates struct {
	ModelKey
	Rates
	// Counted is the number of entry instances in the sum, and Expected that of live ones.
	Counted  int `msgpack:"n"`
	Expected int `msgpack:"-"`
	// Age is the age of the oldest sum.
	Age time.Duration `msgpack:"-"`
}

// modelRates returns the sums of the rates of runs that have reported recently.
func modelRates(now time.Duration, runs []*runState) []ModelRates {
	sums := make(map[ModelKey]*ModelRates)
	for _, s := range runs {
		if now-s.heardAt > freshTime || s.replaced {
			continue
		}
		for key, m := range s.models {
			sum, ok := sums[key]
			if !ok {
				sum = &ModelRates{ModelKey: key}
				sums[key] = sum
			}
			sum.Rates = sum.plus(m.rate)
			sum.Counted++
		}
	}
	out := make([]ModelRates, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b ModelRates) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return out
}
