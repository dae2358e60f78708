// Package infra defines the interfaces of the platform's services (the transactional
// table, the object store and the instance list) and implements an HTTP client for
// them. The protocol of the real platform may differ from that of the stand-in (the
// simulated platform), so other packages use the interfaces and do not depend on the
// protocol.
package infra

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Errors of the services. ErrThrottled and ErrUnavailable mean that a transaction was
// not applied. ErrOutcomeUnknown means that it may have been applied: the writer must
// read its rows to find out.
var (
	ErrThrottled      = errors.New("table rate limit reached: retry after a delay")
	ErrUnavailable    = errors.New("platform store is unavailable: retry later")
	ErrOutcomeUnknown = errors.New("outcome of the transaction is unknown: read the rows back")
	ErrRowNotFound    = errors.New("row not found")
	ErrObjectNotFound = errors.New("object not found")
)

// RowKey identifies a row.
type RowKey struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is a stored row. Each write to any row gives a higher Version.
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

// Txn is a set of writes that are applied atomically if every condition is met.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// ConflictError reports that a transaction was not applied because a condition
// failed. Rows contains the current rows of the failed conditions; an absent row
// has version 0.
type ConflictError struct {
	Rows []Row `json:"rows"`
}

// Error returns a message with the keys of the rows whose conditions failed.
func (e *ConflictError) Error() string {
	names := make([]string, 0, len(e.Rows))
	for _, r := range e.Rows {
		names = append(names, r.Table+"/"+r.Key)
	}
	return fmt.Sprintf("transaction conflict on %v: read the rows and retry", names)
}

// Table is the transactional table service.
type Table interface {
	// Txn applies t and returns the version of the written rows.
	Txn(ctx context.Context, t Txn) (uint64, error)
	// Get returns one row or ErrRowNotFound.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Scan returns at most limit rows of a table with keys after the given one.
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
}

// ObjectStore stores large values.
type ObjectStore interface {
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
}

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// Kinds of instances.
const (
	KindEntry  InstanceKind = "entry"
	KindEngine InstanceKind = "engine"
	KindPlain  InstanceKind = "plain"
)

// InstanceState is the state of an instance as the platform lists it. It may be out
// of date.
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
	// Service is the service that an instance of KindPlain runs.
	Service      ident.ServiceName `json:"service,omitempty"`
	Accelerators int               `json:"accelerators,omitempty"`
	// ChecksFencing is set when the instance refuses commands with a stale fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// PeerAddress is the address of an entry instance for the peer protocol.
	PeerAddress string `json:"peer_address,omitempty"`
}

// Listing is the result of a read of the instance list.
type Listing struct {
	// Version identifies the content of the list.
	Version string
	// Unchanged is set when the list still has the version that the reader passed.
	// Instances is empty then.
	Unchanged bool
	Instances []Instance
}

// InstanceList is the platform's list of instances. It may be out of date.
type InstanceList interface {
	// ListInstances reads the list unless it still has the known version. With an
	// empty known version it always reads the list.
	ListInstances(ctx context.Context, known string) (Listing, error)
}
