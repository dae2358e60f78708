package credit

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Syncs and replies between two processes are delta-encoded. The sender leaves out
// the elements that have not changed since the base, the last message that the
// receiver is known to have. The receiver restores the full message before it
// passes it to Owner or Holder. Thus an exchange also renews the usage, the
// allocation and the reserve of each backend server that it leaves out.
//
// The receiver handles messages in the order of their sequence numbers and drops a
// message after it has handled a later one. When it handles message n with base b,
// it has handled b or a later message. Message n contains each element that changed
// after b; the other elements are the same in all messages from b to n. The
// restored message is therefore equal to the one that was encoded.

// deltaTable is the list of elements of the last message, sorted by backend server.
type deltaTable[T any] struct {
	elements []deltaElement[T]
	// backendsSeq is the sequence number of the first message with the current set
	// of backend servers, or 0 if there is none.
	backendsSeq uint64
}

// deltaElement is one element, with the sequence number of the first message that
// contained its current value.
type deltaElement[T any] struct {
	backend    BackendID
	value      T
	changedSeq uint64
}

func (r *deltaTable[T]) find(b BackendID) (int, bool) {
	return slices.BinarySearchFunc(r.elements, b, func(x deltaElement[T], b BackendID) int { return strings.Compare(string(x.backend), string(b)) })
}

// set replaces or adds an element.
func (r *deltaTable[T]) set(b BackendID, v T) {
	x := deltaElement[T]{backend: b, value: v}
	if i, ok := r.find(b); ok {
		r.elements[i] = x
	} else {
		r.elements = slices.Insert(r.elements, i, x)
	}
}

// update replaces the elements by the n elements of the message with sequence
// number seq. It returns the indices of the elements that a receiver of message
// base lacks, and whether the other elements may be left out. equal reports whether a receiver that has the value v
// restores element i correctly; encode returns the value of element i.
func (r *deltaTable[T]) update(seq, base uint64, n int, backend func(i int) BackendID, equal func(i int, v T) bool, encode func(i int) T) ([]int, bool) {
	old := r.elements
	if !r.sameBackends(n, backend) {
		r.elements = make([]deltaElement[T], n)
		for i, j := 0, 0; i < n; i++ {
			b := backend(i)
			for j < len(old) && old[j].backend < b {
				j++
			}
			if j < len(old) && old[j].backend == b {
				r.elements[i] = old[j]
			} else {
				r.elements[i] = deltaElement[T]{backend: b, value: encode(i), changedSeq: seq}
			}
		}
		r.backendsSeq = seq
	}
	partial := base > 0 && r.backendsSeq <= base
	var out []int
	for i := range r.elements {
		if x := &r.elements[i]; !equal(i, x.value) {
			x.value, x.changedSeq = encode(i), seq
		}
		if !partial || r.elements[i].changedSeq > base {
			out = append(out, i)
		}
	}
	return out, partial
}

func (r *deltaTable[T]) sameBackends(n int, backend func(i int) BackendID) bool {
	if n != len(r.elements) || r.backendsSeq == 0 {
		return false
	}
	for i := range r.elements {
		if r.elements[i].backend != backend(i) {
			return false
		}
	}
	return true
}

// absoluteUsage is a usage whose relative times are converted to absolute times of
// the holder's clock, so that they do not change from sync to sync.
type absoluteUsage struct {
	usage                          Usage
	reserveEnd, rampEnd, changedAt time.Duration
}

func newAbsoluteUsage(u Usage, s *Sync) absoluteUsage {
	return absoluteUsage{usage: u, reserveEnd: s.Sent + u.ReserveLeft, rampEnd: s.Sent + u.RampLeft, changedAt: s.Sent - u.ChangedAge}
}

// relativeTo returns the usage with its times relative to the sending of s.
func (r *absoluteUsage) relativeTo(s *Sync) Usage {
	u := r.usage
	if u.ReserveLeft > 0 {
		end := r.reserveEnd
		if u.ReserveRenewed {
			end = s.AckedSent + ReserveTTL
		}
		u.ReserveLeft = end - s.Sent
	}
	u.ReserveRenewed = false
	if u.RampLeft > 0 {
		u.RampLeft = max(0, r.rampEnd-s.Sent)
	}
	if u.Changed {
		u.ChangedAge = s.Sent - r.changedAt
	}
	return u
}

// SyncDeltaEncoder delta-encodes the syncs of a holder.
type SyncDeltaEncoder struct {
	table               deltaTable[absoluteUsage]
	sentAt              map[uint64]time.Duration
	ownerAcceptsPartial bool
}

// NewSyncDeltaEncoder returns an encoder whose first sync is full.
func NewSyncDeltaEncoder() *SyncDeltaEncoder {
	return &SyncDeltaEncoder{sentAt: make(map[uint64]time.Duration)}
}

// Reset makes the next sync a full one. Call it when the owner changes or lacks
// the base of a partial sync.
func (p *SyncDeltaEncoder) Reset() { p.table = deltaTable[absoluteUsage]{} }

// RecordReply records whether the owner accepts partial syncs.
func (p *SyncDeltaEncoder) RecordReply(r Reply) { p.ownerAcceptsPartial = r.AcceptsPartial }

// Encode returns the encoded form of a sync.
func (p *SyncDeltaEncoder) Encode(s Sync) Sync {
	p.sentAt[s.Seq] = s.Sent
	delete(p.sentAt, s.Seq-maxOutstandingSyncs)
	base := s.Acked
	var known bool
	if s.AckedSent, known = p.sentAt[s.Acked]; !known || !p.ownerAcceptsPartial {
		base = 0
	}
	s.AcceptsPartial = true
	usage := s.Usage
	listed, partial := p.table.update(s.Seq, base, len(usage),
		func(i int) BackendID { return usage[i].Backend },
		func(i int, v absoluteUsage) bool { return v.relativeTo(&s) == usage[i] },
		func(i int) absoluteUsage {
			r := newAbsoluteUsage(usage[i], &s)
			r.usage.ReserveRenewed = known && usage[i].ReserveLeft > 0 && r.reserveEnd == s.AckedSent+ReserveTTL
			return r
		})
	s.Partial, s.Usage = partial, make([]Usage, 0, len(listed))
	for _, i := range listed {
		u := usage[i]
		u.ReserveRenewed = p.table.elements[i].value.usage.ReserveRenewed
		s.Usage = append(s.Usage, u)
	}
	return s
}

// SyncDeltaDecoder restores the syncs of one holder at the owner.
type SyncDeltaDecoder struct {
	table   deltaTable[absoluteUsage]
	lastSeq uint64
}

// Superseded reports whether s or a later sync was handled already.
func (p *SyncDeltaDecoder) Superseded(s *Sync) bool { return s.Seq <= p.lastSeq }

// Decode returns the full sync. Superseded must be false for s. It returns false if
// the base is missing: the holder then has to send a full sync.
func (p *SyncDeltaDecoder) Decode(s Sync, epoch ident.Epoch) (Sync, bool) {
	switch {
	case !s.Partial:
		p.table.elements = p.table.elements[:0]
	case p.lastSeq == 0 || s.Epoch != epoch || s.Acked > p.lastSeq:
		return Sync{}, false
	}
	p.lastSeq = s.Seq
	for _, u := range s.Usage {
		p.table.set(u.Backend, newAbsoluteUsage(u, &s))
	}
	s.Partial, s.Usage = false, make([]Usage, 0, len(p.table.elements))
	for i := range p.table.elements {
		s.Usage = append(s.Usage, p.table.elements[i].value.relativeTo(&s))
	}
	return s, true
}

// ReplyDeltaEncoder delta-encodes the replies of the owner to one holder.
type ReplyDeltaEncoder struct{ table deltaTable[Allocation] }

// Encode returns the encoded form of the reply to a sync.
func (p *ReplyDeltaEncoder) Encode(s *Sync, r Reply) Reply {
	base := s.Acked
	if s.Epoch != r.Epoch || !s.AcceptsPartial {
		base = 0
	}
	all := r.Allocations
	listed, partial := p.table.update(r.Seq, base, len(all),
		func(i int) BackendID { return all[i].Backend },
		func(i int, v Allocation) bool { return v == all[i] },
		func(i int) Allocation { return all[i] })
	r.AcceptsPartial, r.Partial, r.Allocations = true, partial, make([]Allocation, 0, len(listed))
	for _, i := range listed {
		r.Allocations = append(r.Allocations, all[i])
	}
	return r
}

// ReplyDeltaDecoder restores the replies of owners at a holder.
type ReplyDeltaDecoder struct {
	table     deltaTable[Allocation]
	lastEpoch ident.Epoch
	lastSeq   uint64
}

// Decode returns the full reply. It returns false if this reply or a later one was
// decoded already, because Holder would ignore this one, or if the base is missing.
func (p *ReplyDeltaDecoder) Decode(r Reply) (Reply, bool) {
	switch {
	case r.Epoch < p.lastEpoch, r.Epoch == p.lastEpoch && r.Seq <= p.lastSeq:
		return Reply{}, false
	case !r.Partial:
		p.table.elements = p.table.elements[:0]
	case r.Epoch != p.lastEpoch:
		return Reply{}, false
	}
	p.lastEpoch, p.lastSeq = r.Epoch, r.Seq
	for _, a := range r.Allocations {
		p.table.set(a.Backend, a)
	}
	r.Partial, r.Allocations = false, make([]Allocation, 0, len(p.table.elements))
	for i := range p.table.elements {
		r.Allocations = append(r.Allocations, p.table.elements[i].value)
	}
	return r, true
}
