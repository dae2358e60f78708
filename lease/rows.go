package lease

import (
	"encoding/json"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Tables of the two rows. The key of both rows is the service.
const (
	Table      = "lease"
	EpochTable = "lease_epoch"
)

// Identity identifies one incarnation of an entry instance.
type Identity struct {
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Row is the lease row, which is rewritten by each renewal. An empty holder means that
// the last holder released the lease.
type Row struct {
	Holder  Identity      `json:"holder"`
	Epoch   ident.Epoch   `json:"epoch"`
	Length  time.Duration `json:"length"`
	Attempt string        `json:"attempt"`
}

// EpochRow is the row that is rewritten only by an acquisition. The holder's writes to
// other tables are conditional on its version, so that they fail once another entry
// instance holds the lease.
type EpochRow struct {
	Holder  Identity    `json:"holder"`
	Epoch   ident.Epoch `json:"epoch"`
	Attempt string      `json:"attempt"`
}

// Key returns the key of the lease row of a service.
func Key(s ident.ServiceName) infra.RowKey {
	return infra.RowKey{Table: Table, Key: string(s)}
}

// EpochKey returns the key of the epoch row of a service.
func EpochKey(s ident.ServiceName) infra.RowKey {
	return infra.RowKey{Table: EpochTable, Key: string(s)}
}

// decodeRow decodes a lease row. A malformed row counts as released, because no process
// of this version wrote it. The acquisition is still conditional on the row's version.
func decodeRow(r infra.Row) Row {
	var out Row
	if r.Version != 0 && json.Unmarshal(r.Value, &out) != nil {
		return Row{}
	}
	return out
}

func decodeEpoch(r infra.Row) EpochRow {
	var out EpochRow
	if r.Version != 0 && json.Unmarshal(r.Value, &out) != nil {
		return EpochRow{}
	}
	return out
}

// encode marshals a row. The row types contain only strings and integers, so marshalling
// cannot fail.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
