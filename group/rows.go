package group

import (
	"encoding/json"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Tables of the planner.
const (
	Table           = "group"
	AssignmentTable = "assignment"
	// HeadTable has one row per service, which every transaction of the lease
	// holder rewrites on condition of its version. A copy of a transaction that
	// reaches the store late then fails, even if the rows that it requires to be
	// absent were written and deleted in between.
	HeadTable = "group_head"
)

// RowState is the state of a group in the table.
type RowState string

// States of group rows.
const (
	// StateActive groups load weights or serve.
	StateActive RowState = "active"
	// StateStopping groups get no new work and release their members.
	StateStopping RowState = "stopping"
)

// Member is one member of a group. The incarnation distinguishes a restarted
// member from the one that was assigned.
type Member struct {
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
}

// Row is a group row. Members are in rank order.
type Row struct {
	ID         ident.GroupID     `json:"id"`
	Service    ident.ServiceName `json:"service"`
	Epoch      ident.Epoch       `json:"epoch"`
	Role       engine.Role       `json:"role"`
	Model      string            `json:"model"`
	Version    string            `json:"version"`
	Adapters   []string          `json:"adapters,omitempty"`
	Domain     ident.Domain      `json:"domain"`
	DataCentre ident.DataCentre  `json:"data_centre"`
	Members    []Member          `json:"members"`
	State      RowState          `json:"state"`
	Attempt    string            `json:"attempt"`
}

// Assignment is an assignment row: the group to which an instance belongs.
type Assignment struct {
	Group       ident.GroupID     `json:"group"`
	Epoch       ident.Epoch       `json:"epoch"`
	Service     ident.ServiceName `json:"service"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Attempt     string            `json:"attempt"`
}

// Key returns the key of a group row.
func Key(s ident.ServiceName, g ident.GroupID) infra.RowKey {
	return infra.RowKey{Table: Table, Key: string(s) + "/" + string(g)}
}

// AssignmentKey returns the key of an assignment row.
func AssignmentKey(id ident.InstanceID) infra.RowKey {
	return infra.RowKey{Table: AssignmentTable, Key: string(id)}
}

// Head is a head row. It identifies the last transaction.
type Head struct {
	Attempt string `json:"attempt"`
}

// HeadKey returns the key of the head row of a service.
func HeadKey(s ident.ServiceName) infra.RowKey {
	return infra.RowKey{Table: HeadTable, Key: string(s)}
}

// DecodeRow decodes a group row. It returns false for a row that is absent or
// invalid.
func DecodeRow(r infra.Row) (Row, bool) {
	var out Row
	ok := r.Version != 0 && json.Unmarshal(r.Value, &out) == nil && len(out.Members) > 0
	return out, ok
}

// DecodeAssignment decodes an assignment row. It returns false for a row that is
// absent or invalid.
func DecodeAssignment(r infra.Row) (Assignment, bool) {
	var out Assignment
	ok := r.Version != 0 && json.Unmarshal(r.Value, &out) == nil && out.Group != ""
	return out, ok
}

// encode marshals a row. Marshalling cannot fail, because the row types hold only
// strings and integers.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
