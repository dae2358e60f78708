package credit

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// BackendID identifies the group or the plain backend server that a limit applies
// to.
type BackendID string

// Amount is a number of concurrent requests and the number of their context tokens.
type Amount struct {
	Requests int `msgpack:"r"`
	Tokens   int `msgpack:"t"`
}

func (a Amount) add(b Amount) Amount {
	return Amount{a.Requests + b.Requests, a.Tokens + b.Tokens}
}

// sub subtracts b; neither number becomes negative.
func (a Amount) sub(b Amount) Amount {
	return Amount{max(0, a.Requests-b.Requests), max(0, a.Tokens-b.Tokens)}
}

func (a Amount) minWith(b Amount) Amount {
	return Amount{min(a.Requests, b.Requests), min(a.Tokens, b.Tokens)}
}

func (a Amount) maxWith(b Amount) Amount {
	return Amount{max(a.Requests, b.Requests), max(a.Tokens, b.Tokens)}
}

func (a Amount) isZero() bool { return a == Amount{} }

// Usage is what one holder reports about one backend server.
type Usage struct {
	Backend BackendID `msgpack:"b"`
	// Incarnation is the incarnation that the requests of InFlight run on.
	Incarnation string `msgpack:"i"`
	InFlight    Amount `msgpack:"f"`
	// Floor is the least number of requests in flight since the holder sent the
	// sync of the last reply that it applied.
	Floor int `msgpack:"l"`
	// Demand is the sum of what is in flight and what waits for credits.
	Demand Amount `msgpack:"d"`
	// Exclusive claims the right to run a suspect, a request that is suspected of
	// crashing backend servers. One suspect at a time runs on a backend server.
	Exclusive bool `msgpack:"x,omitempty"`
	// Changed means that the holder itself observed another incarnation or a cold
	// start, ChangedAge before it sent the sync.
	Changed    bool          `msgpack:"c,omitempty"`
	ChangedAge time.Duration `msgpack:"a,omitempty"`
	// Reserve is the holder's reserve; it is valid for another ReserveLeft.
	Reserve     Amount        `msgpack:"v"`
	ReserveLeft time.Duration `msgpack:"w,omitempty"`
	// ReserveRenewed means that the reserve ends ReserveTTL after the acknowledged
	// sync was sent. Only SyncPacker sets it.
	ReserveRenewed bool `msgpack:"n,omitempty"`
	// RampLeft is the remaining time of the ramp, from the last allocation.
	RampLeft time.Duration `msgpack:"p,omitempty"`
}

// Sync is a message of a holder to the owner. It reports on every backend server of
// the service that the holder uses.
type Sync struct {
	Entry       ident.InstanceID  `msgpack:"e"`
	Incarnation ident.Incarnation `msgpack:"n"`
	Seq         uint64            `msgpack:"s"`
	// Sent is the send time on the holder's clock.
	Sent time.Duration `msgpack:"t"`
	// Epoch and Acked are the epoch and the sequence number of the last reply that
	// the holder applied.
	Epoch ident.Epoch `msgpack:"o"`
	Acked uint64      `msgpack:"k"`
	Usage []Usage     `msgpack:"u"`
	// Partial syncs leave out the usages that have not changed since sync Acked, which
	// was sent at AckedSent. AcceptsPartial means that the holder accepts partial replies.
	Partial        bool          `msgpack:"p,omitempty"`
	AcceptsPartial bool          `msgpack:"d,omitempty"`
	AckedSent      time.Duration `msgpack:"j,omitempty"`
	// Accounts are the rates of the client accounts in use at this entry instance.
	Accounts []AccountRate `msgpack:"c,omitempty"`
}

// Allocation is what the owner grants to a holder for one backend server.
type Allocation struct {
	Backend     BackendID `msgpack:"b"`
	Incarnation string    `msgpack:"i"`
	Amount      Amount    `msgpack:"m"`
	Cold        bool      `msgpack:"c,omitempty"`
	Exclusive   bool      `msgpack:"x,omitempty"`
	Reserve     Amount    `msgpack:"v"`
	// KeepReserve means that the holder keeps its reserve and the end of it.
	KeepReserve bool          `msgpack:"q,omitempty"`
	RampLeft    time.Duration `msgpack:"p,omitempty"`
}

// Reply is the owner's response to a sync.
type Reply struct {
	Epoch ident.Epoch `msgpack:"o"`
	Seq   uint64      `msgpack:"s"`
	// Recovering means that the owner grants nothing yet, because allocations of an
	// earlier owner may still be valid. Holders keep their allocations.
	Recovering bool `msgpack:"r,omitempty"`
	// Resync requests the next sync at once, because another entry instance waits
	// for the credits by which this reply reduces the allocation.
	Resync      bool         `msgpack:"y,omitempty"`
	Allocations []Allocation `msgpack:"a"`
	// Partial replies leave out the allocations that have not changed since the
	// reply that the sync acknowledges. AcceptsPartial means that the owner accepts
	// partial syncs.
	Partial        bool `msgpack:"p,omitempty"`
	AcceptsPartial bool `msgpack:"d,omitempty"`
	// Accounts are the total rates that the other entry instances report for the
	// client accounts of the sync. LiveEntries is the number of live entry instances.
	Accounts    []AccountRate `msgpack:"c,omitempty"`
	LiveEntries int           `msgpack:"n"`
}
