// Package routing chooses the group, or the backend server of a plain service,
// that runs a request. Policy is the interface of the routing policies. A Table
// holds the data that one entry instance has about the groups of one service: its
// own requests in flight, the delayed load reports of the engines, smoothed
// response times, stragglers and an index of cached prompt prefixes. Copies tracks
// requests with equal content, and EventRelay distributes cache events. Picking a
// group allocates no memory. The caller serialises the methods of each type.
package routing

import "time"

// Parameters of the policies.
const (
	// assumedReportAge is how old the data in a load report is assumed to be at the
	// time when its poll was sent.
	assumedReportAge = 100 * time.Millisecond
	// smoothing is the weight of a new sample in an exponential moving average.
	smoothing = 0.1
	// defaultPrefillPerToken is the prefill time per prompt token before the first
	// measurement.
	defaultPrefillPerToken = 100 * time.Microsecond
	// defaultSlotTime is the time for which a request occupies its slot before the
	// first measurement.
	defaultSlotTime = 500 * time.Millisecond
	// otherDataCentreCost is added for a group in another data centre of the region:
	// a round trip with 0.5 ms one-way latency.
	otherDataCentreCost = time.Millisecond
	// otherRegionCost is added for a group in another region.
	otherRegionCost = 30 * time.Millisecond
	// candidateSpread is the fraction by which a group's score may exceed the best
	// one for the group to be a candidate.
	candidateSpread = 0.1
	// candidateSlack is added to the spread for a random choice, because differences
	// of less than a few milliseconds are below the error of the estimate.
	candidateSlack = 2 * time.Millisecond
	// rendezvousSlack is added to the spread for a choice by rendezvous score. It is
	// larger than the difference that a few requests make, so that entry instances
	// with load reports of different age usually choose the same group. Values up to
	// 15 ms did not change the first-token times in the routing model.
	rendezvousSlack = 10 * time.Millisecond
)
