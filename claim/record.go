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

// MaxInlineAnswerBytes is the largest answer body stored in a row. Larger
// bodies go to the object store, because a transaction carries up to 64 rows.
const MaxInlineAnswerBytes = 16 << 10

// Key identifies one non-idempotent request. It is the row key of the claim.
type Key string

// NewKey derives the row key from the account, the service and the caller's
// idempotency key, which is hashed to bound its size and character set.
func NewKey(account ident.Account, service ident.ServiceName, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return Key(string(account) + "/" + string(service) + "/" + hex.EncodeToString(sum[:]))
}

// RowKey returns the table and row key under which the store holds the claim.
func (k Key) RowKey() infra.RowKey {
	return infra.RowKey{Table: TableName, Key: string(k)}
}

// Digest is a hash of the method, path and body of a request.
type Digest string

// NewDigest hashes the parts of a request that must be the same in a retry.
func NewDigest(method, path string, body []byte) Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\x00" + path + "\x00"))
	_, _ = h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// Owner identifies the attempt that owns a key and the process that started it.
type Owner struct {
	Attempt     ident.AttemptID   `json:"attempt" msgpack:"a"`
	Instance    ident.InstanceID  `json:"instance" msgpack:"i"`
	Incarnation ident.Incarnation `json:"incarnation" msgpack:"n"`
}

// State is the state of an attempt, in rows and in replies to peers.
type State string

// States of an attempt.
const (
	// StateRunning means that the attempt was or may still be dispatched.
	StateRunning State = "running"
	// StateAbandoned means that the attempt did not run and never will.
	StateAbandoned State = "abandoned"
	// StateDone means that the backend server answered the attempt.
	StateDone State = "done"
	// StateUnknown means that the attempt was dispatched and its answer was lost.
	StateUnknown State = "unknown"
	// StateGone means that the owner's incarnation cannot be reached or no longer
	// has the attempt in memory. It is never written to a row.
	StateGone State = "gone"
)

// Answer is the backend server's answer to a request.
type Answer struct {
	Status int         `json:"status" msgpack:"s"`
	Header http.Header `json:"header,omitempty" msgpack:"h,omitempty"`
	Body   []byte      `json:"body,omitempty" msgpack:"b,omitempty"`
	// Object is the object store key of the body if the body is larger than
	// MaxInlineAnswerBytes, or empty.
	Object string `json:"object,omitempty" msgpack:"o,omitempty"`
}

// Record is the value of a claim row.
type Record struct {
	Owner
	Digest Digest  `json:"digest"`
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
	// Expires is the wall clock time, in Unix seconds, after which the row may
	// be deleted. Nothing but retention uses the wall clock.
	Expires int64 `json:"expires"`
}

// Encode returns the record as a row value.
func (r *Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode claim record")
}

// StoredRecord is a record as read from the store, with the version of its row.
type StoredRecord struct {
	Record
	Version uint64
}

// DecodeRow decodes a claim row.
func DecodeRow(row infra.Row) (StoredRecord, error) {
	s := StoredRecord{Version: row.Version}
	if err := json.Unmarshal(row.Value, &s.Record); err != nil {
		return StoredRecord{}, errors.Wrapf(err, "decode claim row %s: delete the row if it was written manually", row.Key)
	}
	return s, nil
}
