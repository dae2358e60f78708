package control

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Sizes to design for.
const (
	sizeEntries = 890
	sizeGroups  = 228
	sizeMembers = 32
)

// sizedLoop is a loop that knows an instance list of the size to design for and
// follows the owner of one service that uses all engines.
func sizedLoop(now time.Duration) *Loop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = "quotes", service.KindModel
	l := New(Options{
		Self: view.Entry{Instance: "entry-0000", Alive: true},
		Node: wire.NewNode(wire.Peer{Instance: "entry-0000"}, []byte("shared secret of 16"), wire.NewMux()),
		Log:  log, Scope: tally.NoopScope, Documents: []service.Document{doc},
		Now: func() time.Duration { return now },
	})
	var list []infra.Instance
	for i := range sizeEntries {
		list = append(list, infra.Instance{
			ID: ident.InstanceID(fmt.Sprintf("entry-%04d", i)), Kind: infra.KindEntry, State: infra.StateLive,
			PeerAddress: fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250), DataCentre: "dc-a",
		})
	}
	for i := range sizeGroups * sizeMembers {
		list = append(list, infra.Instance{
			ID: ident.InstanceID(fmt.Sprintf("worker-%05d", i)), Kind: infra.KindEngine, State: infra.StateLive, DataCentre: "dc-a",
		})
	}
	instancesListed{list: infra.Listing{Instances: list, Version: "1"}}.apply(l, now)
	l.learned["quotes"] = groupsLearned{service: "quotes", sent: now, groups: testGroups(sizeGroups, sizeMembers, now)}
	return l
}

// pollAll stores a report of each member, as at a lease holder.
func pollAll(l *Loop, now time.Duration) {
	for i := range sizeGroups * sizeMembers {
		id := ident.InstanceID(fmt.Sprintf("worker-%05d", i))
		memberPolled{instance: id, sent: now, status: engine.Status{
			State: engine.StateReady, Service: "quotes", Group: ident.GroupID(fmt.Sprintf("quotes-%04d", i/sizeMembers)), Epoch: 1,
			Rank: i % sizeMembers, Size: sizeMembers, Incarnation: ident.Incarnation(id),
		}}.apply(l, now)
	}
}

// BenchmarkSize is the processor time of the control goroutine at the size to
// design for: a publication and a tick's look at members and entry instances, at
// a follower and with the polls of all members.
func BenchmarkSize(b *testing.B) {
	const now = 100 * time.Second
	run := func(name string, l *Loop) {
		b.Run(name+"/publish", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.publish(now)
			}
		})
		b.Run(name+"/tick", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.pollMembers(context.Background(), now)
				_, _ = l.liveEntries()
			}
		})
		b.Run(name+"/unchanged", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				instancesListed{list: infra.Listing{Unchanged: true}}.apply(l, now)
			}
		})
	}
	run("follower", sizedLoop(now))
	polled := sizedLoop(now)
	pollAll(polled, now)
	run("polled", polled)
	stale := sizedLoop(now)
	pollAll(stale, now-10*time.Second)
	run("stale", stale)
}
