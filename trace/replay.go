package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Decision is one line of the decision log.
type Decision struct {
	AtMicros int64 `json:"at_us"`
	// Machine is the name of the decision machine, Action what it decided and
	// Subject the object of the decision.
	Machine string `json:"machine"`
	Action  string `json:"action"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// ActionDiffers marks a decision that differs from the recorded one. Only a machine
// that makes recorded decisions again, such as machines.Choice, returns it.
const ActionDiffers = "differs"

// Machine adapts a decision machine to the events of a trace. It ignores the
// kinds of events that it does not use. The driver sets AtMicros and Machine of
// its decisions.
type Machine interface {
	Name() string
	Start(h Header) error
	Step(now time.Duration, e *Event) ([]Decision, error)
}

// Driver passes the events of a trace to machines, with the timestamps of the
// trace.
type Driver struct {
	machines []Machine
}

// NewDriver returns a driver of machines. Decisions with the same timestamp are
// logged in the order of the machines.
func NewDriver(machines ...Machine) *Driver { return &Driver{machines: machines} }

// Summary holds the counts of a replay.
type Summary struct {
	Events    int
	Ticks     int
	Decisions int
	// Differences is the number of decisions that differ from the recorded ones.
	Differences int
}

// replay is the state of one run.
type replay struct {
	driver         *Driver
	header         Header
	enc            *json.Encoder
	onDecision     func(Decision)
	nextTickMicros int64
	summary        Summary
}

// Run replays a trace and writes the decision log, one JSON object per line. If
// onDecision is not nil, it is called with each decision.
func (d *Driver) Run(t *Reader, log io.Writer, onDecision func(Decision)) (Summary, error) {
	out := bufio.NewWriter(log)
	r := &replay{driver: d, header: t.Header, enc: json.NewEncoder(out), onDecision: onDecision, nextTickMicros: t.Header.TickMicros}
	for _, m := range d.machines {
		if err := m.Start(t.Header); err != nil {
			return r.summary, errors.Wrapf(err, "start machine %s", m.Name())
		}
	}
	for {
		e, err := t.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return r.summary, err
		}
		if err := r.ticksUntil(e.AtMicros); err != nil {
			return r.summary, err
		}
		r.summary.Events++
		if err := r.step(e); err != nil {
			return r.summary, err
		}
	}
	if err := r.ticksUntil(t.Header.EndMicros); err != nil {
		return r.summary, err
	}
	return r.summary, errors.Wrap(out.Flush(), "write decision log")
}

// ticksUntil passes the ticks that are due up to and including the given time to
// the machines.
func (r *replay) ticksUntil(at int64) error {
	if r.header.TickMicros <= 0 {
		return nil
	}
	for ; r.nextTickMicros <= at; r.nextTickMicros += r.header.TickMicros {
		r.summary.Ticks++
		if err := r.step(&Event{AtMicros: r.nextTickMicros, Kind: KindTick}); err != nil {
			return err
		}
	}
	return nil
}

// step passes an event to each machine and logs the decisions.
func (r *replay) step(e *Event) error {
	for _, m := range r.driver.machines {
		decisions, err := m.Step(e.At(), e)
		if err != nil {
			return errors.Wrapf(err, "machine %s at %s", m.Name(), e.At())
		}
		for _, d := range decisions {
			d.AtMicros, d.Machine = e.AtMicros, m.Name()
			r.summary.Decisions++
			if d.Action == ActionDiffers {
				r.summary.Differences++
			}
			if r.onDecision != nil {
				r.onDecision(d)
			}
			if err := r.enc.Encode(d); err != nil {
				return errors.Wrap(err, "write decision")
			}
		}
	}
	return nil
}
