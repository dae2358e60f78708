// Package telemetry provides the metrics scope with its Prometheus endpoint, the
// request metrics per client account, service and class, and the logger.
package telemetry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// reportInterval is the interval at which metrics are reported to the Prometheus
// registry.
const reportInterval = time.Second

// maxLabelSets limits the combinations of account, service and class that have
// separate metrics, so that the memory for metrics is bounded.
const maxLabelSets = 4096

// latencyBuckets covers 1 ms to about 65 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// Metrics holds the metrics of one process.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer

	mu       sync.RWMutex
	requests map[requestLabels]*RequestMetrics
}

type requestLabels struct {
	account ident.Account
	service ident.ServiceName
	class   service.Class
}

// RequestMetrics are the metrics of one client account, service and class.
type RequestMetrics struct {
	FirstByte tally.Histogram
	Duration  tally.Histogram
	Answered  tally.Counter
	Late      tally.Counter
	Refused   tally.Counter
	Unknown   tally.Counter
	Tokens    tally.Counter
}

// New returns the metrics of one process.
func New() *Metrics {
	// A separate registry allows several instances in one process.
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bulrushfall",
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Metrics{
		Scope:    scope,
		handler:  reporter.HTTPHandler(),
		closer:   closer,
		requests: make(map[requestLabels]*RequestMetrics),
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops reporting to the registry.
func (m *Metrics) Close() error { return m.closer.Close() }

// Request returns the metrics of one client account, service and class.
func (m *Metrics) Request(account ident.Account, name ident.ServiceName, class service.Class) *RequestMetrics {
	key := requestLabels{account: account, service: name, class: class}
	m.mu.RLock()
	r, ok := m.requests[key]
	m.mu.RUnlock()
	if ok {
		return r
	}
	return m.addRequest(key)
}

// addRequest creates the metrics of a label set. Beyond maxLabelSets, the account
// and the service are reported as "other".
func (m *Metrics) addRequest(key requestLabels) *RequestMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.requests[key]; ok {
		return r
	}
	if len(m.requests) >= maxLabelSets {
		key = requestLabels{account: "other", service: "other", class: key.class}
	}
	s := m.Scope.Tagged(map[string]string{
		"account": string(key.account),
		"service": string(key.service),
		"class":   string(key.class),
	})
	r := &RequestMetrics{
		FirstByte: s.Histogram("first_byte_seconds", latencyBuckets),
		Duration:  s.Histogram("duration_seconds", latencyBuckets),
		Answered:  s.Counter("answered_total"),
		Late:      s.Counter("late_total"),
		Refused:   s.Counter("refused_total"),
		Unknown:   s.Counter("unknown_total"),
		Tokens:    s.Counter("tokens_total"),
	}
	m.requests[key] = r
	return r
}

// NewLogger returns a logger that writes JSON lines to w from the given level up.
func NewLogger(w io.Writer, level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q: use debug, info, warn or error", level)
	}
	l.SetLevel(parsed)
	return l, nil
}
