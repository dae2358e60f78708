package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Table is a configuration with indexes for look-ups.
type Table struct {
	Config
	routesByHost   map[string][]*Route
	accountsByKey  map[string]*Account
	servicesByName map[ident.ServiceName]*Service
}

// Compile returns the table of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		Config:         c,
		routesByHost:   make(map[string][]*Route),
		accountsByKey:  make(map[string]*Account),
		servicesByName: make(map[ident.ServiceName]*Service, len(c.Services)),
	}
	t.HasAccounts = c.HasAccounts || len(c.Accounts) > 0
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.accountsByKey[key] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of the host whose prefix is the longest that the path has.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes, ok := t.routesByHost[host]
	if !ok {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
		routes = t.routesByHost[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Authenticate returns the account that holds a key.
func (t *Table) Authenticate(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok && key != ""
}

// NeedsKey reports whether requests of a route must carry a key. An empty list of client accounts
// does not open the routes: the keys have been taken away.
func (t *Table) NeedsKey(r *Route) bool { return t.HasAccounts && !r.Public }

// UnrepeatableTime returns the longest time that a request to a service may take which may be
// executed only once, or 0 if there are none.
func (t *Table) UnrepeatableTime(service ident.ServiceName) time.Duration {
	longest := time.Duration(0)
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.Repeatable() && slices.ContainsFunc(r.Targets, func(to Target) bool { return to.Service == service }) {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Service returns the description of a service.
func (t *Table) Service(name ident.ServiceName) (*Service, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}

// Target selects one of the route's services by weight and by a hash of the request's id,
// so that every entry instance selects the same service for a request.
func (r *Route) Target(requestID string) ident.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		point -= t.Weight
		if point < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
