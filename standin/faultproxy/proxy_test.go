package faultproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// echoServer echoes lines on loopback.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer func() { _ = c.Close() }(); _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func startProxy(t *testing.T, link Link) (*Proxy, string) {
	t.Helper()
	p, err := Start(Config{Control: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	addr, err := p.Add(link)
	assert.NilError(t, err)
	return p, addr
}

func dial(t *testing.T, network, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial(network, addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// ping sends a line and reports whether its echo arrives in time.
func ping(c net.Conn, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, "ping\n"); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

const (
	soon = 50 * time.Millisecond
	long = 10 * time.Second
)

// TestSilence guards against a silence that closes the connection or reaches
// new ones.
func TestSilence(t *testing.T) {
	p, addr := startProxy(t, Link{Name: "l", Target: echoServer(t)})
	old := dial(t, "tcp", addr)
	assert.NilError(t, ping(old, long))
	resp, err := http.Post(p.ControlURL()+"/links/l/silence", "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	err = ping(old, soon)
	ne, ok := err.(net.Error)
	assert.Assert(t, ok && ne.Timeout(), "%v", err)
	assert.NilError(t, ping(dial(t, "tcp", addr), long))
	c, err := p.Counters("l")
	assert.NilError(t, err)
	assert.Equal(t, c.Silenced, uint64(1))
}

// TestCutHeals guards against a cut that passes traffic or that stays after it
// is healed.
func TestCutHeals(t *testing.T) {
	p, addr := startProxy(t, Link{Name: "l", Target: echoServer(t), From: "a", To: "b"})
	c := dial(t, "tcp", addr)
	assert.NilError(t, ping(c, long))
	p.SetPartitions(Partition{A: "b", B: "a"})
	assert.Assert(t, ping(c, soon) != nil)
	p.SetPartitions()
	_ = c.SetDeadline(time.Now().Add(long))
	line, err := bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(line), "ping")
}

// TestCutOfSource guards against a cut that reaches the clients of another
// address or the other direction.
func TestCutOfSource(t *testing.T) {
	p, err := Start(Config{Sources: map[string]string{"127.1.2.3": "a", "127.1.2.4": "c"}})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	addr, err := p.Add(Link{Name: "l", Target: echoServer(t), To: "b"})
	assert.NilError(t, err)
	from := func(ip string) net.Conn {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, ping(c, long))
		return c
	}
	a, c := from("127.1.2.3"), from("127.1.2.4")
	arrived := func(up, down uint64) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n, _ := p.Counters("l"); n.BytesUp != up || n.BytesDown != down {
				return poll.Continue("%d bytes up, %d down, want %d and %d", n.BytesUp, n.BytesDown, up, down)
			}
			return poll.Success()
		}, poll.WithTimeout(long))
	}
	arrived(10, 10)
	for _, cut := range []struct {
		Partition
		up, down uint64 // that arrive in spite of the cut
	}{{Partition{A: "a", B: "b", OneWay: true}, 15, 15}, {Partition{A: "b", B: "a", OneWay: true}, 30, 25}} {
		p.SetPartitions(cut.Partition)
		assert.Assert(t, ping(a, soon) != nil)
		assert.NilError(t, ping(c, long))
		arrived(cut.up, cut.down)
		p.SetPartitions()
		_ = a.SetDeadline(time.Now().Add(long))
		_, err := bufio.NewReader(a).ReadString('\n')
		assert.NilError(t, err)
	}
}

// TestFaults guards against faults that do not happen or are not counted.
func TestFaults(t *testing.T) {
	p, addr := startProxy(t, Link{Name: "l", Target: echoServer(t)})
	assert.NilError(t, p.SetFault("l", Fault{LatencyMillis: 30}))
	c := dial(t, "tcp", addr)
	start := time.Now()
	assert.NilError(t, ping(c, long))
	assert.Assert(t, time.Since(start) >= 60*time.Millisecond)
	assert.NilError(t, p.SetFault("l", Fault{DropDown: true}))
	assert.Assert(t, ping(c, soon) != nil)
	assert.NilError(t, p.SetFault("l", Fault{BytesPerSecond: 100}))
	start = time.Now()
	assert.NilError(t, ping(c, long))
	assert.Assert(t, time.Since(start) >= 40*time.Millisecond)
	assert.NilError(t, p.SetFault("l", Fault{LossEvery: 1}))
	assert.Assert(t, ping(c, long) != nil)
	assert.NilError(t, p.SetFault("l", Fault{Refuse: true}))
	// The reset may reach the client before or after its connect returns.
	if refused, err := net.Dial("tcp", addr); err == nil {
		assert.Assert(t, ping(refused, long) != nil)
		_ = refused.Close()
	}
	n, err := p.Counters("l")
	assert.NilError(t, err)
	assert.Assert(t, n.Delayed >= 2 && n.Dropped == 5 && n.Slowed >= 1 && n.Resets == 1, "%+v", n)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n, _ := p.Counters("l"); n.Refused == 1 {
			return poll.Success()
		}
		return poll.Continue("the connection is not refused yet")
	}, poll.WithTimeout(long))
}

// TestUDP guards against lost datagrams without a fault and against a drop
// that does not happen.
func TestUDP(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		b := make([]byte, 100)
		for {
			n, from, err := target.ReadFrom(b)
			if err != nil {
				return
			}
			_, _ = target.WriteTo(b[:n], from)
		}
	}()
	p, addr := startProxy(t, Link{Name: "u", Network: UDP, Target: target.LocalAddr().String()})
	c := dial(t, "udp", addr)
	assert.NilError(t, ping(c, long))
	assert.NilError(t, p.SetFault("u", Fault{DropUp: true}))
	assert.Assert(t, ping(c, soon) != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n, _ := p.Counters("u"); n.Dropped == 5 {
			return poll.Success()
		}
		return poll.Continue("datagram is not dropped yet")
	}, poll.WithTimeout(long))
}
