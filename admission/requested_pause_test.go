package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Guards against a pause that is shorter than the one asked for, against one without end, and
// against values that are no numbers of seconds.
func TestParseRetryAfter(t *testing.T) {
	for _, c := range []struct {
		value string
		want  time.Duration
		bad   bool
	}{
		{"0", 0, false},
		{"-0", 0, false},
		{"3", 3 * time.Second, false},
		{"2.5", 2500 * time.Millisecond, false},
		{".5", 500 * time.Millisecond, false},
		{"1.0000000001", time.Second + 1, false},
		{"1e-12", 1, false},
		{"3600", time.Hour, false},
		{"3601", maxRequestedPause, false},
		{"99999999999999999999", maxRequestedPause, false},
		{"1e300", maxRequestedPause, false},
		{"1e400", maxRequestedPause, false},
		{"-1", 0, true},
		{"-1e400", 0, true},
		{"NaN", 0, true},
		{"Inf", 0, true},
		{"-Infinity", 0, true},
		{"", 0, true},
		{"3 s", 0, true},
		{"soon", 0, true},
		{"Fri, 31 Dec 2100 23:59:59 GMT", 0, true},
		{strings.Repeat("x", 1000), 0, true},
	} {
		got, err := parseRetryAfter(c.value)
		assert.Equal(t, got, c.want, c.value)
		var bad *RetryAfterError
		assert.Equal(t, errors.As(err, &bad), c.bad, c.value)
		if bad != nil {
			assert.Assert(t, len(bad.Error()) < 200, "%d bytes", len(bad.Error()))
		}
	}
}

// Guards against a pause because of an answer with another status than 503.
func TestOnlyStatus503AsksForPause(t *testing.T) {
	run := fleet.Run{ID: "s", Incarnation: "1"}
	for _, status := range []int{200, 421, 429, 500, 502, 504} {
		p := NewRequestedPauses()
		_, notice := p.Observe(time.Second, ServerAnswer{Run: run, Status: status, RetryAfter: "9"})
		assert.Assert(t, !notice && p.Remaining(time.Second, run) == 0 && len(p.runs) == 0, status)
	}
}

// pauseModel is the plain definition of pauses: each valid answer of a run, with its end.
type pauseModel map[fleet.Run][]time.Duration

func (m pauseModel) remaining(now time.Duration, run fleet.Run) time.Duration {
	left := time.Duration(0)
	for _, end := range m[run] {
		left = max(left, end-now)
	}
	return left
}

// Guards against pauses that end early or late in any order of answers and restarts: a later
// and shorter one, wrong values and other statuses in between, several runs of one server, and
// events that come with a slightly older time. Also against notices and memory without bound.
func TestRequestedPausesInAnyOrder(t *testing.T) {
	const events = 400
	values := []struct {
		value string
		pause time.Duration
	}{{"0", 0}, {"0.05", 50 * time.Millisecond}, {"0.7", 700 * time.Millisecond}, {"2", 2 * time.Second}, {"15", 15 * time.Second}, {"1e9", maxRequestedPause}, {"x", 0}, {"-2", 0}, {"", 0}}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		p, model := NewRequestedPauses(), pauseModel{}
		incarnations := make([]int, 1+rng.IntN(5))
		current := func() []fleet.Run {
			var out []fleet.Run
			for i, n := range incarnations {
				out = append(out, fleet.Run{ID: ident.InstanceID(fmt.Sprint("s", i)), Incarnation: ident.Incarnation(fmt.Sprint(n))})
			}
			return out
		}
		// Half of the seeds draw no pauses that outlast the simulation.
		choices := len(values)
		if seed%2 == 0 {
			choices = 5
		}
		notices := map[fleet.Run][]time.Duration{}
		now := time.Duration(rng.Int64N(int64(time.Hour)))
		for range events {
			now += time.Duration(rng.ExpFloat64() * float64(200*time.Millisecond))
			runs := current()
			i := rng.IntN(len(runs))
			switch rng.IntN(8) {
			case 0:
				incarnations[i]++
			case 1, 2, 3:
				v, status := values[rng.IntN(choices)], []int{503, 503, 503, 429, 200}[rng.IntN(5)]
				at := now - time.Duration(rng.Int64N(int64(time.Millisecond)))
				_, notice := p.Observe(at, ServerAnswer{Run: runs[i], Status: status, RetryAfter: v.value})
				if status == 503 && v.pause > 0 {
					model[runs[i]] = append(model[runs[i]], at+v.pause)
				}
				if notice {
					notices[runs[i]] = append(notices[runs[i]], at)
				}
			}
			runs = current()
			earliest, all := time.Duration(0), true
			for _, run := range runs {
				want := model.remaining(now, run)
				assert.Equal(t, p.Remaining(now, run), want, "seed %d: %v at %v", seed, run, now)
				all = all && want > 0
				if earliest == 0 || want < earliest {
					earliest = want
				}
			}
			gotEarliest, gotAll := p.AllPaused(now, slices.Values(runs))
			assert.Equal(t, gotAll, all, "seed %d at %v", seed, now)
			if all {
				assert.Equal(t, gotEarliest, earliest, "seed %d at %v", seed, now)
			}
		}
		for run, at := range notices {
			for i := 2; i < len(at); i++ {
				// One of a pause and one of a wrong value.
				assert.Assert(t, at[i]-at[i-2] >= pauseNoticeInterval-time.Millisecond, "seed %d: notices of %v at %v", seed, run, at)
			}
		}
		now += maxRequestedPause + pauseNoticeInterval
		p.Observe(now, ServerAnswer{Run: fleet.Run{ID: "other"}, Status: 503, RetryAfter: "1"})
		assert.Equal(t, len(p.runs), 1, "seed %d: state of runs whose pauses have ended", seed)
	}
	_, all := NewRequestedPauses().AllPaused(0, slices.Values([]fleet.Run(nil)))
	assert.Assert(t, !all)
}
