package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports of processes come from below the range that the kernel gives to outgoing
// connections and to port 0, so that no other socket takes a port between the
// check and the start of the process.
const (
	firstPort = 16_000
	lastPort  = 32_000
)

// nextPort is the last port tried. Clusters of one process share it, so that
// they try different ports; the start differs between processes.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()) * 97) }

// ports reserves ports for the processes of one cluster. While a port is
// reserved, a listener on another loopback address keeps other clusters, also
// those of other processes, from taking it before its process has started.
type ports struct {
	held []net.Listener
}

// free returns loopback addresses whose ports are free.
func (p *ports) free(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range lastPort - firstPort {
		if len(out) == n {
			return out, nil
		}
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = l.Close()
		p.held = append(p.held, reservation)
		out = append(out, address)
	}
	return nil, errors.Errorf("no %d free ports between %d and %d", n, firstPort, lastPort)
}

// release ends all reservations.
func (p *ports) release() {
	for _, l := range p.held {
		_ = l.Close()
	}
	p.held = nil
}
