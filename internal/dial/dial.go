// Package dial makes the dialers of all outgoing connections of a process.
package dial

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Func opens a connection, as in http.Transport.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// From returns a dial function whose connections come from a local address. The
// zero address leaves the choice to the system, and so does a zero timeout.
func From(local netip.Addr, timeout time.Duration) Func {
	d := net.Dialer{Timeout: timeout}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d.DialContext
}

// CheckLocalAddress fails when no interface of this host has the local address.
func CheckLocalAddress(local netip.Addr) error {
	if !local.IsValid() {
		return nil
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return errors.Wrapf(err, "dial_from: set it to an address of this host, not %s", local)
	}
	return errors.Wrap(l.Close(), "close the trial listener")
}
