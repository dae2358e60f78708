package forward

import (
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of complaints. An entry instance complains of a server whose last
// answer to it was a failure, and vouches for one that has answered it lately and
// that others complain of. A server that fails all requests, whatever its health
// checks say, has nobody to vouch for it; one that loses a part of its answers has.
const (
	// complainFor is how long an outcome counts. It spans several beacons.
	complainFor = 1200 * time.Millisecond
	// shunFrom is the number of entry instances that have to complain, this one
	// included.
	shunFrom = 3
	// shunRatio is how many times more than those that vouch they have to be.
	shunRatio = 4
)

// complained notes a failure of a server.
func (b *Backend) complained(now time.Duration) { b.failedAt.Store(int64(now)) }

// answers notes the beginning of an answer that is no failure.
func (b *Backend) answers(now time.Duration) {
	b.answeredAt.Store(int64(now))
	b.failedAt.Store(0)
}

// complains reports whether the server's last answer was a failure, lately.
func (b *Backend) complains(now time.Duration) bool { return recent(b.failedAt.Load(), now) }

// vouches reports whether the server has answered lately.
func (b *Backend) vouches(now time.Duration) bool { return recent(b.answeredAt.Load(), now) }

func recent(at int64, now time.Duration) bool {
	return at != 0 && now-time.Duration(at) < complainFor
}

// HealthReports returns the servers of which this entry instance complains, and those
// that others complain of and for which it vouches.
func (h *Handler) HealthReports(now time.Duration) (failing, vouched []ident.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		if b.complains(now) {
			failing = append(failing, key.id)
		}
		if !b.vouches(now) {
			continue
		}
		if complaints, _ := h.opts.Peers.HealthReports(key.id); complaints > 0 {
			vouched = append(vouched, key.id)
		}
	}
	return failing, vouched
}

// failsAll reports whether a server fails all requests, by what entry instances
// say.
func (h *Handler) failsAll(s *fleet.Server, b *Backend, now time.Duration) bool {
	complaints, vouchers := h.opts.Peers.HealthReports(s.ID)
	if b.complains(now) {
		complaints++
	}
	if b.vouches(now) {
		vouchers++
	}
	return complaints >= shunFrom && complaints >= shunRatio*vouchers
}

// FailingHeads visits the heads of groups that fail all requests.
func (h *Handler) FailingHeads(now time.Duration, visit func(*fleet.Server)) {
	for _, heads := range h.view.Load().heads {
		for _, s := range heads {
			if h.failsAll(s, h.backend(s), now) {
				visit(s)
			}
		}
	}
}
