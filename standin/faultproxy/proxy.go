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

// Link forwards traffic from a listen address to a target. From and To name the
// groups of processes at its ends, for partitions.
type Link struct {
	Name    string  `json:"name"`
	Network Network `json:"network,omitempty"`
	Listen  string  `json:"listen,omitempty"`
	Target  string  `json:"target"`
	From    string  `json:"from,omitempty"`
	To      string  `json:"to,omitempty"`
}

// Fault describes the faults that a link injects. Up is the direction from the
// client to the target.
type Fault struct {
	// LatencyMillis delays each direction.
	LatencyMillis int `json:"latency_millis,omitempty"`
	// LossEvery resets a TCP connection when the proxy reads its n-th chunk, counted
	// over both directions, or drops every n-th datagram of the link.
	LossEvery int `json:"loss_every,omitempty"`
	// DropUp and DropDown discard all data of one direction.
	DropUp   bool `json:"drop_up,omitempty"`
	DropDown bool `json:"drop_down,omitempty"`
	// BytesPerSecond limits the rate towards the client, so that the target's
	// output backs up.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse,omitempty"`
}

// Counters count the traffic and the injected faults of one link.
type Counters struct {
	Connections uint64 `json:"connections"`
	Open        int64  `json:"open"`
	BytesUp     uint64 `json:"bytes_up"`
	BytesDown   uint64 `json:"bytes_down"`
	// Dropped counts the bytes that one-way drops discarded, and those of dropped
	// datagrams.
	Dropped uint64 `json:"dropped"`
	Delayed uint64 `json:"delayed"`
	Resets  uint64 `json:"resets"`
	Refused uint64 `json:"refused"`
	// Silenced counts connections that were silenced. HeldBack counts how often a
	// chunk or a new connection had to wait because of silence or a partition. A
	// wait for the end of a partition counts again after each closeCheckInterval and
	// each change of the link.
	Silenced uint64 `json:"silenced"`
	HeldBack uint64 `json:"held"`
	Slowed   uint64 `json:"slowed"`
}

type counters struct {
	connections, bytesUp, bytesDown, dropped, delayed, resets, refused, silenced, heldBack, slowed atomic.Uint64
	open                                                                                           atomic.Int64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Connections: c.connections.Load(), Open: c.open.Load(), BytesUp: c.bytesUp.Load(), BytesDown: c.bytesDown.Load(),
		Dropped: c.dropped.Load(), Delayed: c.delayed.Load(), Resets: c.resets.Load(), Refused: c.refused.Load(),
		Silenced: c.silenced.Load(), HeldBack: c.heldBack.Load(), Slowed: c.slowed.Load(),
	}
}

// Config configures a proxy.
type Config struct {
	// Control is the loopback address of the control interface, or empty for none.
	Control string
	Links   []Link
	// Sources maps a source IP address to the group of the processes that connect
	// from it. It overrides the link's From.
	Sources map[string]string
}

// Partition is a network partition between two groups of processes.
type Partition struct {
	A string `json:"a"`
	B string `json:"b"`
	// OneWay blocks only the traffic that A sends to B.
	OneWay bool `json:"one_way,omitempty"`
}

// blocks reports whether the partition blocks traffic from one group to another.
func (c Partition) blocks(from, to string) bool {
	return (from == c.A && to == c.B) || (!c.OneWay && from == c.B && to == c.A)
}

// forwarder forwards the traffic of a link of one protocol.
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

	mu         sync.Mutex
	links      map[string]*linkState
	partitions []Partition
}

// linkState is the state that all connections of a link share.
type linkState struct {
	link          Link
	sources       map[string]string
	linkForwarder forwarder
	counters      counters

	mu         sync.Mutex
	fault      Fault
	partitions []Partition
	changed    chan struct{} // closed and replaced at each change
}

func (l *linkState) currentFault() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// clientGroup returns the group of a client.
func (l *linkState) clientGroup(client net.Addr) string {
	if host, _, err := net.SplitHostPort(client.String()); err == nil && l.sources[host] != "" {
		return l.sources[host]
	}
	return l.link.From
}

// partitioned reports whether one direction between a client's group and the target
// is blocked, and returns a channel that is closed when this may change. An empty
// group is never partitioned.
func (l *linkState) partitioned(from string, up bool) (bool, <-chan struct{}) {
	sender, receiver := from, l.link.To
	if !up {
		sender, receiver = receiver, sender
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if sender == "" || receiver == "" {
		return false, l.changed
	}
	return slices.ContainsFunc(l.partitions, func(c Partition) bool { return c.blocks(sender, receiver) }), l.changed
}

// update changes the state and wakes connections that wait for a change.
func (l *linkState) update(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
	close(l.changed)
	l.changed = make(chan struct{})
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

// Add starts a link and returns the address that it listens on.
func (p *Proxy) Add(l Link) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.links[l.Name]; ok {
		return "", errors.Wrap(ErrDuplicate, l.Name)
	}
	if l.Listen == "" {
		l.Listen = "127.0.0.1:0"
	}
	state := &linkState{link: l, sources: p.sources, partitions: p.partitions, changed: make(chan struct{})}
	var err error
	if l.Network == UDP {
		state.linkForwarder, err = startUDP(state)
	} else {
		state.linkForwarder, err = startTCP(state)
	}
	if err != nil {
		return "", err
	}
	p.links[l.Name] = state
	return state.linkForwarder.address(), nil
}

// Close closes all links and connections.
func (p *Proxy) Close() {
	if p.control != nil {
		p.control.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.linkForwarder.close()
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

// SetFault replaces the faults of a link.
func (p *Proxy) SetFault(name string, f Fault) error {
	l, err := p.find(name)
	if err != nil {
		return err
	}
	l.update(func() { l.fault = f })
	return nil
}

// Silence makes the established connections of a link stay open but forward
// nothing, permanently. New connections work.
func (p *Proxy) Silence(name string) error {
	l, err := p.find(name)
	if err != nil {
		return err
	}
	l.linkForwarder.silence()
	return nil
}

// Reset resets the established connections of a link.
func (p *Proxy) Reset(name string) error {
	l, err := p.find(name)
	if err != nil {
		return err
	}
	l.linkForwarder.reset()
	return nil
}

// Counters returns the counters of a link.
func (p *Proxy) Counters(name string) (Counters, error) {
	l, err := p.find(name)
	if err != nil {
		return Counters{}, err
	}
	return l.counters.snapshot(), nil
}

// Links returns the links sorted by name.
func (p *Proxy) Links() []Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Link, 0, len(p.links))
	for _, l := range p.links {
		link := l.link
		link.Listen = l.linkForwarder.address()
		out = append(out, link)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// SetPartitions replaces all partitions. Established TCP connections hold traffic back
// until the partition ends; datagrams are dropped. A new connection waits for the
// end of the partition and is reset if that takes too long.
func (p *Proxy) SetPartitions(partitions ...Partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitions = partitions
	for _, l := range p.links {
		l.update(func() { l.partitions = partitions })
	}
}
