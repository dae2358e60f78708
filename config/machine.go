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
	// questions to a random peer; jitter shortens it by up to a fifth. With the
	// tick of 250 ms, a node that missed a push learns of an edit within 2.25 s,
	// which leaves 0.75 s of the promised 3 s to fetch it: from a peer, and one
	// tick later from the store.
	PollInterval time.Duration
	// GapDelay is how long a missing revision may be on its way as a push
	// before it is pulled.
	GapDelay time.Duration
	// RetryDelay is the first delay after a failed pull or push; it doubles.
	RetryDelay time.Duration
	// EditTimeout bounds an edit.
	EditTimeout time.Duration
	// MaxEdits bounds the edits that wait, and MaxBatch those that share a
	// transaction.
	MaxEdits, MaxBatch int
	// PeerPollFactor stretches the interval of questions to peers while the
	// store answers: reads of the head row then find what a push missed, and a
	// connection to a random peer costs more than a read.
	PeerPollFactor int
	// FanOut is the number of peers that one node pushes to; these pass the
	// push on. It bounds the connections that an edit opens.
	FanOut int
	// JoinPeers is the number of peers that a new process asks for its floor.
	JoinPeers int
}

// TickInterval is how often the shell sends Tick: with each tick of the control
// loop.
const TickInterval = 250 * time.Millisecond

// DefaultSettings holds the values that the daemon uses.
func DefaultSettings() Settings {
	return Settings{
		PollInterval: 2 * time.Second,
		GapDelay:     100 * time.Millisecond,
		RetryDelay:   200 * time.Millisecond,
		EditTimeout:  5 * time.Second,
		MaxEdits:     256,
		// Thirty-two documents of 10 accounts are about 60 KB, and the most
		// that the interface accepts still fit the store's 16 MiB.
		MaxBatch:       32,
		PeerPollFactor: 5,
		FanOut:         16,
		JoinPeers:      16,
	}
}

// Counters counts what the machine did.
type Counters struct {
	EditsAccepted, EditsConflict, EditsWrongOwner, EditsNotApplied, EditsUnknown uint64
	PushesSent, PushesFailed, PushesReceived                                     uint64
	// StaleIgnored counts records that were older than the ones held.
	StaleIgnored                 uint64
	HeadReads, HeadReadErrors    uint64
	Pulls, PullErrors            uint64
	Scans, ScanErrors            uint64
	CommitConflicts, Resubmitted uint64
	// Undecodable counts records that this version cannot read. The former
	// record of the same name stays in force.
	Undecodable uint64
}

// Machine is the configuration state of one node. It is not safe for
// concurrent use.
type Machine struct {
	set  Settings
	rng  *rand.Rand
	self string

	records map[Key]Record
	decoded decoded
	// complete: every revision up to it is held or superseded.
	complete ident.Revision
	// head is the highest revision that anyone named.
	head ident.Revision
	// above holds revisions over complete that arrived out of order.
	above map[ident.Revision]struct{}
	peers []string

	ready bool
	join  join

	headInFlight       bool
	nextHead, nextPeer time.Duration
	fetch              fetch
	retries            []retry
	edits              []*editState
	batch              *batch
	nextBatch          uint64
	storeFailing       bool

	// Counters may be read between steps.
	Counters Counters
}

// fetch is the state of catching up with head.
type fetch struct {
	inFlight bool
	// hint is a peer that named a higher revision.
	hint  string
	tries int
	next  time.Duration
}

// New returns a machine for the node with a peer address.
func New(self string, set Settings, rng *rand.Rand) *Machine {
	return &Machine{
		set:     set,
		rng:     rng,
		self:    self,
		records: make(map[Key]Record),
		decoded: newDecoded(),
		above:   make(map[ident.Revision]struct{}),
	}
}

// Step applies one event.
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
		out = m.scanned(e)
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
	if now >= m.nextHead && !m.headInFlight {
		out = append(out, m.readHead(now))
	}
	if m.ready && now >= m.nextPeer && len(m.peers) > 0 {
		m.nextPeer = now + m.peerInterval()
		out = append(out, m.pull(m.randomPeer()))
	}
	out = append(out, m.catchUp(now)...)
	out = append(out, m.retryPushes(now)...)
	return append(out, m.editTick(now)...)
}

// jitter returns the poll interval less up to a fifth, which spreads the reads
// of many nodes.
func (m *Machine) jitter() time.Duration {
	return m.set.PollInterval - time.Duration(m.rng.Int64N(int64(m.set.PollInterval/5)+1))
}

// peerInterval returns the time until the next question to a random peer.
func (m *Machine) peerInterval() time.Duration {
	if m.storeFailing {
		return m.jitter()
	}
	return m.jitter() * time.Duration(m.set.PeerPollFactor)
}

func (m *Machine) randomPeer() string { return m.peers[m.rng.IntN(len(m.peers))] }

func (m *Machine) readHead(now time.Duration) Action {
	m.headInFlight = true
	m.nextHead = now + m.jitter()
	m.Counters.HeadReads++
	return ReadHead{}
}

func (m *Machine) pull(from string) Action {
	m.Counters.Pulls++
	return Pull{From: from, Request: PullRequest{After: m.complete}}
}

func (m *Machine) headRead(now time.Duration, e HeadRead) []Action {
	m.headInFlight = false
	m.join.storeAnswered(e.Revision, e.Err)
	if e.Err != nil && !m.storeFailing {
		// From now on only peers tell of edits that a push missed.
		m.nextPeer = now
	}
	m.storeFailing = e.Err != nil
	if e.Err != nil {
		m.Counters.HeadReadErrors++
		return nil
	}
	m.raiseHead(now, e.Revision, "")
	return m.catchUp(now)
}

// raiseHead records that a revision exists.
func (m *Machine) raiseHead(now time.Duration, r ident.Revision, peer string) {
	if r <= m.head {
		return
	}
	m.head = r
	m.fetch.hint = peer
	if !m.fetch.inFlight {
		m.fetch.tries = 0
		m.fetch.next = now
	}
}

// catchUp fetches what is missing below head: from the peer that named it or a
// random one, then from the store, then from random peers and the store in turn
// with growing delay. The store comes second because peers may lack the same
// push.
func (m *Machine) catchUp(now time.Duration) []Action {
	if m.complete >= m.head || m.fetch.inFlight || now < m.fetch.next {
		return nil
	}
	m.fetch.inFlight = true
	try := m.fetch.tries
	m.fetch.tries++
	m.fetch.next = now + m.set.RetryDelay<<min(try, 3)
	switch {
	case len(m.peers) == 0 || try%3 == 1:
		m.Counters.Scans++
		return []Action{Scan{}}
	case m.fetch.hint != "" && try == 0:
		return []Action{m.pull(m.fetch.hint)}
	default:
		return []Action{m.pull(m.randomPeer())}
	}
}

func (m *Machine) scanned(e Scanned) []Action {
	m.fetch.inFlight = false
	if e.Err != nil {
		m.Counters.ScanErrors++
		return nil
	}
	before := m.complete
	changed := m.applyAll(e.Records)
	if newest(e.Records) < e.Head {
		// The transaction that wrote this head also wrote a record with its
		// revision. A scan without it read older rows and proves nothing.
		m.Counters.ScanErrors++
		return published(changed || m.complete > before)
	}
	m.advance(e.Head)
	return published(changed || m.complete > before)
}

func newest(records []Record) ident.Revision {
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
	before := m.complete
	changed := m.applyAll(e.Response.Records)
	if e.Request.After <= m.complete {
		// A response after a higher revision leaves out records in between.
		m.advance(e.Response.Complete)
	}
	hint := ""
	if e.Response.Complete >= e.Response.Head {
		hint = e.From
	}
	m.raiseHead(now, max(e.Response.Head, e.Response.Complete), hint)
	out := published(changed || m.complete > before)
	if e.Response.More && m.complete > before {
		m.fetch.inFlight = true
		return append(out, m.pull(e.From))
	}
	return out
}

func published(changed bool) []Action {
	if changed {
		return []Action{Publish{}}
	}
	return nil
}

// applyAll takes over the records that are newer than the ones held.
func (m *Machine) applyAll(records []Record) bool {
	changed := false
	for _, r := range records {
		changed = m.apply(r) || changed
	}
	m.advance(m.complete)
	return changed
}

// apply takes over one record by the maximum rule.
func (m *Machine) apply(r Record) bool {
	if r.Revision > m.complete {
		m.above[r.Revision] = struct{}{}
	}
	m.head = max(m.head, r.Revision)
	if held, ok := m.records[r.Key]; ok && held.Revision >= r.Revision {
		if held.Revision > r.Revision {
			m.Counters.StaleIgnored++
		}
		return false
	}
	m.records[r.Key] = r
	m.decode(r)
	return true
}

// advance raises complete to a revision, and over the revisions that follow it
// without a gap.
func (m *Machine) advance(to ident.Revision) {
	m.complete = max(m.complete, to)
	for {
		if _, ok := m.above[m.complete+1]; !ok {
			break
		}
		m.complete++
	}
	for r := range m.above {
		if r <= m.complete {
			delete(m.above, r)
		}
	}
	m.head = max(m.head, m.complete)
}

const (
	// pageBytes bounds the records of one message unless it carries only one.
	// A record has at most about 256 KiB, and a frame 1 MiB.
	pageBytes = 256 << 10
	// recordOverheadBytes is a generous size of a record without its body.
	recordOverheadBytes = 512
)

// AnswerPull answers a peer's pull.
func (m *Machine) AnswerPull(q PullRequest) PullResponse {
	resp := PullResponse{Complete: m.complete, Head: m.head, Ready: m.ready}
	for _, r := range m.records {
		if r.Revision > q.After {
			resp.Records = append(resp.Records, r)
		}
	}
	slices.SortFunc(resp.Records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	if n := fitting(resp.Records); n < len(resp.Records) {
		resp.Records = resp.Records[:n]
		resp.More = true
		resp.Complete = min(m.complete, resp.Records[n-1].Revision)
	}
	return resp
}

// HasRecord tells whether there ever was a record with a key, deleted ones included.
func (m *Machine) HasRecord(k Key) bool {
	_, ok := m.records[k]
	return ok
}
