package config

import (
	"slices"
	"time"
)

// Limits of pushes.
const (
	// maxPushAttempts bounds the attempts to push records to one peer. A peer
	// that misses all of them learns of the edit from its own polls.
	maxPushAttempts = 4
	// maxRetries bounds the pushes that wait for their next attempt.
	maxRetries = 4096
)

// retry is a push that waits for its next attempt.
type retry struct {
	dueAt time.Duration
	push  Push
}

// relayPushes sends records to all targets through at most FanOut of them. Each
// receiver forwards the records to its share of the other targets, so that no
// node opens a connection to every other one.
func (m *Machine) relayPushes(records []Record, targets []string) []Action {
	parts := min(len(targets), m.set.FanOut)
	out := make([]Action, 0, parts)
	for i := range parts {
		part := targets[i*len(targets)/parts : (i+1)*len(targets)/parts]
		m.Counters.PushesSent++
		out = append(out, Push{To: part[0], Message: PushMessage{Records: records, Relay: part[1:]}})
	}
	return out
}

// pushAll sends records to all peers, in messages that fit a frame. The order of
// peers starts after this node's own address, so that different nodes choose
// different relays.
func (m *Machine) pushAll(records []Record) []Action {
	i, _ := slices.BinarySearch(m.peers, m.self)
	targets := slices.Concat(m.peers[i:], m.peers[:i])
	var out []Action
	for len(records) > 0 {
		n := fitCount(records)
		out = append(out, m.relayPushes(records[:n], targets)...)
		records = records[n:]
	}
	return out
}

// fitCount returns how many of the first records fit one message, at least one.
func fitCount(records []Record) int {
	size := 0
	for i, r := range records {
		size += len(r.Body) + recordOverheadBytes
		if size > pageBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

func (m *Machine) pushReceived(now time.Duration, e PushReceived) []Action {
	m.Counters.PushesReceived++
	out := m.applyReceived(now, e.Message.Records)
	return append(out, m.relayPushes(e.Message.Records, e.Message.Relay)...)
}

// applyReceived applies records. When they leave a new gap, it gives the missing
// ones GapDelay to arrive by push before they are pulled.
func (m *Machine) applyReceived(now time.Duration, records []Record) []Action {
	gap, before := m.completeRevision < m.head, m.completeRevision
	changed := m.applyAll(records)
	if !gap && m.completeRevision < m.head {
		m.fetch.tries = 0
		m.fetch.nextTry = now + m.set.GapDelay
	}
	// A late push of an older record changes no record, but may close the gap
	// and so raise completeRevision.
	return publishIf(changed || m.completeRevision > before)
}

// pushDone schedules the retry of a failed push without its relay list, and at once
// pushes the records to the first peer on that list, which relays them to the rest.
func (m *Machine) pushDone(now time.Duration, e PushDone) []Action {
	if e.Err == nil {
		return nil
	}
	m.Counters.PushesFailed++
	relay := e.Push.Message.Relay
	retried := Push{
		To:      e.Push.To,
		Message: PushMessage{Records: e.Push.Message.Records},
		Attempt: e.Push.Attempt + 1,
	}
	if retried.Attempt < maxPushAttempts && len(m.retries) < maxRetries {
		m.retries = append(m.retries, retry{dueAt: now + m.set.RetryDelay<<e.Push.Attempt, push: retried})
	}
	if len(relay) == 0 {
		return nil
	}
	m.Counters.PushesSent++
	return []Action{Push{To: relay[0], Message: PushMessage{Records: e.Push.Message.Records, Relay: relay[1:]}}}
}

func (m *Machine) retryPushes(now time.Duration) []Action {
	var out []Action
	m.retries = slices.DeleteFunc(m.retries, func(r retry) bool {
		if now < r.dueAt {
			return false
		}
		m.Counters.PushesSent++
		out = append(out, r.push)
		return true
	})
	return out
}
