package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the cold start model: seven entry instances with more requests
// than one backend server takes, and messages that are late or lost.
const (
	coldEntries  = 7
	coldRestarts = 200
	coldBackend  = credit.BackendID("group")
	coldHold     = 400 * time.Millisecond
	coldPoll     = 250 * time.Millisecond
	coldReserve  = 40 * time.Second // until reserves of unknown holders ended
)

var coldLimits = credit.Limits{Requests: 16, ColdRequests: 2, HeldTokens: 100_000, ColdRamp: time.Second}

// coldRun is a request that runs on one incarnation.
type coldRun struct {
	credit credit.Credit
	static bool
}

// coldModel is one backend server that restarts at random moments.
type coldModel struct {
	callClock
	rand     *rand.Rand
	shared   bool // credits, or equal static shares of at least one
	inc      int
	cold     bool
	running  []int // by entry instance, on this incarnation
	inCold   int   // of those, started in the cold start
	owner    *credit.Owner
	holders  []*credit.Holder
	restarts int

	started, startedCold, overloads, maxCold int
	warmAt                                   time.Duration
	warmTimes                                []time.Duration
}

func (m *coldModel) incarnation() string { return fmt.Sprint(m.inc) }

// delay is a message's time under way.
func (m *coldModel) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(m.rand.ExpFloat64()*float64(20*time.Millisecond))
}

// runCold runs the model until the backend server has restarted often enough.
func runCold(seed uint64, shared bool) *coldModel {
	m := &coldModel{
		rand: rand.New(rand.NewPCG(seed, 4)), shared: shared,
		running: make([]int, coldEntries), owner: credit.NewOwner(1, 0),
	}
	for e := range coldEntries {
		h := credit.NewHolder(ident.InstanceID(fmt.Sprint("entry-", e)), "1")
		h.SetWaiting(coldBackend, credit.Amount{Requests: 16, Tokens: 1600}, false)
		m.holders = append(m.holders, h)
		m.after(time.Duration(e)*70*time.Millisecond, func() { m.sync(e) })
		m.after(time.Millisecond, func() { m.work(e) })
	}
	m.poll()
	m.after(coldReserve, m.restart)
	for m.restarts < coldRestarts {
		m.run(m.now + time.Second)
	}
	return m
}

func (m *coldModel) restart() {
	m.inc++
	m.restarts++
	m.cold, m.inCold = true, 0
	m.running = make([]int, coldEntries)
	inc := m.inc
	m.after(500*time.Millisecond+time.Duration(m.rand.Float64()*float64(time.Second)), func() {
		if m.inc == inc {
			m.cold, m.warmAt = false, m.now
		}
	})
	m.after(time.Duration((0.2+4*m.rand.Float64())*float64(time.Second)), m.restart)
}

func (m *coldModel) poll() {
	r := credit.Report{
		Backend: coldBackend, Incarnation: m.incarnation(), Limits: coldLimits, Cold: m.cold,
		Polled: true, Running: m.total(), Sent: m.now,
	}
	m.after(m.delay(), func() {
		r.Received = m.now
		m.owner.Step(m.now, r)
	})
	m.after(coldPoll, m.poll)
}

func (m *coldModel) total() int {
	n := 0
	for _, r := range m.running {
		n += r
	}
	return n
}

// sync exchanges one message with the owner; one in twenty is lost.
func (m *coldModel) sync(e int) {
	s := m.holders[e].NextSync(m.now)
	m.after(credit.SyncInterval, func() { m.sync(e) })
	if m.rand.IntN(20) == 0 {
		return
	}
	m.after(m.delay(), func() {
		for _, a := range m.owner.Step(m.now, s) {
			if r, ok := a.(credit.Reply); ok && m.rand.IntN(20) > 0 {
				m.after(m.delay(), func() { m.holders[e].ApplyReply(m.now, r) })
			}
		}
	})
}

// work starts what an entry instance may start, every 5 ms.
func (m *coldModel) work(e int) {
	for m.start(e) {
	}
	if m.total() >= coldLimits.Requests-coldEntries && m.warmAt > 0 {
		m.warmTimes = append(m.warmTimes, m.now-m.warmAt)
		m.warmAt = 0
	}
	m.after(5*time.Millisecond, func() { m.work(e) })
}

func (m *coldModel) start(e int) bool {
	run, ok := m.acquire(e)
	if !ok {
		return false
	}
	m.running[e]++
	m.started++
	cold := m.cold
	if cold {
		m.startedCold++
		m.inCold++
		m.maxCold = max(m.maxCold, m.inCold)
		if m.inCold == coldLimits.ColdRequests+1 {
			m.overloads++
		}
	}
	inc := m.inc
	m.after(time.Duration((0.5+m.rand.ExpFloat64()/2)*float64(coldHold)), func() {
		if !run.static {
			m.holders[e].Release(run.credit)
		}
		if m.inc == inc {
			m.running[e]--
			if cold {
				m.inCold--
			}
		}
	})
	return true
}

// acquire takes a credit; the connection is refused when the incarnation or the
// cold state differs.
func (m *coldModel) acquire(e int) (coldRun, bool) {
	if !m.shared {
		limit := coldLimits.Requests
		if m.cold {
			limit = coldLimits.ColdRequests
		}
		return coldRun{static: true}, m.running[e] < max(1, limit/coldEntries)
	}
	h := m.holders[e]
	c, err := h.Acquire(m.now, coldBackend, 100, true)
	if err != nil {
		return coldRun{}, false
	}
	if c.Incarnation != m.incarnation() || (m.cold && !c.Cold) {
		h.Release(c)
		h.Observe(m.now, coldBackend, m.incarnation(), m.cold)
		return coldRun{}, false
	}
	return coldRun{credit: c}, true
}
