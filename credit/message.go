package credit

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// BackendID names what a limit applies to: a group or a plain backend server.
type BackendID string

// Amount is a number of concurrent requests and of context tokens they hold.
type Amount struct {
	Requests int `msgpack:"r"`
	Tokens   int `msgpack:"t"`
}

func (a Amount) add(b Amount) Amount {
	return Amount{a.Requests + b.Requests, a.Tokens + b.Tokens}
}

// sub subtracts b and stops at zero.
func (a Amount) sub(b Amount) Amount {
	return Amount{max(0, a.Requests-b.Requests), max(0, a.Tokens-b.Tokens)}
}

func (a Amount) least(b Amount) Amount {
	return Amount{min(a.Requests, b.Requests), min(a.Tokens, b.Tokens)}
}

func (a Amount) most(b Amount) Amount {
	return Amount{max(a.Requests, b.Requests), max(a.Tokens, b.Tokens)}
}

func (a Amount) zero() bool { return a == Amount{} }

// Usage is one holder's part of one backend server.
type Usage struct {
	Backend BackendID `msgpack:"b"`
	// Incarnation is the one that InFlight runs on.
	Incarnation string `msgpack:"i"`
	InFlight    Amount `msgpack:"f"`
	// Floor is the least number of requests in flight since the sync that the
	// holder last saw answered.
	Floor int `msgpack:"l"`
	// Demand is what is in flight and waiting.
	Demand Amount `msgpack:"d"`
	// Exclusive asks to run a suspect, one at a time on the backend server.
	Exclusive bool `msgpack:"x,omitempty"`
	// Changed reports that the holder itself saw another incarnation or a cold
	// start, ChangedAge before the sync was sent.
	Changed    bool          `msgpack:"c,omitempty"`
	ChangedAge time.Duration `msgpack:"a,omitempty"`
	// Reserve is held for ReserveLeft more.
	Reserve     Amount        `msgpack:"v"`
	ReserveLeft time.Duration `msgpack:"w,omitempty"`
	// Renewed reserves end ReserveTTL after the acknowledged sync was sent. Only
	// SyncPacker sets it.
	Renewed bool `msgpack:"n,omitempty"`
	// RampLeft is the rest of the ramp that the last allocation named.
	RampLeft time.Duration `msgpack:"p,omitempty"`
}

// Sync is a holder's message to the owner. It lists every backend server of
// the service that the holder uses.
type Sync struct {
	Entry       ident.InstanceID  `msgpack:"e"`
	Incarnation ident.Incarnation `msgpack:"n"`
	Seq         uint64            `msgpack:"s"`
	// Sent is on the holder's clock.
	Sent time.Duration `msgpack:"t"`
	// Epoch and Acked name the last reply that the holder applied.
	Epoch ident.Epoch `msgpack:"o"`
	Acked uint64      `msgpack:"k"`
	Usage []Usage     `msgpack:"u"`
	// Partial syncs leave out the usages that did not change since Acked, which
	// was sent at AckedSent. Delta tells that the holder takes partial replies.
	Partial   bool          `msgpack:"p,omitempty"`
	Delta     bool          `msgpack:"d,omitempty"`
	AckedSent time.Duration `msgpack:"j,omitempty"`
	// Accounts are the client accounts in use at this entry instance.
	Accounts []AccountRate `msgpack:"c,omitempty"`
}

// Allocation is what the owner grants for one backend server.
type Allocation struct {
	Backend     BackendID `msgpack:"b"`
	Incarnation string    `msgpack:"i"`
	Amount      Amount    `msgpack:"m"`
	Cold        bool      `msgpack:"c,omitempty"`
	Exclusive   bool      `msgpack:"x,omitempty"`
	Reserve     Amount    `msgpack:"v"`
	// KeepReserve leaves the holder's reserve as it is, with its old end.
	KeepReserve bool          `msgpack:"q,omitempty"`
	RampLeft    time.Duration `msgpack:"p,omitempty"`
}

// Reply answers a sync.
type Reply struct {
	Epoch ident.Epoch `msgpack:"o"`
	Seq   uint64      `msgpack:"s"`
	// Recovering owners grant nothing yet; earlier allocations stay in force.
	Recovering bool `msgpack:"r,omitempty"`
	// Resync asks for the next sync at once, because another entry instance
	// waits for what this reply took away.
	Resync      bool         `msgpack:"y,omitempty"`
	Allocations []Allocation `msgpack:"a"`
	// Partial replies leave out the allocations that did not change since the
	// reply that the sync acknowledged. Delta tells that the owner takes partial
	// syncs.
	Partial bool `msgpack:"p,omitempty"`
	Delta   bool `msgpack:"d,omitempty"`
	// Accounts are what the other entry instances report for the accounts of
	// the sync, and LiveEntries is the number of live entry instances.
	Accounts    []AccountRate `msgpack:"c,omitempty"`
	LiveEntries int           `msgpack:"n"`
}
