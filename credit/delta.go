package credit

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Syncs and replies between two processes carry what changed. The sender of a
// message leaves out what it sent unchanged since the last message that the
// receiver is known to have; the receiver puts the whole message together again
// before Owner or Holder see it. So a backend server without news still renews
// its allocation, its reserve and its account with each exchange.
//
// The receiver handles messages in the order of their sequence numbers and drops
// the ones that a later one overtook. When it handles message n, whose base is b,
// it has handled b or a later one. What changed after b is in n; what did not is
// as in each message from b on. So its copy equals the message of the sender.

// rows is the last state of a list of a message, sorted by backend server.
type rows[T any] struct {
	list []row[T]
	// whole is the first message from which on the receiver knows which backend
	// servers are in the list.
	whole uint64
}

// row is one element with the message that first held it as it is.
type row[T any] struct {
	backend BackendID
	value   T
	since   uint64
}

func (r *rows[T]) find(b BackendID) (int, bool) {
	return slices.BinarySearchFunc(r.list, b, func(x row[T], b BackendID) int { return strings.Compare(string(x.backend), string(b)) })
}

// set replaces or adds an element.
func (r *rows[T]) set(b BackendID, v T) {
	x := row[T]{backend: b, value: v}
	if i, ok := r.find(b); ok {
		r.list[i] = x
	} else {
		r.list = slices.Insert(r.list, i, x)
	}
}

// next moves on to message seq with n elements, and returns those that a receiver
// of message base does not have, and whether these are only a part. Equal tells
// whether a receiver makes element i of the message from a value; pack makes the
// value.
func (r *rows[T]) next(seq, base uint64, n int, backend func(i int) BackendID, equal func(i int, v T) bool, pack func(i int) T) ([]int, bool) {
	old := r.list
	if !r.sameBackends(n, backend) {
		r.list = make([]row[T], n)
		for i, at := 0, 0; i < n; i++ {
			b := backend(i)
			for at < len(old) && old[at].backend < b {
				at++
			}
			if at < len(old) && old[at].backend == b {
				r.list[i] = old[at]
			} else {
				r.list[i] = row[T]{backend: b, value: pack(i), since: seq}
			}
		}
		r.whole = seq
	}
	partial := base > 0 && r.whole <= base
	var out []int
	for i := range r.list {
		if x := &r.list[i]; !equal(i, x.value) {
			x.value, x.since = pack(i), seq
		}
		if !partial || r.list[i].since > base {
			out = append(out, i)
		}
	}
	return out, partial
}

func (r *rows[T]) sameBackends(n int, backend func(i int) BackendID) bool {
	if n != len(r.list) || r.whole == 0 {
		return false
	}
	for i := range r.list {
		if r.list[i].backend != backend(i) {
			return false
		}
	}
	return true
}

// usageRow is a usage whose times are instants on the holder's clock, so that
// they stay while time passes.
type usageRow struct {
	usage                          Usage
	reserveEnd, rampEnd, changedAt time.Duration
}

func packUsage(u Usage, s *Sync) usageRow {
	return usageRow{usage: u, reserveEnd: s.Sent + u.ReserveLeft, rampEnd: s.Sent + u.RampLeft, changedAt: s.Sent - u.ChangedAge}
}

// at is the usage that a sync stands for.
func (r *usageRow) at(s *Sync) Usage {
	u := r.usage
	if u.ReserveLeft > 0 {
		end := r.reserveEnd
		if u.Renewed {
			end = s.AckedSent + ReserveTTL
		}
		u.ReserveLeft = end - s.Sent
	}
	u.Renewed = false
	if u.RampLeft > 0 {
		u.RampLeft = max(0, r.rampEnd-s.Sent)
	}
	if u.Changed {
		u.ChangedAge = s.Sent - r.changedAt
	}
	return u
}

// SyncDeltaEncoder is the holder's end for syncs.
type SyncDeltaEncoder struct {
	rows  rows[usageRow]
	sent  map[uint64]time.Duration
	takes bool
}

// NewSyncDeltaEncoder returns a packer whose next sync is whole.
func NewSyncDeltaEncoder() *SyncDeltaEncoder {
	return &SyncDeltaEncoder{sent: make(map[uint64]time.Duration)}
}

// Reset makes the next syncs whole: the owner is another one, or lacks the base.
func (p *SyncDeltaEncoder) Reset() { p.rows = rows[usageRow]{} }

// RecordReply notes whether the owner takes partial syncs.
func (p *SyncDeltaEncoder) RecordReply(r Reply) { p.takes = r.Delta }

// Encode returns a sync as it is sent.
func (p *SyncDeltaEncoder) Encode(s Sync) Sync {
	p.sent[s.Seq] = s.Sent
	delete(p.sent, s.Seq-maxOutstanding)
	base := s.Acked
	var known bool
	if s.AckedSent, known = p.sent[s.Acked]; !known || !p.takes {
		base = 0
	}
	s.Delta = true
	usage := s.Usage
	listed, partial := p.rows.next(s.Seq, base, len(usage),
		func(i int) BackendID { return usage[i].Backend },
		func(i int, v usageRow) bool { return v.at(&s) == usage[i] },
		func(i int) usageRow {
			r := packUsage(usage[i], &s)
			r.usage.Renewed = known && usage[i].ReserveLeft > 0 && r.reserveEnd == s.AckedSent+ReserveTTL
			return r
		})
	s.Partial, s.Usage = partial, make([]Usage, 0, len(listed))
	for _, i := range listed {
		u := usage[i]
		u.Renewed = p.rows.list[i].value.usage.Renewed
		s.Usage = append(s.Usage, u)
	}
	return s
}

// SyncDeltaDecoder is the owner's end for the syncs of one holder.
type SyncDeltaDecoder struct {
	rows rows[usageRow]
	seq  uint64
}

// Superseded reports whether a later sync was handled already.
func (p *SyncDeltaDecoder) Superseded(s *Sync) bool { return s.Seq <= p.seq }

// Decode returns the whole sync, which was not overtaken. It fails when the base
// is missing: then the holder has to send a whole one.
func (p *SyncDeltaDecoder) Decode(s Sync, epoch ident.Epoch) (Sync, bool) {
	switch {
	case !s.Partial:
		p.rows.list = p.rows.list[:0]
	case p.seq == 0 || s.Epoch != epoch || s.Acked > p.seq:
		return Sync{}, false
	}
	p.seq = s.Seq
	for _, u := range s.Usage {
		p.rows.set(u.Backend, packUsage(u, &s))
	}
	s.Partial, s.Usage = false, make([]Usage, 0, len(p.rows.list))
	for i := range p.rows.list {
		s.Usage = append(s.Usage, p.rows.list[i].value.at(&s))
	}
	return s, true
}

// ReplyDeltaEncoder is the owner's end for the replies to one holder.
type ReplyDeltaEncoder struct{ rows rows[Allocation] }

// Encode returns the reply to a sync as it is sent.
func (p *ReplyDeltaEncoder) Encode(s *Sync, r Reply) Reply {
	base := s.Acked
	if s.Epoch != r.Epoch || !s.Delta {
		base = 0
	}
	all := r.Allocations
	listed, partial := p.rows.next(r.Seq, base, len(all),
		func(i int) BackendID { return all[i].Backend },
		func(i int, v Allocation) bool { return v == all[i] },
		func(i int) Allocation { return all[i] })
	r.Delta, r.Partial, r.Allocations = true, partial, make([]Allocation, 0, len(listed))
	for _, i := range listed {
		r.Allocations = append(r.Allocations, all[i])
	}
	return r
}

// ReplyDeltaDecoder is the holder's end for replies.
type ReplyDeltaDecoder struct {
	rows  rows[Allocation]
	epoch ident.Epoch
	seq   uint64
}

// Decode returns the whole reply. It fails for one that was overtaken, which the
// Holder would ignore, and for one whose base is missing.
func (p *ReplyDeltaDecoder) Decode(r Reply) (Reply, bool) {
	switch {
	case r.Epoch < p.epoch, r.Epoch == p.epoch && r.Seq <= p.seq:
		return Reply{}, false
	case !r.Partial:
		p.rows.list = p.rows.list[:0]
	case r.Epoch != p.epoch:
		return Reply{}, false
	}
	p.epoch, p.seq = r.Epoch, r.Seq
	for _, a := range r.Allocations {
		p.rows.set(a.Backend, a)
	}
	r.Partial, r.Allocations = false, make([]Allocation, 0, len(p.rows.list))
	for i := range p.rows.list {
		r.Allocations = append(r.Allocations, p.rows.list[i].value)
	}
	return r, true
}
