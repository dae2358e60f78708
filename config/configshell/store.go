package configshell

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/platform"
)

// Tables and keys of configuration rows.
const (
	tableConfig = "config"
	tableHead   = "config_head"
	tableAudit  = "audit"
	headKey     = "head"
	// scanPage is the number of rows read at a time.
	scanPage = 200
)

// Store reads and writes the configuration rows of the platform's table.
type Store struct {
	table platform.Table
}

// NewStore returns a Store over a table.
func NewStore(t platform.Table) *Store { return &Store{table: t} }

var headRow = platform.RowKey{Table: tableHead, Key: headKey}

func recordRow(k config.Key) platform.RowKey {
	return platform.RowKey{Table: tableConfig, Key: k.String()}
}

func auditRow(r ident.Revision) platform.RowKey {
	return platform.RowKey{Table: tableAudit, Key: fmt.Sprintf("%020d", r)}
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

// Rows reads the rows that an edit depends on.
func (s *Store) Rows(ctx context.Context, k config.Key) (config.EditRows, error) {
	var out config.EditRows
	var err error
	if out.HeadVersion, err = s.read(ctx, headRow, &out.Head); err != nil {
		return out, err
	}
	out.RecordVersion, err = s.read(ctx, recordRow(k), &out.Record)
	return out, err
}

// Audit reads the audit row of a revision. The version is 0 when it is absent.
func (s *Store) Audit(ctx context.Context, r ident.Revision) (config.Audit, uint64, error) {
	var a config.Audit
	version, err := s.read(ctx, auditRow(r), &a)
	return a, version, err
}

// read decodes a row and returns its version, which is 0 for an absent row.
func (s *Store) read(ctx context.Context, key platform.RowKey, out any) (uint64, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, platform.ErrRowNotFound) {
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
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return config.Committed{Commit: c, Outcome: config.OutcomeApplied}
	case errors.As(err, &conflict):
		return s.conflict(ctx, c, conflict.Rows)
	case errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnavailable):
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: err}
	default:
		return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: err}
	}
}

// conflict tells a lost race from a repetition of a commit that had applied:
// then the audit row of its revision carries its attempt id.
func (s *Store) conflict(ctx context.Context, c config.Commit, current []platform.Row) config.Committed {
	if c.Again {
		a, version, err := s.Audit(ctx, c.Audit.After)
		switch {
		case err != nil:
			return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: err}
		case version == 0:
			// The head moved, so some edit has this revision. A read that does
			// not show its audit row is stale and settles nothing.
			return config.Committed{Commit: c, Outcome: config.OutcomeUnknown, Err: errStaleRead}
		case a.Attempt == c.Record.Attempt:
			return config.Committed{Commit: c, Outcome: config.OutcomeApplied}
		}
	}
	rows, err := overlay(c.Rows, current)
	if err != nil {
		return config.Committed{Commit: c, Outcome: config.OutcomeNotApplied, Err: err}
	}
	return config.Committed{Commit: c, Outcome: config.OutcomeConflict, Rows: rows}
}

var errStaleRead = errors.New("the store answered with an older state than before: repeat the read")

// overlay replaces the rows that a conflict reported. The others are unchanged.
func overlay(rows config.EditRows, current []platform.Row) (config.EditRows, error) {
	for _, row := range current {
		var err error
		switch row.Table {
		case tableHead:
			rows.Head, rows.HeadVersion = config.Head{}, row.Version
			err = decodeRow(row, &rows.Head)
		case tableConfig:
			rows.Record, rows.RecordVersion = config.Record{}, row.Version
			err = decodeRow(row, &rows.Record)
		}
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

// decodeRow decodes the value of a row; an absent row leaves out as it is.
func decodeRow(row platform.Row, out any) error {
	if row.Version == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(row.Value, out), "decode row %s/%s", row.Table, row.Key)
}

// transaction builds the rows of an edit.
func transaction(c config.Commit) (platform.Txn, error) {
	t := platform.Txn{Conditions: []platform.Condition{
		{RowKey: headRow, Version: c.Rows.HeadVersion},
		{RowKey: recordRow(c.Record.Key), Version: c.Rows.RecordVersion},
	}}
	head := config.Head{Revision: c.Record.Revision, Attempt: c.Record.Attempt}
	for _, w := range []struct {
		key   platform.RowKey
		value any
	}{{headRow, head}, {recordRow(c.Record.Key), c.Record}, {auditRow(c.Audit.After), c.Audit}} {
		b, err := json.Marshal(w.value)
		if err != nil {
			return t, errors.Wrapf(err, "encode row %s", w.key.Table)
		}
		t.Writes = append(t.Writes, platform.Write{RowKey: w.key, Value: b})
	}
	return t, nil
}
