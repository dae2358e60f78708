package credit

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// BenchmarkMajority is what an owner asks at each sync, at the size to design for.
func BenchmarkMajority(b *testing.B) {
	f := NewFollowers()
	var listed []ident.InstanceID
	for i := range 890 {
		listed = append(listed, ident.InstanceID(fmt.Sprintf("entry-%04d", i)))
	}
	now := time.Duration(0)
	sync := func(i int) {
		seq := uint64(now/SyncInterval) + 1
		f.RecordSync(now, Sync{Entry: listed[i], Incarnation: "1", Seq: seq}, seq-1)
	}
	for ; now < 2*SyncInterval; now += SyncInterval {
		for i := range listed {
			sync(i)
		}
	}
	b.ResetTimer()
	for i := range b.N {
		now += SyncInterval / time.Duration(len(listed))
		sync(i % len(listed))
		if !f.HasMajority(now, listed) {
			b.Fatal("no majority")
		}
	}
}
