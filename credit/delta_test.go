package credit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// link is the way between a holder and its owners as processes have it: messages
// carry what changed. It remembers the whole messages and fails when the other
// end puts anything else together.
type link struct {
	syncs    *SyncDeltaEncoder
	replies  ReplyDeltaDecoder
	ends     map[*Owner]*linkEnd
	whole    map[uint64]Sync
	owner    *Owner
	partials int
}

type linkEnd struct {
	syncs   SyncDeltaDecoder
	replies ReplyDeltaEncoder
}

// linkReply is a reply on its way, or the question for a whole sync.
type linkReply struct {
	packed, whole Reply
	resend        bool
}

func newLink() *link {
	return &link{syncs: NewSyncDeltaEncoder(), ends: make(map[*Owner]*linkEnd), whole: make(map[uint64]Sync)}
}

// pack takes a sync apart. A holder that turns to another owner sends it whole.
func (l *link) pack(owner *Owner, s Sync) Sync {
	if owner != l.owner {
		l.owner = owner
		l.syncs.Reset()
	}
	l.whole[s.Seq] = s
	return l.syncs.Encode(s)
}

func (l *link) answer(t assert.TestingT, owner *Owner, now time.Duration, s Sync) *linkReply {
	end, ok := l.ends[owner]
	if !ok {
		end = &linkEnd{}
		l.ends[owner] = end
	}
	if end.syncs.Superseded(&s) {
		return nil
	}
	partial := s.Partial
	got, ok := end.syncs.Decode(s, owner.epoch)
	if !ok {
		return &linkReply{resend: true}
	}
	want := l.whole[s.Seq]
	assert.DeepEqual(t, got.Usage, want.Usage)
	if partial {
		l.partials++
	}
	for _, a := range owner.Step(now, got) {
		r := a.(Reply)
		return &linkReply{packed: end.replies.Encode(&got, r), whole: r}
	}
	return nil
}

func (l *link) apply(t assert.TestingT, h *Holder, now time.Duration, r *linkReply) {
	if r.resend {
		l.syncs.Reset()
		return
	}
	l.syncs.RecordReply(r.packed)
	if got, ok := l.replies.Decode(r.packed); ok {
		assert.Equal(t, len(got.Allocations), len(r.whole.Allocations))
		for i := range got.Allocations {
			assert.Equal(t, got.Allocations[i], r.whole.Allocations[i])
		}
		h.ApplyReply(now, got)
	}
}

// TestDelta guards against a backend server whose unchanged usage or allocation
// the other end lacks, keeps too long or has from an earlier message, over
// backend servers that come and go, lost, late and reordered messages, and owners
// that forget the holder. Each message that is put together is compared with the
// whole one; TestLimitHolds does the same under its failures.
func TestDelta(t *testing.T) {
	partials := 0
	rapid.Check(t, func(t *rapid.T) {
		const backends = 5
		l, h := newLink(), NewHolder("e", "1")
		owner := NewOwner(1, 0)
		report := func(now time.Duration, b int, cold bool) {
			owner.Step(now, Report{Backend: BackendID(fmt.Sprint(b)), Incarnation: "1", Limits: simLimits, Polled: true, Sent: now, Received: now, Cold: cold})
		}
		type message struct {
			at time.Duration
			do func(now time.Duration)
		}
		var way []message
		later := func(now time.Duration, do func(time.Duration)) {
			if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
				way = append(way, message{now + time.Duration(rapid.IntRange(0, 1200).Draw(t, "delay"))*ms, do})
			}
		}
		for now := 10 * ms; now < 60*time.Second; now += 250 * ms {
			b := rapid.IntRange(0, backends-1).Draw(t, "backend")
			id := BackendID(fmt.Sprint(b))
			switch rapid.IntRange(0, 19).Draw(t, "action") {
			case 0:
				h.Retain(func(k BackendID) bool { return k != id })
			case 1, 2:
				h.Track(id)
			case 3:
				h.SetWaiting(id, Amount{rapid.IntRange(0, 9).Draw(t, "waiting"), 10}, false)
			case 4:
				_, _ = h.Acquire(now, id, 1, true)
			case 5:
				report(now, b, rapid.Bool().Draw(t, "cold"))
			case 6:
				h.Observe(now, id, "1", true)
			case 7:
				if rapid.IntRange(0, 3).Draw(t, "owner") == 0 {
					owner = NewOwner(ident.Epoch(uint64(owner.epoch)+1), now)
				} else {
					delete(l.ends, owner)
				}
			}
			for i := range backends {
				report(now, i, false)
			}
			msg, to := l.pack(owner, h.NextSync(now)), owner
			later(now, func(now time.Duration) {
				if r := l.answer(t, to, now, msg); r != nil {
					later(now, func(now time.Duration) { l.apply(t, h, now, r) })
				}
			})
			due := way
			way = nil
			for _, m := range due {
				if m.at <= now {
					m.do(now)
				} else {
					way = append(way, m)
				}
			}
		}
		partials += l.partials
	})
	assert.Assert(t, partials > 1000, "only %d partial syncs were checked", partials)
}
