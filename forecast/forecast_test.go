package forecast

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/route"
)

func testService() *route.Service {
	return &route.Service{
		Slots: 48, Models: []route.Model{{Name: "large", TimeFactor: 1}, {Name: "small", TimeFactor: 0.6}},
		Engine: route.Engine{
			StepTime: 6450 * time.Microsecond, StepTimePerRequest: 97 * time.Microsecond, ReadRate: 56100, ChunkTokens: 2048,
			StepsPerPass: 5, UsualPrompt: 900, UsualAnswer: 140,
		},
	}
}

// TestUnknownEngine guards against forecasts from an engine without figures.
func TestUnknownEngine(t *testing.T) {
	assert.Assert(t, !NewEngine(&route.Service{Slots: 48}, "m").Known())
}

// TestFirstEventGrowsWithLoad guards against a forecast that does not count writers, prompts or
// the wait for a place.
func TestFirstEventGrowsWithLoad(t *testing.T) {
	e := NewEngine(testService(), "large")
	idle := e.FirstEvent(Load{}, 900)
	for name, more := range map[string]time.Duration{
		"writers":     e.FirstEvent(Load{Ahead: 30}, 900),
		"own prompts": e.FirstEvent(Load{OwnUnanswered: 3, OwnPromptTokens: 12000}, 900),
		"prompt":      e.FirstEvent(Load{}, 4000),
		"no place":    e.FirstEvent(Load{Ahead: 60}, 900) - e.FirstEvent(Load{Ahead: 47}, 900) + idle,
	} {
		assert.Assert(t, more > idle+20*time.Millisecond, "%s: %v, idle %v", name, more, idle)
	}
	assert.Assert(t, NewEngine(testService(), "small").FirstEvent(Load{}, 900) < idle)
}

// TestPlaceWaitMatchesTurnover guards against a wait that differs from the time in which a full
// group completes the requests ahead.
func TestPlaceWaitMatchesTurnover(t *testing.T) {
	e := NewEngine(testService(), "small")
	got := e.PlaceWait(47+int(e.Turnover())) - e.PlaceWait(47)
	assert.Assert(t, (got-time.Second).Abs() < 50*time.Millisecond, "%v", got)
}

// TestSlowGroupShowsWithinASecond guards against a slow group that keeps its share of requests.
func TestSlowGroupShowsWithinASecond(t *testing.T) {
	const pause = 55 * time.Millisecond
	for _, slowdown := range []time.Duration{4, 8, 12} {
		var p Pace
		now := time.Duration(0)
		for now+slowdown*pause <= time.Second {
			now += slowdown * pause
			p.RecordPause(now, pause, slowdown*pause)
		}
		pace := p.Silent(time.Second, pause, time.Second-now)
		assert.Assert(t, pace > 0.5*float64(slowdown), "slowdown %d: pace %.1f after a second", slowdown, pace)
	}
}

// TestPaceRecovers guards against a slow group that is avoided for good, as without requests it
// cannot show its recovery.
func TestPaceRecovers(t *testing.T) {
	var p Pace
	p.RecordPause(time.Second, time.Millisecond, time.Second)
	assert.Assert(t, p.At(time.Second) > 4)
	assert.Assert(t, p.At(time.Second+4*paceHalfLife) < 1.5)
}

// TestForecastError checks the error of calibrated forecasts against observations generated with
// another overhead and other prompts than the engine's figures state, at loads of 0.2 to 1.2. The
// residual of the pass under way, which nobody knows, is random.
func TestForecastError(t *testing.T) {
	const overhead = 90 * time.Millisecond
	for _, model := range []string{"large", "small"} {
		for _, load := range []float64{0.2, 0.6, 0.9, 1.2} {
			rnd := rand.New(rand.NewPCG(1, uint64(load*10)))
			base := NewEngine(testService(), model)
			truth := base
			truth.prompt, truth.passes = 700, 30
			var m Model
			var errors Errors
			for i := range 2000 {
				l := Load{Ahead: int(load*48) + rnd.IntN(5) - 2}
				prompt := 200 + rnd.IntN(1000)
				predicted := m.Apply(base).FirstEvent(l, float64(prompt))
				residual := time.Duration((rnd.Float64() - 0.5) * float64(truth.Pause(l)))
				actual := truth.FirstEvent(l, float64(prompt)) + overhead + residual
				if i >= 500 {
					errors.Record(predicted+m.Overhead(), actual)
				}
				m.RecordPrompt(uint64(prompt))
				m.RecordEvents(25 + rnd.IntN(11))
				m.RecordFirst(predicted, actual)
			}
			median, ok := errors.Quantile(0.5)
			assert.Assert(t, ok && median <= 0.1, "model %s, load %.1f: median %.2f of %+v", model, load, median, errors)
			most, ok := errors.Quantile(0.95)
			assert.Assert(t, ok && most <= 0.3, "model %s, load %.1f: 95 of 100 within %.2f of %+v", model, load, most, errors)
		}
	}
}

// TestBetterPlaceWaitsLess guards against a forecast that lets a request wait for those that run
// after it.
func TestBetterPlaceWaitsLess(t *testing.T) {
	e := NewEngine(testService(), "large")
	l := Load{Ahead: 70}
	first, last := e.FirstEventBefore(l, 900, 0.1), e.FirstEventBefore(l, 900, 1)
	assert.Assert(t, first < last-500*time.Millisecond, "%v, %v", first, last)
	assert.Equal(t, last, e.FirstEvent(l, 900))
}

// TestReserve guards against groups without free places for requests whose goal is shorter than the
// wait for one, and against places that are kept free for nothing.
func TestReserve(t *testing.T) {
	e := NewEngine(testService(), "large")
	const overhead = 90 * time.Millisecond
	full := Load{Ahead: 47}
	enough := overhead + e.FirstEvent(full, 0) + e.Pause(full)
	assert.Equal(t, e.Reserve(enough, overhead), 0)
	assert.Equal(t, e.Reserve(enough-time.Millisecond, overhead), 8)
	assert.Equal(t, e.Reserve(0, overhead), 0)
}
