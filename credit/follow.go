package credit

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/slicecmp"
)

// Ownership of credits does not rest on the store: an owner acts only while a
// majority of the listed entry instances follow it. An entry instance follows
// one owner at a time; each sync that it sends is a promise to follow its
// target until the allocation time is over. Two majorities share an entry
// instance, so two owners never act at the same time. The holder of the
// service's lease is preferred; without the store the entry instances agree on
// another one as soon as most of them choose it.
const (
	// followTime is how long a sync binds its sender. It exceeds the time for
	// which an owner counts a follower by the allowed clock drift.
	followTime = AllocationTTL + 2*AllocationTTL*driftPercent/100
	// failTime is how long a target may fail before another one is chosen.
	failTime = 2 * time.Second
	// avoidTime is how long a target that failed or refused is avoided.
	avoidTime = 10 * time.Second
	// pendingTime is how long a target may lack a majority before another one is
	// chosen, and pendingAvoid how long it is avoided then. The change costs up
	// to followTime + pendingTime without new allocations.
	pendingTime  = 3 * time.Second
	pendingAvoid = time.Minute
)

// Follower decides which owner an entry instance follows. The caller
// serialises its methods.
type Follower struct {
	current  ident.InstanceID
	lastSent time.Duration
	// lastSeq is the sequence of the last sync.
	lastSeq uint64
	failing map[ident.InstanceID]time.Duration
	avoided map[ident.InstanceID]time.Duration
	pending map[ident.InstanceID]time.Duration
	// named is the owner that a target without a majority follows itself.
	named ident.InstanceID
}

// NewFollower returns the follower of a process that started at an instant. The
// process does not know whom its predecessor followed, so it waits first.
func NewFollower(now time.Duration) *Follower {
	return &Follower{
		lastSent: now,
		failing:  make(map[ident.InstanceID]time.Duration),
		avoided:  make(map[ident.InstanceID]time.Duration),
		pending:  make(map[ident.InstanceID]time.Duration),
	}
}

// ChooseOwner returns the owner to sync with, or none while an earlier promise
// binds. Preferred is the lease holder, or empty; candidates are ranked, best
// first. The caller sends the sync at once and then calls RecordSync.
func (f *Follower) ChooseOwner(now time.Duration, preferred ident.InstanceID, candidates []ident.InstanceID) (ident.InstanceID, bool) {
	target := f.target(now, preferred, candidates)
	if target == "" {
		return "", false
	}
	if target != f.current && now-f.lastSent < followTime {
		// The earlier owner may count on this entry instance. Syncs that go on
		// to it would renew the promise, so none is sent.
		return "", false
	}
	f.current = target
	return target, true
}

func (f *Follower) target(now time.Duration, preferred ident.InstanceID, candidates []ident.InstanceID) ident.InstanceID {
	if preferred != "" && now >= f.avoided[preferred] {
		return preferred
	}
	if f.named != "" && now >= f.avoided[f.named] && slices.Contains(candidates, f.named) {
		return f.named
	}
	for _, c := range candidates {
		if now >= f.avoided[c] {
			return c
		}
	}
	// All are avoided. Where a majority is lost, the preferred one is the first
	// to get it back.
	return preferred
}

// RecordSync notes the promise of a sync.
func (f *Follower) RecordSync(now time.Duration, seq uint64) { f.lastSent, f.lastSeq = now, seq }

// RecordReply notes that an owner answered.
func (f *Follower) RecordReply(owner ident.InstanceID) {
	delete(f.failing, owner)
	delete(f.pending, owner)
}

// RecordNoMajority notes that an owner answered that lacks a majority, and whom it
// follows itself, if anybody. Entry instances that see different lease holders,
// because the store is reachable for some of them only, agree again this way.
func (f *Follower) RecordNoMajority(now time.Duration, owner, follows ident.InstanceID) {
	delete(f.failing, owner)
	since, ok := f.pending[owner]
	switch {
	case !ok:
		f.pending[owner] = now
		return
	case now-since < pendingTime:
		return
	case follows != owner:
		f.named = follows
	}
	f.avoid(now, owner, pendingAvoid)
}

// RecordFailure notes that an owner did not answer.
func (f *Follower) RecordFailure(now time.Duration, owner ident.InstanceID) {
	since, ok := f.failing[owner]
	switch {
	case !ok:
		f.failing[owner] = now
	case now-since >= failTime:
		f.avoid(now, owner, avoidTime)
	}
}

// RecordRefusal notes that an owner dropped this follower when it got a sync. That ends
// the promise if the sync was the last one: the owner may count a later one.
func (f *Follower) RecordRefusal(now time.Duration, owner ident.InstanceID, seq uint64) {
	f.avoid(now, owner, avoidTime)
	if owner == f.current && seq == f.lastSeq {
		f.current, f.lastSent = "", now-followTime
	}
}

func (f *Follower) avoid(now time.Duration, owner ident.InstanceID, length time.Duration) {
	delete(f.failing, owner)
	delete(f.pending, owner)
	if f.named == owner {
		f.named = ""
	}
	for id, until := range f.avoided {
		if now >= until {
			delete(f.avoided, id)
		}
	}
	f.avoided[owner] = now + length
}

// followed is what an owner knows about one follower.
type followed struct {
	incarnation ident.Incarnation
	// replies holds when recent replies were sent, by sequence.
	replies map[uint64]time.Duration
	// provenAt is when the reply was sent that the last sync acknowledges, and so
	// an instant before that sync was sent.
	provenAt time.Duration
	epoch    ident.Epoch
}

// Followers counts the entry instances that follow an owner. A follower counts
// from its second sync on: only an acknowledged reply proves that the sync is
// not a delayed one.
type Followers struct {
	followers map[ident.InstanceID]*followed
	// until is the end of the majority as far as it is proven, among the entry
	// instances of counted. A follower that left ends the proof.
	until   time.Duration
	counted []ident.InstanceID
	proofs  []time.Duration // scratch
}

// NewFollowers returns an empty count.
func NewFollowers() *Followers {
	return &Followers{followers: make(map[ident.InstanceID]*followed)}
}

// RecordSync notes a sync and the reply that is sent to it at the same instant. heard
// is the sequence of the last sync whose reply from this owner the follower had
// received when it sent s.
func (f *Followers) RecordSync(now time.Duration, s Sync, heard uint64) {
	e, ok := f.followers[s.Entry]
	if !ok || e.incarnation != s.Incarnation {
		f.until = 0
		e = &followed{incarnation: s.Incarnation, replies: make(map[uint64]time.Duration), provenAt: -followTime}
		f.followers[s.Entry] = e
	}
	if at, ok := e.replies[heard]; ok && at > e.provenAt {
		e.provenAt = at
	}
	e.epoch = max(e.epoch, s.Epoch)
	e.replies[s.Seq] = now
	for seq, at := range e.replies {
		if now-at > followTime {
			delete(e.replies, seq)
		}
	}
}

// Remove forgets a follower that was refused.
func (f *Followers) Remove(entry ident.InstanceID) {
	f.until = 0
	delete(f.followers, entry)
}

// HasMajority reports whether more than half of the listed entry instances follow.
// The owner asks at each sync, so the end of a majority that was counted is kept:
// proofs of the same followers can only become later. The caller does not write
// to a list that it passed.
func (f *Followers) HasMajority(now time.Duration, listed []ident.InstanceID) bool {
	if now < f.until && slicecmp.Identical(listed, f.counted) {
		return true
	}
	f.counted, f.proofs = listed, f.proofs[:0]
	for _, id := range listed {
		if e, ok := f.followers[id]; ok && now-e.provenAt < AllocationTTL {
			f.proofs = append(f.proofs, e.provenAt)
		}
	}
	if 2*len(f.proofs) <= len(listed) {
		f.until = 0
		return false
	}
	// The majority lasts as long as the least number of latest proofs does.
	slices.Sort(f.proofs)
	f.until = f.proofs[len(f.proofs)-1-len(listed)/2] + AllocationTTL
	return true
}

// NextEpoch returns an epoch above every one that a follower has seen.
func (f *Followers) NextEpoch(least ident.Epoch) ident.Epoch {
	next := least
	for _, e := range f.followers {
		next = max(next, e.epoch+1)
	}
	return next
}
