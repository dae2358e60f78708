package edge

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"net/netip"
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

// Parameters of reading the store on behalf of the other entry instances.
const (
	// storeReaders is the number of entry instances that read the store for all:
	// two, so that the others still get changes after the loss of one.
	storeReaders = 2
	// maxReaderAge is the age of a reader's last store response from which its data
	// counts as stale. It exceeds a long poll, a beacon interval and their delays,
	// and leaves time to read the store before the deadline for applying a new
	// configuration.
	maxReaderAge = 1500 * time.Millisecond
	// maxLagTime is how long this instance may lag behind all usable readers before
	// it reads the store itself.
	maxLagTime = 600 * time.Millisecond
	// followerLagFactor times maxLagTime is the same for instances of which their data
	// centre has preferred ones.
	followerLagFactor = 3
	// stopReadingDelay is how long a reader keeps reading after it is no longer
	// needed.
	stopReadingDelay = 700 * time.Millisecond
	// peerDiscoveryTime is how long after its start an entry instance has discovered
	// the others. firstStartDiscoveryTime is the same for the first start of the
	// whole system: the platform starts the entry instances over 0.3 s.
	peerDiscoveryTime       = 200 * time.Millisecond
	firstStartDiscoveryTime = 700 * time.Millisecond
	// followPollTimeout bounds how long a reader holds a follower's long poll open,
	// followNetworkTime the transfer of request and response.
	followPollTimeout = time.Second
	followNetworkTime = 400 * time.Millisecond
	// followRetryDelay is the pause when no reader is usable. After a failed call, a
	// random time of up to followRetryDelay is added.
	followRetryDelay = 60 * time.Millisecond
	// kindFollow is the message kind of the call that polls a reader for changes.
	kindFollow wire.Kind = "mirror"
	// readerDuty is the key of the rendezvous hash that ranks the entry instances as
	// store readers. It names no service, but has the type that lease.Rank takes.
	readerDuty ident.ServiceName = "mirror"
)

// followRequest asks a reader for the rows that are newer than the known versions.
type followRequest struct {
	Known []mirror.TableVersion `msgpack:"k"`
}

// followResponse carries the newer rows. It is empty if there were none within
// followPollTimeout.
type followResponse struct {
	Updates []mirror.Update `msgpack:"u"`
}

// newPeerNode returns the endpoint for calls between entry instances. Its shared
// secret is derived from settings that are not secret: it rejects processes of other
// deployments, while the platform protects the network itself.
func (n *Node) newPeerNode() *wire.Node {
	mux := wire.NewMux()
	wire.Register(mux, kindFollow, func(ctx context.Context, _ wire.Peer, req followRequest) (followResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, followPollTimeout)
		defer cancel()
		return followResponse{Updates: n.mirror.WaitForUpdates(ctx, req.Known)}, nil
	})
	n.registerActivity(mux)
	secret := sha256.Sum256([]byte(n.settings.StoreAddress + "/" + strconv.Itoa(n.settings.PeerPort)))
	self := wire.Peer{Instance: n.settings.Instance, Incarnation: n.self.Incarnation, DataCentre: n.settings.DataCentre}
	return wire.NewNode(self, secret[:], mux)
}

// storeAge returns the time since the store last answered any table reader of this
// instance, or the time since the start if a table has not been read yet. The server
// table is polled most often, so its answers usually are the latest.
func (n *Node) storeAge(now time.Duration) time.Duration {
	var last time.Duration
	for _, r := range n.tableReaders {
		at := time.Duration(r.lastAnswerAt.Load())
		if at == 0 {
			return now
		}
		last = max(last, at)
	}
	return now - last
}

// isUsableReader reports whether a reader is up to date and does not shut down, so that
// others can follow it.
func isUsableReader(r beacon.Reader, now time.Duration) bool {
	return !r.Has(beacon.FlagLeaving) && !isStaleReader(r, now)
}

// isStaleReader reports whether a reader has had no response from the store for
// maxReaderAge.
func isStaleReader(r beacon.Reader, now time.Duration) bool { return now-r.Heard+r.Age >= maxReaderAge }

// usableReaders returns the readers that can be followed.
func (n *Node) usableReaders(now time.Duration) []beacon.Reader {
	return slices.DeleteFunc(n.peers.Readers(), func(r beacon.Reader) bool { return !isUsableReader(r, now) })
}

// updateReaderRole decides whether this instance reads the store itself. It does if
// it ranks among the first storeReaders instances once the others are discovered,
// stale readers not counted, or if it has lacked changes that usable readers have for
// longer than maxLagTime. Of many instances that lack them, the first ones of each data
// centre read the store for the others before these do so themselves.
func (n *Node) updateReaderRole(now time.Duration) {
	rank, usable := n.roster.readerRank, 0
	known := n.mirror.Versions()
	if mirror.Covers(known, n.awaitedVersions) {
		n.awaitedVersions = nil
	}
	for _, r := range n.peers.Readers() {
		if isStaleReader(r, now) && !r.Has(beacon.FlagLeaving) && n.ranksBefore(readerDuty, &r.Record) {
			rank--
		}
		if !isUsableReader(r, now) {
			continue
		}
		usable++
		if n.awaitedVersions == nil && !mirror.Covers(known, r.TableVersions) {
			n.awaitedVersions, n.awaitedSince = r.TableVersions, now
		}
	}
	if usable == 0 {
		n.awaitedVersions = nil
	}
	lag := time.Duration(0)
	if n.awaitedVersions != nil {
		lag = now - n.awaitedSince
	}
	n.lagging.Store(lag > maxLagTime/2)
	discoveryTime := peerDiscoveryTime
	if n.settings.FirstStart {
		discoveryTime = firstStartDiscoveryTime
	}
	maxLag := maxLagTime
	if n.roster.localRank >= storeReaders {
		maxLag *= followerLagFactor
	}
	needed := (rank < storeReaders && now >= discoveryTime) || lag > maxLag
	// One that only catches up reads for itself: its own link is the last that others should use.
	n.announcesReading.Store(min(rank, n.roster.localRank) < storeReaders)
	switch {
	case needed:
		n.lastNeededAt = now
		if !n.readsStore.Swap(true) {
			for _, r := range n.tableReaders {
				select {
				case r.wake <- struct{}{}:
				default: // It is being woken already.
				}
			}
			n.log.WithFields(logrus.Fields{"readers": usable, "rank": rank, "lag_ms": lag.Milliseconds()}).Info("reading the store")
		}
	case now-n.lastNeededAt > stopReadingDelay && n.readsStore.Swap(false):
		n.log.WithField("readers", usable).Info("following readers of the store")
	}
}

// ranksBefore reports whether another entry instance is preferred to this one for the
// task that key names, reading the store or holding a lease. Instances with a larger CPU
// share come first, equal ones are ordered by their rendezvous score for key. The CPU
// share in a record is the instance's CPULimit.
func (n *Node) ranksBefore(key ident.ServiceName, r *beacon.Record) bool {
	if r.CPUShare != n.settings.CPULimit {
		return r.CPUShare > n.settings.CPULimit
	}
	return lease.Rank(key, n.settings.Instance, []ident.InstanceID{r.From}) > 0
}

// followReaders polls relays or usable readers for changes until ctx ends. Readers follow
// each other too, because a reader's own connection to the store may hang.
func (n *Node) followReaders(ctx context.Context, node *wire.Node) {
	for ctx.Err() == nil {
		source, ok := n.pickSource()
		if !ok {
			sleep(ctx, followRetryDelay)
			continue
		}
		address := net.JoinHostPort(source.address.String(), strconv.Itoa(n.settings.PeerPort))
		callCtx, cancel := context.WithTimeout(ctx, followPollTimeout+followNetworkTime)
		var resp followResponse
		err := node.Call(callCtx, address, kindFollow, followRequest{Known: n.mirror.Versions()}, &resp)
		cancel()
		if err != nil {
			n.postWarning("follow:"+string(source.instance), "store reader did not answer", err)
			sleep(ctx, followRetryDelay+rand.N(followRetryDelay))
			continue
		}
		if !n.mergeUpdates(resp.Updates, source.instance) {
			sleep(ctx, followRetryDelay+rand.N(followRetryDelay))
		}
	}
}

// source is an entry instance to follow.
type source struct {
	instance ident.InstanceID
	address  netip.Addr
}

// pickSource returns the entry instance to follow: a relay of the data centre if there are
// many instances, so that the readers have few followers, and otherwise a reader. Relays
// and instances that lag behind follow readers.
func (n *Node) pickSource() (source, bool) {
	if !n.isRelay.Load() && !n.lagging.Load() {
		if relays := n.peers.Relays(n.now()); len(relays) > 0 {
			r := relays[rand.IntN(len(relays))]
			return source{r.Instance, r.Address}, true
		}
	}
	readers := n.usableReaders(n.now())
	if len(readers) == 0 {
		return source{}, false
	}
	r := n.pickReader(readers)
	return source{r.From, r.Address()}, true
}

// pickReader returns a reader in the same data centre in most cases, and a random
// one otherwise.
func (n *Node) pickReader(readers []beacon.Reader) beacon.Reader {
	for _, r := range readers {
		if r.DataCentre == n.settings.DataCentre && rand.IntN(8) > 0 {
			return r
		}
	}
	return readers[rand.IntN(len(readers))]
}

// mergeUpdates merges the updates of a reader and posts the changes to the control
// goroutine. It reports whether all could be decoded.
func (n *Node) mergeUpdates(updates []mirror.Update, from ident.InstanceID) bool {
	ok := true
	for _, u := range updates {
		if u.Snapshot {
			n.log.WithFields(logrus.Fields{"table": u.Table, "version": u.NewestVersion, "from": from, "packed_bytes": len(u.Packed)}).Info("whole table copied")
		}
		changes, err := n.mirror.Merge(u)
		if err != nil {
			n.postWarning("merge", "rows from a store reader cannot be decoded", err)
			ok = false
		}
		if len(changes) > 0 || u.Snapshot {
			n.post(tableEvent{table: u.Table, rows: changes})
		}
	}
	return ok
}
