package duty

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// driver steps a machine whose table is always answered at once.
type driver struct {
	*Machine
	t     *testing.T
	now   time.Duration
	calls []Call
	logs  []LogEntry
	rows  []infra.Row
	era   uint64
}

func newDriver(t *testing.T, checksTokens bool) *driver {
	c := simConfig(checksTokens, 0)
	c.CallRate = 1000
	return &driver{Machine: New(c), t: t, now: time.Hour, era: 1}
}

func (d *driver) step(ev Event) {
	for _, a := range d.Step(d.now, ev) {
		switch a := a.(type) {
		case ReadRows:
			d.step(RowsRead{Attempt: a.Attempt, Rows: d.rows, Era: d.era})
		case WriteRow:
			d.step(Written{Attempt: a.Attempt, Outcome: infra.OutcomeApplied})
		case Call:
			d.calls = append(d.calls, a)
		case LogEntry:
			d.logs = append(d.logs, a)
		}
	}
}

func (d *driver) hold(epoch ident.Epoch) {
	d.step(LeaseChanged{Held: true, Grant: lease.Grant{Epoch: epoch, Expires: d.now + time.Hour}})
}

func (d *driver) pass(duration time.Duration) {
	for end := d.now + duration; d.now < end; {
		d.now += 50 * time.Millisecond
		d.step(Tick{})
	}
}

// answer ends the last call.
func (d *driver) answer(r Result) {
	d.t.Helper()
	assert.Assert(d.t, len(d.calls) > 0, "no call was made")
	d.step(Called{Attempt: d.calls[len(d.calls)-1].Attempt, Outcome: Outcome{Result: r}})
}

func order(servers int) SizeWanted {
	return SizeWanted{Service: "s", DataCentre: "a", Servers: servers}
}

// Guards against tokens that do not rise with the epoch, and against ones that a decoder of JSON
// rounds.
func TestToken(t *testing.T) {
	last, err := NewToken(5, maxSequence)
	assert.NilError(t, err)
	next, err := NewToken(6, 0)
	assert.NilError(t, err)
	assert.Assert(t, next > last)
	highest, err := NewToken(1<<33-1, maxSequence)
	assert.NilError(t, err)
	assert.Equal(t, Token(float64(highest)), highest)
	_, err = NewToken(1<<33, 0)
	assert.Assert(t, errors.Is(err, ErrTokenTooLarge))
	_, err = NewToken(1, maxSequence+1)
	assert.Assert(t, errors.Is(err, ErrTokenTooLarge))
}

// Guards against calls with an epoch that fits into no token.
func TestEpochTooLarge(t *testing.T) {
	d := newDriver(t, true)
	d.hold(1 << 33)
	d.step(order(3))
	d.pass(20 * time.Second)
	assert.Equal(t, len(d.calls), 0)
	assert.Equal(t, len(d.logs), 1)
}

// Guards against a next holder that reports other counts than those that may have been sent.
func TestNextHolderRepeatsCounts(t *testing.T) {
	d := newDriver(t, true)
	d.rows = []infra.Row{{RowKey: rowKey(7), Version: 1, Value: encode(usageRow{Counts: map[ident.Account]uint64{"x": 3}, Settled: 6})}}
	d.hold(2)
	d.step(WindowCounted{Window: 7, Counts: map[ident.Account]uint64{"x": 4}})
	d.pass(4 * time.Second)
	assert.Equal(t, len(d.calls), 1)
	assert.DeepEqual(t, d.calls[0].Counts, map[ident.Account]uint64{"x": 3})
}

// Guards against reports of windows that the restored store may have lost.
func TestRestoreSkipsWindows(t *testing.T) {
	d := newDriver(t, true)
	d.era = 2
	d.hold(1<<16 + 1)
	d.step(WindowCounted{Window: 7, Ended: d.now + 2*time.Second})
	d.step(WindowCounted{Window: 6})
	d.pass(4 * time.Second)
	assert.Equal(t, len(d.calls), 0)
	d.step(WindowCounted{Window: 8, Ended: d.now - time.Second})
	d.pass(4 * time.Second)
	assert.Equal(t, len(d.calls), 1)
	assert.Equal(t, d.calls[0].Window, int64(8))
}

// Guards against further calls after the platform has seen a higher token, and against a duty
// that a new lease does not begin again.
func TestOutdatedEndsDuty(t *testing.T) {
	d := newDriver(t, true)
	d.hold(2)
	d.step(order(3))
	d.pass(4 * time.Second)
	d.answer(Outdated)
	d.step(order(4))
	d.pass(20 * time.Second)
	assert.Equal(t, len(d.calls), 1)
	d.hold(4)
	d.step(order(4))
	d.pass(4 * time.Second)
	assert.Equal(t, len(d.calls), 2)
}

// Guards against a holder that takes the number that it ordered in an earlier term for the
// present one.
func TestFirstOrderOfTerm(t *testing.T) {
	d := newDriver(t, true)
	d.hold(2)
	d.step(order(3))
	d.pass(4 * time.Second)
	d.answer(Accepted)
	d.step(order(3))
	assert.Equal(t, len(d.calls), 1)
	d.hold(4)
	d.step(order(3))
	d.pass(4 * time.Second)
	assert.Equal(t, len(d.calls), 2)
}

// Guards against a changed order that is replaced by the one before, which was not answered.
func TestChangedOrderHasHigherToken(t *testing.T) {
	d := newDriver(t, true)
	d.hold(2)
	d.step(order(3))
	d.pass(4 * time.Second)
	d.answer(Unanswered)
	d.pass(time.Second)
	assert.Equal(t, d.calls[1].Token, d.calls[0].Token)
	d.answer(Unanswered)
	d.step(order(4))
	d.pass(time.Second)
	assert.Assert(t, d.calls[2].Token > d.calls[0].Token)
}

// Guards against the same where the platform does not compare tokens: the order is sent again
// once the earlier one can no longer be done, with a token that is not higher.
func TestOrderSentAgainWithoutTokens(t *testing.T) {
	d := newDriver(t, false)
	d.hold(2)
	d.step(order(3))
	d.pass(9 * time.Second)
	d.answer(Unanswered)
	d.step(order(4))
	d.pass(time.Second)
	d.answer(Accepted)
	assert.Equal(t, len(d.calls), 2)
	d.pass(5 * time.Second)
	assert.Equal(t, len(d.calls), 3)
	assert.Equal(t, d.calls[2].Token, d.calls[0].Token)
	d.answer(Accepted)
	d.pass(20 * time.Second)
	assert.Equal(t, len(d.calls), 3)
}

// Guards against a duty that returns to a machine within HolderTime of a call that was done late.
func TestWaitAfterLateCall(t *testing.T) {
	d := newDriver(t, true)
	d.hold(2)
	d.step(order(3))
	d.pass(3 * time.Second)
	d.answer(Unanswered)
	sent := d.now
	d.step(LeaseChanged{})
	d.hold(4)
	d.step(order(3))
	d.pass(20 * time.Second)
	assert.Equal(t, len(d.calls), 2)
	assert.Assert(t, d.callsFrom == sent+8*time.Second)
}

// Guards against a pause of the duties after a lapse of the lease that nobody else used.
func TestResumeAfterLapse(t *testing.T) {
	d := newDriver(t, true)
	d.hold(2)
	d.pass(4 * time.Second)
	d.step(LeaseChanged{})
	d.hold(3)
	d.step(order(3))
	assert.Equal(t, len(d.calls), 1)
}
