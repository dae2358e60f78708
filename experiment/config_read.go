package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config/configshell"
	"github.com/bulrushfall/bulrushfall/infra"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// configHeadReads is the number of measured reads of the head row.
const configHeadReads = 100

// measureHeadRead prints the bytes and segments of one read of the store's head row,
// in both directions, on a connection that stays open.
func measureHeadRead(w io.Writer) error {
	store, err := standin.Start(standin.DefaultConfig())
	if err != nil {
		return errors.Wrap(err, "start simulated store")
	}
	defer store.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	var traffic configTraffic
	go relayConnections(&configListener{Listener: l, traffic: &traffic}, strings.TrimPrefix(store.URL(), "http://"))
	defer func() { _ = l.Close() }()
	s := configshell.NewStore(infra.NewClient("http://" + l.Addr().String()))
	for range configHeadReads {
		if _, err := s.Head(context.Background()); err != nil {
			return err
		}
	}
	bytes, segmentsPerRead := traffic.bytes.Load()/configHeadReads, float64(traffic.segments.Load())/configHeadReads
	fmt.Fprintf(w, "one read of the head row: %d B in %.1f segments\n", bytes, segmentsPerRead)
	return nil
}

// relayConnections relays each accepted connection to an address until the listener
// closes.
func relayConnections(l net.Listener, addr string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", addr)
		if err != nil {
			_ = c.Close()
			continue
		}
		go func() { _, _ = io.Copy(to, c); _ = to.Close() }()
		go func() { _, _ = io.Copy(c, to); _ = c.Close() }()
	}
}
