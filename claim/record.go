package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// TableName is the name of the table that holds claims.
const TableName = "claim"

// MaxInlineAnswerBytes is the largest answer kept in a row. Larger answers go
// to the object store, because a transaction carries up to 64 rows.
const MaxInlineAnswerBytes = 16 << 10

// Key names one non-idempotent request: the row key of its claim.
type Key string

// NewKey derives the row key from the account, the service and the caller's
// idempotency key, which is hashed to bound its size and character set.
func NewKey(account ident.Account, service ident.ServiceName, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return Key(string(account) + "/" + string(service) + "/" + hex.EncodeToString(sum[:]))
}

// RowKey returns the platform address of the claim.
func (k Key) RowKey() infra.RowKey {
	return infra.RowKey{Table: TableName, Key: string(k)}
}

// Digest identifies what a request asks for: method, path and body.
type Digest string

// NewDigest hashes the parts of a request that a retry must not change.
func NewDigest(method, path string, body []byte) Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// Owner identifies the attempt that owns a key and the process that made it.
type Owner struct {
	Attempt     ident.AttemptID   `json:"attempt" msgpack:"a"`
	Instance    ident.InstanceID  `json:"instance" msgpack:"i"`
	Incarnation ident.Incarnation `json:"incarnation" msgpack:"n"`
}

// State is the progress of an attempt, in rows and in replies to peers.
type State string

// States of an attempt.
const (
	// StateRunning may be dispatched or was dispatched.
	StateRunning State = "running"
	// StateAbandoned was not run and never will be.
	StateAbandoned State = "abandoned"
	// StateDone has an answer.
	StateDone State = "done"
	// StateUnknown was dispatched and its outcome was lost.
	StateUnknown State = "unknown"
	// StateGone means that the owner's incarnation cannot be asked or has
	// forgotten the attempt. It never appears in a row.
	StateGone State = "gone"
)

// Answer is the backend server's answer to a request.
type Answer struct {
	Status int         `json:"status" msgpack:"s"`
	Header http.Header `json:"header,omitempty" msgpack:"h,omitempty"`
	Body   []byte      `json:"body,omitempty" msgpack:"b,omitempty"`
	// Object is the key of the body in the object store when it is large.
	Object string `json:"object,omitempty" msgpack:"o,omitempty"`
}

// Record is the value of a claim row.
type Record struct {
	Owner
	Digest Digest  `json:"digest"`
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
	// Expires is the wall clock time, in Unix seconds, after which the row may
	// be deleted. Only retention uses the wall clock.
	Expires int64 `json:"expires"`
}

// Encode returns the row value.
func (r *Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode claim")
}

// StoredRecord is a record with the version of its row.
type StoredRecord struct {
	Record
	Version uint64
}

// DecodeRow reads a claim row.
func DecodeRow(row infra.Row) (StoredRecord, error) {
	s := StoredRecord{Version: row.Version}
	if err := json.Unmarshal(row.Value, &s.Record); err != nil {
		return StoredRecord{}, errors.Wrapf(err, "decode claim row %s: delete it if it was written by hand", row.Key)
	}
	return s, nil
}
