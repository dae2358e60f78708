package config

import (
	"slices"
	"time"
)

// Limits of pushes.
const (
	// maxPushAttempts bounds the attempts to one peer. A peer that misses all
	// of them learns of the edit by its own polls.
	maxPushAttempts = 4
	// maxRetries bounds the pushes that wait for another attempt.
	maxRetries = 4096
)

// retry is a push that waits for its next attempt.
type retry struct {
	at   time.Duration
	push Push
}

// spread sends records to targets. With more targets than FanOut each receiver
// passes the records on to a part of the rest, so that no node opens a
// connection to every other one.
func (m *Machine) spread(records []Record, targets []string) []Action {
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
// peers starts after the own address, so that different nodes choose different
// relays.
func (m *Machine) pushAll(records []Record) []Action {
	i, _ := slices.BinarySearch(m.peers, m.self)
	targets := slices.Concat(m.peers[i:], m.peers[:i])
	var out []Action
	for len(records) > 0 {
		n := fitting(records)
		out = append(out, m.spread(records[:n], targets)...)
		records = records[n:]
	}
	return out
}

// fitting returns how many records one message carries, at least one.
func fitting(records []Record) int {
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
	out := m.take(now, e.Message.Records)
	return append(out, m.spread(e.Message.Records, e.Message.Relay)...)
}

// take applies records and, when they leave a gap, lets the missing ones arrive
// as pushes before they are pulled.
func (m *Machine) take(now time.Duration, records []Record) []Action {
	gap, before := m.complete < m.head, m.complete
	changed := m.applyAll(records)
	if !gap && m.complete < m.head {
		m.fetch.tries = 0
		m.fetch.next = now + m.set.GapDelay
	}
	// A late push of an older record of a key changes nothing else than what is
	// complete.
	return published(changed || m.complete > before)
}

// pushDone retries a failed push later and gives its relay list to the next
// peer at once.
func (m *Machine) pushDone(now time.Duration, e PushDone) []Action {
	if e.Err == nil {
		return nil
	}
	m.Counters.PushesFailed++
	relay := e.Push.Message.Relay
	again := Push{
		To:      e.Push.To,
		Message: PushMessage{Records: e.Push.Message.Records},
		Attempt: e.Push.Attempt + 1,
	}
	if again.Attempt < maxPushAttempts && len(m.retries) < maxRetries {
		m.retries = append(m.retries, retry{at: now + m.set.RetryDelay<<e.Push.Attempt, push: again})
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
		if now < r.at {
			return false
		}
		m.Counters.PushesSent++
		out = append(out, r.push)
		return true
	})
	return out
}
