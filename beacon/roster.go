package beacon

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/mirror"
)

// Record describes one run of an entry instance.
type Record struct {
	From        ident.InstanceID  `msgpack:"f"`
	Incarnation ident.Incarnation `msgpack:"i"`
	// Beat is the sequence number of the run's beacon that the record was made from.
	Beat uint64 `msgpack:"b"`
	// CallerAddress is the address at which the instance accepts callers' requests.
	// Beacons are sent to the same host.
	CallerAddress string           `msgpack:"c"`
	DataCentre    ident.DataCentre `msgpack:"d"`
	// CPUShare is the share of a CPU core that the instance may use.
	CPUShare float64 `msgpack:"w"`
	Flags    Flags   `msgpack:"g"`
}

// Flags are the states of an entry instance.
type Flags uint8

// States of an entry instance.
const (
	// FlagReady is set if the instance can serve callers.
	FlagReady Flags = 1 << iota
	// FlagLeaving is set while it shuts down.
	FlagLeaving
	// FlagHoldsLease is set while it holds the planner's lease.
	FlagHoldsLease
	// FlagReadsStore is set while it reads the store itself.
	FlagReadsStore
	// FlagRequestsReceived is set once it has accepted a request.
	FlagRequestsReceived
	// FlagEnded is set in records of runs that have ended.
	FlagEnded
	// FlagHeard is set in the records of a digest whose sender knows the run to be alive
	// at first hand. It is not stored.
	FlagHeard
)

// Has reports whether a flag is set.
func (r *Record) Has(f Flags) bool { return r.Flags&f != 0 }

// Run returns the run that the record describes.
func (r *Record) Run() Run { return Run{r.From, r.Incarnation} }

// Address returns the host of the caller address, at which the instance also receives
// beacons and calls of other entry instances.
func (r *Record) Address() netip.Addr {
	a, err := netip.ParseAddrPort(r.CallerAddress)
	if err != nil {
		return netip.Addr{} // An instance with an unusable address gets no beacons.
	}
	return a.Addr()
}

// record returns the record of a beacon's sender.
func (m *Message) record() Record {
	r := Record{
		From: m.From, Incarnation: m.Incarnation, Beat: m.Sequence, CallerAddress: m.CallerAddress,
		DataCentre: m.DataCentre, CPUShare: m.CPUShare,
	}
	for _, f := range []struct {
		set  bool
		flag Flags
	}{
		{m.Ready, FlagReady},
		{m.Leaving, FlagLeaving},
		{m.HoldsLease, FlagHoldsLease},
		{m.ReadsStore, FlagReadsStore},
		{m.RequestsReceived, FlagRequestsReceived},
	} {
		if f.set {
			r.Flags |= f.flag
		}
	}
	return r
}

// sameState reports whether two records differ only in their beats.
func (r Record) sameState(o Record) bool {
	r.Beat = o.Beat
	return r == o
}

// ReaderState is the state of an entry instance that reads the store or copies its
// tables for others.
type ReaderState struct {
	Instance ident.InstanceID `msgpack:"f"`
	// Age is the time since the store last answered the instance.
	Age time.Duration `msgpack:"a"`
	// TableVersions are the newest versions that the instance has.
	TableVersions []mirror.TableVersion `msgpack:"t"`
}

// Reader is an entry instance that reads the store, as known to this one.
type Reader struct {
	Record
	ReaderState
	// Heard is when the state was received.
	Heard time.Duration
}

// peer is another entry instance.
type peer struct {
	Record
	addr netip.Addr
	// change numbers the last change of the record in this instance's roster.
	change uint64
	// endedAt is when the run was found to have ended.
	endedAt time.Duration
	// message is the last beacon of the run, or nil if none has been received.
	message *Message
	// heardAt is when a beacon or digest was last received from the run, or when its
	// record was received.
	heardAt time.Duration
	// digestAt is when a digest was last received from the run, and relaySince when this
	// instance began to expect digests from it.
	digestAt, relaySince time.Duration
	// reportedAlive is true if another relay has reported the run to be alive after this
	// instance had taken it for dead.
	reportedAlive bool
	// unusableUntil is the time until which the instance is not used as a relay because
	// it has sent no digests.
	unusableUntil time.Duration
	// subscribedUntil is the time until which the instance gets digests.
	subscribedUntil time.Duration
	// acked are the newest changes of this roster that the instance has confirmed, and
	// applied those of its roster that this one has, by scope.
	acked, applied [scopes]uint64
}

// Scopes of digests.
const (
	// scopeAll is that of all instances.
	scopeAll = iota
	// scopeDataCentre is that of the instances of the sender's data centre.
	scopeDataCentre
	scopes
)

func (p *peer) ended() bool { return p.Has(FlagEnded) }

// setRecord replaces a peer's record and numbers the change if its state differs.
func (t *Table) setRecord(p *peer, r Record) {
	same := p.sameState(r)
	p.Record = r
	if !same {
		t.touch(p)
	}
}

// touch numbers a change of a peer's record, so that it is sent to subscribers.
func (t *Table) touch(p *peer) {
	t.change++
	p.change = t.change
	t.roster = nil
}

// end marks a peer's run as ended and returns the run.
func (t *Table) end(p *peer, now time.Duration) Run {
	if p.message != nil {
		t.addCounts(p.message, -1)
		p.message = nil
	}
	r := p.Record
	r.Flags |= FlagEnded
	t.setRecord(p, r)
	p.endedAt = now
	delete(t.readers, p.From)
	return p.Run()
}

// Roster returns the records of the other live entry instances, sorted by id. The caller
// must not change it. The slice stays the same until a record changes.
func (t *Table) Roster() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rosterLocked()
}

func (t *Table) rosterLocked() []Record {
	if t.roster == nil {
		t.roster = make([]Record, 0, len(t.peers))
		for _, p := range t.peers {
			if !p.ended() {
				t.roster = append(t.roster, p.Record)
			}
		}
		slices.SortFunc(t.roster, func(a, b Record) int { return cmp.Compare(a.From, b.From) })
	}
	return t.roster
}

// Readers returns the other entry instances that read the store.
func (t *Table) Readers() []Reader {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Reader
	for id, r := range t.readers {
		if p, ok := t.peers[id]; ok && !p.ended() && p.Has(FlagReadsStore) {
			out = append(out, Reader{p.Record, r.ReaderState, r.heardAt})
		}
	}
	slices.SortFunc(out, func(a, b Reader) int { return cmp.Compare(a.From, b.From) })
	return out
}

// readerEntry is the last state of a reader, and when it was received.
type readerEntry struct {
	ReaderState
	heardAt time.Duration
}

func (t *Table) setReader(now time.Duration, s ReaderState) {
	if old, ok := t.readers[s.Instance]; ok && old.Age+now-old.heardAt < s.Age {
		return // The known state is newer.
	}
	t.readers[s.Instance] = readerEntry{s, now}
}
