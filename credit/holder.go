package credit

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Errors of Acquire.
var (
	// ErrNoCredit means that the allocation is used up, ended or absent.
	ErrNoCredit = errors.New("no concurrency credit is free: wait for a release or the next sync")
	// ErrTooManyTokens means that the request exceeds the backend server's
	// whole token limit.
	ErrTooManyTokens = errors.New("request holds more context tokens than a backend server bears: shorten the prompt or max_tokens")
)

// Credit is the right to run one request on one incarnation of a backend
// server. Release it once with Holder.Release.
type Credit struct {
	Backend BackendID
	// Incarnation is the only one that the request may be sent to.
	Incarnation string
	// Cold tells that the credit was given under the cold limit.
	Cold bool
	id   uint64
}

// Valid reports whether the credit came from Acquire.
func (c Credit) Valid() bool { return c.id != 0 }

// held is one acquisition.
type held struct {
	backend     BackendID
	incarnation string
	tokens      int
}

// floorMark is the least number in flight since a sync was sent.
type floorMark struct {
	seq   uint64
	floor int
}

// holding is the holder's state for one backend server.
type holding struct {
	incarnation string
	amount      Amount
	end         time.Duration
	cold        bool
	exclusive   bool
	// suspect is the credit of the suspect that runs, or 0.
	suspect   uint64
	reserve   Amount
	reserveAt time.Duration // end of the reserve
	rampEnd   time.Duration

	inFlight      Amount
	waiting       Amount
	wantExclusive bool
	// grantedAt is when the sync of the last applied reply was sent.
	grantedAt time.Duration
	changed   bool
	changedAt time.Duration
	marks     []floorMark
}

// Holder gives credits to the requests of one entry instance. The caller
// serialises its methods.
type Holder struct {
	entry       ident.InstanceID
	incarnation ident.Incarnation
	seq         uint64
	epoch       ident.Epoch
	acked       uint64
	nextID      uint64
	sentAt      map[uint64]time.Duration
	backends    map[BackendID]*holding
	acquired    map[uint64]held
}

// NewHolder returns a holder without allocations.
func NewHolder(entry ident.InstanceID, incarnation ident.Incarnation) *Holder {
	return &Holder{
		entry:       entry,
		incarnation: incarnation,
		sentAt:      make(map[uint64]time.Duration),
		backends:    make(map[BackendID]*holding),
		acquired:    make(map[uint64]held),
	}
}

func (h *Holder) holding(b BackendID) *holding {
	s, ok := h.backends[b]
	if !ok {
		s = &holding{}
		h.backends[b] = s
	}
	return s
}

// Track makes a backend server part of the next syncs.
func (h *Holder) Track(b BackendID) { h.holding(b) }

// Retain ends the use of backend servers that are not kept and run nothing.
func (h *Holder) Retain(keep func(BackendID) bool) {
	for b, s := range h.backends {
		if !keep(b) && s.inFlight.Requests == 0 {
			delete(h.backends, b)
		}
	}
}

// SetWaiting tells what waits for credits of a backend server, and whether a
// suspect waits or runs there.
func (h *Holder) SetWaiting(b BackendID, waiting Amount, exclusive bool) {
	s := h.holding(b)
	s.waiting, s.wantExclusive = waiting, exclusive
}

// Acquire takes a credit. Confirmed tells that this entry instance itself has
// just confirmed every member; only then may the reserve be used.
func (h *Holder) Acquire(now time.Duration, b BackendID, tokens int, confirmed bool) (Credit, error) {
	s, ok := h.backends[b]
	if !ok {
		return Credit{}, ErrNoCredit
	}
	limit := s.usable(now, confirmed)
	after := s.inFlight.add(Amount{1, tokens})
	if after.Requests > limit.Requests || after.Tokens > limit.Tokens {
		return Credit{}, ErrNoCredit
	}
	return h.take(b, s, tokens), nil
}

// AcquireExclusive takes a credit for a suspect. At most one suspect runs on a
// backend server at a time, over all entry instances; other requests run beside
// it.
func (h *Holder) AcquireExclusive(now time.Duration, b BackendID, tokens int) (Credit, error) {
	s, ok := h.backends[b]
	if !ok || now >= s.end || !s.exclusive || s.suspect != 0 {
		return Credit{}, ErrNoCredit
	}
	after := s.inFlight.add(Amount{1, tokens})
	if after.Requests > s.amount.Requests || after.Tokens > s.amount.Tokens {
		return Credit{}, ErrNoCredit
	}
	c := h.take(b, s, tokens)
	s.suspect = c.id
	return c, nil
}

func (h *Holder) take(b BackendID, s *holding, tokens int) Credit {
	h.nextID++
	s.inFlight = s.inFlight.add(Amount{1, tokens})
	h.acquired[h.nextID] = held{b, s.incarnation, tokens}
	return Credit{Backend: b, Incarnation: s.incarnation, Cold: s.cold, id: h.nextID}
}

// usable is the bound on requests in flight at an instant.
func (s *holding) usable(now time.Duration, confirmed bool) Amount {
	if now < s.end {
		return s.amount
	}
	if confirmed && now < s.reserveAt {
		return s.reserve
	}
	return Amount{}
}

// Release gives a credit back. A second release of the same credit does
// nothing, and so does one whose incarnation ended.
func (h *Holder) Release(c Credit) {
	a, ok := h.acquired[c.id]
	if !ok {
		return
	}
	delete(h.acquired, c.id)
	s, ok := h.backends[a.backend]
	if !ok {
		return
	}
	if s.suspect == c.id {
		s.suspect = 0
	}
	if s.incarnation != a.incarnation {
		return
	}
	s.inFlight = s.inFlight.sub(Amount{1, a.tokens})
	for i := range s.marks {
		s.marks[i].floor = min(s.marks[i].floor, s.inFlight.Requests)
	}
}

// Observe applies what this entry instance saw itself at an instant, when
// dialling or by a poll. It reports whether the holder should sync at once. What
// was seen before the last applied allocation was asked for is out of date.
func (h *Holder) Observe(now time.Duration, b BackendID, incarnation string, cold bool) bool {
	s := h.holding(b)
	if now <= s.grantedAt && s.grantedAt > 0 {
		return false
	}
	if s.incarnation == "" {
		s.incarnation, s.cold = incarnation, cold
		return true
	}
	restarted := incarnation != s.incarnation
	if !restarted && (!cold || s.cold) {
		return false
	}
	s.amount, s.reserve, s.exclusive = Amount{}, Amount{}, false
	s.end, s.reserveAt = 0, 0
	s.changed, s.changedAt = true, now
	s.cold = cold
	if restarted {
		s.move(incarnation, h.count(b, incarnation))
	}
	return true
}

// move switches to another incarnation.
func (s *holding) move(incarnation string, inFlight Amount) {
	s.incarnation = incarnation
	s.inFlight = inFlight
	s.marks = s.marks[:0]
}

// count sums the acquisitions of one incarnation.
func (h *Holder) count(b BackendID, incarnation string) Amount {
	var sum Amount
	for _, a := range h.acquired {
		if a.backend == b && a.incarnation == incarnation {
			sum = sum.add(Amount{1, a.tokens})
		}
	}
	return sum
}

// maxOutstanding bounds the syncs whose replies may still come. Later replies
// would have expired at that age.
const maxOutstanding = 32

// NextSync returns the next message to the owner.
func (h *Holder) NextSync(now time.Duration) Sync {
	h.seq++
	h.sentAt[h.seq] = now
	delete(h.sentAt, h.seq-maxOutstanding)
	out := Sync{
		Entry: h.entry, Incarnation: h.incarnation, Seq: h.seq, Sent: now,
		Epoch: h.epoch, Acked: h.acked, Usage: make([]Usage, 0, len(h.backends)),
	}
	for b, s := range h.backends {
		out.Usage = append(out.Usage, s.usage(now, b, h.seq))
	}
	slices.SortFunc(out.Usage, func(a, b Usage) int { return strings.Compare(string(a.Backend), string(b.Backend)) })
	return out
}

func (s *holding) usage(now time.Duration, b BackendID, seq uint64) Usage {
	u := Usage{
		Backend: b, Incarnation: s.incarnation, InFlight: s.inFlight, Floor: 0,
		Demand: s.inFlight.add(s.waiting), Exclusive: s.wantExclusive, Changed: s.changed,
		RampLeft: max(0, s.rampEnd-now),
	}
	if s.changed {
		u.ChangedAge = now - s.changedAt
	}
	if now < s.reserveAt {
		u.Reserve, u.ReserveLeft = s.reserve, s.reserveAt-now
	}
	if len(s.marks) > 0 {
		u.Floor = s.marks[0].floor
	}
	if len(s.marks) == maxOutstanding {
		s.marks = append(s.marks[:1], s.marks[2:]...)
	}
	s.marks = append(s.marks, floorMark{seq, s.inFlight.Requests})
	return u
}

// ApplyReply applies the owner's answer. A reply that is older than one already
// applied, or whose sync is unknown, is ignored.
func (h *Holder) ApplyReply(now time.Duration, r Reply) {
	sent, ok := h.sentAt[r.Seq]
	if !ok || r.Epoch < h.epoch || (r.Epoch == h.epoch && r.Seq <= h.acked) {
		return
	}
	h.epoch, h.acked = r.Epoch, r.Seq
	for _, a := range r.Allocations {
		if s, ok := h.backends[a.Backend]; ok {
			h.apply(s, a, sent)
		}
	}
	for _, s := range h.backends {
		for len(s.marks) > 1 && s.marks[1].seq <= r.Seq {
			s.marks = s.marks[1:]
		}
	}
}

func (h *Holder) apply(s *holding, a Allocation, sent time.Duration) {
	if s.changed && sent <= s.changedAt {
		return // the owner did not know of the cold start
	}
	if a.Incarnation != s.incarnation {
		s.move(a.Incarnation, h.count(a.Backend, a.Incarnation))
		s.reserve, s.reserveAt = Amount{}, 0
	}
	s.changed, s.grantedAt = false, sent
	s.amount, s.end = a.Amount, sent+AllocationTTL
	s.cold, s.exclusive = a.Cold, a.Exclusive
	s.rampEnd = sent + a.RampLeft
	if !a.KeepReserve {
		s.reserve, s.reserveAt = a.Reserve, sent+ReserveTTL
	}
}

// FreeCredits is how many more requests Acquire would accept for a backend server.
func (h *Holder) FreeCredits(now time.Duration, b BackendID, confirmed bool) int {
	s, ok := h.backends[b]
	if !ok {
		return 0
	}
	return max(0, s.usable(now, confirmed).Requests-s.inFlight.Requests)
}

// HasAllocation reports whether this entry instance may run anything on a backend
// server, however much runs there now.
func (h *Holder) HasAllocation(now time.Duration, b BackendID, confirmed bool) bool {
	s, ok := h.backends[b]
	return ok && s.usable(now, confirmed).Requests > 0
}

// AllocationUsedUp reports whether what runs uses up the allocation, so that the owner
// learns of a release only by a sync.
func (h *Holder) AllocationUsedUp(b BackendID) bool {
	s, ok := h.backends[b]
	return ok && s.inFlight.Requests >= s.amount.Requests
}

// InFlight is the number of unreleased credits of the current incarnation.
func (h *Holder) InFlight(b BackendID) int {
	if s, ok := h.backends[b]; ok {
		return s.inFlight.Requests
	}
	return 0
}

// Incarnation is the one that credits of a backend server are for.
func (h *Holder) Incarnation(b BackendID) string {
	if s, ok := h.backends[b]; ok {
		return s.incarnation
	}
	return ""
}

// Acquired is the number of unreleased credits of all incarnations.
func (h *Holder) Acquired() int { return len(h.acquired) }
