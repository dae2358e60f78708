package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/view"
)

// findingsInterval is the time between two exchanges of findings about a crash.
const findingsInterval = 200 * time.Millisecond

// traitsOf returns what a request may have in common with others: its content and, for a
// completion, the messages of a chat but the last one, or the beginnings of its prompt.
func traitsOf(r *Request) []quarantine.Trait {
	traits := []quarantine.Trait{quarantine.ContentTrait(r.Fingerprint)}
	switch {
	case r.Completion == nil:
	case len(r.Completion.Messages) > 0:
		for _, m := range r.Completion.Messages[:len(r.Completion.Messages)-1] {
			traits = append(traits, quarantine.PartTrait(r.Name, m.Role+"\n"+m.Content))
		}
	default:
		for _, h := range prefixes(r.Completion.Text()) {
			traits = append(traits, quarantine.PartTrait(r.Name, strconv.FormatUint(h, 16)))
		}
	}
	return traits
}

// traitsConvicted reports whether requests with these traits are refused, and how long.
func (q *Quarantine) traitsConvicted(traits []quarantine.Trait) (remaining time.Duration, ok bool) {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.convictions.Inc(int64(len(q.correlator.Tick(now))))
	return q.correlator.Convicted(now, traits)
}

// mergeFindings applies the findings of a peer and returns the own ones.
func (q *Quarantine) mergeFindings(f quarantine.Findings) quarantine.Findings {
	now := q.opts.Now()
	q.mu.Lock()
	_, changed := q.correlator.Merge(now, f)
	q.convictions.Inc(int64(len(q.correlator.Tick(now))))
	own := q.correlator.Findings(now)
	q.mu.Unlock()
	if changed {
		q.exchangeFindings()
	}
	return own
}

// livePeers returns the other live entry instances.
func (q *Quarantine) livePeers() []view.Entry {
	return slices.DeleteFunc(slices.Clone(q.opts.Snapshot().Entries), func(e view.Entry) bool {
		return !e.Alive || e.Instance == q.opts.Self.Instance || e.PeerAddress == ""
	})
}

// exchangeFindings exchanges the findings with all live peers until no recent crash is left.
func (q *Quarantine) exchangeFindings() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.exchanging {
		return
	}
	q.exchanging = true
	q.wg.Add(1)
	go func() {
		defer q.wg.Done()
		for {
			now := q.opts.Now()
			q.mu.Lock()
			q.convictions.Inc(int64(len(q.correlator.Tick(now))))
			f := q.correlator.Findings(now)
			peers := q.livePeers()
			if len(f.Crashes) == 0 || len(peers) == 0 {
				q.exchanging = false
				q.mu.Unlock()
				return
			}
			q.mu.Unlock()
			var calls sync.WaitGroup
			for _, e := range peers {
				calls.Go(func() {
					var reply quarantine.Findings
					if q.send(e.PeerAddress, kindSuspectTraits, f, &reply) == nil {
						q.mu.Lock()
						q.correlator.Merge(q.opts.Now(), reply)
						q.mu.Unlock()
					}
				})
			}
			calls.Wait()
			time.Sleep(findingsInterval)
		}
	}()
}
