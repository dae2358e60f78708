package scarcity

// Parameters of lots.
const (
	// rankWeight is the weight of a new request in the shares of the ranks.
	rankWeight = 1.0 / 64
	// floorShare is the share of the requests of each rank that take part without regard to it, so
	// that no rank is starved.
	floorShare = 0.15
)

// Lots gives the requests for a model their places: those of a more urgent rank come first, and
// those of one rank have random places. The places of all requests are spread evenly over 0 to 1.
type Lots struct {
	shares []float64
}

// Draw returns the place of a request of the rank with the given index. point and floor are random
// numbers in [0, 1).
func (l *Lots) Draw(rank, ranks int, point, floor float64) float64 {
	if len(l.shares) != ranks {
		l.shares = make([]float64, ranks)
		for i := range l.shares {
			l.shares[i] = 1 / float64(ranks)
		}
	}
	before := 0.0
	for i := range l.shares {
		target := 0.0
		if i == rank {
			target = 1
		}
		l.shares[i] += rankWeight * (target - l.shares[i])
		if i < rank {
			before += l.shares[i]
		}
	}
	if floor < floorShare {
		return point
	}
	return before + point*l.shares[rank]
}
