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

// Design size: the largest deployment that the project is designed for.
const (
	designEntries = 890
	designGroups  = 228
	designMembers = 32
)

// loopAtDesignSize returns a loop with an instance list of the design size, which
// follows the owner of one service that uses all engines.
func loopAtDesignSize(now time.Duration) *Loop {
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
	for i := range designEntries {
		list = append(list, infra.Instance{
			ID: ident.InstanceID(fmt.Sprintf("entry-%04d", i)), Kind: infra.KindEntry, State: infra.StateLive,
			PeerAddress: fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250), DataCentre: "dc-a",
		})
	}
	for i := range designGroups * designMembers {
		list = append(list, infra.Instance{
			ID: ident.InstanceID(fmt.Sprintf("worker-%05d", i)), Kind: infra.KindEngine, State: infra.StateLive, DataCentre: "dc-a",
		})
	}
	instancesListed{list: infra.Listing{Instances: list, Version: "1"}}.apply(l, now)
	l.ownerGroups["quotes"] = ownerGroupsReceived{service: "quotes", sentAt: now, groups: testGroups(designGroups, designMembers, now)}
	return l
}

// pollAll applies a poll of each member, as at a lease holder.
func pollAll(l *Loop, now time.Duration) {
	for i := range designGroups * designMembers {
		id := ident.InstanceID(fmt.Sprintf("worker-%05d", i))
		memberPolled{instance: id, sentAt: now, status: engine.Status{
			State: engine.StateReady, Service: "quotes", Group: ident.GroupID(fmt.Sprintf("quotes-%04d", i/designMembers)), Epoch: 1,
			Rank: i % designMembers, Size: designMembers, Incarnation: ident.Incarnation(id),
		}}.apply(l, now)
	}
}

// BenchmarkSize measures the processor time of the control goroutine at the design
// size: a publication, the part of a tick that checks members and entry instances, and
// a read of an unchanged list. It does so at a follower, with recent polls of all
// members and with outdated ones.
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
	run("follower", loopAtDesignSize(now))
	polled := loopAtDesignSize(now)
	pollAll(polled, now)
	run("polled", polled)
	stale := loopAtDesignSize(now)
	pollAll(stale, now-10*time.Second)
	run("stale", stale)
}
