// Package history turns the records of the stand-ins into the history that
// package check judges.
package history

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/standin/orders"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// coldNotice is the time after an engine turned cold without a restart in which
// requests that were already on their way do not count against the cold limit.
// Reports of an engine's state take up to a second to reach every entry.
const coldNotice = time.Second

// groupTable is the table of group rows.
const groupTable = "group"

// PromptRequestName names the request with a prompt in histories.
func PromptRequestName(prompt string) string { return promptName(engine.PromptSum(prompt)) }

func promptName(sum uint64) string { return fmt.Sprintf("prompt-%016x", sum) }

// FromEngine converts the record of an engine.
func FromEngine(r engine.Record, inst infra.Instance) check.History {
	var h check.History
	turned := turnedCold(r.Events)
	for _, s := range r.Requests {
		h.BackendRequests = append(h.BackendRequests, served(r, s, inst, turned))
	}
	for _, e := range r.Events {
		m := check.MembershipChange{ChangedAt: e.At, Instance: r.Instance, Incarnation: e.Incarnation}
		switch e.Kind {
		case engine.EventAssign:
			m.Group, m.Epoch = e.Group, e.Epoch
			h.MembershipChanges = append(h.MembershipChanges, m)
		case engine.EventLeft:
			h.MembershipChanges = append(h.MembershipChanges, m)
		case engine.EventPartial:
			h.BackendRequests = append(h.BackendRequests, check.BackendRequest{
				Request: "running requests", Instance: r.Instance, Incarnation: e.Incarnation,
				StartedAt: e.At, EndedAt: e.At, MissingMember: ident.InstanceID(e.Detail),
				Group: e.Group, Epoch: e.Epoch, ServerGroup: e.Group, ServerEpoch: e.Epoch,
			})
		}
	}
	return h
}

func served(r engine.Record, s engine.RequestRecord, inst infra.Instance, turned []time.Time) check.BackendRequest {
	out := check.BackendRequest{
		Request: promptName(s.PromptSum), Attempt: s.Attempt, Instance: r.Instance, Incarnation: s.Incarnation,
		DataCentre: inst.DataCentre, Partner: inst.Partner, StartedAt: s.Start, EndedAt: s.End,
		Group: s.Group, Epoch: s.Epoch, ServerGroup: s.HeldGroup, ServerEpoch: s.HeldEpoch,
		ColdStart: s.Cold, ColdLimit: r.ColdLimit, Ran: s.Tokens > 0 || s.Outcome == engine.OutcomeDone,
	}
	if !s.MembersWhole {
		out.MissingMember = ident.InstanceID(s.Detail)
	}
	for _, at := range turned {
		if since := s.Start.Sub(at); since >= 0 && since < coldNotice {
			out.ColdLimit = 0
		}
	}
	return out
}

// turnedCold returns when the engine turned cold other than by a start.
func turnedCold(events []engine.Event) []time.Time {
	var out []time.Time
	for i, e := range events {
		started := i+1 < len(events) && events[i+1].Kind == engine.EventStart && events[i+1].Incarnation == e.Incarnation
		if e.Kind == engine.EventCold && !started {
			out = append(out, e.At)
		}
	}
	return out
}

// FromOrders converts the record of an order system.
func FromOrders(r orders.Record, inst infra.Instance) check.History {
	var h check.History
	for _, run := range r.Runs {
		h.BackendRequests = append(h.BackendRequests, check.BackendRequest{
			Request: run.Order, Instance: inst.ID, DataCentre: inst.DataCentre, Partner: inst.Partner,
			StartedAt: run.At, EndedAt: run.At, Ran: true, NonIdempotent: true,
		})
	}
	return h
}

// FromStore converts the writes of the table service.
func FromStore(writes []standin.TableWrite) check.History {
	var h check.History
	for _, w := range writes {
		if w.Table != groupTable {
			continue
		}
		row := check.GroupRow{Version: w.Version, WrittenAt: w.At, Group: w.Key}
		if !w.Delete {
			var value struct {
				Members []struct {
					Instance ident.InstanceID `json:"instance"`
				} `json:"members"`
			}
			if json.Unmarshal(w.Value, &value) == nil {
				for _, m := range value.Members {
					row.Members = append(row.Members, m.Instance)
				}
			}
		}
		h.GroupRows = append(h.GroupRows, row)
	}
	return h
}

// Collect reads the records of the platform and of the backend servers that
// are given. Those that do not answer are returned as missing.
func Collect(ctx context.Context, platformURL string, backends []infra.Instance) (check.History, []ident.InstanceID, error) {
	var h check.History
	var record standin.Record
	if err := get(ctx, platformURL+"/debug/record?table="+groupTable, &record); err != nil {
		return h, nil, err
	}
	h.Append(FromStore(record.Writes))
	var missing []ident.InstanceID
	for _, inst := range backends {
		part, err := collectOne(ctx, inst)
		if err != nil {
			missing = append(missing, inst.ID)
			continue
		}
		h.Append(part)
	}
	return h, missing, nil
}

func collectOne(ctx context.Context, inst infra.Instance) (check.History, error) {
	switch inst.Kind {
	case infra.KindEngine:
		var r engine.Record
		err := get(ctx, "http://"+inst.Address+"/debug/record", &r)
		return FromEngine(r, inst), err
	case infra.KindPlain:
		var r orders.Record
		err := get(ctx, "http://"+inst.Address+"/debug/counts", &r)
		return FromOrders(r, inst), err
	default:
		return check.History{}, nil
	}
}

func get(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read a record")
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), "decode a record")
}
