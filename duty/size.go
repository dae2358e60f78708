package duty

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// subject is what an order is about. The platform compares the tokens of one subject.
type subject struct {
	service    ident.ServiceName
	dataCentre ident.DataCentre
}

func (s subject) compare(other subject) int {
	return cmp.Or(cmp.Compare(s.service, other.service), cmp.Compare(s.dataCentre, other.dataCentre))
}

// size is the state of the orders for a subject under the present lease.
type size struct {
	subject
	wanted   int
	decision uint64
	reason   string
	// sent is true once an order was sent: the last one, for ordered servers, has the sequence
	// number sequence. settled is true if the platform has done it.
	sent, settled bool
	ordered       int
	sequence      uint64
	// orderedDecision is the decision of the last order.
	orderedDecision uint64
	inFlight        bool
	retry           retry
	// unsettledUntil is when the last order without an answer can be done at the latest.
	unsettledUntil time.Duration
}

func (m *Machine) handleSizeWanted(e SizeWanted) {
	if !m.held {
		return
	}
	k := subject{e.Service, e.DataCentre}
	i, ok := slices.BinarySearchFunc(m.sizes, k, func(s *size, k subject) int { return s.compare(k) })
	if !ok {
		m.sizes = slices.Insert(m.sizes, i, &size{subject: k})
	}
	if s := m.sizes[i]; !ok || e.Servers != s.wanted || e.Decision != s.decision {
		s.wanted, s.decision, s.reason = e.Servers, e.Decision, e.Reason
	}
}

// nextOrder returns the next order that is due, or nil.
func (m *Machine) nextOrder(now time.Duration) *call {
	if m.outdated[OrderServers] {
		return nil
	}
	for _, s := range m.sizes {
		if s.inFlight || now < s.retry.at || (s.sent && s.settled && s.ordered == s.wanted && s.orderedDecision == s.decision) {
			continue
		}
		if s.sent && s.ordered != s.wanted && m.fences(s) {
			// An order without an answer is refused if it comes after this one.
			s.sequence++
		}
		s.sent, s.settled, s.inFlight, s.ordered, s.orderedDecision = true, false, true, s.wanted, s.decision
		return &call{size: s, Call: Call{
			Kind: OrderServers, Token: m.token(s.sequence),
			Service: s.service, DataCentre: s.dataCentre, Servers: s.wanted, Reason: s.reason,
		}}
	}
	return nil
}

// fences reports whether the next order for a subject gets a higher token. Where the platform
// does not compare tokens, or where they are used up, the same token serves for all orders of a
// holder; see handleOrdered.
func (m *Machine) fences(s *size) bool { return m.cfg.ChecksTokens && s.sequence < maxSequence }

func (m *Machine) handleOrdered(now time.Duration, c *call, r Result) {
	s := c.size
	s.inFlight = false
	switch r {
	case Accepted:
		s.retry = retry{}
		// An earlier order without an answer may replace this one, unless it has a lower token.
		// The order is then sent again once that one can no longer be done.
		s.settled = m.fences(s) || c.sentAt >= s.unsettledUntil
		if !s.settled {
			s.retry.at = s.unsettledUntil
		}
	case Unanswered:
		s.unsettledUntil = c.sentAt + m.cfg.LateCallTime
		s.retry.fail(now, &m.cfg)
	default:
		s.retry.failCall(now, r, &m.cfg)
	}
}
