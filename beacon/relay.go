package beacon

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
)

// Up to directPeers entry instances send their beacons to all others. With more of them,
// each sends its beacons to a few relays of its data centre. The relays add up the loads
// and reports of their data centre, exchange the sums with those of the other data
// centres, and send the totals and the changes of the roster to their subscribers. The
// messages of an ordinary instance then do not depend on the number of instances.
const (
	// directPeers is the number of other live instances up to which each instance sends
	// its beacons to all others.
	directPeers = 12
	// relaysPerDataCentre is the number of relays that an instance uses, so that the
	// loss of one is noticed by the digests of the other.
	relaysPerDataCentre = 2
	// relayRetryTime is how long a relay that sends no digests is not used.
	relayRetryTime = 10 * time.Second
	// isolationTimeout is how long the records that came in digests count without
	// further digests.
	isolationTimeout = 2 * time.Second
	// dataCentreTimeout is how long the records of another data centre count at a relay
	// without a digest from there. It covers the change to other relays.
	dataCentreTimeout = 2500 * time.Millisecond
	// maxDigestRecords bounds the records in a digest, and maxDigestReaders, maxDigestCounts and
	// maxDigestStalls its other lists. What is left of a datagram limits the records further.
	maxDigestRecords = 160
	maxDigestReaders = 8
	maxDigestCounts  = 250
	maxDigestStalls  = 64
	// reportsPerStall is the number of reports of one group in a digest. Two instances have to
	// report a group before it counts as stalled.
	reportsPerStall = 2
	// endedRetention is how long the records of ended runs are kept, so that they reach
	// all subscribers.
	endedRetention = 2 * time.Minute
	// subscriptionTime is how long an instance gets digests after its last beacon.
	subscriptionTime = 500 * time.Millisecond
	// searchRelays is the number of instances that are asked at a time while none of the
	// relays sends digests.
	searchRelays = 24
	// addressesPerBeacon is the number of addresses of other instances in a beacon that
	// lists any. While the roster grows all do, and otherwise one in
	// beaconsPerAddressList.
	addressesPerBeacon    = 6
	beaconsPerAddressList = 5
	// rosterGrowthTime is how long the roster counts as growing after an instance has
	// appeared.
	rosterGrowthTime = time.Second
	// refreshInterval is the time after which records are requested again.
	refreshInterval = 2 * time.Second
	// stallRelayTime is how long a relay passes on a report of a stalled group.
	stallRelayTime = 400 * time.Millisecond
	// relayDuty is the key of the rendezvous hash that orders instances of the same CPU
	// share as relays.
	relayDuty = "relay"
)

// Ack confirms the changes of another instance's roster.
type Ack struct {
	// Run is a hash of the other instance's run, and Changes are by scope.
	Run     uint32         `msgpack:"r"`
	Changes [scopes]uint64 `msgpack:"c"`
}

func hashRun(r Run) uint32 {
	return hashID(r.Instance + "/" + ident.InstanceID(r.Incarnation))
}

// Count is a number of reports about a backend server.
type Count struct {
	Server uint32
	N      int
}

// EncodeMsgpack writes the two numbers without field names.
func (c Count) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Wrap(enc.EncodeMulti(c.Server, c.N), "encode count")
}

// DecodeMsgpack reads what EncodeMsgpack writes.
func (c *Count) DecodeMsgpack(dec *msgpack.Decoder) error {
	return errors.Wrap(dec.DecodeMulti(&c.Server, &c.N), "decode count")
}

// Sums are the added loads and health reports of several entry instances.
type Sums struct {
	Loads   []Count `msgpack:"l"`
	Failing []Count `msgpack:"f"`
	Healthy []Count `msgpack:"h"`
}

// StalledReport is an entry instance's report that a group makes no progress.
type StalledReport struct {
	GroupEpoch
	Reporter ident.InstanceID `msgpack:"f"`
}

// Digest is what a relay sends to its subscribers and to the relays of other data
// centres.
type Digest struct {
	From        ident.InstanceID  `msgpack:"from"`
	Incarnation ident.Incarnation `msgpack:"i"`
	Sequence    uint64            `msgpack:"n"`
	// DataCentre is the data centre that the sums are of, or empty for those of all
	// instances.
	DataCentre ident.DataCentre `msgpack:"d"`
	Sums       Sums             `msgpack:"s"`
	// Records are the changed records of the sender's roster after the change Base, up
	// to Change.
	Records []Record        `msgpack:"r"`
	Base    uint64          `msgpack:"b"`
	Change  uint64          `msgpack:"c"`
	Acks    []Ack           `msgpack:"k"`
	Stalled []StalledReport `msgpack:"u"`
	Readers []ReaderState   `msgpack:"x"`
	// Crashes are the sender's findings about crashes of backend servers.
	Crashes quarantine.Findings `msgpack:"j"`
	// Limits are request limits of backend servers.
	Limits []admission.LimitReport `msgpack:"l"`
	// Time is the sender's estimate of the true time, or 0 if no duty needs it.
	Time time.Duration `msgpack:"t"`
}

// Outgoing is a digest with the addresses to send it to.
type Outgoing struct {
	Digest  Digest
	Targets []netip.Addr
}

// dataCentreSums are the last sums of another data centre.
type dataCentreSums struct {
	Sums
	receivedAt time.Duration
}

// relayed reports whether there are too many instances for beacons to all.
func (t *Table) relayed() bool { return len(t.rosterLocked()) > directPeers }

// Relayed reports whether there are so many instances that beacons go by relays.
func (t *Table) Relayed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.relayed()
}

// outranks reports whether a precedes b as a relay: instances with a larger CPU share come
// first, then those with a higher score.
func outranks(a, b *Record) bool {
	if a.CPUShare != b.CPUShare {
		return a.CPUShare > b.CPUShare
	}
	sa, sb := ident.Score(relayDuty, a.From), ident.Score(relayDuty, b.From)
	return sa > sb || (sa == sb && a.From < b.From)
}

// relaysOf returns the first count relays of a data centre in order of preference, and
// whether this instance is among them. Relays that send no digests are replaced by the
// next ones.
func (t *Table) relaysOf(d ident.DataCentre, count int, now time.Duration) (relays []*peer, self bool) {
	var candidates []*peer
	for _, p := range t.peers {
		if !p.ended() && p.DataCentre == d && !p.Has(FlagLeaving) && now >= p.unusableUntil {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b *peer) int {
		switch {
		case a == b:
			return 0
		case outranks(&a.Record, &b.Record):
			return -1
		default:
			return 1
		}
	})
	own := t.self.record()
	if d == own.DataCentre && !own.Has(FlagLeaving) {
		rank := 0
		for _, p := range candidates {
			if outranks(&p.Record, &own) {
				rank++
			}
		}
		if self = rank < count; self {
			count--
		}
	}
	return candidates[:min(count, len(candidates))], self
}

// SetSelf sets the state of this instance, as in its last beacon.
func (t *Table) SetSelf(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = m
}

// BeaconPlan says where the next beacon goes.
type BeaconPlan struct {
	Targets []netip.Addr
	// WantDigest is true if the receivers are asked for digests, and Acks confirms the
	// changes of their rosters.
	WantDigest bool
	Acks       []Ack
	// IsRelay is true if this instance is a relay.
	IsRelay bool
	// PeerAddresses are addresses of some other entry instances.
	PeerAddresses []string
}

// PlanBeacon returns where this instance sends its next beacon: to its relays, or to all
// known addresses while there are few of them.
func (t *Table) PlanBeacon(now time.Duration) BeaconPlan {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plans++
	t.requestRefresh(now)
	plan := BeaconPlan{WantDigest: true, Acks: t.acks(now)}
	if now-t.rosterGrewAt < rosterGrowthTime || t.plans%beaconsPerAddressList == 1 {
		for _, a := range t.sample(t.addressesLocked(), addressesPerBeacon) {
			plan.PeerAddresses = append(plan.PeerAddresses, a.String())
		}
	}
	if !t.relayed() {
		t.relaySince = 0
		for _, p := range t.sortedPeers() {
			if !p.ended() {
				plan.Targets = append(plan.Targets, p.addr)
			}
		}
		// Addresses without a live instance are asked in turn.
		others := slices.DeleteFunc(t.addressesLocked(), func(a netip.Addr) bool { return slices.Contains(plan.Targets, a) })
		plan.Targets = append(plan.Targets, t.sample(others, directPeers)...)
		return plan
	}
	count := relaysPerDataCentre
	if now-t.digestAt >= PeerTimeout {
		count = searchRelays
	}
	relays, _ := t.relaysOf(t.self.DataCentre, count, now)
	_, self := t.relaysOf(t.self.DataCentre, relaysPerDataCentre, now)
	if self && t.relaySince == 0 {
		t.relaySince = now
	} else if !self {
		t.relaySince = 0
	}
	plan.IsRelay = self
	for _, p := range relays {
		if p.relaySince == 0 {
			p.relaySince = now
		}
		if now-max(p.relaySince, p.digestAt) >= PeerTimeout {
			p.unusableUntil, p.relaySince = now+relayRetryTime, 0
		}
		plan.Targets = append(plan.Targets, p.addr)
	}
	if len(plan.Targets) == 0 && !self {
		plan.Targets = t.addressesLocked()
	}
	if self {
		plan.Targets = append(plan.Targets, t.searchTarget()...)
	}
	return plan
}

// requestRefresh withdraws the confirmations of records every refreshInterval, a relay all of
// them and others those of one relay, so that all records are sent again. It ends
// differences between rosters that single changes leave.
func (t *Table) requestRefresh(now time.Duration) {
	if now-t.refreshedAt < refreshInterval {
		return
	}
	t.refreshedAt = now
	peers := t.sortedPeers()
	t.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if now-p.digestAt >= isolationTimeout || p.applied == [scopes]uint64{} {
			continue
		}
		p.applied = [scopes]uint64{}
		if t.relaySince == 0 {
			return
		}
	}
}

// searchTarget returns the address of a random instance that is known from earlier but
// not known to be alive. A relay asks one at a time, so that two parts of the system that
// have lost each other meet again.
func (t *Table) searchTarget() []netip.Addr {
	alive := make(map[netip.Addr]bool, len(t.peers))
	candidates := t.addressesLocked()
	strongest := 0.0
	for _, p := range t.peers {
		if p.ended() {
			strongest = max(strongest, p.CPUShare)
		} else {
			alive[p.addr] = true
		}
	}
	// The strongest are the relays of the other part, which know most.
	onlyStrongest := t.rng.IntN(2) == 0 && strongest > 0
	if onlyStrongest {
		candidates = nil
	}
	for _, p := range t.sortedPeers() {
		if p.ended() && (!onlyStrongest || p.CPUShare == strongest) {
			candidates = append(candidates, p.addr)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(a netip.Addr) bool { return alive[a] || !a.IsValid() })
	return t.sample(candidates, 1)
}

// sortedPeers returns the peers in the order of their ids, live or not.
func (t *Table) sortedPeers() []*peer {
	out := make([]*peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.From, b.From) })
	return out
}

// sample returns up to count random addresses.
func (t *Table) sample(addresses []netip.Addr, count int) []netip.Addr {
	for i := range min(count, len(addresses)) {
		j := i + t.rng.IntN(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(count, len(addresses))]
}

// Peer is an entry instance with its address.
type Peer struct {
	Instance ident.InstanceID
	Address  netip.Addr
}

// Relays returns the relays that send digests to this instance, or none if there are few
// instances.
func (t *Table) Relays(now time.Duration) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.relayed() {
		return nil
	}
	var out []Peer
	relays, _ := t.relaysOf(t.self.DataCentre, relaysPerDataCentre, now)
	for _, p := range relays {
		if p.digestAt != 0 && now-p.digestAt < PeerTimeout {
			out = append(out, Peer{p.From, p.addr})
		}
	}
	return out
}

// RelaysOf returns the other relays of a data centre, or none if there are few instances.
func (t *Table) RelaysOf(d ident.DataCentre, now time.Duration) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.relayed() {
		return nil
	}
	var out []Peer
	relays, _ := t.relaysOf(d, relaysPerDataCentre, now)
	for _, p := range relays {
		out = append(out, Peer{p.From, p.addr})
	}
	return out
}

// acks returns the confirmations for all instances whose digests this one receives.
func (t *Table) acks(now time.Duration) []Ack {
	var out []Ack
	for _, p := range t.peers {
		if !p.ended() && now-p.digestAt < isolationTimeout && p.digestAt != 0 {
			out = append(out, Ack{hashRun(p.Run()), p.applied})
		}
	}
	return out
}

// PlanDigests returns the digests to send now: the totals to the subscribers, and the sums
// of the own data centre to the relays of the others. It returns none if there are few
// instances.
func (t *Table) PlanDigests(now time.Duration) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.relayed() {
		return nil
	}
	t.digestSequence++
	var out []Outgoing
	byChange := make(map[uint64]int)
	total := t.totalSums(now)
	for _, p := range t.sortedPeers() {
		if p.ended() || now >= p.subscribedUntil {
			continue
		}
		acked := p.acked[scopeAll]
		i, ok := byChange[acked]
		if !ok {
			i = len(out)
			byChange[acked] = i
			out = append(out, Outgoing{Digest: t.digest(now, acked, "", total)})
		}
		out[i].Targets = append(out[i].Targets, p.addr)
	}
	if t.relaySince == 0 {
		return out
	}
	clear(byChange)
	own := t.self.DataCentre
	sums := t.ownSums()
	for _, d := range t.otherDataCentres() {
		count := relaysPerDataCentre
		if now-max(t.dataCentreHeardAt[d], t.relaySince) >= PeerTimeout {
			count = searchRelays
		}
		relays, _ := t.relaysOf(d, count, now)
		for _, p := range relays {
			if p.relaySince == 0 {
				p.relaySince = now
			}
			if now-max(p.relaySince, p.digestAt) >= PeerTimeout {
				p.unusableUntil, p.relaySince = now+relayRetryTime, 0
			}
			acked := p.acked[scopeDataCentre]
			i, ok := byChange[acked]
			if !ok {
				i = len(out)
				byChange[acked] = i
				out = append(out, Outgoing{Digest: t.digest(now, acked, own, sums)})
			}
			out[i].Targets = append(out[i].Targets, p.addr)
		}
	}
	return out
}

// otherDataCentres returns the other data centres that have live instances.
func (t *Table) otherDataCentres() []ident.DataCentre {
	var out []ident.DataCentre
	for _, r := range t.rosterLocked() {
		if r.DataCentre != t.self.DataCentre && !slices.Contains(out, r.DataCentre) {
			out = append(out, r.DataCentre)
		}
	}
	return out
}

// digest returns a digest with the changes of the roster after a confirmed one. With a
// data centre it has only what was received from that data centre's instances.
func (t *Table) digest(now time.Duration, acked uint64, d ident.DataCentre, sums Sums) Digest {
	out := Digest{
		From: t.self.From, Incarnation: t.self.Incarnation, Sequence: t.digestSequence, DataCentre: d, Sums: sums,
		Base: acked, Change: t.change, Crashes: t.self.Crashes, Limits: t.self.Limits,
	}
	if t.self.Activity != nil {
		out.Time = t.self.Activity.Time
	}
	var changed []*peer
	if acked < t.change {
		for _, p := range t.peers {
			if p.change > acked && (d == "" || p.DataCentre == d) {
				changed = append(changed, p)
			}
		}
		slices.SortFunc(changed, func(a, b *peer) int { return cmp.Compare(a.change, b.change) })
	}
	if d != "" {
		out.Acks = t.acks(now)
	}
	out.Stalled = t.stallReports(now, d)
	for id, r := range t.readers {
		if p, ok := t.peers[id]; ok && !p.ended() && p.Has(FlagReadsStore) && (d == "" || p.DataCentre == d) {
			s := r.ReaderState
			s.Age += now - r.heardAt
			out.Readers = append(out.Readers, s)
		}
	}
	out.Readers = t.preferredReaders(out.Readers)
	if t.self.ReadsStore {
		out.Readers = append(out.Readers, ReaderState{t.self.From, t.self.StoreAge, t.self.TableVersions})
	}
	t.addRecords(now, &out, changed)
	return out
}

// addRecords adds the changed records that fit into the datagram, in the order of their changes, and
// the sender's own one, which is always the newest.
func (t *Table) addRecords(now time.Duration, d *Digest, changed []*peer) {
	own := t.self.record()
	d.shrink(MaxDatagramBytes - minRecordRoom)
	left := MaxDatagramBytes - d.encodedBytes() - own.encodedBytes()
	for i, p := range changed {
		if left -= p.encodedBytes(); left < 0 || i == maxDigestRecords {
			d.Change = d.Base
			if i > 0 {
				d.Change = changed[i-1].change
			}
			break
		}
		r := p.Record
		if !p.ended() && t.knowsAlive(now, p, "") {
			r.Flags |= FlagHeard
		}
		d.Records = append(d.Records, r)
	}
	d.Records = append(d.Records, own)
}

// preferredReaders returns up to maxDigestReaders store readers, those with the largest CPU share
// and the newest data first. More are of no use to anybody.
func (t *Table) preferredReaders(readers []ReaderState) []ReaderState {
	slices.SortFunc(readers, func(a, b ReaderState) int {
		return cmp.Or(
			cmp.Compare(t.peers[b.Instance].CPUShare, t.peers[a.Instance].CPUShare),
			cmp.Compare(a.Age, b.Age), cmp.Compare(a.Instance, b.Instance),
		)
	})
	return readers[:min(len(readers), maxDigestReaders)]
}

func (t *Table) isLocal(id ident.InstanceID) bool {
	p, ok := t.peers[id]
	return id == t.self.From || (ok && p.DataCentre == t.self.DataCentre)
}

// ownSums returns the sums over this instance and those whose beacons it receives.
func (t *Table) ownSums() Sums {
	loads, failing, healthy := cloneCounts(t.remoteInFlight), cloneCounts(t.failureReports), cloneCounts(t.healthReports)
	addMessage(&t.self, 1, loads, failing, healthy)
	return Sums{toCounts(loads), toCounts(failing), toCounts(healthy)}
}

// totalSums returns the sums over all instances. An instance that is no relay passes on
// those of its relays.
func (t *Table) totalSums(now time.Duration) Sums {
	if s, ok := t.sums[""]; ok && t.relaySince == 0 && now-s.receivedAt < PeerTimeout {
		return s.Sums
	}
	loads, failing, healthy := cloneCounts(t.remoteInFlight), cloneCounts(t.failureReports), cloneCounts(t.healthReports)
	addMessage(&t.self, 1, loads, failing, healthy)
	for d, s := range t.sums {
		if now-s.receivedAt >= isolationTimeout || (d == "" && t.relaySince != 0) {
			continue
		}
		addTo(loads, s.Loads)
		addTo(failing, s.Failing)
		addTo(healthy, s.Healthy)
	}
	return Sums{toCounts(loads), toCounts(failing), toCounts(healthy)}
}

func cloneCounts(m map[uint32]int) map[uint32]int {
	out := make(map[uint32]int, len(m))
	for k, n := range m {
		out[k] = n
	}
	return out
}

func addTo(m map[uint32]int, counts []Count) {
	for _, c := range counts {
		m[c.Server] += c.N
	}
}

// toCounts returns the counts by server, the maxDigestCounts largest if there are more.
func toCounts(m map[uint32]int) []Count {
	out := make([]Count, 0, len(m))
	for k, n := range m {
		if n > 0 {
			out = append(out, Count{k, n})
		}
	}
	if len(out) > maxDigestCounts {
		slices.SortFunc(out, func(a, b Count) int { return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Server, b.Server)) })
		out = out[:maxDigestCounts]
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// DigestResult describes what a digest has changed.
type DigestResult struct {
	// Appeared and Ended are the runs that were not known to be alive, and those that
	// were not known to have ended.
	Appeared, Ended []Run
	Stalled         []StalledReport
}

// ReceiveDigest applies a digest received at the time now.
func (t *Table) ReceiveDigest(now time.Duration, d Digest) (result DigestResult) {
	if d.From == t.self.From {
		return result
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// Of a run that has ended here, only instances of its data centre or of this one can
	// know better.
	sender := d.DataCentre
	for _, r := range d.Records {
		if r.From == d.From {
			sender = r.DataCentre
		}
	}
	for _, r := range d.Records {
		switch {
		case sender == r.DataCentre && sender != t.self.DataCentre:
			r.Flags |= FlagHeard
		case sender != t.self.DataCentre:
			r.Flags &^= FlagHeard
		}
		t.applyRecord(now, r, d.DataCentre, &result)
	}
	from, ok := t.peers[d.From]
	if !ok || from.Incarnation != d.Incarnation {
		return result
	}
	from.heardAt, from.digestAt, from.unusableUntil = now, now, 0
	scope := scopeAll
	if d.DataCentre != "" {
		scope = scopeDataCentre
	}
	if d.Base <= from.applied[scope] {
		from.applied[scope] = max(from.applied[scope], d.Change)
	}
	t.digestAt = now
	if from.DataCentre == t.self.DataCentre {
		t.ownRelayHeardAt = now
	}
	t.receiveAcks(from, d.Acks)
	if d.DataCentre != "" {
		t.dataCentreHeardAt[d.DataCentre] = now
		if t.relaySince == 0 {
			// The sender expects a relay here; the records of the reply show the actual ones.
			from.subscribedUntil = now + subscriptionTime
		}
	}
	if d.DataCentre != t.self.DataCentre {
		t.sums[d.DataCentre] = dataCentreSums{d.Sums, now}
		if d.DataCentre == "" {
			t.indexTotals(d.Sums)
		}
	}
	for _, s := range d.Readers {
		if s.Instance != t.self.From {
			t.setReader(now, s)
		}
	}
	for _, s := range d.Stalled {
		if s.Reporter == t.self.From {
			continue
		}
		if heardAt, known := t.stalls[s]; !known || now-heardAt >= stallRelayTime {
			result.Stalled = append(result.Stalled, s)
		}
		t.recordStall(now, s)
	}
	return result
}

// recordStall records a report of a stalled group, to pass it on.
func (t *Table) recordStall(now time.Duration, s StalledReport) { t.stalls[s] = now }

// expireStalls forgets the reports that are no longer passed on.
func (t *Table) expireStalls(now time.Duration) {
	maps.DeleteFunc(t.stalls, func(_ StalledReport, heardAt time.Duration) bool { return now-heardAt >= stallRelayTime })
}

// stallReports returns the reports to pass on, those of a data centre if one is given: the newest, and
// reportsPerStall for each group, with which every receiver can confirm the stall.
func (t *Table) stallReports(now time.Duration, d ident.DataCentre) []StalledReport {
	var out []StalledReport
	for r, heardAt := range t.stalls {
		if now-heardAt < stallRelayTime && (d == "" || t.isLocal(r.Reporter)) {
			out = append(out, r)
		}
	}
	for _, g := range t.self.StalledGroups {
		out = append(out, StalledReport{g, t.self.From})
	}
	slices.SortFunc(out, func(a, b StalledReport) int {
		return cmp.Or(cmp.Compare(t.stalls[b], t.stalls[a]), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Reporter, b.Reporter))
	})
	reports := make(map[GroupEpoch]int)
	out = slices.DeleteFunc(out, func(r StalledReport) bool {
		reports[r.GroupEpoch]++
		return reports[r.GroupEpoch] > reportsPerStall
	})
	return out[:min(len(out), maxDigestStalls)]
}

// knowsAlive reports whether this instance knows better than a digest, from a data centre
// or from an instance that passes on totals, that a peer is alive: it receives the peer's
// beacons, or is a relay and receives the digests of the peer's data centre.
func (t *Table) knowsAlive(now time.Duration, p *peer, from ident.DataCentre) bool {
	if p.message != nil && now-p.heardAt < PeerTimeout {
		return true
	}
	heardAt, ok := t.dataCentreHeardAt[p.DataCentre]
	return ok && t.relaySince != 0 && from == "" && now-heardAt < PeerTimeout && !p.reportedAlive
}

// applyRecord applies a record of a digest from a data centre, or of the totals. Older
// records of the same run are ignored, as are those of runs that the sender's own beacons
// have shown to be replaced.
func (t *Table) applyRecord(now time.Duration, r Record, from ident.DataCentre, result *DigestResult) {
	if r.From == t.self.From || r.From == "" || t.replaced[r.Run()] {
		return
	}
	heard := r.Has(FlagHeard)
	r.Flags &^= FlagHeard
	p, ok := t.peers[r.From]
	switch {
	case !ok || p.Incarnation != r.Incarnation:
		if r.Has(FlagEnded) {
			return
		}
		if ok && !p.ended() {
			if p.message != nil && now-p.heardAt < PeerTimeout {
				t.touch(p) // This instance knows better, and corrects the others.
				return
			}
			result.Ended = append(result.Ended, t.end(p, now))
		}
		t.rosterGrewAt = now
		t.peers[r.From] = &peer{addr: r.Address(), heardAt: now}
		t.setRecord(t.peers[r.From], r)
		result.Appeared = append(result.Appeared, r.Run())
	case r.Has(FlagEnded) && p.ended():
	case r.Has(FlagEnded) && t.knowsAlive(now, p, from):
		t.touch(p)
	case r.Has(FlagEnded):
		result.Ended = append(result.Ended, t.end(p, now))
	case r.Beat < p.Beat || (p.ended() && !heard):
	default:
		if p.ended() {
			result.Appeared = append(result.Appeared, r.Run())
			p.reportedAlive = true
		}
		p.reportedAlive = p.reportedAlive && heard && from == ""
		if r.Beat > p.Beat {
			p.heardAt = now
		}
		t.setRecord(p, r)
	}
}

// receiveAcks records which changes of this instance's roster a peer has confirmed.
func (t *Table) receiveAcks(p *peer, acks []Ack) {
	own := hashRun(Run{t.self.From, t.self.Incarnation})
	for _, a := range acks {
		if a.Run != own {
			continue
		}
		for scope, change := range a.Changes {
			p.acked[scope] = min(change, t.change)
		}
	}
}

// indexTotals indexes the totals of a digest for look-ups.
func (t *Table) indexTotals(s Sums) {
	t.totals = totals{loads: make(map[uint32]int, len(s.Loads)), failing: make(map[uint32]int), healthy: make(map[uint32]int)}
	addTo(t.totals.loads, s.Loads)
	addTo(t.totals.failing, s.Failing)
	addTo(t.totals.healthy, s.Healthy)
	addMessage(&t.self, -1, t.totals.loads, t.totals.failing, t.totals.healthy)
}

// totals are the sums over all other instances from the last digest of a relay.
type totals struct{ loads, failing, healthy map[uint32]int }

// addMessage adds the loads and reports of a message to counts, or subtracts them with the
// sign -1.
func addMessage(m *Message, sign int, loads, failing, healthy map[uint32]int) {
	for _, l := range m.Loads {
		loads[l.Server] += sign * l.InFlight
	}
	for _, s := range m.FailingServers {
		failing[s] += sign
	}
	for _, s := range m.HealthyServers {
		healthy[s] += sign
	}
}
