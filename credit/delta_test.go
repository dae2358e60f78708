package credit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// deltaLink connects a holder to its owners with delta-encoded messages, as between
// processes. It fails the test if a receiver restores another message than the one
// that was encoded.
type deltaLink struct {
	syncs     *SyncDeltaEncoder
	replies   ReplyDeltaDecoder
	ends      map[*Owner]*linkEnd
	fullSyncs map[uint64]Sync
	owner     *Owner
	partials  int
}

// linkEnd is the end of a link at one owner.
type linkEnd struct {
	syncs   SyncDeltaDecoder
	replies ReplyDeltaEncoder
}

// linkReply is a reply in transit, or a request for a full sync.
type linkReply struct {
	encoded, full Reply
	resend        bool
}

func newDeltaLink() *deltaLink {
	return &deltaLink{syncs: NewSyncDeltaEncoder(), ends: make(map[*Owner]*linkEnd), fullSyncs: make(map[uint64]Sync)}
}

// encode encodes a sync. The first sync to another owner is a full one.
func (l *deltaLink) encode(owner *Owner, s Sync) Sync {
	if owner != l.owner {
		l.owner = owner
		l.syncs.Reset()
	}
	l.fullSyncs[s.Seq] = s
	return l.syncs.Encode(s)
}

func (l *deltaLink) reply(t assert.TestingT, owner *Owner, now time.Duration, s Sync) *linkReply {
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
	want := l.fullSyncs[s.Seq]
	assert.DeepEqual(t, got.Usage, want.Usage)
	if partial {
		l.partials++
	}
	for _, a := range owner.Step(now, got) {
		r := a.(Reply)
		return &linkReply{encoded: end.replies.Encode(&got, r), full: r}
	}
	return nil
}

func (l *deltaLink) apply(t assert.TestingT, h *Holder, now time.Duration, r *linkReply) {
	if r.resend {
		l.syncs.Reset()
		return
	}
	l.syncs.RecordReply(r.encoded)
	if got, ok := l.replies.Decode(r.encoded); ok {
		assert.Equal(t, len(got.Allocations), len(r.full.Allocations))
		for i := range got.Allocations {
			assert.Equal(t, got.Allocations[i], r.full.Allocations[i])
		}
		h.ApplyReply(now, got)
	}
}

// TestDeltaRoundTrip guards against a receiver that lacks the unchanged usage or
// allocation of a backend server, keeps it too long or restores an outdated one.
// Backend servers are added and removed, messages are lost, delayed and reordered,
// and owners lose the state of the holder. Each restored message is compared with
// the full one; TestLimitHolds does the same under other failures.
func TestDeltaRoundTrip(t *testing.T) {
	partials := 0
	rapid.Check(t, func(t *rapid.T) {
		const backends = 5
		l, h := newDeltaLink(), NewHolder("e", "1")
		owner := NewOwner(1, 0)
		report := func(now time.Duration, b int, cold bool) {
			owner.Step(now, Report{Backend: BackendID(fmt.Sprint(b)), Incarnation: "1", Limits: simLimits, Polled: true, Sent: now, Received: now, Cold: cold})
		}
		type message struct {
			at      time.Duration
			deliver func(now time.Duration)
		}
		var inTransit []message
		send := func(now time.Duration, deliver func(time.Duration)) {
			if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
				inTransit = append(inTransit, message{now + time.Duration(rapid.IntRange(0, 1200).Draw(t, "delay"))*ms, deliver})
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
			msg, to := l.encode(owner, h.NextSync(now)), owner
			send(now, func(now time.Duration) {
				if r := l.reply(t, to, now, msg); r != nil {
					send(now, func(now time.Duration) { l.apply(t, h, now, r) })
				}
			})
			pending := inTransit
			inTransit = nil
			for _, m := range pending {
				if m.at <= now {
					m.deliver(now)
				} else {
					inTransit = append(inTransit, m)
				}
			}
		}
		partials += l.partials
	})
	assert.Assert(t, partials > 1000, "only %d partial syncs were checked", partials)
}
