// Package beacon implements the heartbeats between entry instances. A beacon is a UDP
// datagram that an entry instance regularly sends to all others. It tells whether the
// sender is ready, how many requests it has in flight at each backend server, which
// servers fail for it and which groups make no progress. Lost datagrams only make this
// data older: no invariant depends on them.
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

// Load is the number of requests in flight at a backend server. A hash of the server's
// id keeps messages small: loads make up most of a message, which goes to each entry
// instance. Servers with the same hash share their loads, which only makes them look
// busier.
type Load struct {
	Server   uint32
	InFlight int
}

// EncodeMsgpack writes the two numbers without field names.
func (l Load) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Wrap(enc.EncodeMulti(l.Server, l.InFlight), "encode load")
}

// DecodeMsgpack reads what EncodeMsgpack writes.
func (l *Load) DecodeMsgpack(dec *msgpack.Decoder) error {
	return errors.Wrap(dec.DecodeMulti(&l.Server, &l.InFlight), "decode load")
}

// NewLoad returns the load of a backend server.
func NewLoad(id ident.InstanceID, inFlight int) Load {
	return Load{Server: hashID(id), InFlight: inFlight}
}

// HashIDs returns the hashes that identify backend servers in messages.
func HashIDs(ids []ident.InstanceID) []uint32 {
	var hashes []uint32
	for _, id := range ids {
		hashes = append(hashes, hashID(id))
	}
	return hashes
}

func hashID(id ident.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// GroupEpoch identifies a group in one of its epochs.
type GroupEpoch struct {
	Group ident.GroupID `msgpack:"g"`
	Epoch ident.Epoch   `msgpack:"e"`
}

// Message is the content of a beacon.
type Message struct {
	From        ident.InstanceID  `msgpack:"f"`
	Incarnation ident.Incarnation `msgpack:"i"`
	// Sequence increases with each message of one run.
	Sequence uint64 `msgpack:"n"`
	// Address is the source address of the datagram, set by the receiver.
	Address netip.Addr `msgpack:"-"`
	// CallerAddress is the address at which the sender accepts callers' requests.
	CallerAddress string           `msgpack:"c"`
	DataCentre    ident.DataCentre `msgpack:"d"`
	// CPUShare is the share of a CPU core that the sender may use. Instances with the
	// largest share are preferred as store readers and as lease holder.
	CPUShare float64 `msgpack:"w"`
	// Ready is true if the sender can serve callers, Leaving if it is shutting down.
	Ready   bool `msgpack:"r"`
	Leaving bool `msgpack:"l"`
	// HoldsLease is true if the sender holds the planner's lease.
	HoldsLease bool `msgpack:"h"`
	// ReadsStore is true if the sender reads the store itself. StoreAge is then the
	// time since the store last answered it, and TableVersions are the newest versions
	// that it has.
	ReadsStore    bool                  `msgpack:"x"`
	StoreAge      time.Duration         `msgpack:"a"`
	TableVersions []mirror.TableVersion `msgpack:"t"`
	// RequestsReceived is true once the sender has accepted a request of a caller.
	RequestsReceived bool   `msgpack:"v"`
	Loads            []Load `msgpack:"o"`
	// StalledGroups are groups at which requests of the sender made no progress.
	StalledGroups []GroupEpoch `msgpack:"u"`
	// FailingServers are the hashes of backend servers whose last answer to the sender
	// was a failure.
	FailingServers []uint32 `msgpack:"z"`
	// HealthyServers are the hashes of backend servers that have recently answered the
	// sender, but that other instances report as failing.
	HealthyServers []uint32 `msgpack:"y"`
	// PeerAddresses are addresses of some other entry instances.
	PeerAddresses []string `msgpack:"p"`
}

// Encode encodes a message as a datagram.
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

// Decode decodes a datagram.
func Decode(b []byte) (Message, error) {
	var m Message
	err := msgpack.Unmarshal(b, &m)
	if err == nil && m.From == "" {
		err = errors.New("message names no sender")
	}
	return m, errors.Wrap(err, "decode beacon: drop the datagram")
}

// Timeouts of the peer table.
const (
	// PeerTimeout is how long an instance counts as alive after its last message. It
	// spans several beacon intervals, so that single lost messages do not matter.
	PeerTimeout = 1000 * time.Millisecond
	// addressTimeout is the time after which an address is dropped if no message has
	// come from it.
	addressTimeout = 30 * time.Second
)

// peer holds the last message of another entry instance, and when it was received.
type peer struct {
	Message
	lastReceived time.Duration
}

// Table holds what this entry instance knows about its peers, the other entry
// instances. Its methods may be called from any goroutine.
type Table struct {
	self ident.InstanceID

	mu    sync.RWMutex
	peers map[ident.InstanceID]*peer
	// addresses holds the addresses to send beacons to, and when each was added or
	// was last the source of a message.
	addresses map[netip.Addr]time.Duration
	// remoteInFlight counts the peers' requests in flight by the hash of the server.
	remoteInFlight map[uint32]int
	// failureReports counts the peers that report a backend server as failing, and
	// healthReports those that report it as healthy, by the hash of the server.
	failureReports, healthReports map[uint32]int
	// aliveCount is the number of live instances at the last call of Expire, this one
	// included.
	aliveCount int
}

// NewTable returns the table of the entry instance self, without peers.
func NewTable(self ident.InstanceID) *Table {
	return &Table{
		self:           self,
		peers:          make(map[ident.InstanceID]*peer),
		addresses:      make(map[netip.Addr]time.Duration),
		remoteInFlight: make(map[uint32]int),
		failureReports: make(map[uint32]int),
		healthReports:  make(map[uint32]int),
		aliveCount:     1,
	}
}

// AddAddress adds the address of another entry instance unless it is known.
func (t *Table) AddAddress(now time.Duration, address netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.addresses[address]; !ok {
		t.addresses[address] = now
	}
}

// Addresses returns the addresses to send beacons to, in ascending order.
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

// Run identifies one run of the process of an entry instance.
type Run struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
}

// ReceiveResult describes what a message has changed.
type ReceiveResult struct {
	// Stale is true if the message was ignored, because a later one was received
	// before or this instance sent it itself.
	Stale bool
	// Appeared is true if the sender's run was not known to be alive.
	Appeared bool
	// EndedRun is the sender's previous run if its process has restarted.
	EndedRun Run
}

// Receive records a message received at the time now.
func (t *Table) Receive(now time.Duration, m Message) ReceiveResult {
	if m.From == t.self {
		return ReceiveResult{Stale: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, ok := t.peers[m.From]
	if ok && previous.Incarnation == m.Incarnation && m.Sequence <= previous.Sequence {
		return ReceiveResult{Stale: true}
	}
	result := ReceiveResult{Appeared: !ok || now-previous.lastReceived >= PeerTimeout || previous.Incarnation != m.Incarnation}
	if ok {
		t.addCounts(&previous.Message, -1)
		if previous.Incarnation != m.Incarnation {
			result.EndedRun = Run{previous.From, previous.Incarnation}
		}
	}
	t.addCounts(&m, 1)
	t.peers[m.From] = &peer{Message: m, lastReceived: now}
	t.addresses[m.Address] = now
	for _, p := range m.PeerAddresses {
		if a, err := netip.ParseAddr(p); err == nil {
			if _, ok := t.addresses[a]; !ok {
				t.addresses[a] = now
			}
		}
	}
	return result
}

// addCounts adds the loads and reports of a message to the counts of backend servers.
// With the sign -1 it subtracts them again.
func (t *Table) addCounts(m *Message, sign int) {
	for _, load := range m.Loads {
		adjustCount(t.remoteInFlight, load.Server, sign*load.InFlight)
	}
	for _, server := range m.FailingServers {
		adjustCount(t.failureReports, server, sign)
	}
	for _, server := range m.HealthyServers {
		adjustCount(t.healthReports, server, sign)
	}
}

// adjustCount adds n to the count of a server and deletes the count if it drops to 0.
func adjustCount(counts map[uint32]int, server uint32, n int) {
	if n += counts[server]; n > 0 {
		counts[server] = n
		return
	}
	delete(counts, server)
}

// Expire removes the peers without a message for PeerTimeout together with their
// counts, and returns their runs. It also removes expired addresses.
func (t *Table) Expire(now time.Duration) (expired []Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := 1
	for id, p := range t.peers {
		if now-p.lastReceived < PeerTimeout {
			alive++
			continue
		}
		t.addCounts(&p.Message, -1)
		delete(t.peers, id)
		expired = append(expired, Run{id, p.Incarnation})
	}
	t.aliveCount = alive
	for a, lastUsed := range t.addresses {
		if now-lastUsed > addressTimeout {
			delete(t.addresses, a)
		}
	}
	return expired
}

// AlivePeer is the last message of a peer that is alive, and the time since then.
type AlivePeer struct {
	Message
	SinceLastMessage time.Duration
}

// AlivePeers returns the peers that are alive, sorted by id.
func (t *Table) AlivePeers(now time.Duration) []AlivePeer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]AlivePeer, 0, len(t.peers))
	for _, p := range t.peers {
		if sinceLast := now - p.lastReceived; sinceLast < PeerTimeout {
			out = append(out, AlivePeer{p.Message, sinceLast})
		}
	}
	slices.SortFunc(out, func(a, b AlivePeer) int { return cmp.Compare(a.From, b.From) })
	return out
}

// InFlight returns the number of requests that other entry instances have in flight
// at a backend server.
func (t *Table) InFlight(id ident.InstanceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.remoteInFlight[hashID(id)]
}

// HealthReports returns the number of other entry instances that report a backend server as
// failing, and of those that report it as healthy.
func (t *Table) HealthReports(id ident.InstanceID) (failing, healthy int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.failureReports[hashID(id)], t.healthReports[hashID(id)]
}

// AliveInstances returns the number of live entry instances at the last call of
// Expire, this one included.
func (t *Table) AliveInstances() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.aliveCount
}
