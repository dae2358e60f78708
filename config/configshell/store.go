package configshell

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Tables and keys of configuration rows.
const (
	tableConfig = "config"
	tableHead   = "config_head"
	tableAudit  = "audit"
	headKey     = "head"
	// scanPage is the number of rows read at a time.
	scanPage = 200
	// defaultParallel is the default of Store.MaxConcurrentReads.
	defaultParallel = 8
)

// Store reads and writes the configuration rows of the platform's table.
type Store struct {
	table infra.Table
	// MaxConcurrentReads bounds the reads of one batch of edits that run at a time.
	MaxConcurrentReads int
}

// NewStore returns a Store over a table.
func NewStore(t infra.Table) *Store { return &Store{table: t, MaxConcurrentReads: defaultParallel} }

var headRow = infra.RowKey{Table: tableHead, Key: headKey}

func recordRow(k config.Key) infra.RowKey {
	return infra.RowKey{Table: tableConfig, Key: k.String()}
}

func auditRow(r ident.Revision) infra.RowKey {
	return infra.RowKey{Table: tableAudit, Key: fmt.Sprintf("%020d", r)}
}

// Head reads the highest accepted revision.
func (s *Store) Head(ctx context.Context) (ident.Revision, error) {
	var h config.Head
	_, err := s.read(ctx, headRow, &h)
	return h.Revision, err
}

// Scan reads the head and then all records. A record that changes meanwhile is
// read with a revision above the head, so the records are complete up to it.
func (s *Store) Scan(ctx context.Context) (ident.Revision, []config.Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return 0, nil, err
	}
	var records []config.Record
	for after := ""; ; {
		rows, err := s.table.Scan(ctx, tableConfig, after, scanPage)
		if err != nil {
			return 0, nil, errors.Wrap(err, "scan configuration records")
		}
		for _, row := range rows {
			var r config.Record
			if err := json.Unmarshal(row.Value, &r); err != nil {
				return 0, nil, errors.Wrapf(err, "decode row %s", row.Key)
			}
			records = append(records, r)
			after = row.Key
		}
		if len(rows) < scanPage {
			return head, records, nil
		}
	}
}

// Rows reads the rows that edits depend on, all at the same time, because a
// slow store may take longer than an edit for one after the other. Rows that do
// not fit together make the commit fail, not apply wrongly.
func (s *Store) Rows(ctx context.Context, keys []config.Key) (config.EditRows, error) {
	out := config.EditRows{Records: make([]config.RecordRow, len(keys))}
	reads := []func() error{func() (err error) {
		out.HeadVersion, err = s.read(ctx, headRow, &out.Head)
		return err
	}}
	for i, k := range keys {
		reads = append(reads, func() (err error) {
			out.Records[i].Key = k
			out.Records[i].Version, err = s.read(ctx, recordRow(k), &out.Records[i].Record)
			return err
		})
	}
	return out, s.runAll(reads)
}

// runAll runs reads, at most MaxConcurrentReads at a time. With 1 they run in order on
// the calling goroutine.
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
	version, err := s.read(ctx, auditRow(r), &a)
	return a, version, err
}

// read decodes a row and returns its version, which is 0 for an absent row.
func (s *Store) read(ctx context.Context, key infra.RowKey, out any) (uint64, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, infra.ErrRowNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrapf(err, "read row %s/%s", key.Table, key.Key)
	}
	return row.Version, decodeRow(row, out)
}

// Commit sends the transaction of an edit and returns what became of it.
func (s *Store) Commit(ctx context.Context, c config.Commit) config.Committed {
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
		return s.conflict(ctx, c, conflict.Rows)
	case errors.Is(err, infra.ErrThrottled), errors.Is(err, infra.ErrUnavailable):
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: err}
	default:
		return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: err}
	}
}

// conflict tells a lost race from a repetition of a commit that had applied:
// then the audit row of its revision carries its attempt id.
func (s *Store) conflict(ctx context.Context, c config.Commit, current []infra.Row) config.Committed {
	if c.Again {
		first := c.Writes[0]
		a, version, err := s.Audit(ctx, first.Audit.After)
		switch {
		case err != nil:
			return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: err}
		case version == 0:
			// The head moved, so some edit has this revision. A read that does
			// not show its audit row is stale and settles nothing.
			return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: errStaleRead}
		case a.Attempt == first.Record.Attempt:
			return config.Committed{Commit: c, Outcome: config.OutcomeApplied}
		}
	}
	rows, err := overlay(c, current)
	if err != nil {
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: err}
	}
	return config.Committed{Commit: c, Outcome: config.OutcomeConflict, Rows: rows}
}

var errStaleRead = errors.New("the store answered with an older state than before: repeat the read")

// overlay returns the rows of a commit with the ones that a conflict reported.
// The others are unchanged.
func overlay(c config.Commit, current []infra.Row) (config.EditRows, error) {
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

// decodeRow decodes the value of a row; an absent row leaves out as it is.
func decodeRow(row infra.Row, out any) error {
	if row.Version == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(row.Value, out), "decode row %s/%s", row.Table, row.Key)
}

// transaction builds the rows of a commit.
func transaction(c config.Commit) (infra.Txn, error) {
	t := infra.Txn{Conditions: []infra.Condition{{RowKey: headRow, Version: c.HeadVersion}}}
	write := func(key infra.RowKey, value any) error {
		b, err := json.Marshal(value)
		t.Writes = append(t.Writes, infra.Write{RowKey: key, Value: b})
		return errors.Wrapf(err, "encode row %s", key.Table)
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
	return t, write(headRow, config.Head{Revision: last.Revision, Attempt: last.Attempt})
}
