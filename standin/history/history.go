// Package history converts the records of the simulated services into the history
// that package check verifies.
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

// coldLimitDelay is the time after an engine turned cold without a restart during
// which requests do not count against the cold limit, because they may have been
// sent earlier. Status reports of an engine take up to a second to reach every
// entry instance.
const coldLimitDelay = time.Second

// groupTable is the name of the table with one row per group.
const groupTable = "group"

// PromptRequestName returns the name that histories use for a request with this prompt.
func PromptRequestName(prompt string) string { return promptName(engine.PromptSum(prompt)) }

func promptName(sum uint64) string { return fmt.Sprintf("prompt-%016x", sum) }

// FromEngine converts the record of a simulated engine.
func FromEngine(r engine.Record, inst infra.Instance) check.History {
	var h check.History
	transitions := coldTransitions(r.Events)
	for _, s := range r.Requests {
		h.BackendRequests = append(h.BackendRequests, servedRequest(r, s, inst, transitions))
	}
	for _, e := range r.Events {
		m := check.MembershipChange{ChangedAt: e.Time, Instance: r.Instance, Incarnation: e.Incarnation}
		switch e.Kind {
		case engine.EventAssign:
			m.Group, m.Epoch = e.Group, e.Epoch
			h.MembershipChanges = append(h.MembershipChanges, m)
		case engine.EventLeft:
			h.MembershipChanges = append(h.MembershipChanges, m)
		case engine.EventPartialGroup:
			// The event names no request; its detail is the ID of the missing member.
			h.BackendRequests = append(h.BackendRequests, check.BackendRequest{
				Request: "running requests", Instance: r.Instance, Incarnation: e.Incarnation,
				StartedAt: e.Time, EndedAt: e.Time, MissingMember: ident.InstanceID(e.Detail),
				Group: e.Group, Epoch: e.Epoch, ServerGroup: e.Group, ServerEpoch: e.Epoch,
			})
		}
	}
	return h
}

func servedRequest(r engine.Record, s engine.RequestRecord, inst infra.Instance, transitions []time.Time) check.BackendRequest {
	out := check.BackendRequest{
		Request: promptName(s.PromptSum), Attempt: s.Attempt, Instance: r.Instance, Incarnation: s.Incarnation,
		DataCentre: inst.DataCentre, Partner: inst.Partner, StartedAt: s.Start, EndedAt: s.End,
		Group: s.Group, Epoch: s.Epoch, ServerGroup: s.AssignedGroup, ServerEpoch: s.AssignedEpoch,
		ColdStart: s.Cold, ColdLimit: r.ColdLimit, Ran: s.Tokens > 0 || s.Outcome == engine.OutcomeDone,
	}
	if !s.MembersConsistent {
		out.MissingMember = ident.InstanceID(s.Detail)
	}
	for _, at := range transitions {
		if elapsed := s.Start.Sub(at); elapsed >= 0 && elapsed < coldLimitDelay {
			out.ColdLimit = 0
		}
	}
	return out
}

// coldTransitions returns the times at which the engine turned cold without a restart.
func coldTransitions(events []engine.Event) []time.Time {
	var out []time.Time
	for i, e := range events {
		// A start records its cold event just before its start event.
		started := i+1 < len(events) && events[i+1].Kind == engine.EventStart && events[i+1].Incarnation == e.Incarnation
		if e.Kind == engine.EventCold && !started {
			out = append(out, e.Time)
		}
	}
	return out
}

// FromOrders converts the record of a simulated order system.
func FromOrders(r orders.Record, inst infra.Instance) check.History {
	var h check.History
	for _, run := range r.Runs {
		h.BackendRequests = append(h.BackendRequests, check.BackendRequest{
			Request: run.Order, Instance: inst.ID, DataCentre: inst.DataCentre, Partner: inst.Partner,
			StartedAt: run.Time, EndedAt: run.Time, Ran: true, NonIdempotent: true,
		})
	}
	return h
}

// FromStore converts the table service's record of writes into group rows.
func FromStore(writes []standin.TableWrite) check.History {
	var h check.History
	for _, w := range writes {
		if w.Table != groupTable {
			continue
		}
		row := check.GroupRow{Version: w.Version, WrittenAt: w.Time, Group: w.Key}
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

// Collect reads the records of the platform and of the given backend servers. It
// also returns the backend servers whose record cannot be read.
func Collect(ctx context.Context, platformURL string, backends []infra.Instance) (check.History, []ident.InstanceID, error) {
	var h check.History
	var record standin.Record
	if err := getJSON(ctx, platformURL+"/debug/record?table="+groupTable, &record); err != nil {
		return h, nil, err
	}
	h.Append(FromStore(record.Writes))
	var missing []ident.InstanceID
	for _, inst := range backends {
		part, err := collectInstance(ctx, inst)
		if err != nil {
			missing = append(missing, inst.ID)
			continue
		}
		h.Append(part)
	}
	return h, missing, nil
}

func collectInstance(ctx context.Context, inst infra.Instance) (check.History, error) {
	switch inst.Kind {
	case infra.KindEngine:
		var r engine.Record
		err := getJSON(ctx, "http://"+inst.Address+"/debug/record", &r)
		return FromEngine(r, inst), err
	case infra.KindPlain:
		var r orders.Record
		err := getJSON(ctx, "http://"+inst.Address+"/debug/counts", &r)
		return FromOrders(r, inst), err
	default:
		return check.History{}, nil
	}
}

func getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read the record of a simulated service")
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), "decode the record of a simulated service")
}
