package config

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Settings holds the intervals and limits of the machine.
type Settings struct {
	// PollInterval is the longest time between reads of the head row, and between
	// pulls from a random peer; jitter shortens it by up to a fifth. With the
	// tick of 250 ms, a node that missed a push learns of an edit within 2.25 s.
	// Edits have to be in force everywhere within 3 s, which leaves 0.75 s to
	// fetch the record: from a peer, and one tick later from the store.
	PollInterval time.Duration
	// GapDelay is how long a missing revision may take to arrive by push before
	// it is pulled.
	GapDelay time.Duration
	// RetryDelay is the first delay after a failed pull, push or step of an edit.
	// It doubles with each further failure, up to 8 times the first delay.
	RetryDelay time.Duration
	// EditTimeout bounds the time from the request of an edit to its result.
	EditTimeout time.Duration
	// MaxEdits bounds the unfinished edits, and MaxBatch those that share a
	// transaction.
	MaxEdits, MaxBatch int
	// PeerPollFactor multiplies the interval of pulls from random peers while
	// the store is available: reads of the head row then detect a missed push,
	// and a connection to a random peer costs more than such a read.
	PeerPollFactor int
	// FanOut is the number of peers that one node pushes to; these relay the
	// push to the others. It bounds the connections that an edit opens.
	FanOut int
	// RestoreDelay is how long a node waits for pushes after a restore of the store,
	// before it writes back what the store lost; a random part of RestoreSpread comes on
	// top, so that mostly one node writes. An edit does not wait for either.
	RestoreDelay, RestoreSpread time.Duration
	// JoinPeers is the number of peers that a new process queries to determine
	// its join floor, the revision that it must reach before it is ready.
	JoinPeers int
}

// TickInterval is the interval of Tick events. It equals the tick interval of
// the control loop.
const TickInterval = 250 * time.Millisecond

// DefaultSettings returns the settings that the daemon uses.
func DefaultSettings() Settings {
	return Settings{
		PollInterval: 2 * time.Second,
		GapDelay:     100 * time.Millisecond,
		RetryDelay:   200 * time.Millisecond,
		EditTimeout:  5 * time.Second,
		MaxEdits:     256,
		// 32 documents of 10 accounts are about 60 KB, and 32 documents of the
		// largest accepted size still fit the store's limit of 16 MiB.
		MaxBatch:       32,
		PeerPollFactor: 5,
		FanOut:         16,
		RestoreDelay:   250 * time.Millisecond,
		RestoreSpread:  time.Second,
		JoinPeers:      16,
	}
}

// Counters holds the counters of a machine.
type Counters struct {
	EditsAccepted, EditsConflict, EditsWrongOwner, EditsNotApplied, EditsUnknown uint64
	PushesSent, PushesFailed, PushesReceived                                     uint64
	// StaleIgnored counts received records that were older than the stored ones.
	StaleIgnored                 uint64
	HeadReads, HeadReadErrors    uint64
	Pulls, PullErrors            uint64
	Scans, ScanErrors            uint64
	CommitConflicts, Resubmitted uint64
	// Undecodable counts records that this version cannot read. The former
	// record of the same name stays in force.
	Undecodable uint64
	// Restores counts the restores of the store that this node has noticed, and
	// WrittenBack the records that it has written back after them.
	Restores, WrittenBack uint64
	// WriteBacksSuperseded counts records that this node could not write back, because
	// they were edited after the restore by someone who did not see them.
	WriteBacksSuperseded uint64
}

// Machine is the configuration state of one node. It is not safe for
// concurrent use.
type Machine struct {
	set  Settings
	rng  *rand.Rand
	self string

	records map[Key]Record
	decoded decoded
	// completeRevision is the highest revision up to which every record is
	// present or superseded by a newer one.
	completeRevision ident.Revision
	// head is the highest revision that this node has learned of.
	head ident.Revision
	// outOfOrder holds the revisions above completeRevision that have arrived.
	outOfOrder map[ident.Revision]struct{}
	peers      []string

	ready bool
	join  join

	headInFlight               bool
	nextHeadRead, nextPeerPull time.Duration
	fetch                      fetch
	retries                    []retry
	edits                      []*editState
	batch                      *batch
	nextBatch                  uint64
	storeFailing               bool

	// era is the highest era of the store that an answer named, and restored the one of
	// the latest era record.
	era      uint64
	restored restored
	// startEraAt and writeBackAt are when a node without waiting edits starts the era or
	// writes back records. writeBackAt is 0 while there are none.
	startEraAt, writeBackAt time.Duration

	// Counters may be read between calls of Step.
	Counters Counters
}

// fetch is the state of fetching the missing revisions up to head.
type fetch struct {
	inFlight bool
	// preferredPeer is the peer that reported head, if it holds every revision
	// up to it.
	preferredPeer string
	tries         int
	nextTry       time.Duration
}

// New returns a machine for the node whose peer address is self.
func New(self string, set Settings, rng *rand.Rand) *Machine {
	return &Machine{
		set:        set,
		rng:        rng,
		self:       self,
		records:    make(map[Key]Record),
		decoded:    newDecoded(),
		outOfOrder: make(map[ident.Revision]struct{}),
	}
}

// Step applies one event and returns the actions to run.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Tick:
		out = m.tick(now)
	case PeersChanged:
		m.setPeers(e.Peers)
	case HeadRead:
		out = m.headRead(now, e)
	case Scanned:
		out = m.scanned(now, e)
	case Pulled:
		out = m.pulled(now, e)
	case PushReceived:
		out = m.pushReceived(now, e)
	case PushDone:
		out = m.pushDone(now, e)
	case EditRequested:
		out = m.editRequested(now, e)
	case EditRowsRead:
		out = m.editRowsRead(now, e)
	case Committed:
		out = m.committed(now, e)
	}
	return append(out, m.checkReady()...)
}

func (m *Machine) setPeers(peers []string) {
	m.peers = m.peers[:0]
	for _, p := range peers {
		if p != m.self {
			m.peers = append(m.peers, p)
		}
	}
	slices.Sort(m.peers)
	m.peers = slices.Compact(m.peers)
}

func (m *Machine) tick(now time.Duration) []Action {
	out := m.joinTick(now)
	if now >= m.nextHeadRead && !m.headInFlight {
		out = append(out, m.readHead(now))
	}
	if m.ready && now >= m.nextPeerPull && len(m.peers) > 0 {
		m.nextPeerPull = now + m.peerInterval()
		out = append(out, m.pull(m.randomPeer()))
	}
	out = append(out, m.catchUp(now)...)
	out = append(out, m.retryPushes(now)...)
	return append(out, m.editTick(now)...)
}

// jitter returns the poll interval shortened by up to a fifth, so that the reads
// of many nodes do not coincide.
func (m *Machine) jitter() time.Duration {
	return m.set.PollInterval - time.Duration(m.rng.Int64N(int64(m.set.PollInterval/5)+1))
}

// peerInterval returns the time until the next pull from a random peer.
func (m *Machine) peerInterval() time.Duration {
	if m.storeFailing {
		return m.jitter()
	}
	return m.jitter() * time.Duration(m.set.PeerPollFactor)
}

func (m *Machine) randomPeer() string { return m.peers[m.rng.IntN(len(m.peers))] }

func (m *Machine) readHead(now time.Duration) Action {
	m.headInFlight = true
	m.nextHeadRead = now + m.jitter()
	m.Counters.HeadReads++
	return ReadHead{}
}

func (m *Machine) pull(from string) Action {
	m.Counters.Pulls++
	return Pull{From: from, Request: PullRequest{After: m.completeRevision}}
}

func (m *Machine) headRead(now time.Duration, e HeadRead) []Action {
	m.headInFlight = false
	e.Err = m.eraError(now, e.Era, e.Err)
	m.join.storeAnswered(e.Revision, e.Err)
	if e.Err != nil && !m.storeFailing {
		// While the store fails, only peers report edits that a push missed.
		m.nextPeerPull = now
	}
	m.storeFailing = e.Err != nil
	if e.Err != nil {
		m.Counters.HeadReadErrors++
		return nil
	}
	m.raiseHead(now, e.Revision, "")
	return m.catchUp(now)
}

// raiseHead raises head to a revision that is known to exist. The peer, if not
// empty, holds every revision up to it.
func (m *Machine) raiseHead(now time.Duration, r ident.Revision, peer string) {
	if r <= m.head {
		return
	}
	m.head = r
	m.fetch.preferredPeer = peer
	if !m.fetch.inFlight {
		m.fetch.tries = 0
		m.fetch.nextTry = now
	}
}

// catchUp fetches the missing revisions up to head. The first attempt pulls from
// the preferred peer or a random one. The second and then every third attempt
// scans the store; the others pull from random peers. The store comes second
// because peers may have missed the same push. Without peers, every attempt scans
// the store. The delay doubles up to 8 times RetryDelay.
func (m *Machine) catchUp(now time.Duration) []Action {
	if m.completeRevision >= m.head || m.fetch.inFlight || now < m.fetch.nextTry {
		return nil
	}
	m.fetch.inFlight = true
	attempt := m.fetch.tries
	m.fetch.tries++
	m.fetch.nextTry = now + m.set.RetryDelay<<min(attempt, 3)
	switch {
	case len(m.peers) == 0 || attempt%3 == 1:
		m.Counters.Scans++
		return []Action{Scan{}}
	case m.fetch.preferredPeer != "" && attempt == 0:
		return []Action{m.pull(m.fetch.preferredPeer)}
	default:
		return []Action{m.pull(m.randomPeer())}
	}
}

func (m *Machine) scanned(now time.Duration, e Scanned) []Action {
	m.fetch.inFlight = false
	if m.eraError(now, e.Era, e.Err) != nil || eraOf(e.Head) < m.era {
		// Before an era starts, the store may have records of transactions that were
		// sent before the restore and arrived after it.
		m.Counters.ScanErrors++
		return nil
	}
	before := m.completeRevision
	changed := m.applyAll(e.Records)
	if highestRevision(e.Records) < e.Head {
		// The transaction that wrote this head also wrote a record with its
		// revision. A scan without that record returned stale rows, so it does
		// not show that everything up to the head is present.
		m.Counters.ScanErrors++
		return publishIf(changed || m.completeRevision > before)
	}
	m.advance(e.Head)
	return publishIf(changed || m.completeRevision > before)
}

func highestRevision(records []Record) ident.Revision {
	var r ident.Revision
	for _, x := range records {
		r = max(r, x.Revision)
	}
	return r
}

func (m *Machine) pulled(now time.Duration, e Pulled) []Action {
	m.fetch.inFlight = false
	m.join.peerAnswered(e)
	if e.Err != nil {
		m.Counters.PullErrors++
		return nil
	}
	before := m.completeRevision
	changed := m.applyAll(e.Response.Records)
	if e.Request.After <= m.completeRevision {
		// A response to a request after a higher revision lacks the records
		// between completeRevision and that revision.
		m.advance(e.Response.CompleteRevision)
	}
	peer := ""
	if e.Response.CompleteRevision >= e.Response.Head {
		peer = e.From
	}
	m.raiseHead(now, max(e.Response.Head, e.Response.CompleteRevision), peer)
	out := publishIf(changed || m.completeRevision > before)
	if e.Response.HasMore && m.completeRevision > before {
		m.fetch.inFlight = true
		return append(out, m.pull(e.From))
	}
	return out
}

func publishIf(changed bool) []Action {
	if changed {
		return []Action{Publish{}}
	}
	return nil
}

// applyAll applies records and reports whether any of them was newer than the
// stored one.
func (m *Machine) applyAll(records []Record) bool {
	changed := false
	for _, r := range records {
		changed = m.apply(r) || changed
	}
	m.advance(m.completeRevision)
	return changed
}

// apply stores a record if it replaces the stored record with the same key, and reports
// whether it did.
func (m *Machine) apply(r Record) bool {
	if r.Revision > m.completeRevision {
		m.outOfOrder[r.Revision] = struct{}{}
	}
	m.head = max(m.head, r.Revision)
	if stored, ok := m.records[r.Key]; ok && !r.replaces(stored) {
		if stored.Revision > r.Revision {
			m.Counters.StaleIgnored++
		}
		return false
	}
	m.records[r.Key] = r
	m.updateDecoded(r)
	return true
}

// advance raises completeRevision to a revision, and further over the received
// revisions that follow it without a gap.
func (m *Machine) advance(to ident.Revision) {
	m.completeRevision = max(m.completeRevision, to)
	if m.completeRevision >= m.restored.prior {
		// What is missing of earlier eras gets revisions of this one, or is lost.
		m.completeRevision = max(m.completeRevision, firstRevision(m.restored.era))
	}
	for {
		if _, ok := m.outOfOrder[m.completeRevision+1]; !ok {
			break
		}
		m.completeRevision++
	}
	for r := range m.outOfOrder {
		if r <= m.completeRevision {
			delete(m.outOfOrder, r)
		}
	}
	m.head = max(m.head, m.completeRevision)
}

const (
	// pageBytes bounds the records of one message unless it carries only one.
	// A record has at most about 256 KiB, and a frame 1 MiB.
	pageBytes = 256 << 10
	// recordOverheadBytes is an upper estimate of the size of a record without
	// its body.
	recordOverheadBytes = 512
)

// AnswerPull returns the response to a peer's pull.
func (m *Machine) AnswerPull(q PullRequest) PullResponse {
	resp := PullResponse{CompleteRevision: m.completeRevision, Head: m.head, Ready: m.ready}
	for _, r := range m.records {
		if r.Revision > q.After {
			resp.Records = append(resp.Records, r)
		}
	}
	slices.SortFunc(resp.Records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	if n := fitCount(resp.Records); n < len(resp.Records) {
		resp.Records = resp.Records[:n]
		resp.HasMore = true
		resp.CompleteRevision = min(m.completeRevision, resp.Records[n-1].Revision)
	}
	return resp
}

// HasRecord reports whether there is a record with a key, deleted ones included.
func (m *Machine) HasRecord(k Key) bool {
	_, ok := m.records[k]
	return ok
}
