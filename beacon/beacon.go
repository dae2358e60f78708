// Package beacon keeps entry instances informed of each other by datagrams: who
// is alive and takes callers, what each has under way at backend servers, and
// which groups make no progress. Loss of datagrams costs freshness only; no
// invariant depends on them.
package beacon

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/mirror"
)

// Load is the number of requests under way at a backend server. The server is
// named by a hash: loads are most of a message, and a message goes to each entry
// instance. Two servers with one hash share their loads, which only makes both
// look busier.
type Load struct {
	Server   uint32
	InFlight int
}

// EncodeMsgpack writes the two numbers without names.
func (l Load) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Wrap(enc.EncodeMulti(l.Server, l.InFlight), "encode load")
}

// DecodeMsgpack reads what EncodeMsgpack writes.
func (l *Load) DecodeMsgpack(dec *msgpack.Decoder) error {
	return errors.Wrap(dec.DecodeMulti(&l.Server, &l.InFlight), "decode load")
}

// NewLoad returns the load of a backend server.
func NewLoad(id ident.InstanceID, inFlight int) Load {
	return Load{Server: hash(id), InFlight: inFlight}
}

// Hashes names backend servers in messages.
func Hashes(ids []ident.InstanceID) []uint32 {
	var out []uint32
	for _, id := range ids {
		out = append(out, hash(id))
	}
	return out
}

func hash(id ident.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Suspicion names a group without progress.
type Suspicion struct {
	Group ident.GroupID `msgpack:"g"`
	Epoch ident.Epoch   `msgpack:"e"`
}

// Message is what an entry instance says about itself.
type Message struct {
	From        ident.InstanceID  `msgpack:"f"`
	Incarnation ident.Incarnation `msgpack:"i"`
	// Number grows with each message of one run.
	Number     uint64           `msgpack:"n"`
	Address    netip.Addr       `msgpack:"-"`
	Callers    string           `msgpack:"c"`
	DataCentre ident.DataCentre `msgpack:"d"`
	// Capacity is the sender's processor share. Duties go to the largest.
	Capacity float64 `msgpack:"w"`
	// Ready instances take callers. Leaving ones shut down.
	Ready   bool `msgpack:"r"`
	Leaving bool `msgpack:"l"`
	// Holds tells that the sender holds the planner's lease.
	Holds bool `msgpack:"h"`
	// Direct senders read the store themselves; its last answer is StoreAge old,
	// and Tops are the newest versions that they have.
	Direct   bool          `msgpack:"x"`
	StoreAge time.Duration `msgpack:"a"`
	Tops     []mirror.Top  `msgpack:"t"`
	// Served tells that callers have sent requests.
	Served   bool        `msgpack:"v"`
	Loads    []Load      `msgpack:"o"`
	Suspects []Suspicion `msgpack:"u"`
	// Failing are the hashes of backend servers whose last request from the sender
	// failed.
	Failing []uint32 `msgpack:"z"`
	// Vouched are those that others name as failing and that have answered the
	// sender lately.
	Vouched []uint32 `msgpack:"y"`
	// Peers are addresses of other entry instances.
	Peers []string `msgpack:"p"`
}

// Encode returns the datagram of a message.
func Encode(m *Message) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&b)
	enc.UseCompactInts(true)
	enc.SetOmitEmpty(true)
	err := enc.Encode(m)
	return b.Bytes(), errors.Wrap(err, "encode beacon")
}

// Decode reads a datagram.
func Decode(b []byte) (Message, error) {
	var m Message
	err := msgpack.Unmarshal(b, &m)
	if err == nil && m.From == "" {
		err = errors.New("no sender")
	}
	return m, errors.Wrap(err, "decode beacon: drop it")
}

// Times of the table.
const (
	// AliveFor is how long an instance counts as alive after its last message.
	// It spans several messages, so that lost ones do not matter.
	AliveFor = 1000 * time.Millisecond
	// forgetAfter is when an address that does not answer is dropped.
	forgetAfter = 30 * time.Second
)

// peer is another entry instance.
type peer struct {
	Message
	heard time.Duration
}

// Table is what this entry instance knows of the others. Its methods may be
// called from any goroutine.
type Table struct {
	self ident.InstanceID

	mu        sync.RWMutex
	peers     map[ident.InstanceID]*peer
	addresses map[netip.Addr]time.Duration
	elsewhere map[uint32]int
	// complaints counts the instances that name a backend server as failing,
	// vouchers those that vouch for it.
	complaints, vouchers map[uint32]int
	alive                int
}

// NewTable returns the table of an entry instance.
func NewTable(self ident.InstanceID) *Table {
	return &Table{
		self:       self,
		peers:      make(map[ident.InstanceID]*peer),
		addresses:  make(map[netip.Addr]time.Duration),
		elsewhere:  make(map[uint32]int),
		complaints: make(map[uint32]int),
		vouchers:   make(map[uint32]int),
		alive:      1,
	}
}

// Know adds the address of another entry instance.
func (t *Table) Know(now time.Duration, a netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.addresses[a]; !ok {
		t.addresses[a] = now
	}
}

// Addresses returns where messages go.
func (t *Table) Addresses() []netip.Addr {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]netip.Addr, 0, len(t.addresses))
	for a := range t.addresses {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return out
}

// Run is one run of an entry instance.
type Run struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
}

// News is what a message changes.
type News struct {
	// Stale messages were overtaken by later ones.
	Stale bool
	// Appeared tells that the sender was not known as alive before.
	Appeared bool
	// Ended is the sender's former run, if it has started again.
	Ended Run
}

// Receive takes a message.
func (t *Table) Receive(now time.Duration, m Message) News {
	if m.From == t.self {
		return News{Stale: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.peers[m.From]
	if ok && old.Incarnation == m.Incarnation && m.Number <= old.Number {
		return News{Stale: true}
	}
	news := News{Appeared: !ok || now-old.heard >= AliveFor || old.Incarnation != m.Incarnation}
	if ok {
		t.add(&old.Message, -1)
		if old.Incarnation != m.Incarnation {
			news.Ended = Run{old.From, old.Incarnation}
		}
	}
	t.add(&m, 1)
	t.peers[m.From] = &peer{Message: m, heard: now}
	t.addresses[m.Address] = now
	for _, p := range m.Peers {
		if a, err := netip.ParseAddr(p); err == nil {
			if _, ok := t.addresses[a]; !ok {
				t.addresses[a] = now
			}
		}
	}
	return news
}

// add counts what a message says of backend servers, or takes it back with the sign
// -1.
func (t *Table) add(m *Message, sign int) {
	for _, l := range m.Loads {
		count(t.elsewhere, l.Server, sign*l.InFlight)
	}
	for _, s := range m.Failing {
		count(t.complaints, s, sign)
	}
	for _, s := range m.Vouched {
		count(t.vouchers, s, sign)
	}
}

// count adds to the count of a server and drops one that is used up.
func count(counts map[uint32]int, server uint32, n int) {
	if n += counts[server]; n > 0 {
		counts[server] = n
		return
	}
	delete(counts, server)
}

// Expire drops what silent instances said, and returns those that fell silent.
func (t *Table) Expire(now time.Duration) (silent []Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := 1
	for id, p := range t.peers {
		if now-p.heard < AliveFor {
			alive++
			continue
		}
		t.add(&p.Message, -1)
		delete(t.peers, id)
		silent = append(silent, Run{id, p.Incarnation})
	}
	t.alive = alive
	for a, at := range t.addresses {
		if now-at > forgetAfter {
			delete(t.addresses, a)
		}
	}
	return silent
}

// Seen is the last message of an instance and the time since.
type Seen struct {
	Message
	Silent time.Duration
}

// Seen returns the last messages of the instances that are alive, by id.
func (t *Table) Seen(now time.Duration) []Seen {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Seen, 0, len(t.peers))
	for _, p := range t.peers {
		if silent := now - p.heard; silent < AliveFor {
			out = append(out, Seen{p.Message, silent})
		}
	}
	slices.SortFunc(out, func(a, b Seen) int { return cmp.Compare(a.From, b.From) })
	return out
}

// InFlight returns the requests that other entry instances have under way at a
// backend server.
func (t *Table) InFlight(id ident.InstanceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.elsewhere[hash(id)]
}

// HealthReports returns the number of other entry instances to which a backend server's
// last answer was a failure, and of those that it has answered lately although some
// complain.
func (t *Table) HealthReports(id ident.InstanceID) (complaints, vouchers int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.complaints[hash(id)], t.vouchers[hash(id)]
}

// Entries is the number of entry instances alive, this one included.
func (t *Table) Entries() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.alive
}
