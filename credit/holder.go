package credit

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Errors of Acquire and AcquireExclusive.
var (
	// ErrNoCredit means that the allocation is used up, has ended or does not exist,
	// or that AcquireExclusive may not start a suspect on the backend server now.
	ErrNoCredit = errors.New("no concurrency credit is free: wait for a release or the next sync")
	// ErrTooManyTokens means that the request alone exceeds the token limit of the
	// backend server.
	ErrTooManyTokens = errors.New("request exceeds the context token limit of a backend server: shorten the prompt or max_tokens")
)

// Credit permits one request to run on one incarnation of a backend server.
// Give it back once with Holder.Release.
type Credit struct {
	Backend BackendID
	// Incarnation is the only incarnation that the request may be sent to.
	Incarnation string
	// Cold is true if the credit was issued under the cold limit.
	Cold bool
	id   uint64
}

// Valid reports whether Acquire or AcquireExclusive returned the credit.
func (c Credit) Valid() bool { return c.id != 0 }

// acquisition is what the holder records about an unreleased credit.
type acquisition struct {
	backend     BackendID
	incarnation string
	tokens      int
}

// floorMark is the least number of requests in flight since a sync was sent.
type floorMark struct {
	seq   uint64
	floor int
}

// backendState is the holder's state for one backend server.
type backendState struct {
	incarnation string
	// allocated is what may be in flight until allocationEnd.
	allocated     Amount
	allocationEnd time.Duration
	cold          bool
	// exclusive is true if the allocation permits a suspect.
	exclusive bool
	// suspectID is the credit ID of the suspect that is running, or 0.
	suspectID uint64
	// reserve is what may be in flight after the allocation ended, until reserveEnd.
	reserve    Amount
	reserveEnd time.Duration
	// rampEnd is when the ramp ends, in which the owner raises the limit after a cold
	// start. A new owner learns it from the syncs.
	rampEnd time.Duration

	inFlight Amount
	// waiting is what the requests that wait for credits need. wantExclusive is true
	// if a suspect waits or runs.
	waiting       Amount
	wantExclusive bool
	// appliedSyncSent is when the sync of the last applied reply was sent.
	appliedSyncSent time.Duration
	// changeObserved is true after Observe found a restart or a cold start that no
	// applied reply covers yet.
	changeObserved   bool
	changeObservedAt time.Duration
	floorMarks       []floorMark
}

// Holder issues credits to the requests of one entry instance. The caller
// serialises its methods.
type Holder struct {
	entry       ident.InstanceID
	incarnation ident.Incarnation
	seq         uint64
	epoch       ident.Epoch
	acked       uint64
	nextID      uint64
	syncSentAt  map[uint64]time.Duration
	backends    map[BackendID]*backendState
	acquired    map[uint64]acquisition
}

// NewHolder returns a holder without allocations.
func NewHolder(entry ident.InstanceID, incarnation ident.Incarnation) *Holder {
	return &Holder{
		entry:       entry,
		incarnation: incarnation,
		syncSentAt:  make(map[uint64]time.Duration),
		backends:    make(map[BackendID]*backendState),
		acquired:    make(map[uint64]acquisition),
	}
}

func (h *Holder) backend(b BackendID) *backendState {
	s, ok := h.backends[b]
	if !ok {
		s = &backendState{}
		h.backends[b] = s
	}
	return s
}

// Track includes a backend server in the next syncs.
func (h *Holder) Track(b BackendID) { h.backend(b) }

// Retain removes the backend servers for which keep returns false and where no
// request is in flight.
func (h *Holder) Retain(keep func(BackendID) bool) {
	for b, s := range h.backends {
		if !keep(b) && s.inFlight.Requests == 0 {
			delete(h.backends, b)
		}
	}
}

// SetWaiting sets what the requests that wait for credits of a backend server
// need. Exclusive is true if a suspect waits or runs there.
func (h *Holder) SetWaiting(b BackendID, waiting Amount, exclusive bool) {
	s := h.backend(b)
	s.waiting, s.wantExclusive = waiting, exclusive
}

// Acquire returns a credit for one request. After the allocation has ended, the
// reserve is used if confirmed is true: this entry instance itself has recently
// confirmed that every member is alive.
func (h *Holder) Acquire(now time.Duration, b BackendID, tokens int, confirmed bool) (Credit, error) {
	s, ok := h.backends[b]
	if !ok {
		return Credit{}, ErrNoCredit
	}
	limit := s.usableAmount(now, confirmed)
	after := s.inFlight.add(Amount{1, tokens})
	if after.Requests > limit.Requests || after.Tokens > limit.Tokens {
		return Credit{}, ErrNoCredit
	}
	return h.acquire(b, s, tokens), nil
}

// AcquireExclusive returns a credit for a suspect. Only the right to run a suspect is
// exclusive: at most one suspect at a time runs on a backend server, counted over all
// entry instances. Other requests can run there at the same time.
func (h *Holder) AcquireExclusive(now time.Duration, b BackendID, tokens int) (Credit, error) {
	s, ok := h.backends[b]
	if !ok || now >= s.allocationEnd || !s.exclusive || s.suspectID != 0 {
		return Credit{}, ErrNoCredit
	}
	after := s.inFlight.add(Amount{1, tokens})
	if after.Requests > s.allocated.Requests || after.Tokens > s.allocated.Tokens {
		return Credit{}, ErrNoCredit
	}
	c := h.acquire(b, s, tokens)
	s.suspectID = c.id
	return c, nil
}

func (h *Holder) acquire(b BackendID, s *backendState, tokens int) Credit {
	h.nextID++
	s.inFlight = s.inFlight.add(Amount{1, tokens})
	h.acquired[h.nextID] = acquisition{b, s.incarnation, tokens}
	return Credit{Backend: b, Incarnation: s.incarnation, Cold: s.cold, id: h.nextID}
}

// usableAmount returns what may be in flight at the given time.
func (s *backendState) usableAmount(now time.Duration, confirmed bool) Amount {
	if now < s.allocationEnd {
		return s.allocated
	}
	if confirmed && now < s.reserveEnd {
		return s.reserve
	}
	return Amount{}
}

// Release gives a credit back. It does nothing if the credit was released before.
// The credit of an ended incarnation does not change what is in flight on the
// current one.
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
	if s.suspectID == c.id {
		s.suspectID = 0
	}
	if s.incarnation != a.incarnation {
		return
	}
	s.inFlight = s.inFlight.sub(Amount{1, a.tokens})
	for i := range s.floorMarks {
		s.floorMarks[i].floor = min(s.floorMarks[i].floor, s.inFlight.Requests)
	}
}

// Observe applies the incarnation and the cold state that this entry instance
// itself found when it dialled or polled a backend server. It reports whether the
// holder should sync at once. An observation that is older than the sync of the
// last applied reply is out of date and is ignored.
func (h *Holder) Observe(now time.Duration, b BackendID, incarnation string, cold bool) bool {
	s := h.backend(b)
	if now <= s.appliedSyncSent && s.appliedSyncSent > 0 {
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
	s.allocated, s.reserve, s.exclusive = Amount{}, Amount{}, false
	s.allocationEnd, s.reserveEnd = 0, 0
	s.changeObserved, s.changeObservedAt = true, now
	s.cold = cold
	if restarted {
		s.setIncarnation(incarnation, h.acquiredAmount(b, incarnation))
	}
	return true
}

// setIncarnation switches to another incarnation.
func (s *backendState) setIncarnation(incarnation string, inFlight Amount) {
	s.incarnation = incarnation
	s.inFlight = inFlight
	s.floorMarks = s.floorMarks[:0]
}

// acquiredAmount sums the unreleased credits of one incarnation.
func (h *Holder) acquiredAmount(b BackendID, incarnation string) Amount {
	var sum Amount
	for _, a := range h.acquired {
		if a.backend == b && a.incarnation == incarnation {
			sum = sum.add(Amount{1, a.tokens})
		}
	}
	return sum
}

// maxOutstandingSyncs is the number of recent syncs whose replies are accepted.
// An allocation in a reply to an older sync would have expired.
const maxOutstandingSyncs = 32

// NextSync returns the next sync to send to the owner.
func (h *Holder) NextSync(now time.Duration) Sync {
	h.seq++
	h.syncSentAt[h.seq] = now
	delete(h.syncSentAt, h.seq-maxOutstandingSyncs)
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

func (s *backendState) usage(now time.Duration, b BackendID, seq uint64) Usage {
	u := Usage{
		Backend: b, Incarnation: s.incarnation, InFlight: s.inFlight, Floor: 0,
		Demand: s.inFlight.add(s.waiting), Exclusive: s.wantExclusive, Changed: s.changeObserved,
		RampLeft: max(0, s.rampEnd-now),
	}
	if s.changeObserved {
		u.ChangedAge = now - s.changeObservedAt
	}
	if now < s.reserveEnd {
		u.Reserve, u.ReserveLeft = s.reserve, s.reserveEnd-now
	}
	if len(s.floorMarks) > 0 {
		u.Floor = s.floorMarks[0].floor
	}
	if len(s.floorMarks) == maxOutstandingSyncs {
		// Keep the first mark, which belongs to the last applied reply and gives Floor.
		// Drop the next oldest.
		s.floorMarks = append(s.floorMarks[:1], s.floorMarks[2:]...)
	}
	s.floorMarks = append(s.floorMarks, floorMark{seq, s.inFlight.Requests})
	return u
}

// ApplyReply applies a reply of the owner. It ignores a reply that is older than the
// last applied one and a reply to an unknown sync.
func (h *Holder) ApplyReply(now time.Duration, r Reply) {
	sent, ok := h.syncSentAt[r.Seq]
	if !ok || r.Epoch < h.epoch || (r.Epoch == h.epoch && r.Seq <= h.acked) {
		return
	}
	h.epoch, h.acked = r.Epoch, r.Seq
	for _, a := range r.Allocations {
		if s, ok := h.backends[a.Backend]; ok {
			h.applyAllocation(s, a, sent)
		}
	}
	for _, s := range h.backends {
		for len(s.floorMarks) > 1 && s.floorMarks[1].seq <= r.Seq {
			s.floorMarks = s.floorMarks[1:]
		}
	}
}

func (h *Holder) applyAllocation(s *backendState, a Allocation, sent time.Duration) {
	if s.changeObserved && sent <= s.changeObservedAt {
		return // the reply was computed without the restart or cold start
	}
	if a.Incarnation != s.incarnation {
		s.setIncarnation(a.Incarnation, h.acquiredAmount(a.Backend, a.Incarnation))
		s.reserve, s.reserveEnd = Amount{}, 0
	}
	s.changeObserved, s.appliedSyncSent = false, sent
	s.allocated, s.allocationEnd = a.Amount, sent+AllocationTTL
	s.cold, s.exclusive = a.Cold, a.Exclusive
	s.rampEnd = sent + a.RampLeft
	if !a.KeepReserve {
		s.reserve, s.reserveEnd = a.Reserve, sent+ReserveTTL
	}
}

// FreeCredits returns the number of further requests that a backend server's
// allocation or reserve allows.
func (h *Holder) FreeCredits(now time.Duration, b BackendID, confirmed bool) int {
	s, ok := h.backends[b]
	if !ok {
		return 0
	}
	return max(0, s.usableAmount(now, confirmed).Requests-s.inFlight.Requests)
}

// HasAllocation reports whether this entry instance has an allocation or a usable
// reserve for a backend server, even if it is used up at the moment.
func (h *Holder) HasAllocation(now time.Duration, b BackendID, confirmed bool) bool {
	s, ok := h.backends[b]
	return ok && s.usableAmount(now, confirmed).Requests > 0
}

// AllocationUsedUp reports whether the requests in flight use up the allocation. The
// caller then syncs after a release, so that the owner learns of it.
func (h *Holder) AllocationUsedUp(b BackendID) bool {
	s, ok := h.backends[b]
	return ok && s.inFlight.Requests >= s.allocated.Requests
}

// InFlight returns the number of unreleased credits of the current incarnation.
func (h *Holder) InFlight(b BackendID) int {
	if s, ok := h.backends[b]; ok {
		return s.inFlight.Requests
	}
	return 0
}

// Incarnation returns the incarnation of a backend server for which credits are
// issued.
func (h *Holder) Incarnation(b BackendID) string {
	if s, ok := h.backends[b]; ok {
		return s.incarnation
	}
	return ""
}

// Acquired returns the number of unreleased credits of all incarnations.
func (h *Holder) Acquired() int { return len(h.acquired) }
