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
	// Machine is the decision machine, Action what it decided, Subject what the
	// decision is about.
	Machine string `json:"machine"`
	Action  string `json:"action"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// ActionDiffers is the decision of a machine that repeats recorded decisions and
// comes to another one.
const ActionDiffers = "differs"

// Machine adapts one decision machine to the events of a trace. It ignores
// kinds that it does not use. AtMicros and Machine of its decisions are set by
// the driver.
type Machine interface {
	Name() string
	Start(h Header) error
	Step(now time.Duration, e *Event) ([]Decision, error)
}

// Driver feeds machines in the trace's own time.
type Driver struct {
	machines []Machine
}

// NewDriver returns a driver of machines. Their order is the order of their
// decisions at one instant.
func NewDriver(machines ...Machine) *Driver { return &Driver{machines: machines} }

// Summary tells what a replay did.
type Summary struct {
	Events    int
	Ticks     int
	Decisions int
	// Differences are decisions that differ from the recorded ones.
	Differences int
}

// replay is the state of one run.
type replay struct {
	driver  *Driver
	header  Header
	enc     *json.Encoder
	keep    func(Decision)
	tickAt  int64
	summary Summary
}

// Run replays a trace and writes the decision log, one JSON object a line. keep,
// if not nil, also gets each decision.
func (d *Driver) Run(t *Reader, log io.Writer, keep func(Decision)) (Summary, error) {
	out := bufio.NewWriter(log)
	r := &replay{driver: d, header: t.Header, enc: json.NewEncoder(out), keep: keep, tickAt: t.Header.TickMicros}
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

// ticksUntil feeds the ticks that are due up to an instant.
func (r *replay) ticksUntil(at int64) error {
	if r.header.TickMicros <= 0 {
		return nil
	}
	for ; r.tickAt <= at; r.tickAt += r.header.TickMicros {
		r.summary.Ticks++
		if err := r.step(&Event{AtMicros: r.tickAt, Kind: KindTick}); err != nil {
			return err
		}
	}
	return nil
}

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
			if r.keep != nil {
				r.keep(d)
			}
			if err := r.enc.Encode(d); err != nil {
				return errors.Wrap(err, "write decision")
			}
		}
	}
	return nil
}
