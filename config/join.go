package config

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// join is the search of a new process for its floor: the highest revision that
// the store or any answering peer names. The process serves only after it
// holds everything up to the floor.
type join struct {
	started bool
	// decided tells that the floor is known.
	decided bool
	floor   ident.Revision
	// answers counts the sources that named a floor.
	answers   int
	waitStore bool
	waitPeers map[string]bool
	next      time.Duration
}

// joinTick asks the store and some peers, and asks again while nobody answers.
func (m *Machine) joinTick(now time.Duration) []Action {
	j := &m.join
	if m.ready || j.decided || now < j.next || j.waiting() {
		return nil
	}
	j.next = now + m.set.RetryDelay
	j.waitPeers = make(map[string]bool)
	var out []Action
	order := m.rng.Perm(len(m.peers))
	for _, i := range order[:min(len(order), m.set.JoinPeers)] {
		j.waitPeers[m.peers[i]] = true
		m.Counters.Pulls++
		out = append(out, Pull{From: m.peers[i], Request: PullRequest{After: headOnly}})
	}
	j.waitStore = true
	j.started = true
	if !m.headInFlight {
		out = append(out, m.readHead(now))
	}
	return out
}

func (j *join) waiting() bool { return j.waitStore || len(j.waitPeers) > 0 }

func (j *join) storeAnswered(r ident.Revision, err error) {
	if err == nil {
		j.name(r)
	}
	j.waitStore = false
	j.decide()
}

func (j *join) peerAnswered(e Pulled) {
	if !j.waitPeers[e.From] {
		return
	}
	delete(j.waitPeers, e.From)
	if e.Err == nil && e.Response.Ready {
		j.name(max(e.Response.Head, e.Response.Complete))
	}
	j.decide()
}

func (j *join) name(r ident.Revision) {
	j.answers++
	j.floor = max(j.floor, r)
}

// decide fixes the floor once all sources answered or failed, and at least one
// answered.
func (j *join) decide() {
	if j.started && !j.waiting() && j.answers > 0 {
		j.decided = true
	}
}

// checkReady marks the node ready. It stays so.
func (m *Machine) checkReady() []Action {
	if m.ready || !m.join.decided || m.complete < m.join.floor {
		return nil
	}
	m.ready = true
	return []Action{Publish{}}
}
