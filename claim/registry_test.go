package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// TestRegistryLimits guards against unbounded memory use and against evicting a
// used ticket before its expiry, which would let its request run again.
func TestRegistryLimits(t *testing.T) {
	cfg := RegistryConfig{MaxAttempts: 10, MaxAnswerBytes: 100, RecordedTTL: time.Minute, AbandonedTTL: time.Hour}
	r := NewRegistry(cfg)
	reserve := func(now time.Duration, i int, ticketExpires time.Duration) bool {
		id := fmt.Sprint(i)
		got := r.Reserve(now, Request{Key: Key(id), Owner: Owner{Attempt: ident.AttemptID(id)}}, ticketExpires)
		return got.Existing == nil
	}
	for i := range 5 {
		assert.Assert(t, reserve(0, i, TicketLifetime))
		assert.Assert(t, r.SetFinalState(0, ident.AttemptID(fmt.Sprint(i)), StateDone, &Answer{Body: []byte("ok")}))
		r.MarkRecorded(0, ident.AttemptID(fmt.Sprint(i)))
	}
	for i := 5; i < 100; i++ {
		id := ident.AttemptID(fmt.Sprint(i))
		assert.Assert(t, reserve(0, i, 0), "recorded attempts must be evicted")
		r.SetFinalState(0, id, StateDone, &Answer{Body: []byte("ok")})
		r.MarkRecorded(0, id)
		assert.Assert(t, r.Len() <= cfg.MaxAttempts)
	}
	for i := range 5 {
		assert.Assert(t, !reserve(TicketLifetime-1, i, TicketLifetime), "used ticket was evicted before its expiry")
	}
	for i := 200; i < 205; i++ {
		assert.Assert(t, reserve(0, i, 0))
	}
	assert.Assert(t, !reserve(0, 300, 0), "a registry full of running attempts must refuse further ones")
	assert.Assert(t, reserve(TicketLifetime, 301, 0), "attempts with expired tickets must be evicted")
	assert.Assert(t, !reserve(TicketLifetime, 1, TicketLifetime), "request of an expired ticket was accepted again")
}

// TestTicket guards against a ticket that is valid for another account, service
// or incarnation, or after its expiry.
func TestTicket(t *testing.T) {
	m := NewMinter("e1", "i1", []byte("secret"))
	key := m.Mint(0, "acct", "orders", 7)
	ticket, err := ParseTicket(key)
	assert.NilError(t, err)
	assert.Equal(t, ticket.Instance, ident.InstanceID("e1"))
	assert.NilError(t, m.Verify(TicketLifetime-1, ticket, "acct", "orders"))
	assert.ErrorIs(t, m.Verify(TicketLifetime, ticket, "acct", "orders"), ErrTicketExpired)
	assert.ErrorIs(t, m.Verify(0, ticket, "other", "orders"), ErrBadTicket)
	assert.ErrorIs(t, m.Verify(0, ticket, "acct", "other"), ErrBadTicket)
	assert.ErrorIs(t, NewMinter("e1", "i2", []byte("s2")).Verify(0, ticket, "acct", "orders"), ErrBadTicket)
	assert.ErrorIs(t, NewMinter("e1", "i1", []byte("s2")).Verify(0, ticket, "acct", "orders"), ErrBadTicket)
}

// FuzzParseTicket guards against a panic on malicious keys and against a ticket
// that passes verification although this incarnation did not mint it.
func FuzzParseTicket(f *testing.F) {
	m := NewMinter("e1", "i1", []byte("secret"))
	minted := m.Mint(0, "acct", "orders", 7)
	f.Add(minted)
	f.Add("bt1.")
	f.Add("bt1.a.b.c.d")
	f.Add(minted[:len(minted)-1])
	f.Fuzz(func(t *testing.T, key string) {
		ticket, err := ParseTicket(key)
		if err != nil {
			return
		}
		if key != minted {
			assert.Assert(t, m.Verify(0, ticket, "acct", "orders") != nil, "forged ticket %q", key)
		}
	})
}
