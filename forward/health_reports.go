package forward

import (
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the detection of backend servers that fail all requests although
// their health checks pass. Each entry instance reports to the others the servers
// whose last request from it failed, and confirms as working those that others
// report and that have answered it recently. A server that fails all requests is
// confirmed by no entry instance; one that fails only some of them is.
const (
	// reportWindow is how long the outcome of a request counts. It spans several beacons.
	reportWindow = 1200 * time.Millisecond
	// minFailureReports is the number of entry instances, including this one, that have
	// to report a failure.
	minFailureReports = 3
	// minFailureReportRatio is the minimum number of failure reports per entry instance
	// that the server has answered recently.
	minFailureReportRatio = 4
)

// recordFailure records that a request to the server failed.
func (b *Backend) recordFailure(now time.Duration) { b.lastFailureAt.Store(int64(now)) }

// recordAnswer records that the server began a response that is not a failure.
func (b *Backend) recordAnswer(now time.Duration) {
	b.lastAnswerAt.Store(int64(now))
	b.lastFailureAt.Store(0)
}

// failedRecently reports whether the last outcome is a failure within reportWindow.
func (b *Backend) failedRecently(now time.Duration) bool {
	return withinReportWindow(b.lastFailureAt.Load(), now)
}

// answeredRecently reports whether the server has answered within reportWindow.
func (b *Backend) answeredRecently(now time.Duration) bool {
	return withinReportWindow(b.lastAnswerAt.Load(), now)
}

func withinReportWindow(at int64, now time.Duration) bool {
	return at != 0 && now-time.Duration(at) < reportWindow
}

// HealthReports returns the servers whose last request from this entry instance failed,
// and those that other entry instances report as failing but that have answered this
// one recently.
func (h *Handler) HealthReports(now time.Duration) (failing, answering []ident.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		if b.failedRecently(now) {
			failing = append(failing, key.id)
		}
		if !b.answeredRecently(now) {
			continue
		}
		if failureReports, _ := h.opts.Peers.HealthReports(key.id); failureReports > 0 {
			answering = append(answering, key.id)
		}
	}
	return failing, answering
}

// failsAllRequests reports whether a server fails all requests, judged by the reports
// of all entry instances.
func (h *Handler) failsAllRequests(s *fleet.Server, b *Backend, now time.Duration) bool {
	failureReports, successReports := h.opts.Peers.HealthReports(s.ID)
	if b.failedRecently(now) {
		failureReports++
	}
	if b.answeredRecently(now) {
		successReports++
	}
	return failureReports >= minFailureReports && failureReports >= minFailureReportRatio*successReports
}

// FailingHeads calls visit for each group head that fails all requests.
func (h *Handler) FailingHeads(now time.Duration, visit func(*fleet.Server)) {
	for _, heads := range h.view.Load().heads {
		for _, s := range heads {
			if h.failsAllRequests(s, h.backend(s), now) {
				visit(s)
			}
		}
	}
}
