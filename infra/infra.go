// Package infra holds the interfaces of the platform's services (the
// transactional table, the object store and the instance list) and an HTTP
// client for them. The platform's real protocol may differ from the one of
// the stand-in: only this package knows it.
package infra

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Errors of the table. ErrThrottled and ErrUnavailable mean that the
// transaction did not apply. ErrOutcomeUnknown means that it may have applied:
// the writer has to read its rows back.
var (
	ErrThrottled      = errors.New("table rate limit reached: retry after a delay")
	ErrUnavailable    = errors.New("platform store is unavailable: retry later")
	ErrOutcomeUnknown = errors.New("outcome of the transaction is unknown: read the rows back")
	ErrRowNotFound    = errors.New("row not found")
	ErrObjectNotFound = errors.New("object not found")
)

// RowKey addresses one row.
type RowKey struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is a stored row. Version grows with each write to any row.
type Row struct {
	RowKey
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition requires that a row has exactly this version when the transaction
// applies. Version 0 requires that the row is absent.
type Condition struct {
	RowKey
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	RowKey
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a set of writes that applies as a whole if every condition holds.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// ConflictError reports that a transaction did not apply because a condition
// failed. Rows holds the current rows of the failed conditions; an absent row
// has version 0.
type ConflictError struct {
	Rows []Row `json:"rows"`
}

// Error names the failed rows.
func (e *ConflictError) Error() string {
	names := make([]string, 0, len(e.Rows))
	for _, r := range e.Rows {
		names = append(names, r.Table+"/"+r.Key)
	}
	return fmt.Sprintf("transaction conflict on %v: read the rows and retry", names)
}

// Table is the transactional table service.
type Table interface {
	// Txn applies t and returns the version given to its writes.
	Txn(ctx context.Context, t Txn) (uint64, error)
	// Get returns one row or ErrRowNotFound.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Scan returns at most limit rows of a table with keys after the given one.
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
}

// ObjectStore keeps large values.
type ObjectStore interface {
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
}

// InstanceKind tells what runs on an instance.
type InstanceKind string

// Kinds of instances.
const (
	KindEntry  InstanceKind = "entry"
	KindEngine InstanceKind = "engine"
	KindPlain  InstanceKind = "plain"
)

// InstanceState is the platform's view of an instance. It lags.
type InstanceState string

// States of instances in the platform's list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID         ident.InstanceID `json:"id"`
	Kind       InstanceKind     `json:"kind"`
	State      InstanceState    `json:"state"`
	Address    string           `json:"address"`
	Region     ident.Region     `json:"region"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Domain     ident.Domain     `json:"domain"`
	Partner    ident.Partner    `json:"partner,omitempty"`
	// Service is set for plain services: the one that the instance serves.
	Service      ident.ServiceName `json:"service,omitempty"`
	Accelerators int               `json:"accelerators,omitempty"`
	// ChecksFencing tells whether the instance refuses commands that carry a
	// stale fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// PeerAddress is set for entry instances: the peer protocol's address.
	PeerAddress string `json:"peer_address,omitempty"`
}

// Listing is one read of the instance list.
type Listing struct {
	// Version names the content of the list.
	Version string
	// Unchanged tells that the list still has the version that the reader knows.
	// Instances is empty then.
	Unchanged bool
	Instances []Instance
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// ListInstances reads the list, unless it still has the known version. An
	// empty one reads it in any case.
	ListInstances(ctx context.Context, known string) (Listing, error)
}
