package check

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Promise names one of the ten promises.
type Promise string

// The promises, by the names of docs/design.md.
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

// Limits are the stated times within which a promise takes effect.
type Limits struct {
	// MaxDrainDelay is the time from an accepted drain to the last new work.
	MaxDrainDelay time.Duration
	// MaxConfigDelay is the time from an accepted edit until it is in force everywhere.
	MaxConfigDelay time.Duration
}

// DefaultLimits returns the times of docs/design.md.
func DefaultLimits() Limits {
	return Limits{MaxDrainDelay: 5 * time.Second, MaxConfigDelay: 3 * time.Second}
}

// Violation is one broken promise with the events that show it.
type Violation struct {
	Promise Promise   `json:"promise"`
	At      time.Time `json:"at"`
	Message string    `json:"message"`
	Events  []string  `json:"events"`
}

// String returns the violation on one line per event.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s\n\t%s", v.Promise, stamp(v.At), v.Message, strings.Join(v.Events, "\n\t"))
}

// Rule finds the violations of one promise.
type Rule struct {
	// ID is the short id of the promise, P1 to P10.
	ID      string
	Promise Promise
	Find    func(h *History, l Limits) []Violation
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

// Check applies all rules and returns the violations in order of promise and
// time.
func Check(h *History, l Limits) []Violation {
	var out []Violation
	for _, r := range Rules() {
		found := r.Find(h, l)
		for i := range found {
			found[i].Promise = r.Promise
		}
		sort.SliceStable(found, func(a, b int) bool { return found[a].At.Before(found[b].At) })
		out = append(out, found...)
	}
	return out
}

// stamp prints an instant with milliseconds.
func stamp(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func (c *CallerRequest) String() string {
	return fmt.Sprintf("%s caller sent %s to %s: %s at %s", stamp(c.SentAt), c.Request, c.Entry, c.Outcome, stamp(c.EndedAt))
}

func (s *BackendRequest) String() string {
	group := ""
	if s.Group != "" || s.ServerGroup != "" {
		group = fmt.Sprintf(" for group %s/%d, holding %s/%d", s.Group, s.Epoch, s.ServerGroup, s.ServerEpoch)
	}
	return fmt.Sprintf("%s %s (%s) took %s attempt %s%s", stamp(s.StartedAt), s.Instance, s.Incarnation, s.Request, s.Attempt, group)
}

func (m *MembershipChange) String() string {
	if m.Group == "" {
		return fmt.Sprintf("%s %s left its group", stamp(m.ChangedAt), m.Instance)
	}
	return fmt.Sprintf("%s %s joined %s/%d", stamp(m.ChangedAt), m.Instance, m.Group, m.Epoch)
}

func (d *Drain) String() string {
	return fmt.Sprintf("%s drain of %s %s accepted", stamp(d.AcceptedAt), d.Kind, d.Name)
}
