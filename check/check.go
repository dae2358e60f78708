package check

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Promise is the name of one of the ten promises.
type Promise string

// The promises, with their names in docs/design.md.
const (
	WholeGroup       Promise = "whole-group"
	SingleMembership Promise = "single-membership"
	ColdLimit        Promise = "cold-limit"
	DataCentreDrain  Promise = "data-centre-drain"
	WholeAnswer      Promise = "whole-answer"
	TrueNotRun       Promise = "true-not-run"
	AtMostOnce       Promise = "at-most-once"
	BackendDrain     Promise = "backend-drain"
	GracefulShutdown Promise = "graceful-shutdown"
	ConfigMonotonic  Promise = "config-monotonic"
)

// Limits are the documented times within which an accepted change must take
// effect.
type Limits struct {
	// MaxDrainDelay is the time after an accepted drain in which new work may still start.
	MaxDrainDelay time.Duration
	// MaxConfigDelay is the time after an accepted edit until it must be in force on all
	// nodes.
	MaxConfigDelay time.Duration
}

// DefaultLimits returns the limits that docs/design.md states.
func DefaultLimits() Limits {
	return Limits{MaxDrainDelay: 5 * time.Second, MaxConfigDelay: 3 * time.Second}
}

// Violation describes a broken promise and the events that prove it.
type Violation struct {
	Promise Promise   `json:"promise"`
	Time    time.Time `json:"at"`
	Message string    `json:"message"`
	Events  []string  `json:"events"`
}

// String returns the violation, with each event on its own line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s\n\t%s", v.Promise, formatTime(v.Time), v.Message, strings.Join(v.Events, "\n\t"))
}

// Rule checks one promise.
type Rule struct {
	// ID is the short name of the promise, P1 to P10.
	ID      string
	Promise Promise
	// Find returns the violations of the promise. Check fills in their Promise.
	Find func(h *History, l Limits) []Violation
}

// Rules returns the rules in the order of docs/design.md.
func Rules() []Rule {
	return []Rule{
		{"P1", WholeGroup, wholeGroup},
		{"P2", SingleMembership, singleMembership},
		{"P3", ColdLimit, coldLimit},
		{"P4", DataCentreDrain, dataCentreDrain},
		{"P5", WholeAnswer, wholeAnswer},
		{"P6", TrueNotRun, trueNotRun},
		{"P7", AtMostOnce, atMostOnce},
		{"P8", BackendDrain, backendDrain},
		{"P9", GracefulShutdown, gracefulShutdown},
		{"P10", ConfigMonotonic, configMonotonic},
	}
}

// Check applies all rules to a history. It returns the violations sorted by
// promise and time.
func Check(h *History, l Limits) []Violation {
	var out []Violation
	for _, r := range Rules() {
		found := r.Find(h, l)
		for i := range found {
			found[i].Promise = r.Promise
		}
		sort.SliceStable(found, func(a, b int) bool { return found[a].Time.Before(found[b].Time) })
		out = append(out, found...)
	}
	return out
}

// formatTime formats a time of day in UTC with milliseconds.
func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func (c *CallerRequest) String() string {
	return fmt.Sprintf("%s caller sent %s to %s: %s at %s", formatTime(c.SentAt), c.Request, c.Entry, c.Outcome, formatTime(c.EndedAt))
}

func (s *BackendRequest) String() string {
	group := ""
	if s.Group != "" || s.ServerGroup != "" {
		group = fmt.Sprintf(" for group %s/%d, as member of %s/%d", s.Group, s.Epoch, s.ServerGroup, s.ServerEpoch)
	}
	return fmt.Sprintf("%s %s (%s) received %s attempt %s%s", formatTime(s.StartedAt), s.Instance, s.Incarnation, s.Request, s.Attempt, group)
}

func (m *MembershipChange) String() string {
	if m.Group == "" {
		return fmt.Sprintf("%s %s left its group", formatTime(m.ChangedAt), m.Instance)
	}
	return fmt.Sprintf("%s %s joined %s/%d", formatTime(m.ChangedAt), m.Instance, m.Group, m.Epoch)
}

func (d *Drain) String() string {
	return fmt.Sprintf("%s drain of %s %s accepted", formatTime(d.AcceptedAt), d.Kind, d.Name)
}
