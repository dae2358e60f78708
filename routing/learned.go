package routing

import "time"

// Learned is what a table learned about a group from earlier requests, apart
// from its prefix hints. A trace carries it, so that a replay starts with it.
type Learned struct {
	Own       int           `json:"own,omitempty"`
	Others    int           `json:"others,omitempty"`
	Hold      time.Duration `json:"hold_ns"`
	PerToken  time.Duration `json:"per_token_ns"`
	Samples   int           `json:"samples,omitempty"`
	Straggler bool          `json:"straggler,omitempty"`
}

// Learned returns what is known about the group at an index.
func (t *Table) Learned(index int) Learned {
	s := t.groups[index]
	return Learned{
		Own: s.own, Others: s.others, Hold: s.hold,
		PerToken: s.slow.perToken, Samples: s.slow.samples, Straggler: s.slow.is,
	}
}

// Restore sets what is known about the group at an index.
func (t *Table) Restore(now time.Duration, index int, k Learned) {
	s := t.groups[index]
	if s.own != k.Own {
		s.own = k.Own
		s.note(now)
	}
	s.others, s.hold = k.Others, k.Hold
	s.slow.perToken, s.slow.samples, s.slow.is = k.PerToken, k.Samples, k.Straggler
	t.settle(s)
}
