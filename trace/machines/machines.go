package machines

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/trace"
)

// ActionViolation is the action of a decision that reports a broken invariant.
const ActionViolation = "violation"

// serviceName is the service whose traces the adapters replay.
const serviceName = "quotes"

// constructors holds the constructors of the adapters by name.
var constructors = map[string]func() trace.Machine{
	"claim":      func() trace.Machine { return &Claim{} },
	"quarantine": func() trace.Machine { return &Quarantine{} },
	"lease":      func() trace.Machine { return &Lease{} },
	"group":      func() trace.Machine { return &Group{} },
	"admission":  func() trace.Machine { return &Admission{} },
	"credit":     func() trace.Machine { return &Credit{} },
	"config":     func() trace.Machine { return &Config{} },
	"routing":    func() trace.Machine { return &Routing{} },
	"choice":     func() trace.Machine { return &Choice{} },
}

// Names returns the names that New accepts, sorted.
func Names() []string {
	names := make([]string, 0, len(constructors))
	for n := range constructors {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// New returns the adapters with the given names, in the given order.
func New(names ...string) ([]trace.Machine, error) {
	out := make([]trace.Machine, 0, len(names))
	for _, n := range names {
		c, ok := constructors[n]
		if !ok {
			return nil, errors.Errorf("no decision machine %q: choose from %s", n, strings.Join(Names(), ", "))
		}
		out = append(out, c())
	}
	return out, nil
}

// Replay replays a trace with the named machines, writes the decision log and returns
// the decisions.
func Replay(r io.Reader, log io.Writer, names ...string) ([]trace.Decision, trace.Summary, error) {
	ms, err := New(names...)
	if err != nil {
		return nil, trace.Summary{}, err
	}
	t, err := trace.NewReader(r)
	if err != nil {
		return nil, trace.Summary{}, err
	}
	var out []trace.Decision
	sum, err := trace.NewDriver(ms...).Run(t, log, func(d trace.Decision) { out = append(out, d) })
	return out, sum, err
}

// decide formats a decision.
func decide(action, subject, format string, args ...any) trace.Decision {
	return trace.Decision{Action: action, Subject: subject, Detail: fmt.Sprintf(format, args...)}
}
