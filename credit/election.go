package credit

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/slicecmp"
)

// The election of the owner does not depend on the store: an owner acts only while
// a majority of the listed entry instances follow it. An entry instance follows
// one owner at a time: each sync commits it to follow the receiver until the
// allocation that the sync requests has expired. Any two majorities have an entry
// instance in common, so two owners never act at the same time. The holder of the
// service's lease is preferred. If the store is unreachable, another entry
// instance becomes owner as soon as a majority chooses it.
const (
	// followTTL is how long a sync commits its sender to the owner. It is longer,
	// by the allowed clock drift, than an owner counts a follower.
	followTTL = AllocationTTL + 2*AllocationTTL*driftPercent/100
	// failTimeout is how long an owner may fail to respond before another one is
	// chosen.
	failTimeout = 2 * time.Second
	// avoidTime is how long an owner that failed or refused is not chosen again.
	avoidTime = 10 * time.Second
	// pendingTimeout is how long an owner may lack a majority before another one is
	// chosen, and pendingAvoidTime how long it is then not chosen again. During the
	// change there are no new allocations for up to followTTL + pendingTimeout.
	pendingTimeout   = 3 * time.Second
	pendingAvoidTime = time.Minute
)

// Follower decides which owner an entry instance follows for one service. The
// caller serialises its methods.
type Follower struct {
	current    ident.InstanceID
	lastSyncAt time.Duration
	// lastSeq is the sequence number of the last sync.
	lastSeq      uint64
	failingSince map[ident.InstanceID]time.Duration
	avoidedUntil map[ident.InstanceID]time.Duration
	pendingSince map[ident.InstanceID]time.Duration
	// suggested is the owner that an avoided owner without a majority follows itself.
	suggested ident.InstanceID
}

// NewFollower returns the follower of a process that started at the given time. The
// process does not know which owner its predecessor followed, so it chooses none
// until followTTL has passed.
func NewFollower(now time.Duration) *Follower {
	return &Follower{
		lastSyncAt:   now,
		failingSince: make(map[ident.InstanceID]time.Duration),
		avoidedUntil: make(map[ident.InstanceID]time.Duration),
		pendingSince: make(map[ident.InstanceID]time.Duration),
	}
}

// ChooseOwner returns the owner to sync with. It returns false if there is none, or
// while an earlier sync still commits this entry instance to another owner.
// Preferred is the lease holder or empty; candidates are ranked, best first. The
// caller sends the sync at once and then calls RecordSync.
func (f *Follower) ChooseOwner(now time.Duration, preferred ident.InstanceID, candidates []ident.InstanceID) (ident.InstanceID, bool) {
	target := f.target(now, preferred, candidates)
	if target == "" {
		return "", false
	}
	if target != f.current && now-f.lastSyncAt < followTTL {
		// The earlier owner may still count this entry instance. Further syncs to
		// it would extend the commitment, so none is sent.
		return "", false
	}
	f.current = target
	return target, true
}

func (f *Follower) target(now time.Duration, preferred ident.InstanceID, candidates []ident.InstanceID) ident.InstanceID {
	if preferred != "" && now >= f.avoidedUntil[preferred] {
		return preferred
	}
	if f.suggested != "" && now >= f.avoidedUntil[f.suggested] && slices.Contains(candidates, f.suggested) {
		return f.suggested
	}
	for _, c := range candidates {
		if now >= f.avoidedUntil[c] {
			return c
		}
	}
	// All candidates are avoided. If a majority is lost, the lease holder is the
	// most likely one to regain it.
	return preferred
}

// RecordSync records a sync to the chosen owner, which commits this entry instance to it.
func (f *Follower) RecordSync(now time.Duration, seq uint64) { f.lastSyncAt, f.lastSeq = now, seq }

// RecordReply records that an owner with a majority replied.
func (f *Follower) RecordReply(owner ident.InstanceID) {
	delete(f.failingSince, owner)
	delete(f.pendingSince, owner)
}

// RecordNoMajority records that an owner without a majority replied, and which owner it
// follows itself, or empty. With this, entry instances agree on an owner even if
// they know different lease holders because only some of them reach the store.
func (f *Follower) RecordNoMajority(now time.Duration, owner, follows ident.InstanceID) {
	delete(f.failingSince, owner)
	since, ok := f.pendingSince[owner]
	switch {
	case !ok:
		f.pendingSince[owner] = now
		return
	case now-since < pendingTimeout:
		return
	case follows != owner:
		f.suggested = follows
	}
	f.avoid(now, owner, pendingAvoidTime)
}

// RecordFailure records that an owner did not reply.
func (f *Follower) RecordFailure(now time.Duration, owner ident.InstanceID) {
	since, ok := f.failingSince[owner]
	switch {
	case !ok:
		f.failingSince[owner] = now
	case now-since >= failTimeout:
		f.avoid(now, owner, avoidTime)
	}
}

// RecordRefusal records that an owner removed this follower when it received sync seq.
// That ends the commitment only if seq is the last sync: the owner may have
// counted a later one.
func (f *Follower) RecordRefusal(now time.Duration, owner ident.InstanceID, seq uint64) {
	f.avoid(now, owner, avoidTime)
	if owner == f.current && seq == f.lastSeq {
		f.current, f.lastSyncAt = "", now-followTTL
	}
}

func (f *Follower) avoid(now time.Duration, owner ident.InstanceID, length time.Duration) {
	delete(f.failingSince, owner)
	delete(f.pendingSince, owner)
	if f.suggested == owner {
		f.suggested = ""
	}
	for id, until := range f.avoidedUntil {
		if now >= until {
			delete(f.avoidedUntil, id)
		}
	}
	f.avoidedUntil[owner] = now + length
}

// followerState is what an owner records about one follower.
type followerState struct {
	incarnation ident.Incarnation
	// replySentAt is when recent replies were sent, by sequence number.
	replySentAt map[uint64]time.Duration
	// provenAt is when the latest acknowledged reply was sent. The sync that
	// acknowledges it was sent later.
	provenAt time.Duration
	epoch    ident.Epoch
}

// Followers counts the entry instances that follow an owner. A follower counts
// from its second sync on: only the acknowledgement of a reply proves that a sync
// was not delayed in the network.
type Followers struct {
	followers map[ident.InstanceID]*followerState
	// majorityEnd is until when a majority of countedEntries is proven to follow.
	// It is 0 if no majority is proven or a follower was removed or restarted.
	majorityEnd    time.Duration
	countedEntries []ident.InstanceID
	proofs         []time.Duration // reused by HasMajority
}

// NewFollowers returns a Followers without followers.
func NewFollowers() *Followers {
	return &Followers{followers: make(map[ident.InstanceID]*followerState)}
}

// RecordSync records a sync and that its reply is sent at the same time. lastReplied is
// the sequence number of the last sync whose reply from this owner the follower
// had received when it sent s.
func (f *Followers) RecordSync(now time.Duration, s Sync, lastReplied uint64) {
	e, ok := f.followers[s.Entry]
	if !ok || e.incarnation != s.Incarnation {
		f.majorityEnd = 0
		e = &followerState{incarnation: s.Incarnation, replySentAt: make(map[uint64]time.Duration), provenAt: -followTTL}
		f.followers[s.Entry] = e
	}
	if at, ok := e.replySentAt[lastReplied]; ok && at > e.provenAt {
		e.provenAt = at
	}
	e.epoch = max(e.epoch, s.Epoch)
	e.replySentAt[s.Seq] = now
	for seq, at := range e.replySentAt {
		if now-at > followTTL {
			delete(e.replySentAt, seq)
		}
	}
}

// Remove removes a follower whose sync was refused.
func (f *Followers) Remove(entry ident.InstanceID) {
	f.majorityEnd = 0
	delete(f.followers, entry)
}

// HasMajority reports whether more than half of the listed entry instances follow the
// owner. It is called at each sync, so the end of a counted majority is cached;
// the proofs of the same followers can only become later. The caller must not
// modify the list afterwards.
func (f *Followers) HasMajority(now time.Duration, listed []ident.InstanceID) bool {
	if now < f.majorityEnd && slicecmp.Identical(listed, f.countedEntries) {
		return true
	}
	f.countedEntries, f.proofs = listed, f.proofs[:0]
	for _, id := range listed {
		if e, ok := f.followers[id]; ok && now-e.provenAt < AllocationTTL {
			f.proofs = append(f.proofs, e.provenAt)
		}
	}
	if 2*len(f.proofs) <= len(listed) {
		f.majorityEnd = 0
		return false
	}
	// The majority ends when the latest proofs that just suffice for it expire.
	slices.Sort(f.proofs)
	f.majorityEnd = f.proofs[len(f.proofs)-1-len(listed)/2] + AllocationTTL
	return true
}

// NextEpoch returns an epoch that is at least the given one and above the epoch of
// every sync from a follower.
func (f *Followers) NextEpoch(least ident.Epoch) ident.Epoch {
	next := least
	for _, e := range f.followers {
		next = max(next, e.epoch+1)
	}
	return next
}
