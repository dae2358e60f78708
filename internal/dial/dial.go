// Package dial creates the dial functions for outgoing connections of a process. They
// can bind connections to a configured local address.
package dial

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Func opens a connection. Its type is that of http.Transport.DialContext.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// From returns a dial function that binds connections to a local address. If local is
// the zero value, the operating system chooses the address; if timeout is zero, it
// chooses the timeout.
func From(local netip.Addr, timeout time.Duration) Func {
	d := net.Dialer{Timeout: timeout}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d.DialContext
}

// CheckLocalAddress returns an error if this host does not have the local address. It
// returns nil for the zero value.
func CheckLocalAddress(local netip.Addr) error {
	if !local.IsValid() {
		return nil
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return errors.Wrapf(err, "dial_from: set it to an address of this host, not %s", local)
	}
	return errors.Wrap(l.Close(), "close the listener that tested the local address")
}
