package edge

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/activity"
	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Parameters of the collection of counts.
const (
	// collectInterval is the time between two collections by the holder of the lease.
	collectInterval = time.Second
	// collectTimeout bounds the call to a relay.
	collectTimeout = 700 * time.Millisecond
	// kindActivity is the message kind of the call for the sums of a relay.
	kindActivity wire.Kind = "activity"
)

// Names of the metrics of usage windows.
const (
	metricWindows          = "usage_windows_counted_total"
	metricWindowsShort     = "usage_windows_incomplete_total"
	metricInstancesMissing = "usage_instances_missing"
	metricWindowAge        = "usage_window_age_seconds"
	metricTimeCorrections  = "true_time_corrections_total"
)

// activityRequest asks an entry instance for its sums.
type activityRequest struct{}

// activityResponse carries the sums by data centre.
type activityResponse struct {
	Sums []activity.DataCentreSums `msgpack:"s"`
}

// modelKey identifies a model of a service.
type modelKey = activity.ModelKey

// windowEvent carries a usage window whose counts are known.
type windowEvent struct{ activity.Result }

func (windowEvent) edgeEvent() {}

// activityState is what an entry instance counts, and what it knows of the others' counts.
type activityState struct {
	sync.Mutex
	time      *activity.TrueTime
	ledger    *activity.Ledger
	collector *activity.Collector
	totals    *activity.Totals
	// collecting is true during a collection.
	collecting bool
}

// wallNow returns the wall clock as the time since 1970.
func wallNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// startActivity begins to count if the settings ask for duties, and returns the function
// that counts runs or nil.
func (n *Node) startActivity() func(account ident.Account, ago time.Duration) {
	d := &n.settings.Duties
	if !d.ReportsUsage && !d.OrdersServers {
		return nil
	}
	windows := activity.Windows{}
	if d.ReportsUsage {
		windows = activity.Windows{Length: d.UsageWindow, Delay: d.UsageDelay}
	}
	s := &activityState{time: activity.NewTrueTime(), collector: activity.NewCollector(windows), totals: activity.NewTotals(windows, d.UsageTolerance)}
	s.time.Sample(bootNow(), wallNow())
	s.ledger = activity.NewLedger(windows, s.now())
	n.activity = s
	return func(account ident.Account, ago time.Duration) {
		s.Lock()
		defer s.Unlock()
		now := s.now()
		s.ledger.Add(now, now-ago, account)
	}
}

// now returns the estimate of the true time. The mutex must be held.
func (s *activityState) now() time.Duration { return s.time.Now(bootNow()) }

// addActivity adds the counts of this instance to its beacon.
func (n *Node) addActivity(m *beacon.Message) {
	s := n.activity
	if s == nil {
		return
	}
	s.Lock()
	defer s.Unlock()
	if correction := s.time.Sample(bootNow(), wallNow()); correction != 0 {
		n.metrics.Scope.Counter(metricTimeCorrections).Inc(1)
		n.log.WithField("correction_ms", correction.Milliseconds()).Warn("true time taken from other entry instances: the clock of this machine differs")
	}
	now := s.now()
	m.Activity = s.ledger.Report(now, n.demandTotals)
	s.collector.Receive(now, activity.Run(n.self), n.settings.DataCentre, m.Activity)
	s.collector.Expire(now)
}

// demandTotals returns the demand for models at this instance.
func (n *Node) demandTotals() []activity.ModelDemand {
	var out []activity.ModelDemand
	n.handler.VisitDemand(func(service ident.ServiceName, model string, requests, refused, promptTokens uint64) {
		out = append(out, activity.ModelDemand{
			ModelKey: modelKey{Service: service, Model: model},
			Demand:   activity.Demand{Requests: requests, Refused: refused, PromptTokens: promptTokens},
		})
	})
	return out
}

// receiveActivity applies the counts in a beacon.
func (n *Node) receiveActivity(m *beacon.Message) {
	s := n.activity
	if s == nil || m.Activity == nil {
		return
	}
	n.receiveTime(m.From, m.Activity.Time)
	s.Lock()
	defer s.Unlock()
	s.collector.Receive(s.now(), activity.Run{Instance: m.From, Incarnation: m.Incarnation}, m.DataCentre, m.Activity)
}

// receiveTime applies another instance's estimate of the true time.
func (n *Node) receiveTime(from ident.InstanceID, estimate time.Duration) {
	s := n.activity
	if s == nil || estimate == 0 {
		return
	}
	s.Lock()
	defer s.Unlock()
	s.time.Receive(bootNow(), from, estimate)
}

// registerActivity answers the calls of the lease holder.
func (n *Node) registerActivity(mux *wire.Mux) {
	s := n.activity
	if s == nil {
		return
	}
	wire.Register(mux, kindActivity, func(context.Context, wire.Peer, activityRequest) (activityResponse, error) {
		s.Lock()
		defer s.Unlock()
		return activityResponse{s.collector.Sums(s.now())}, nil
	})
}

// collectActivity starts a collection if this instance holds the lease and one is due. The
// relays of each data centre know its sums; where beacons go to all, this instance knows all
// of them.
func (n *Node) collectActivity(now time.Duration) {
	s := n.activity
	if s == nil || !n.holdsLease.Load() {
		n.nextCollectAt = 0
		return
	}
	if now < n.nextCollectAt {
		return
	}
	s.Lock()
	defer s.Unlock()
	if s.collecting {
		return
	}
	if n.nextCollectAt == 0 {
		s.totals.Forget()
	}
	n.nextCollectAt = now + collectInterval
	s.collecting = true
	expected := map[ident.DataCentre]int{n.settings.DataCentre: 1}
	for i := range n.roster.records {
		expected[n.roster.records[i].DataCentre]++
	}
	go n.collect(now, expected)
}

// collect merges the sums of all relays and posts the windows that are known.
func (n *Node) collect(now time.Duration, expected map[ident.DataCentre]int) {
	s := n.activity
	var calls sync.WaitGroup
	for d := range expected {
		for _, p := range n.peers.RelaysOf(d, now) {
			calls.Go(func() { n.collectFrom(p) })
		}
	}
	calls.Wait()
	s.Lock()
	t := s.now()
	s.mergeSums(t, s.collector.Sums(t))
	results := s.totals.Ready(t, expected)
	s.collecting = false
	s.Unlock()
	for _, r := range results {
		n.post(windowEvent{r})
	}
}

func (s *activityState) mergeSums(now time.Duration, sums []activity.DataCentreSums) {
	for _, d := range sums {
		s.totals.Merge(now, d)
	}
}

// collectFrom merges the sums of another instance.
func (n *Node) collectFrom(p beacon.Peer) {
	ctx, cancel := context.WithTimeout(n.ctx, collectTimeout)
	defer cancel()
	var resp activityResponse
	address := net.JoinHostPort(p.Address.String(), strconv.Itoa(n.settings.PeerPort))
	if err := n.peerNode.Call(ctx, address, kindActivity, activityRequest{}, &resp); err != nil {
		n.postWarning("activity:"+string(p.Instance), "relay did not answer with its counts", err)
		return
	}
	n.activity.Lock()
	defer n.activity.Unlock()
	n.activity.mergeSums(n.activity.now(), resp.Sums)
}

// handleWindow logs a usage window and passes it on for its report.
func (n *Node) handleWindow(r activity.Result) {
	if !n.holdsLease.Load() {
		return
	}
	runs := uint64(0)
	for _, c := range r.Counts {
		runs += c
	}
	missing := max(0, r.Expected-r.Counted)
	n.metrics.Scope.Counter(metricWindows).Inc(1)
	n.metrics.Scope.Gauge(metricInstancesMissing).Update(float64(missing))
	n.metrics.Scope.Gauge(metricWindowAge).Update(r.Age.Seconds())
	log := n.log.WithFields(logrus.Fields{
		"window": r.Window, "runs": runs, "accounts": len(r.Counts), "counted": r.Counted, "expected": r.Expected,
		"partial": r.Partial, "age_ms": r.Age.Milliseconds(),
	})
	if r.Complete {
		log.Info("usage window counted")
	} else {
		n.metrics.Scope.Counter(metricWindowsShort).Inc(1)
		log.Warn("usage window counted without all entry instances")
	}
	n.stepDuties(duty.WindowCounted{Window: r.Window, Counts: r.Counts, Ended: bootNow() - r.Age})
}

// modelActivity returns the demand for models over all entry instances, as the holder of
// the lease has last collected it.
func (n *Node) modelActivity() map[modelKey]activity.ModelRates {
	s := n.activity
	if s == nil {
		return nil
	}
	expected := map[ident.DataCentre]int{"": n.peers.AliveInstances()}
	s.Lock()
	defer s.Unlock()
	return s.totals.Models(s.now(), expected)
}
