// Package routing chooses the group, or the backend server of a plain service,
// for a request. Each policy is a small type. A Table keeps what one entry
// instance knows of the groups of one service: its own requests in flight, the
// engines' lagging reports, smoothed times, stragglers and an index of cached
// prompt prefixes. A choice allocates nothing. The caller serialises the
// methods of a Table.
package routing

import "time"

// Parameters of the choice.
const (
	// reportLag is the assumed age of a load report when its poll was sent.
	reportLag = 100 * time.Millisecond
	// smoothing is the weight of a new sample of a time.
	smoothing = 0.1
	// defaultPrefill is the time per prompt token before anything was measured.
	defaultPrefill = 100 * time.Microsecond
	// defaultHold is the time a request holds its slot before anything was
	// measured.
	defaultHold = 500 * time.Millisecond
	// localityCost is added for a group in another data centre of the region:
	// the one-way latency of 0.5 ms, there and back.
	localityCost = time.Millisecond
	// regionCost is added for a group in another region.
	regionCost = 30 * time.Millisecond
	// choiceSpread is how much worse than the best a group may score to be one
	// of the two random choices.
	choiceSpread = 0.1
	// choiceSlack is added to the spread, because differences of less than a
	// few milliseconds are below the error of the estimate.
	choiceSlack = 2 * time.Millisecond
	// meetSlack is the same for the choice by rendezvous score. It is wider than
	// the difference that a few requests make, so that entry instances with
	// reports of different age mostly agree. Up to 15 ms it did not change the
	// first-token times in the routing model.
	meetSlack = 10 * time.Millisecond
)
