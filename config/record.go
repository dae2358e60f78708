package config

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	KindService Kind = "service"
	KindDrain   Kind = "drain"
	// KindEra is the kind of the record that starts an era of the store.
	KindEra Kind = "era"
)

// Key identifies a record.
type Key struct {
	Kind Kind   `json:"kind" msgpack:"k"`
	Name string `json:"name" msgpack:"n"`
}

// String returns the key of the record's row.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Record is one accepted configuration record. A deleted record stays as a
// tombstone, so that a late push of an older revision cannot restore it.
type Record struct {
	Key
	Revision ident.Revision `json:"revision" msgpack:"r"`
	Deleted  bool           `json:"deleted,omitempty" msgpack:"d,omitempty"`
	// Owner is the team that may edit a service document. For a drain record it
	// is the team that wrote it.
	Owner ident.Team `json:"owner" msgpack:"o"`
	// Body is the JSON of a service.Document or a Drain. It stays encoded, so
	// that a node forwards fields that its version does not define.
	Body json.RawMessage `json:"body,omitempty" msgpack:"b,omitempty"`
	// Attempt is the writer's attempt id, by which the writer recognises the
	// rows of its own commit.
	Attempt ident.AttemptID `json:"attempt" msgpack:"a"`
	// Former has the revisions that the record had, with the same content, before it was
	// written back after restores of the store. The first is the one at which it was
	// accepted; of the others only the latest are kept.
	Former []ident.Revision `json:"former,omitempty" msgpack:"f,omitempty"`
}

// was reports whether the record has or had a revision with the same content.
func (r Record) was(x ident.Revision) bool {
	return r.Revision == x || slices.Contains(r.Former, x)
}

// accepted returns the revision at which the content of the record was accepted.
func (r Record) accepted() ident.Revision {
	if len(r.Former) > 0 {
		return r.Former[0]
	}
	return r.Revision
}

// replaces reports whether the record replaces another one of the same key. One that was
// written back does not replace content that was accepted later, nor other content that was
// accepted at the same revision: that can only be content of a transaction that was sent
// before a restore and arrived after it.
func (r Record) replaces(held Record) bool {
	switch {
	case r.Revision <= held.Revision || r.accepted() < held.accepted():
		return false
	case r.accepted() == held.accepted():
		return r.Attempt == held.Attempt || len(held.Former) > 0
	default:
		return true
	}
}

// DrainKind is the kind of object that a drain record takes out of service.
type DrainKind string

// Kinds of drains, as they appear in the URL paths of the operators' interface.
const (
	DrainDataCentre DrainKind = "datacentre"
	DrainInstance   DrainKind = "instance"
	DrainPartner    DrainKind = "partner"
)

// Drain says whether a data centre, an instance or a partner's backend servers
// are out of service (Out is true) or were restored.
type Drain struct {
	Kind   DrainKind  `json:"kind"`
	Name   string     `json:"name"`
	Out    bool       `json:"out"`
	Reason string     `json:"reason,omitempty"`
	Team   ident.Team `json:"team"`
}

// Key returns the key of the drain's record.
func (d Drain) Key() Key {
	return Key{Kind: KindDrain, Name: string(d.Kind) + "/" + d.Name}
}

// ServiceKey returns the key of a service document's record.
func ServiceKey(name ident.ServiceName) Key {
	return Key{Kind: KindService, Name: string(name)}
}

// Document decodes the body of a service record.
func (r Record) Document() (service.Document, error) {
	var d service.Document
	return d, errors.Wrapf(json.Unmarshal(r.Body, &d), "decode record %s", r.Key)
}

// Drain decodes the body of a drain record.
func (r Record) Drain() (Drain, error) {
	var d Drain
	return d, errors.Wrapf(json.Unmarshal(r.Body, &d), "decode record %s", r.Key)
}

// Head is the value of the head row: the highest accepted revision and the
// attempt id of the edit that has it.
type Head struct {
	Revision ident.Revision  `json:"revision"`
	Attempt  ident.AttemptID `json:"attempt"`
	// Prior is the revision of the head before the transaction that wrote it.
	Prior ident.Revision `json:"prior,omitempty"`
}

// prior returns the revision up to which a copy of the store with this head has every
// record. The last transaction in the copy may have been sent before the restore and have
// arrived after it, with revisions that others got before the restore. A former version
// wrote no Prior; its transaction had at most maxBatch records.
func (h Head) prior(maxBatch int) ident.Revision {
	if h.Prior > 0 {
		return h.Prior
	}
	return h.Revision - min(h.Revision, ident.Revision(maxBatch))
}

// Audit is the value of an audit row. Before is the revision of the record that
// the edit replaced; 0 means that there was none.
type Audit struct {
	Team        ident.Team      `json:"team"`
	Verb        Verb            `json:"verb"`
	Key         Key             `json:"key"`
	Before      ident.Revision  `json:"before"`
	After       ident.Revision  `json:"after"`
	Reason      string          `json:"reason,omitempty"`
	RequestedAt time.Time       `json:"at"`
	Attempt     ident.AttemptID `json:"attempt"`
}
