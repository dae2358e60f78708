package faultproxy

import (
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// Errors of the proxy.
var (
	ErrUnknownLink = errors.New("no link has this name: add it first")
	ErrDuplicate   = errors.New("a link with this name exists: choose another name")
)

// Network is the protocol of a link.
type Network string

// Networks.
const (
	TCP Network = "tcp"
	UDP Network = "udp"
)

// Link forwards from an address to a target. From and To name the groups of
// processes at its ends, for cuts.
type Link struct {
	Name    string  `json:"name"`
	Network Network `json:"network,omitempty"`
	Listen  string  `json:"listen,omitempty"`
	Target  string  `json:"target"`
	From    string  `json:"from,omitempty"`
	To      string  `json:"to,omitempty"`
}

// Fault is what a link does to its traffic. Up is the direction from the
// client to the target.
type Fault struct {
	// LatencyMillis delays each direction.
	LatencyMillis int `json:"latency_millis,omitempty"`
	// LossEvery resets the TCP connection at each n-th chunk, or drops each
	// n-th datagram.
	LossEvery int `json:"loss_every,omitempty"`
	// DropUp and DropDown discard one direction.
	DropUp   bool `json:"drop_up,omitempty"`
	DropDown bool `json:"drop_down,omitempty"`
	// BytesPerSecond limits how fast the client is served, so that the target's
	// output backs up.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse,omitempty"`
}

// Counters count what happened on one link.
type Counters struct {
	Connections uint64 `json:"connections"`
	Open        int64  `json:"open"`
	BytesUp     uint64 `json:"bytes_up"`
	BytesDown   uint64 `json:"bytes_down"`
	// Dropped counts discarded bytes of one-way drops and lost datagrams.
	Dropped uint64 `json:"dropped"`
	Delayed uint64 `json:"delayed"`
	Resets  uint64 `json:"resets"`
	Refused uint64 `json:"refused"`
	// Silenced counts connections that went silent, HeldBack the chunks that a
	// silence or a cut held back.
	Silenced uint64 `json:"silenced"`
	HeldBack uint64 `json:"held"`
	Slowed   uint64 `json:"slowed"`
}

type counters struct {
	connections, up, down, dropped, delayed, resets, refused, silenced, held, slowed atomic.Uint64
	open                                                                             atomic.Int64
}

func (c *counters) read() Counters {
	return Counters{
		Connections: c.connections.Load(), Open: c.open.Load(), BytesUp: c.up.Load(), BytesDown: c.down.Load(),
		Dropped: c.dropped.Load(), Delayed: c.delayed.Load(), Resets: c.resets.Load(), Refused: c.refused.Load(),
		Silenced: c.silenced.Load(), HeldBack: c.held.Load(), Slowed: c.slowed.Load(),
	}
}

// Config sets up a proxy.
type Config struct {
	// Control is the loopback address of the control interface, or empty for none.
	Control string
	Links   []Link
	// Sources names the group of the processes that dial from an IP address. It
	// takes the place of the link's From.
	Sources map[string]string
}

// Partition separates two groups of processes.
type Partition struct {
	A string `json:"a"`
	B string `json:"b"`
	// OneWay cuts only what A sends to B.
	OneWay bool `json:"one_way,omitempty"`
}

// crosses reports whether what one group sends to another is cut.
func (c Partition) crosses(from, to string) bool {
	return (from == c.A && to == c.B) || (!c.OneWay && from == c.B && to == c.A)
}

// forwarder is a running link.
type forwarder interface {
	address() string
	close()
	silence()
	reset()
}

// Proxy is a set of links.
type Proxy struct {
	control *httpd.Server
	sources map[string]string

	mu    sync.Mutex
	links map[string]*linkState
	cuts  []Partition
}

// linkState is what all connections of a link share.
type linkState struct {
	link     Link
	sources  map[string]string
	forward  forwarder
	counters counters

	mu     sync.Mutex
	fault  Fault
	cuts   []Partition
	change chan struct{} // closed and replaced at each change
}

func (l *linkState) read() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// from returns the group of a client.
func (l *linkState) from(client net.Addr) string {
	if host, _, err := net.SplitHostPort(client.String()); err == nil && l.sources[host] != "" {
		return l.sources[host]
	}
	return l.link.From
}

// cut reports whether one direction between a client's group and the target is
// cut, and what is closed when that may change. An empty group is never cut.
func (l *linkState) cut(from string, up bool) (bool, <-chan struct{}) {
	a, b := from, l.link.To
	if !up {
		a, b = b, a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a == "" || b == "" {
		return false, l.change
	}
	return slices.ContainsFunc(l.cuts, func(c Partition) bool { return c.crosses(a, b) }), l.change
}

func (l *linkState) update(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
	close(l.change)
	l.change = make(chan struct{})
}

// Start opens the control interface and the links.
func Start(cfg Config) (*Proxy, error) {
	p := &Proxy{sources: cfg.Sources, links: make(map[string]*linkState)}
	for _, l := range cfg.Links {
		if _, err := p.Add(l); err != nil {
			p.Close()
			return nil, err
		}
	}
	if cfg.Control != "" {
		s, err := httpd.Start(cfg.Control, p.routes())
		if err != nil {
			p.Close()
			return nil, err
		}
		p.control = s
	}
	return p, nil
}

// ControlURL returns the base URL of the control interface.
func (p *Proxy) ControlURL() string { return "http://" + p.control.Addr() }

// Add opens a link and returns the address that it listens on.
func (p *Proxy) Add(l Link) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.links[l.Name]; ok {
		return "", errors.Wrap(ErrDuplicate, l.Name)
	}
	if l.Listen == "" {
		l.Listen = "127.0.0.1:0"
	}
	st := &linkState{link: l, sources: p.sources, cuts: p.cuts, change: make(chan struct{})}
	var err error
	if l.Network == UDP {
		st.forward, err = startUDP(st)
	} else {
		st.forward, err = startTCP(st)
	}
	if err != nil {
		return "", err
	}
	p.links[l.Name] = st
	return st.forward.address(), nil
}

// Close ends all links and connections.
func (p *Proxy) Close() {
	if p.control != nil {
		p.control.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.forward.close()
	}
}

func (p *Proxy) find(name string) (*linkState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[name]
	if !ok {
		return nil, errors.Wrap(ErrUnknownLink, name)
	}
	return l, nil
}

// SetFault replaces the fault of a link.
func (p *Proxy) SetFault(name string, f Fault) error {
	l, err := p.find(name)
	if err != nil {
		return err
	}
	l.update(func() { l.fault = f })
	return nil
}

// Silence makes the established connections of a link silent for good: they
// stay open and carry nothing. New connections work.
func (p *Proxy) Silence(name string) error {
	l, err := p.find(name)
	if err != nil {
		return err
	}
	l.forward.silence()
	return nil
}

// Reset resets the established connections of a link.
func (p *Proxy) Reset(name string) error {
	l, err := p.find(name)
	if err != nil {
		return err
	}
	l.forward.reset()
	return nil
}

// Counters returns the counters of a link.
func (p *Proxy) Counters(name string) (Counters, error) {
	l, err := p.find(name)
	if err != nil {
		return Counters{}, err
	}
	return l.counters.read(), nil
}

// Links lists the links by name.
func (p *Proxy) Links() []Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Link, 0, len(p.links))
	for _, l := range p.links {
		link := l.link
		link.Listen = l.forward.address()
		out = append(out, link)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// SetPartitions replaces all cuts. Traffic over a cut is held back until it heals;
// a new connection over it is reset when it lasts.
func (p *Proxy) SetPartitions(cuts ...Partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts = cuts
	for _, l := range p.links {
		l.update(func() { l.cuts = cuts })
	}
}
