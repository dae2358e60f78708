package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Each cluster uses a loopback network 127.a.b.0/24 of its own. On 127.0.0.1 an
// outgoing connection of any other process on the machine could occupy a port
// between its selection and the start of the process that listens on it.
const (
	firstNetwork = 16
	networkCount = 200 * 256
	// The ports lie below the ephemeral port ranges of common kernels.
	firstPort = 10_000
	lastPort  = 16_000

	platformHost   = 1
	firstEntryHost = 10
	// firstProxyHost is the host of the fault proxy in front of the first entry
	// instance.
	firstProxyHost  = 130
	reservationHost = 254
)

// Offsets from the network's base port. Each process listens on the same ports
// of its own address.
const (
	portCallers = iota
	portPeers
	portOperators
	portCount
)

// lastTriedNetwork is the index of the last network that this process tried to
// reserve. It starts at a different value in each process to avoid conflicts.
var lastTriedNetwork atomic.Uint32

func init() { lastTriedNetwork.Store(uint32(os.Getpid()) * 97) }

// network is a loopback network that is reserved for one cluster.
type network struct {
	prefix       string
	basePort     int
	reservations []net.Listener
}

// reserveNetwork reserves a free network until release is called.
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

// reservePorts listens on each port of the reservation host. It fails if another
// cluster has reserved the network, or if a process listens on one of the ports
// on all addresses.
func (n *network) reservePorts() error {
	for port := range portCount {
		l, err := net.Listen("tcp", n.address(reservationHost, port))
		if err != nil {
			return errors.Wrap(err, "reserve the loopback network")
		}
		n.reservations = append(n.reservations, l)
	}
	return nil
}

// address returns the address of one of a host's ports.
func (n *network) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", n.prefix, host, n.basePort+port)
}

// release ends the reservation of the network.
func (n *network) release() {
	for _, l := range n.reservations {
		_ = l.Close()
	}
	n.reservations = nil
}
