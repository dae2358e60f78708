package configshell

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Tables and keys of configuration rows, and limits of reads.
const (
	tableConfig = "config"
	tableHead   = "config_head"
	tableAudit  = "audit"
	headKey     = "head"
	// scanPage is the number of rows read at a time.
	scanPage = 200
	// defaultConcurrentReads is the default of Store.MaxConcurrentReads.
	defaultConcurrentReads = 8
)

// Store reads and writes the configuration rows of the platform's table.
type Store struct {
	table infra.Table
	// MaxConcurrentReads bounds the concurrent reads of one batch of edits.
	MaxConcurrentReads int
}

// NewStore returns a Store over a table.
func NewStore(t infra.Table) *Store {
	return &Store{table: t, MaxConcurrentReads: defaultConcurrentReads}
}

var headRow = infra.RowKey{Table: tableHead, Key: headKey}

func recordRow(k config.Key) infra.RowKey {
	return infra.RowKey{Table: tableConfig, Key: k.String()}
}

func auditRow(r ident.Revision) infra.RowKey {
	return infra.RowKey{Table: tableAudit, Key: fmt.Sprintf("%020d", r)}
}

// InEra runs reads and returns the era of their answers. If a restore of the store came
// between them, it returns an error and the new era.
func (s *Store) InEra(read func() error) (uint64, error) {
	before := infra.EraOf(s.table)
	err := read()
	after := infra.EraOf(s.table)
	if err == nil && before != after && before != 0 {
		err = errRestored
	}
	return after, err
}

// Head reads the highest accepted revision.
func (s *Store) Head(ctx context.Context) (ident.Revision, error) {
	var h config.Head
	_, err := s.readRow(ctx, headRow, &h)
	return h.Revision, err
}

// Scan reads the head and then all records. A record that changes between these
// reads has a revision above the head, so the result is complete up to the head.
func (s *Store) Scan(ctx context.Context) (ident.Revision, []config.Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return 0, nil, err
	}
	rows, err := s.scanRecords(ctx)
	if err != nil {
		return 0, nil, err
	}
	var records []config.Record
	for _, row := range rows {
		records = append(records, row.Record)
	}
	return head, records, nil
}

// EditRows reads the rows that an action names.
func (s *Store) EditRows(ctx context.Context, a config.ReadEditRows) (config.EditRows, error) {
	if a.All {
		return s.AllRows(ctx)
	}
	return s.Rows(ctx, a.Keys)
}

// AllRows reads the head row and then the rows of all records.
func (s *Store) AllRows(ctx context.Context) (config.EditRows, error) {
	var out config.EditRows
	var err error
	if out.HeadVersion, err = s.readRow(ctx, headRow, &out.Head); err != nil {
		return out, err
	}
	out.Records, err = s.scanRecords(ctx)
	return out, err
}

func (s *Store) scanRecords(ctx context.Context) ([]config.RecordRow, error) {
	var out []config.RecordRow
	for after := ""; ; {
		rows, err := s.table.Scan(ctx, tableConfig, after, scanPage)
		if err != nil {
			return nil, errors.Wrap(err, "scan configuration records")
		}
		for _, row := range rows {
			var r config.Record
			if err := json.Unmarshal(row.Value, &r); err != nil {
				return nil, errors.Wrapf(err, "decode row %s", row.Key)
			}
			out = append(out, config.RecordRow{Key: r.Key, Record: r, Version: row.Version})
			after = row.Key
		}
		if len(rows) < scanPage {
			return out, nil
		}
	}
}

// Rows reads the rows that edits depend on. It reads them concurrently, because
// sequential reads from a slow store could exceed the timeout of an edit. The
// rows need not be consistent with each other: if one has changed, the conditions
// of the commit fail.
func (s *Store) Rows(ctx context.Context, keys []config.Key) (config.EditRows, error) {
	out := config.EditRows{Records: make([]config.RecordRow, len(keys))}
	reads := []func() error{func() (err error) {
		out.HeadVersion, err = s.readRow(ctx, headRow, &out.Head)
		return err
	}}
	for i, k := range keys {
		reads = append(reads, func() (err error) {
			out.Records[i].Key = k
			out.Records[i].Version, err = s.readRow(ctx, recordRow(k), &out.Records[i].Record)
			return err
		})
	}
	return out, s.runAll(reads)
}

// runAll runs reads, at most MaxConcurrentReads at a time. If MaxConcurrentReads
// is at most 1, they run in order on the calling goroutine.
func (s *Store) runAll(reads []func() error) error {
	var g errgroup.Group
	g.SetLimit(max(1, s.MaxConcurrentReads))
	for _, fn := range reads {
		if s.MaxConcurrentReads > 1 {
			g.Go(fn)
		} else if err := fn(); err != nil {
			return err
		}
	}
	return g.Wait()
}

// Audit reads the audit row of a revision. The version is 0 when it is absent.
func (s *Store) Audit(ctx context.Context, r ident.Revision) (config.Audit, uint64, error) {
	var a config.Audit
	version, err := s.readRow(ctx, auditRow(r), &a)
	return a, version, err
}

// readRow decodes a row into out and returns its version, which is 0 if the row
// is absent.
func (s *Store) readRow(ctx context.Context, key infra.RowKey, out any) (uint64, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, infra.ErrRowNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrapf(err, "read row %s/%s", key.Table, key.Key)
	}
	return row.Version, decodeRow(row, out)
}

// Commit sends the transaction of a batch and returns its outcome.
func (s *Store) Commit(ctx context.Context, c config.Commit) config.Committed {
	e := s.commit(ctx, c)
	e.Era = infra.EraOf(s.table)
	return e
}

func (s *Store) commit(ctx context.Context, c config.Commit) config.Committed {
	txn, err := transaction(c)
	if err != nil {
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: err}
	}
	_, err = s.table.Txn(ctx, txn)
	var conflict *infra.ConflictError
	switch {
	case err == nil:
		return config.Committed{Commit: c, Outcome: config.OutcomeApplied}
	case errors.As(err, &conflict):
		return s.resolveConflict(ctx, c, conflict.Rows)
	case errors.Is(err, infra.ErrThrottled), errors.Is(err, infra.ErrUnavailable):
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: err}
	default:
		return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: err}
	}
}

// resolveConflict returns the outcome of a commit whose conditions failed. If the
// commit was sent before, the earlier transaction may have applied. It did if the
// audit row of the commit's first revision has the attempt id of its first write.
func (s *Store) resolveConflict(ctx context.Context, c config.Commit, current []infra.Row) config.Committed {
	if c.Resent {
		first := c.Writes[0]
		a, version, err := s.Audit(ctx, first.Audit.After)
		switch {
		case err != nil:
			return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: err}
		case version == 0:
			// The head has changed, so some edit has this revision. A read that
			// does not return its audit row is stale, and the outcome is unknown.
			return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: errStaleRead}
		case a.Attempt == first.Audit.Attempt:
			return config.Committed{Commit: c, Outcome: config.OutcomeApplied}
		}
	}
	if guard, ok := c.Guard(); ok && slices.ContainsFunc(current, func(r infra.Row) bool { return r.RowKey == recordRow(guard) }) {
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: errRestored}
	}
	rows, err := mergeCurrentRows(c, current)
	if err != nil {
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: err}
	}
	return config.Committed{Commit: c, Outcome: config.OutcomeConflict, Rows: rows}
}

var errRestored = errors.New("the store was restored from an older copy since the rows were read: read them again")

var errStaleRead = errors.New("the store answered with an older state than before: repeat the read")

// mergeCurrentRows returns the rows that a commit depends on, with the changed
// ones that a conflict reported. The others are unchanged.
func mergeCurrentRows(c config.Commit, current []infra.Row) (config.EditRows, error) {
	rows := config.EditRows{Head: c.Head, HeadVersion: c.HeadVersion}
	changed := make(map[infra.RowKey]infra.Row, len(current))
	for _, row := range current {
		changed[row.RowKey] = row
	}
	if row, ok := changed[headRow]; ok {
		rows.Head, rows.HeadVersion = config.Head{}, row.Version
		if err := decodeRow(row, &rows.Head); err != nil {
			return rows, err
		}
	}
	for _, w := range c.Writes {
		out := w.Replaces
		if row, ok := changed[recordRow(out.Key)]; ok {
			out.Record, out.Version = config.Record{}, row.Version
			if err := decodeRow(row, &out.Record); err != nil {
				return rows, err
			}
		}
		rows.Records = append(rows.Records, out)
	}
	return rows, nil
}

// decodeRow decodes the value of a row into out. An absent row leaves out
// unchanged.
func decodeRow(row infra.Row, out any) error {
	if row.Version == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(row.Value, out), "decode row %s/%s", row.Table, row.Key)
}

// transaction builds the table transaction of a commit.
func transaction(c config.Commit) (infra.Txn, error) {
	t := infra.Txn{Conditions: []infra.Condition{{RowKey: headRow, Version: c.HeadVersion}}}
	write := func(key infra.RowKey, value any) error {
		b, err := json.Marshal(value)
		t.Writes = append(t.Writes, infra.Write{RowKey: key, Value: b})
		return errors.Wrapf(err, "encode row %s", key.Table)
	}
	if guard, ok := c.Guard(); ok {
		t.Conditions = append(t.Conditions, infra.Condition{RowKey: recordRow(guard)})
	}
	for _, w := range c.Writes {
		key := recordRow(w.Record.Key)
		t.Conditions = append(t.Conditions, infra.Condition{RowKey: key, Version: w.Replaces.Version})
		if err := write(key, w.Record); err != nil {
			return t, err
		}
		if err := write(auditRow(w.Audit.After), w.Audit); err != nil {
			return t, err
		}
	}
	last := c.Writes[len(c.Writes)-1].Record
	return t, write(headRow, config.Head{Revision: last.Revision, Attempt: last.Attempt, Prior: c.Head.Revision})
}
