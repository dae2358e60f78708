package config

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// join is the state in which a new process determines its floor: the highest
// revision that the store or any ready peer reports. The process is ready, and
// serves requests, only once it holds every revision up to the floor.
type join struct {
	// queried is true once the first queries have been sent.
	queried bool
	// floorKnown is true once floor is final.
	floorKnown bool
	floor      ident.Revision
	// floorAnswers counts the sources that reported a revision.
	floorAnswers int
	// awaitsStore is true until the store has answered or failed. awaitedPeers are
	// the queried peers that have not answered or failed yet.
	awaitsStore  bool
	awaitedPeers map[string]bool
	// nextQuery is the earliest time of the next queries.
	nextQuery time.Duration
}

// joinTick queries the store and some peers for their highest revision. If all
// of them have failed, it queries again, at least RetryDelay after the former
// queries.
func (m *Machine) joinTick(now time.Duration) []Action {
	j := &m.join
	if m.ready || j.floorKnown || now < j.nextQuery || j.waiting() {
		return nil
	}
	j.nextQuery = now + m.set.RetryDelay
	j.awaitedPeers = make(map[string]bool)
	var out []Action
	order := m.rng.Perm(len(m.peers))
	for _, i := range order[:min(len(order), m.set.JoinPeers)] {
		j.awaitedPeers[m.peers[i]] = true
		m.Counters.Pulls++
		out = append(out, Pull{From: m.peers[i], Request: PullRequest{After: headOnly}})
	}
	j.awaitsStore = true
	j.queried = true
	if !m.headInFlight {
		out = append(out, m.readHead(now))
	}
	return out
}

func (j *join) waiting() bool { return j.awaitsStore || len(j.awaitedPeers) > 0 }

func (j *join) storeAnswered(r ident.Revision, err error) {
	if err == nil {
		j.addFloorAnswer(r)
	}
	j.awaitsStore = false
	j.finalizeFloor()
}

func (j *join) peerAnswered(e Pulled) {
	if !j.awaitedPeers[e.From] {
		return
	}
	delete(j.awaitedPeers, e.From)
	if e.Err == nil && e.Response.Ready {
		j.addFloorAnswer(max(e.Response.Head, e.Response.CompleteRevision))
	}
	j.finalizeFloor()
}

func (j *join) addFloorAnswer(r ident.Revision) {
	j.floorAnswers++
	j.floor = max(j.floor, r)
}

// finalizeFloor makes the floor final once each query has succeeded or failed and at
// least one has succeeded.
func (j *join) finalizeFloor() {
	if j.queried && !j.waiting() && j.floorAnswers > 0 {
		j.floorKnown = true
	}
}

// checkReady marks the process ready once it has reached its floor. It then stays
// ready.
func (m *Machine) checkReady() []Action {
	if m.ready || !m.join.floorKnown || m.completeRevision < m.join.floor {
		return nil
	}
	m.ready = true
	return []Action{Publish{}}
}
