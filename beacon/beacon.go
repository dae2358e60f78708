// Package beacon implements the heartbeats between entry instances. A beacon is a UDP
// datagram that an entry instance regularly sends to all others. It tells whether the
// sender is ready, how many requests it has in flight at each backend server, which
// servers fail for it and which groups make no progress. Lost datagrams only make this
// data older: no invariant depends on them.
package beacon

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/activity"
	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/mirror"
	"github.com/bulrushfall/bulrushfall/quarantine"
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
	// Crashes are the sender's findings about crashes of backend servers, including those
	// that it has received.
	Crashes quarantine.Findings `msgpack:"j"`
	// Limits are request limits of backend servers, including those that the sender has
	// received.
	Limits []admission.LimitReport `msgpack:"b"`
	// WantDigest is true if the sender asks the receiver for digests. Acks confirms the
	// changes that earlier ones had.
	WantDigest bool  `msgpack:"q"`
	Acks       []Ack `msgpack:"k"`
	// Activity is what the sender counts for duties, or nil if there are none.
	Activity *activity.Report `msgpack:"m"`
}

// Encode encodes a message as a datagram.
func Encode(m *Message) ([]byte, error) {
	b, err := encode(m)
	for shrunk := *m; err == nil && len(b) > MaxDatagramBytes; {
		shrunk.shrink()
		b, err = encode(&shrunk)
	}
	return b, err
}

// digestMark is the first byte of a datagram with a digest. Those with a beacon begin with
// the code of a map.
const digestMark = 0x01

// EncodeDigest encodes a digest as a datagram.
func EncodeDigest(d *Digest) ([]byte, error) {
	b, err := encode(d)
	return append([]byte{digestMark}, b...), err
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&b)
	enc.UseCompactInts(true)
	enc.SetOmitEmpty(true)
	err := enc.Encode(v)
	return b.Bytes(), errors.Wrap(err, "encode datagram")
}

// IsDigest reports whether a datagram holds a digest.
func IsDigest(b []byte) bool { return len(b) > 0 && b[0] == digestMark }

// Decode decodes a beacon.
func Decode(b []byte) (Message, error) {
	var m Message
	err := msgpack.Unmarshal(b, &m)
	if err == nil && m.From == "" {
		err = errors.New("message names no sender")
	}
	return m, errors.Wrap(err, "decode beacon: drop the datagram")
}

// DecodeDigest decodes a digest.
func DecodeDigest(b []byte) (Digest, error) {
	var d Digest
	err := msgpack.Unmarshal(b[1:], &d)
	if err == nil && d.From == "" {
		err = errors.New("digest names no sender")
	}
	return d, errors.Wrap(err, "decode digest: drop the datagram")
}

// MaxDatagramBytes is the size of the largest datagram that entry instances receive.
const MaxDatagramBytes = 16 << 10

// Timeouts of the peer table.
const (
	// PeerTimeout is how long an instance counts as alive after its last message. It
	// spans several beacon intervals, so that single lost messages do not matter.
	PeerTimeout = 1000 * time.Millisecond
	// addressTimeout is the time after which an address is dropped if no message has
	// come from it.
	addressTimeout = 30 * time.Second
)

// Table holds what this entry instance knows about its peers, the other entry
// instances. Its methods may be called from any goroutine.
type Table struct {
	mu sync.RWMutex
	// self is the last beacon of this instance.
	self  Message
	peers map[ident.InstanceID]*peer
	// roster is the result of Roster, or nil if a record has changed since. change
	// numbers the changes of records.
	roster []Record
	change uint64
	// addresses holds the addresses to send beacons to, and when each was added or
	// was last the source of a message.
	addresses map[netip.Addr]time.Duration
	// remoteInFlight counts the requests in flight of the peers whose beacons are
	// received, by the hash of the server. failureReports counts those that report a
	// backend server as failing, and healthReports those that report it as healthy.
	remoteInFlight, failureReports, healthReports map[uint32]int
	readers                                       map[ident.InstanceID]readerEntry
	// replaced holds runs whose instance has started a newer one.
	replaced map[Run]bool
	// stalls holds the reports of stalled groups to pass on, and when each was received.
	stalls map[StalledReport]time.Duration
	// sums are the sums of other data centres, by name. Those of all instances have the
	// empty name and are indexed in totals.
	sums   map[ident.DataCentre]dataCentreSums
	totals totals
	// dataCentreHeardAt is when a relay of a data centre last sent its sums, digestAt
	// when any relay sent a digest, and relaySince when this instance became a relay.
	dataCentreHeardAt    map[ident.DataCentre]time.Duration
	digestAt, relaySince time.Duration
	// refreshedAt is when records were last requested again.
	refreshedAt time.Duration
	// rosterGrewAt is when an instance last appeared, and plans counts the calls of
	// PlanBeacon.
	rosterGrewAt time.Duration
	plans        int
	// ownRelayHeardAt is when another relay of the own data centre last sent a digest.
	ownRelayHeardAt time.Duration
	digestSequence  uint64
	rng             *rand.Rand
}

// NewTable returns the table of the entry instance self, without peers.
func NewTable(self ident.InstanceID) *Table {
	seed := xxhash.Sum64String(string(self))
	return &Table{
		rng:               rand.New(rand.NewPCG(seed, seed)),
		self:              Message{From: self},
		peers:             make(map[ident.InstanceID]*peer),
		addresses:         make(map[netip.Addr]time.Duration),
		remoteInFlight:    make(map[uint32]int),
		failureReports:    make(map[uint32]int),
		healthReports:     make(map[uint32]int),
		readers:           make(map[ident.InstanceID]readerEntry),
		replaced:          make(map[Run]bool),
		stalls:            make(map[StalledReport]time.Duration),
		sums:              make(map[ident.DataCentre]dataCentreSums),
		dataCentreHeardAt: make(map[ident.DataCentre]time.Duration),
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

// Addresses returns the addresses of other entry instances, in ascending order.
func (t *Table) Addresses() []netip.Addr {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.addressesLocked()
}

func (t *Table) addressesLocked() []netip.Addr {
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

// Receive records a beacon received at the time now.
func (t *Table) Receive(now time.Duration, m Message) (result ReceiveResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.From == t.self.From {
		return ReceiveResult{Stale: true}
	}
	p, ok := t.peers[m.From]
	switch {
	case ok && p.Incarnation == m.Incarnation && p.message != nil && m.Sequence <= p.message.Sequence:
		return ReceiveResult{Stale: true}
	case ok && p.Incarnation != m.Incarnation:
		old := p.Run()
		if len(t.replaced) >= maxReplacedRuns {
			clear(t.replaced)
		}
		t.replaced[old] = true
		t.end(p, now)
		result.EndedRun, result.Appeared = old, true
		p = &peer{}
	case !ok:
		result.Appeared = true
		p = &peer{}
	default:
		result.Appeared = p.ended() || (p.message == nil && now-p.heardAt >= isolationTimeout)
	}
	if result.Appeared {
		t.rosterGrewAt = now
	}
	t.peers[m.From] = p
	if p.message != nil {
		t.addCounts(p.message, -1)
	}
	t.addCounts(&m, 1)
	p.message, p.heardAt, p.addr, p.reportedAlive = &m, now, m.Address, false
	t.setRecord(p, m.record())
	if m.WantDigest {
		p.subscribedUntil = now + subscriptionTime
	}
	t.receiveAcks(p, m.Acks)
	if m.ReadsStore {
		t.setReader(now, ReaderState{m.From, m.StoreAge, m.TableVersions})
	} else {
		delete(t.readers, m.From)
	}
	for _, g := range m.StalledGroups {
		t.recordStall(now, StalledReport{g, m.From})
	}
	t.addresses[m.Address] = now
	for _, s := range m.PeerAddresses {
		if a, err := netip.ParseAddr(s); err == nil {
			if _, ok := t.addresses[a]; !ok {
				t.addresses[a] = now
			}
		}
	}
	return result
}

// maxReplacedRuns bounds the number of replaced runs that are remembered.
const maxReplacedRuns = 4096

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

// Expire ends the runs that count as dead and returns them. It also removes expired
// addresses and old records.
func (t *Table) Expire(now time.Duration) (expired []Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	relayed, known := t.relayed(), true
	for _, p := range t.sortedPeers() {
		switch {
		case p.ended():
			if now-p.endedAt >= endedRetention {
				delete(t.peers, p.From)
			}
		case now >= t.deadline(p, relayed):
			known = known && p.message != nil
			expired = append(expired, t.end(p, now))
		case p.message != nil && now-p.heardAt >= PeerTimeout:
			// The instance sends its beacons to other relays. The changed record withdraws
			// this one's report that the instance is alive.
			t.addCounts(p.message, -1)
			p.message = nil
			t.touch(p)
		}
	}
	if !known {
		// Other instances may know better, and have confirmed these records before.
		for _, p := range t.peers {
			p.applied = [scopes]uint64{}
		}
	}
	for a, lastUsed := range t.addresses {
		if now-lastUsed > addressTimeout {
			delete(t.addresses, a)
		}
	}
	for d, s := range t.sums {
		if now-s.receivedAt >= isolationTimeout {
			delete(t.sums, d)
		}
	}
	t.expireStalls(now)
	if now-t.digestAt >= isolationTimeout {
		t.totals = totals{}
	}
	slices.SortFunc(expired, func(a, b Run) int { return cmp.Compare(a.Instance, b.Instance) })
	return expired
}

// deadline returns the time at which a peer counts as dead unless it is heard of before.
// The relays of a data centre decide about its instances, and other instances rely on
// their digests.
func (t *Table) deadline(p *peer, relayed bool) time.Duration {
	switch {
	case !relayed:
		return max(p.heardAt, t.digestAt) + PeerTimeout
	case t.relaySince == 0:
		return t.digestAt + isolationTimeout
	case p.reportedAlive:
		return max(p.heardAt, t.ownRelayHeardAt) + isolationTimeout
	case p.DataCentre == t.self.DataCentre && p.message == nil:
		// A live instance sends its beacons to all relays, unless a path is cut.
		return max(p.heardAt, t.relaySince) + isolationTimeout
	case p.DataCentre == t.self.DataCentre:
		return p.heardAt + PeerTimeout
	default:
		return max(t.dataCentreHeardAt[p.DataCentre], t.relaySince) + dataCentreTimeout
	}
}

// InFlight returns the number of requests that other entry instances have in flight
// at a backend server.
func (t *Table) InFlight(id ident.InstanceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.count(t.remoteInFlight, t.totals.loads, func(s *Sums) []Count { return s.Loads }, hashID(id))
}

// HealthReports returns the number of other entry instances that report a backend server as
// failing, and of those that report it as healthy.
func (t *Table) HealthReports(id ident.InstanceID) (failing, healthy int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	h := hashID(id)
	return t.count(t.failureReports, t.totals.failing, func(s *Sums) []Count { return s.Failing }, h),
		t.count(t.healthReports, t.totals.healthy, func(s *Sums) []Count { return s.Healthy }, h)
}

// count returns the count of a server over all other instances: a relay adds the sums of
// the other data centres to what it has received itself, the others use the totals of
// their relays.
func (t *Table) count(direct, total map[uint32]int, sums func(*Sums) []Count, server uint32) int {
	if t.relaySince == 0 {
		if total == nil {
			return direct[server]
		}
		return max(0, direct[server], total[server])
	}
	n := direct[server]
	for d, s := range t.sums {
		if d == "" {
			continue
		}
		counts := sums(&s.Sums)
		if i, ok := slices.BinarySearchFunc(counts, server, func(c Count, h uint32) int { return cmp.Compare(c.Server, h) }); ok {
			n += counts[i].N
		}
	}
	return n
}

// Rank returns the number of other live entry instances that precede this one in the
// rendezvous order of a key.
func (t *Table) Rank(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := ident.Score(key, t.self.From)
	rank := 0
	for _, r := range t.rosterLocked() {
		if s := ident.Score(key, r.From); s > own || (s == own && r.From < t.self.From) {
			rank++
		}
	}
	return rank
}

// AliveInstances returns the number of live entry instances, this one included.
func (t *Table) AliveInstances() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rosterLocked()) + 1
}
