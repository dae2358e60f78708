package edge

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/mirror"
	"github.com/bulrushfall/bulrushfall/wire"
	"github.com/sirupsen/logrus"
)

// Parameters of reading the store for others.
const (
	// readers is the number of entry instances that read the store for all: two,
	// so that the loss of one leaves the others informed.
	readers = 2
	// staleAfter is the age from which what a reader says is out of date. It
	// exceeds a long poll, a beacon's period and their delays, and leaves time to
	// read the store before a configuration has to be in force.
	staleAfter = 1500 * time.Millisecond
	// behindFor is how long this instance may lack what a reader has.
	behindFor = 600 * time.Millisecond
	// keepReading is how long a reader that is not needed any more goes on.
	keepReading = 700 * time.Millisecond
	// firstReaders is the time in which an entry instance learns of the others
	// after its start, and firstStart that at the first start of all of them,
	// which the platform spreads over 0.3 s.
	firstReaders = 200 * time.Millisecond
	firstStart   = 700 * time.Millisecond
	// followWait bounds one long poll of a reader, followSlack its way.
	followWait  = time.Second
	followSlack = 400 * time.Millisecond
	// followRetry is the pause after a failed call.
	followRetry = 60 * time.Millisecond
	// kindFollow names the call of the peer protocol.
	kindFollow wire.Kind = "mirror"
	// mirrorDuty ranks the entry instances as readers.
	mirrorDuty ident.ServiceName = "mirror"
)

// followRequest asks a reader for what is newer than the known versions.
type followRequest struct {
	Known []mirror.Top `msgpack:"k"`
}

type followResponse struct {
	Updates []mirror.Update `msgpack:"u"`
}

// peerNode returns the peer protocol's node. The secret comes from the settings,
// so it keeps out processes of other deployments; the network is the platform's.
func (n *Node) peerNode() *wire.Node {
	mux := wire.NewMux()
	wire.Register(mux, kindFollow, func(ctx context.Context, _ wire.Peer, req followRequest) (followResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, followWait)
		defer cancel()
		return followResponse{Updates: n.mirror.Since(ctx, req.Known)}, nil
	})
	secret := sha256.Sum256([]byte(n.set.StoreAddress + "/" + strconv.Itoa(n.set.PeerPort)))
	self := wire.Peer{Instance: n.set.Instance, Incarnation: n.self.Incarnation, DataCentre: n.set.DataCentre}
	return wire.NewNode(self, secret[:], mux)
}

// age is how long ago the store last answered this instance: for the backend
// servers, or for all tables if one was not read yet.
func (n *Node) age(now time.Duration) time.Duration {
	var last time.Duration
	for _, r := range n.readers {
		at := time.Duration(r.verified.Load())
		if at == 0 {
			return now
		}
		last = max(last, at)
	}
	return now - last
}

// fails reports whether an entry instance reads the store and is out of date.
func fails(p beacon.Seen) bool { return p.Direct && p.Silent+p.StoreAge >= staleAfter }

// isSource reports whether an entry instance is a reader to follow.
func isSource(p beacon.Seen) bool { return p.Direct && !p.Leaving && !fails(p) }

// sources returns the readers that are alive and up to date.
func (n *Node) sources(now time.Duration) []beacon.Seen {
	return slices.DeleteFunc(n.peers.Seen(now), func(p beacon.Seen) bool { return !isSource(p) })
}

// chooseRole decides whether this instance reads the store itself: if it ranks
// among the readers, not counting those that the store does not answer, or if it
// lacks what a reader has.
func (n *Node) chooseRole(now time.Duration) {
	before, fresh := 0, 0
	covered := false
	known := n.mirror.Tops()
	for _, p := range n.peers.Seen(now) {
		if isSource(p) {
			fresh++
			covered = covered || mirror.Covers(known, p.Tops)
		}
		if !p.Leaving && !fails(p) && n.ranksBefore(mirrorDuty, p.Message) {
			before++
		}
	}
	behind := fresh > 0 && !covered
	if !behind {
		n.behindSince = now
	}
	settled := firstReaders
	if n.set.FirstStart {
		settled = firstStart
	}
	need := (before < readers && now >= settled) || now-n.behindSince > behindFor
	switch {
	case need:
		n.neededAt = now
		if !n.direct.Swap(true) {
			n.log.WithFields(logrus.Fields{"readers": fresh, "rank": before, "behind": behind}).Info("reading the store")
		}
	case now-n.neededAt > keepReading && n.direct.Swap(false):
		n.log.WithField("readers", fresh).Info("following readers of the store")
	}
}

// ranksBefore reports whether another entry instance comes before this one for a
// duty: larger ones do, and equal ones by their rendezvous score.
func (n *Node) ranksBefore(duty ident.ServiceName, m beacon.Message) bool {
	if m.Capacity != n.set.CPULimit {
		return m.Capacity > n.set.CPULimit
	}
	return lease.Rank(duty, n.set.Instance, []ident.InstanceID{m.From}) > 0
}

// follow takes changes from a reader. Readers follow each other too: the path of
// one to the store may hang.
func (n *Node) follow(ctx context.Context, node *wire.Node) {
	for ctx.Err() == nil {
		sources := n.sources(n.now())
		if len(sources) == 0 {
			sleep(ctx, followRetry)
			continue
		}
		s := n.pickSource(sources)
		address := net.JoinHostPort(s.Address.String(), strconv.Itoa(n.set.PeerPort))
		callCtx, cancel := context.WithTimeout(ctx, followWait+followSlack)
		var resp followResponse
		err := node.Call(callCtx, address, kindFollow, followRequest{Known: n.mirror.Tops()}, &resp)
		cancel()
		if err != nil {
			n.logOnceAt("follow:"+string(s.From), "reader of the store did not answer", err)
			sleep(ctx, followRetry+rand.N(followRetry))
			continue
		}
		n.merge(resp.Updates)
	}
}

// pickSource prefers readers in the same data centre.
func (n *Node) pickSource(sources []beacon.Seen) beacon.Seen {
	for _, s := range sources {
		if s.DataCentre == n.set.DataCentre && rand.IntN(8) > 0 {
			return s
		}
	}
	return sources[rand.IntN(len(sources))]
}

// merge passes the updates of a reader to control.
func (n *Node) merge(updates []mirror.Update) {
	for _, u := range updates {
		fresh, err := n.mirror.Merge(u)
		if err != nil {
			n.logOnceAt("merge", "rows of a reader cannot be read", err)
		}
		if len(fresh) > 0 || u.Whole {
			n.post(tableEvent{table: u.Table, rows: fresh})
		}
	}
}
