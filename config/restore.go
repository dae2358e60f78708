package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Eras of the store. A restore from an older copy starts the next era: rows and their
// versions go back, and the versions are given out again. The revisions of an era start
// with its number, so that no revision of an earlier era is given out again, also not one
// that only a node knows that is cut off.
//
// The first transaction of an era writes its era record, records that the store may have
// lost, and the head. A transaction that was built in an earlier era requires that the
// record of the next era is absent. It therefore fails after that, whichever versions
// were given out again. Before that, versions still mean what they meant in the copy.
const (
	// eraShift is the number of bits of a revision that count within its era.
	eraShift = 32
	// maxGuards bounds the era records that one transaction writes. A transaction that
	// was sent before as many restores cannot arrive any more.
	maxGuards = 8
	// maxFormer bounds the former revisions of a record.
	maxFormer = 8
)

// firstRevision returns the revision of an era's record, or 0 in the first era.
func firstRevision(era uint64) ident.Revision {
	if era <= 1 {
		return 0
	}
	return ident.Revision(era) << eraShift
}

// eraOf returns the era in which a revision was given out.
func eraOf(r ident.Revision) uint64 { return max(1, uint64(r>>eraShift)) }

// EraKey returns the key of the record of an era.
func EraKey(era uint64) Key {
	return Key{Kind: KindEra, Name: strconv.FormatUint(era, 10)}
}

// Guard returns the key of the record that has to be absent when the commit applies. It
// returns false if the store reports no eras.
func (c Commit) Guard() (Key, bool) {
	return EraKey(max(c.Era, eraOf(c.Head.Revision)) + 1), c.Era > 0
}

// eraBody is the body of an era record.
type eraBody struct {
	// Prior is the revision up to which the store has every record of earlier eras.
	// Higher ones of earlier eras are written back with revisions of this era.
	Prior ident.Revision `json:"prior"`
}

// restored is the content of the latest era record.
type restored struct {
	era   uint64
	prior ident.Revision
}

// covers reports whether the store may lack the record because of the restore.
func (r restored) covers(x Record) bool {
	return x.Kind != KindEra && x.Revision > r.prior && x.Revision < firstRevision(r.era)
}

// errEarlierEra is the error of an answer of an earlier era.
var errEarlierEra = errors.New("the answer is from before the store was restored: repeat the call")

// eraError takes notice of the era of an answer and returns its error. An answer of an
// earlier era counts as failed.
func (m *Machine) eraError(now time.Duration, era uint64, err error) error {
	if era > m.era {
		if m.era > 0 {
			m.Counters.Restores++
			m.nextHeadRead = now
		}
		m.era = era
		m.startEraAt = now + m.set.RestoreDelay + m.randomUpTo(m.set.RestoreSpread)
	}
	if err == nil && era < m.era {
		return errEarlierEra
	}
	return err
}

func (m *Machine) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// eraStarts reports whether no node has started the store's era yet, as far as this node
// knows. An empty configuration has nothing to start it for before the first edit.
func (m *Machine) eraStarts() bool {
	return m.era > 1 && eraOf(m.head) < m.era && (m.head > 0 || len(m.edits) > 0)
}

// noteEra takes notice of an era record.
func (m *Machine) noteEra(r Record) error {
	era, err := strconv.ParseUint(r.Name, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "decode the name of record %s", r.Key)
	}
	var body eraBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return errors.Wrapf(err, "decode record %s", r.Key)
	}
	if era > m.restored.era {
		m.restored = restored{era: era, prior: body.Prior}
		m.writeBackAt = 0
	}
	return nil
}

// unconfirmed returns the records that the store may lack, in order of their revision. A
// record that was written back has a revision of the new era and is not among them.
func (m *Machine) unconfirmed() []Record {
	if m.restored.era == 0 {
		return nil
	}
	return m.restored.covered(m.records)
}

func (r restored) covered(records map[Key]Record) []Record {
	var out []Record
	for _, x := range records {
		if r.covers(x) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// restoreBatch returns the batch that has to run before edits because of a restore, if it
// is due, and whether edits have to wait for one. Only waiting edits make it due at once:
// otherwise all nodes would write at the same time.
func (m *Machine) restoreBatch(now time.Duration) (b *batch, wait bool) {
	if m.eraStarts() {
		if !m.join.floorKnown || (len(m.edits) == 0 && now < m.startEraAt) {
			return nil, true
		}
		return &batch{kind: batchEra}, true
	}
	records := m.unconfirmed()
	if len(records) == 0 {
		m.writeBackAt = 0
		return nil, false
	}
	if m.writeBackAt == 0 {
		m.writeBackAt = now + m.set.RestoreDelay + m.randomUpTo(m.set.RestoreSpread)
	}
	if len(m.edits) == 0 && now < m.writeBackAt {
		return nil, true
	}
	b = &batch{kind: batchWriteBack}
	for _, r := range records[:min(len(records), m.set.MaxBatch)] {
		b.writeBack = append(b.writeBack, r.Key)
	}
	return b, true
}

// abandon ends the current batch without a result. Its edits wait for the next one.
func (m *Machine) abandon(mayHaveApplied bool) {
	for _, s := range m.batch.edits {
		s.mayHaveApplied = s.mayHaveApplied || mayHaveApplied
	}
	m.edits = append(m.batch.edits, m.edits...)
	m.batch = nil
}

// decideEra builds the first commit of an era from all rows: the era records, and the
// records that the copy may lack, with new revisions.
func (m *Machine) decideEra(now time.Duration, b *batch, rows EditRows) []Action {
	m.raiseHead(now, rows.Head.Revision, "")
	if !m.eraStarts() {
		// Another node has started it.
		m.batch = nil
		return append(m.catchUp(now), m.runEdits(now)...)
	}
	r := restored{era: m.era, prior: rows.Head.prior(m.set.MaxBatch)}
	c := m.newRestoreCommit(b, rows, firstRevision(r.era))
	body, err := json.Marshal(eraBody{Prior: r.prior})
	if err != nil {
		panic(err) // The body contains only an integer.
	}
	for era := r.era; era > eraOf(rows.Head.Revision) && r.era-era < maxGuards; era-- {
		c.add(rows.row(EraKey(era)), Record{Key: EraKey(era), Body: body}, "the store was restored from an older copy")
	}
	// The last transaction of the copy is written again as well, for the nodes whose
	// revision is past it: it may have arrived after the restore.
	records := maps.Clone(m.records)
	for _, row := range rows.Records {
		if held, ok := records[row.Key]; !ok || row.Record.replaces(held) {
			records[row.Key] = row.Record
		}
	}
	covered := r.covered(records)
	for _, x := range covered[:min(len(covered), m.set.MaxBatch)] {
		c.writeBack(rows.row(x.Key), x)
	}
	return []Action{b.send(c.Commit)}
}

// decideWriteBack writes back the records of a batch that the store still lacks. It takes
// over a record that the store has in a newer revision.
func (m *Machine) decideWriteBack(now time.Duration, b *batch, rows EditRows) []Action {
	c := m.newRestoreCommit(b, rows, rows.Head.Revision+1)
	var newer []Record
	for _, k := range b.writeBack {
		held, row := m.records[k], rows.row(k)
		switch {
		case !m.restored.covers(held):
		case row.Record.replaces(held):
			newer = append(newer, row.Record)
			if row.Record.Attempt != held.Attempt && !row.Record.was(held.Revision) {
				m.Counters.WriteBacksSuperseded++
			}
		default:
			c.writeBack(row, held)
		}
	}
	out := m.applyReceived(now, newer)
	if len(c.Writes) == 0 {
		m.batch = nil
		return append(out, m.runEdits(now)...)
	}
	return append(out, b.send(c.Commit))
}

// restoreCommit is a commit that is built up.
type restoreCommit struct {
	Commit
	next    ident.Revision
	attempt ident.AttemptID
}

func (m *Machine) newRestoreCommit(b *batch, rows EditRows, first ident.Revision) *restoreCommit {
	return &restoreCommit{
		Commit: Commit{Batch: b.id, Era: m.era, Head: rows.Head, HeadVersion: rows.HeadVersion},
		next:   first,
		// The id differs between nodes and after a restart: the audit row of the first
		// revision tells whose transaction took it.
		attempt: ident.AttemptID(fmt.Sprintf("restore/%d/%s/%016x", m.era, m.self, m.rng.Uint64())),
	}
}

// add adds a write of a record with the next revision.
func (c *restoreCommit) add(replaces RecordRow, r Record, reason string) {
	r.Revision = c.next
	c.next++
	if r.Attempt == "" {
		r.Attempt = c.attempt
	}
	c.Writes = append(c.Writes, EditWrite{
		Replaces: replaces,
		Record:   r,
		Audit: Audit{
			Team: r.Owner, Verb: VerbWriteBack, Key: r.Key, Before: replaces.Record.Revision, After: r.Revision,
			Reason: reason, Attempt: c.attempt,
		},
	})
}

// writeBack adds a write of a record that a node holds.
func (c *restoreCommit) writeBack(replaces RecordRow, r Record) {
	reason := fmt.Sprintf("accepted at revision %d by attempt %s, written back after the store was restored from an older copy", r.Revision, r.Attempt)
	r.Former = append(slices.Clone(r.Former), r.Revision)
	if len(r.Former) > maxFormer {
		r.Former = slices.Delete(r.Former, 1, 2)
	}
	c.add(replaces, r, reason)
}
