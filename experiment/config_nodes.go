package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/config/configshell"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
	"github.com/bulrushfall/bulrushfall/wire"
)

// configNode is the configuration part of one entry instance, with its peer
// protocol on loopback.
type configNode struct {
	shell    *configshell.Shell
	node     *wire.Node
	listener *configListener
	cancel   context.CancelFunc
	done     sync.WaitGroup
	ready    chan struct{}
	started  time.Time
	readyIn  time.Duration
}

// configNodes is a set of nodes over one store stand-in.
type configNodes struct {
	store    *standin.Server
	nodes    []*configNode
	addrs    []string
	traffic  configTraffic
	dropPush atomic.Bool
	rng      *rand.Rand
	edits    int
	peered   bool

	mu sync.Mutex
	// accepted and inForce are indexed by revision: when the edit was accepted,
	// and when it came in force on each node.
	accepted map[ident.Revision]time.Time
	inForce  map[ident.Revision][]time.Time
}

// configTraffic counts the peer protocol's bytes and writes over all connections.
type configTraffic struct{ bytes, writes atomic.Int64 }

// configListener counts at the accepting end of each connection.
type configListener struct {
	net.Listener
	traffic *configTraffic
}

func (l *configListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &configConn{Conn: c, traffic: l.traffic}, nil
}

type configConn struct {
	net.Conn
	traffic *configTraffic
}

func (c *configConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

func (c *configConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// configPushDropper loses pushes while it is told to.
type configPushDropper struct {
	configshell.Caller
	drop *atomic.Bool
}

var errPushDropped = errors.New("push dropped by the experiment")

func (p configPushDropper) Call(ctx context.Context, addr string, kind wire.Kind, req, resp any) error {
	if kind == configshell.KindPush && p.drop.Load() {
		return errPushDropped
	}
	return p.Caller.Call(ctx, addr, kind, req, resp)
}

// startConfigNodes starts n nodes, which know each other if peered is set, and
// waits until all are ready.
func startConfigNodes(n int, peered bool) (*configNodes, error) {
	store, err := standin.Start(standin.DefaultConfig())
	if err != nil {
		return nil, errors.Wrap(err, "start store stand-in")
	}
	c := &configNodes{
		store: store, peered: peered, rng: rand.New(rand.NewPCG(uint64(n), 1)),
		accepted: make(map[ident.Revision]time.Time),
		inForce:  make(map[ident.Revision][]time.Time),
	}
	listeners := make([]net.Listener, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		listeners = append(listeners, l)
		c.addrs = append(c.addrs, l.Addr().String())
	}
	for _, l := range listeners {
		c.nodes = append(c.nodes, c.start(l))
		// Spreads the first reads: the stand-in refuses more than 2,000 a second.
		time.Sleep(2 * time.Millisecond)
	}
	for _, node := range c.nodes {
		select {
		case <-node.ready:
		case <-time.After(time.Minute):
			return nil, errors.New("a node was not ready after a minute")
		}
	}
	return c, nil
}

// start runs one node on a listener.
func (c *configNodes) start(l net.Listener) *configNode {
	ctx, cancel := context.WithCancel(context.Background())
	addr := l.Addr().String()
	mux := wire.NewMux()
	n := &configNode{
		node:     wire.NewNode(wire.Peer{Instance: ident.InstanceID(addr)}, []byte("experiment"), mux),
		listener: &configListener{Listener: l, traffic: &c.traffic},
		cancel:   cancel,
		ready:    make(chan struct{}),
		started:  time.Now(),
	}
	loop := configshell.NewLoop(ctx)
	machine := config.New(addr, config.DefaultSettings(), rand.New(rand.NewPCG(rand.Uint64(), 1)))
	store := configshell.NewStore(infra.NewClient(c.store.URL()))
	n.shell = configshell.New(ctx, machine, store, configPushDropper{n.node, &c.dropPush}, loop.Post)
	n.shell.Register(mux)
	seen := make(map[ident.Revision]bool)
	n.shell.OnPublish = func(v *config.View) {
		if v.Ready && n.readyIn == 0 {
			n.readyIn = time.Since(n.started)
			close(n.ready)
		}
		c.sawServices(v.Services, seen)
	}
	n.shell.OnStep = func(_ time.Duration, _ config.Event, actions []config.Action) {
		for _, a := range actions {
			if x, ok := a.(config.AnswerEdit); ok && x.Err == nil {
				c.sawAccepted(x.Revision)
			}
		}
	}
	if c.peered {
		n.shell.Step(0, config.PeersChanged{Peers: c.addrs})
	}
	n.done.Add(2)
	go func() { defer n.done.Done(); _ = n.node.Serve(n.listener) }()
	go func() { defer n.done.Done(); loop.Run(n.shell) }()
	return n
}

func (n *configNode) stop() {
	n.cancel()
	_ = n.listener.Close()
	n.node.Close()
	n.done.Wait()
}

func (c *configNodes) close() {
	for _, n := range c.nodes {
		n.stop()
	}
	c.store.Close()
}

func (c *configNodes) sawAccepted(r ident.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted[r] = time.Now()
}

// sawServices notes the documents that came in force on a node. Each edit of
// the experiment has a service of its own, so its revision stays.
func (c *configNodes) sawServices(services []config.ServiceView, seen map[ident.Revision]bool) {
	at := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range services {
		if !seen[s.Revision] {
			seen[s.Revision] = true
			c.inForce[s.Revision] = append(c.inForce[s.Revision], at)
		}
	}
}

// configBody returns a document of a usual size: ten accounts.
func configBody(name ident.ServiceName) ([]byte, error) {
	doc := service.DefaultDocument()
	doc.Service, doc.Owner, doc.Kind = name, "team", service.KindPlain
	for i := range 10 {
		doc.Accounts = append(doc.Accounts, service.Account{
			Name: ident.Account(fmt.Sprintf("account-%d", i)), KeySHA256: fmt.Sprintf("%064x", i),
			Weight: 1, RequestsPerSecond: 100, Burst: 100, Concurrency: 64,
		})
	}
	return json.Marshal(doc)
}

// edit writes a new document at a random node and waits for the answer.
func (c *configNodes) edit(node int, name ident.ServiceName) error {
	body, err := configBody(name)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	_, err = c.nodes[node].shell.Edit(context.Background(), config.Edit{
		Attempt: ident.AttemptID(name), Team: "team", Owner: "team", Verb: config.VerbApply,
		Key: config.ServiceKey(name), Body: body, RequestedAt: time.Now(),
	})
	return err
}

// batch sends edits at random nodes at the same time. It returns how many were
// accepted; the others were refused or have an unknown outcome.
func (c *configNodes) batch(size int) int {
	var wg sync.WaitGroup
	var accepted atomic.Int64
	for range size {
		c.edits++
		node, name := c.rng.IntN(len(c.nodes)), ident.ServiceName(fmt.Sprintf("service-%d", c.edits))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if c.edit(node, name) == nil {
				accepted.Add(1)
			}
		}()
	}
	wg.Wait()
	return int(accepted.Load())
}

// spread waits until every accepted edit is in force on all nodes, and returns
// the times from acceptance to in force on the last node.
func (c *configNodes) spread(limit time.Duration) ([]time.Duration, error) {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		out, missing := c.spreadTimes()
		if missing == 0 {
			slices.Sort(out)
			return out, nil
		}
		if time.Now().After(end) {
			return nil, errors.Errorf("%d accepted edits were not in force everywhere after %v", missing, limit)
		}
	}
}

func (c *configNodes) spreadTimes() (out []time.Duration, missing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r, at := range c.accepted {
		if len(c.inForce[r]) < len(c.nodes) {
			missing++
			continue
		}
		last := slices.MaxFunc(c.inForce[r], time.Time.Compare)
		out = append(out, last.Sub(at))
	}
	return out, missing
}
