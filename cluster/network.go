package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// A cluster has a loopback network 127.a.b.0/24 of its own. On 127.0.0.1 a
// process could find its port taken by an outgoing connection of any other
// process on the machine, between the choice of the port and its start.
const (
	firstNetwork = 16
	networkCount = 200 * 256
	// The ports lie below the ranges that kernels give to outgoing connections.
	firstPort = 10_000
	lastPort  = 16_000

	platformHost   = 1
	firstEntryHost = 10
	// firstProxyHost is the fault proxy in front of the first entry instance.
	firstProxyHost  = 130
	reservationHost = 254
)

// Each process listens on the same ports of its own address.
const (
	portCallers = iota
	portPeers
	portOperators
	portCount
)

// lastTriedNetwork is the last network tried. Clusters of one process share it; the
// start differs between processes.
var lastTriedNetwork atomic.Uint32

func init() { lastTriedNetwork.Store(uint32(os.Getpid()) * 97) }

// network is a loopback network that no other cluster uses.
type network struct {
	prefix       string
	basePort     int
	reservations []net.Listener
}

// reserveNetwork takes a network until it is released.
func reserveNetwork() (*network, error) {
	var err error
	for range networkCount {
		i := int(lastTriedNetwork.Add(1) % networkCount)
		n := &network{
			prefix:   fmt.Sprintf("127.%d.%d", firstNetwork+i/256, i%256),
			basePort: firstPort + (i*portCount)%(lastPort-firstPort),
		}
		if err = n.reservePorts(); err == nil {
			return n, nil
		}
		n.release()
	}
	return nil, errors.Wrap(err, "find a free loopback network")
}

// lock listens on each port, which fails while another cluster has the network
// or a process listens on one of the ports of all addresses.
func (n *network) reservePorts() error {
	for port := range portCount {
		l, err := net.Listen("tcp", n.address(reservationHost, port))
		if err != nil {
			return errors.Wrap(err, "lock the loopback network")
		}
		n.reservations = append(n.reservations, l)
	}
	return nil
}

// address returns the address of one of a host's ports.
func (n *network) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", n.prefix, host, n.basePort+port)
}

// release gives the network back.
func (n *network) release() {
	for _, l := range n.reservations {
		_ = l.Close()
	}
	n.reservations = nil
}
