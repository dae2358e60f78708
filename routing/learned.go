package routing

import "time"

// Learned is what a table has learned about a group from earlier requests, except
// the prefix hints. A trace contains it, so that a replay starts in the same state.
type Learned struct {
	OwnInFlight     int           `json:"own,omitempty"`
	OthersInFlight  int           `json:"others,omitempty"`
	SlotTime        time.Duration `json:"hold_ns"`
	PrefillPerToken time.Duration `json:"per_token_ns"`
	PrefillSamples  int           `json:"samples,omitempty"`
	Straggler       bool          `json:"straggler,omitempty"`
}

// Learned returns what the table has learned about the group at an index.
func (t *Table) Learned(index int) Learned {
	s := t.groups[index]
	return Learned{
		OwnInFlight: s.ownInFlight, OthersInFlight: s.othersInFlight, SlotTime: s.slotTime,
		PrefillPerToken: s.prefill.perToken, PrefillSamples: s.prefill.samples, Straggler: s.prefill.straggler,
	}
}

// Restore sets what the table has learned about the group at an index.
func (t *Table) Restore(now time.Duration, index int, k Learned) {
	s := t.groups[index]
	if s.ownInFlight != k.OwnInFlight {
		s.ownInFlight = k.OwnInFlight
		s.recordOwnInFlight(now)
	}
	s.othersInFlight, s.slotTime = k.OthersInFlight, k.SlotTime
	s.prefill.perToken, s.prefill.samples, s.prefill.straggler = k.PrefillPerToken, k.PrefillSamples, k.Straggler
	t.updateTerms(s)
}
