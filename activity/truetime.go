package activity

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the estimate of the true time.
const (
	// maxWallDifference is the largest difference of the wall clock from the estimate that
	// is taken as drift or as a correction of the time service. A larger one is a step of
	// the clock, which is ignored.
	maxWallDifference = 100 * time.Millisecond
	// wallWeight is the weight of a difference of the wall clock: 1 in wallWeight.
	wallWeight = 16
	// maxBehind and maxAhead are how far the estimate may be behind and ahead of the median
	// of the others' estimates. Delays of their messages can only make it look ahead. If all
	// instances followed late messages, their time would fall behind step by step.
	maxBehind = 250 * time.Millisecond
	maxAhead  = time.Second
	// minPeers is the number of others from which the median counts.
	minPeers = 2
	// peerPeriod is the time over which the largest estimate of another instance counts:
	// that with the least delay.
	peerPeriod = time.Second
	// maxSampleGap is the time between two samples from which this instance counts as
	// suspended. The estimates that it reads for staleTime afterwards have waited.
	maxSampleGap = 2 * time.Second
	staleTime    = 500 * time.Millisecond
	// maxTimePeers bounds the instances whose estimates are kept.
	maxTimePeers = 1024
)

// peerOffset holds the largest offsets of another instance's estimates in the present and
// the last period.
type peerOffset struct {
	period        int64
	present, last time.Duration
}

// TrueTime estimates the true time from the wall clock, a steady clock and the estimates
// of other entry instances. It answers wall clocks that step by seconds and back, also
// while the process starts, and machines that are suspended. Its steady clock is one that
// counts while the machine is suspended.
type TrueTime struct {
	offset time.Duration
	known  bool
	// sampledAt is when the clocks were last read. Estimates count from peersFrom.
	sampledAt, peersFrom time.Duration

	peers map[ident.InstanceID]*peerOffset
}

// NewTrueTime returns an estimate without samples.
func NewTrueTime() *TrueTime { return &TrueTime{peers: make(map[ident.InstanceID]*peerOffset)} }

// Now returns the estimate.
func (t *TrueTime) Now(steady time.Duration) time.Duration { return steady + t.offset }

// Sample applies a reading of both clocks and compares the estimate with those of the
// others. It returns the correction if the median of theirs is used.
func (t *TrueTime) Sample(steady, wall time.Duration) (correction time.Duration) {
	d := wall - steady - t.offset
	switch {
	case !t.known:
		t.offset, t.known = wall-steady, true
	case d.Abs() <= maxWallDifference:
		t.offset += d / wallWeight
	}
	if t.sampledAt != 0 && steady-t.sampledAt > maxSampleGap {
		t.peersFrom = steady + staleTime
		clear(t.peers)
	}
	t.sampledAt = steady
	period := int64(steady / peerPeriod)
	offsets := []time.Duration{t.offset}
	for id, p := range t.peers {
		switch {
		case period-p.period > 1:
			delete(t.peers, id)
		case period == p.period:
			offsets = append(offsets, max(p.present, p.last))
		default:
			offsets = append(offsets, p.present)
		}
	}
	if len(offsets) <= minPeers {
		return 0
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if d := median - t.offset; d > maxBehind || d < -maxAhead {
		t.offset = median
		return d
	}
	return 0
}

// Receive records the estimate that another entry instance sent and that was received now.
func (t *TrueTime) Receive(steady time.Duration, from ident.InstanceID, estimate time.Duration) {
	if steady < t.peersFrom {
		return
	}
	period, offset := int64(steady/peerPeriod), estimate-steady
	p, ok := t.peers[from]
	switch {
	case !ok && len(t.peers) >= maxTimePeers:
	case !ok:
		t.peers[from] = &peerOffset{period, offset, offset}
	case p.period == period:
		p.present = max(p.present, offset)
	case p.period == period-1:
		*p = peerOffset{period, offset, p.present}
	default:
		*p = peerOffset{period, offset, offset}
	}
}
