package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the cold start model: seven entry instances offer more requests
// than one backend server accepts, and messages are delayed or lost.
const (
	coldEntries      = 7
	coldRestarts     = 200
	coldBackend      = credit.BackendID("group")
	coldRequestTime  = 400 * time.Millisecond
	coldPollInterval = 250 * time.Millisecond
	coldReserveWait  = 40 * time.Second // time until the owner's reserves for unknown holders expire
)

var coldLimits = credit.Limits{Requests: 16, ColdRequests: 2, HeldTokens: 100_000, ColdRamp: time.Second}

// coldRequest is a request that runs on one incarnation of the backend server. It
// holds a credit unless static shares are used.
type coldRequest struct {
	credit      credit.Credit
	staticShare bool
}

// coldModel is one backend server that restarts at random moments.
type coldModel struct {
	callClock
	rand *rand.Rand
	// sharedCredits is set if the entry instances get credits from one owner. Otherwise
	// each has an equal static share of the limit, at least 1.
	sharedCredits     bool
	incarnationNumber int
	cold              bool
	running           []int // by entry instance, on the current incarnation
	runningCold       int   // those of running that started during the cold start
	owner             *credit.Owner
	holders           []*credit.Holder
	restarts          int

	// overloads counts how often the number of running requests that started during a
	// cold start rose above the cold limit.
	started, startedCold, overloads, maxRunningCold int
	// coldEndedAt is the end of the last cold start, or 0 once the backend server was
	// busy after it.
	coldEndedAt     time.Duration
	warmToBusyTimes []time.Duration
}

func (m *coldModel) incarnation() string { return fmt.Sprint(m.incarnationNumber) }

// messageDelay draws the network delay of a message.
func (m *coldModel) messageDelay() time.Duration {
	return 500*time.Microsecond + time.Duration(m.rand.ExpFloat64()*float64(20*time.Millisecond))
}

// runCold runs the model until the backend server has restarted coldRestarts times.
func runCold(seed uint64, shared bool) *coldModel {
	m := &coldModel{
		rand: rand.New(rand.NewPCG(seed, 4)), sharedCredits: shared,
		running: make([]int, coldEntries), owner: credit.NewOwner(1, 0),
	}
	for e := range coldEntries {
		h := credit.NewHolder(ident.InstanceID(fmt.Sprint("entry-", e)), "1")
		h.SetWaiting(coldBackend, credit.Amount{Requests: 16, Tokens: 1600}, false)
		m.holders = append(m.holders, h)
		m.after(time.Duration(e)*70*time.Millisecond, func() { m.syncHolder(e) })
		m.after(time.Millisecond, func() { m.startRequests(e) })
	}
	m.poll()
	m.after(coldReserveWait, m.restart)
	for m.restarts < coldRestarts {
		m.run(m.now + time.Second)
	}
	return m
}

func (m *coldModel) restart() {
	m.incarnationNumber++
	m.restarts++
	m.cold, m.runningCold = true, 0
	m.running = make([]int, coldEntries)
	inc := m.incarnationNumber
	m.after(500*time.Millisecond+time.Duration(m.rand.Float64()*float64(time.Second)), func() {
		if m.incarnationNumber == inc {
			m.cold, m.coldEndedAt = false, m.now
		}
	})
	m.after(time.Duration((0.2+4*m.rand.Float64())*float64(time.Second)), m.restart)
}

func (m *coldModel) poll() {
	r := credit.Report{
		Backend: coldBackend, Incarnation: m.incarnation(), Limits: coldLimits, Cold: m.cold,
		Polled: true, Running: m.totalRunning(), Sent: m.now,
	}
	m.after(m.messageDelay(), func() {
		r.Received = m.now
		m.owner.Step(m.now, r)
	})
	m.after(coldPollInterval, m.poll)
}

func (m *coldModel) totalRunning() int {
	n := 0
	for _, r := range m.running {
		n += r
	}
	return n
}

// syncHolder sends one sync to the owner, applies the reply, and repeats this every
// credit.SyncInterval. One sync in twenty is lost, and so is one reply in twenty.
func (m *coldModel) syncHolder(e int) {
	s := m.holders[e].NextSync(m.now)
	m.after(credit.SyncInterval, func() { m.syncHolder(e) })
	if m.rand.IntN(20) == 0 {
		return
	}
	m.after(m.messageDelay(), func() {
		for _, a := range m.owner.Step(m.now, s) {
			if r, ok := a.(credit.Reply); ok && m.rand.IntN(20) > 0 {
				m.after(m.messageDelay(), func() { m.holders[e].ApplyReply(m.now, r) })
			}
		}
	})
}

// startRequests starts as many requests as an entry instance may, every 5 ms.
func (m *coldModel) startRequests(e int) {
	for m.startRequest(e) {
	}
	if m.totalRunning() >= coldLimits.Requests-coldEntries && m.coldEndedAt > 0 {
		m.warmToBusyTimes = append(m.warmToBusyTimes, m.now-m.coldEndedAt)
		m.coldEndedAt = 0
	}
	m.after(5*time.Millisecond, func() { m.startRequests(e) })
}

func (m *coldModel) startRequest(e int) bool {
	run, ok := m.acquire(e)
	if !ok {
		return false
	}
	m.running[e]++
	m.started++
	cold := m.cold
	if cold {
		m.startedCold++
		m.runningCold++
		m.maxRunningCold = max(m.maxRunningCold, m.runningCold)
		if m.runningCold == coldLimits.ColdRequests+1 {
			m.overloads++
		}
	}
	inc := m.incarnationNumber
	m.after(time.Duration((0.5+m.rand.ExpFloat64()/2)*float64(coldRequestTime)), func() {
		if !run.staticShare {
			m.holders[e].Release(run.credit)
		}
		if m.incarnationNumber == inc {
			m.running[e]--
			if cold {
				m.runningCold--
			}
		}
	})
	return true
}

// acquire acquires a credit or checks the static share. The backend server refuses
// a credit of another incarnation, and during a cold start a credit that is not
// marked as cold.
func (m *coldModel) acquire(e int) (coldRequest, bool) {
	if !m.sharedCredits {
		limit := coldLimits.Requests
		if m.cold {
			limit = coldLimits.ColdRequests
		}
		return coldRequest{staticShare: true}, m.running[e] < max(1, limit/coldEntries)
	}
	h := m.holders[e]
	c, err := h.Acquire(m.now, coldBackend, 100, true)
	if err != nil {
		return coldRequest{}, false
	}
	if c.Incarnation != m.incarnation() || (m.cold && !c.Cold) {
		h.Release(c)
		h.Observe(m.now, coldBackend, m.incarnation(), m.cold)
		return coldRequest{}, false
	}
	return coldRequest{credit: c}, true
}
