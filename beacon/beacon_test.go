package beacon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

func message(from string, incarnation string, number uint64, loads ...Load) Message {
	return Message{
		From: ident.InstanceID(from), Incarnation: ident.Incarnation(incarnation), Number: number,
		Address: netip.MustParseAddr("10.0.0.1"), Loads: loads,
	}
}

// Loads of others are the sum of their last messages, whatever is lost,
// overtaken or repeated.
func TestLoads(t *testing.T) {
	table := NewTable("self")
	table.Receive(0, message("a", "1", 2, NewLoad("s", 5)))
	table.Receive(0, message("b", "1", 1, NewLoad("s", 3), NewLoad("u", 1)))
	assert.Equal(t, table.InFlight("s"), 8)
	assert.Assert(t, table.Receive(0, message("a", "1", 1, NewLoad("s", 50))).Stale)
	assert.Equal(t, table.InFlight("s"), 8)
	table.Receive(0, message("a", "1", 3))
	assert.Equal(t, table.InFlight("s"), 3)
	assert.Equal(t, table.InFlight("u"), 1)
}

// A silent instance's loads count no more, and its run is reported as ended.
func TestSilence(t *testing.T) {
	table := NewTable("self")
	table.Receive(0, message("a", "1", 1, NewLoad("s", 5)))
	table.Receive(AliveFor/2, message("b", "1", 1, NewLoad("s", 2)))
	assert.Equal(t, len(table.Expire(AliveFor-time.Millisecond)), 0)
	assert.Equal(t, table.Entries(), 3)
	assert.DeepEqual(t, table.Expire(AliveFor), []Run{{"a", "1"}})
	assert.Equal(t, table.InFlight("s"), 2)
	assert.Equal(t, table.Entries(), 2)
	assert.Equal(t, len(table.Seen(AliveFor)), 1)
}

// A process that has started again numbers its messages anew.
func TestRestart(t *testing.T) {
	table := NewTable("self")
	assert.Assert(t, table.Receive(0, message("a", "1", 900, NewLoad("s", 5))).Appeared)
	news := table.Receive(time.Millisecond, message("a", "2", 1, NewLoad("s", 1)))
	assert.Equal(t, news.Ended, Run{"a", "1"})
	assert.Assert(t, news.Appeared && !news.Stale)
	assert.Equal(t, table.InFlight("s"), 1)
}

// Own messages that come back count for nothing, and foreign datagrams fail.
func TestForeignDatagrams(t *testing.T) {
	table := NewTable("self")
	assert.Assert(t, table.Receive(0, message("self", "1", 1, NewLoad("s", 5))).Stale)
	assert.Equal(t, table.InFlight("s"), 0)
	for _, b := range [][]byte{nil, {0xc1}, []byte("hello"), {0x80}} {
		_, err := Decode(b)
		assert.Assert(t, err != nil, "%q", b)
	}
	m := message("a", "1", 1, NewLoad("s", 2))
	b, err := Encode(&m)
	assert.NilError(t, err)
	got, err := Decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Loads, m.Loads)
}

func FuzzDecode(f *testing.F) {
	m := message("a", "1", 1, NewLoad("s", 2))
	b, err := Encode(&m)
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		m, err := Decode(b)
		if err == nil {
			NewTable("self").Receive(0, m)
		}
	})
}

// A beacon of a busy entry instance stays small: each goes to all others, and the
// bytes between data centres are priced.
func TestSize(t *testing.T) {
	m := message("front-brno-a-10", "0a1b2c3d", 12345)
	m.Callers, m.DataCentre, m.Ready, m.Served, m.Capacity = "10.1.0.40:8227", "brno-a", true, true, 0.192
	for i := range 20 {
		m.Loads = append(m.Loads, NewLoad(ident.InstanceID(fmt.Sprint("i-", i)), 2))
	}
	b, err := Encode(&m)
	assert.NilError(t, err)
	assert.Assert(t, len(b) <= 256, "%d bytes", len(b))
	got, err := Decode(b)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Loads), 20)
	assert.Assert(t, got.Ready && !got.Leaving)
}

// What an instance says of a backend server counts until its next message, its
// silence or its restart, as its loads do.
func TestOpinions(t *testing.T) {
	table := NewTable("a")
	opinions := func() [2]int {
		complaints, vouchers := table.HealthReports("s")
		return [2]int{complaints, vouchers}
	}
	s := Hashes([]ident.InstanceID{"s"})
	table.Receive(0, Message{From: "b", Incarnation: "1", Number: 1, Failing: s})
	table.Receive(0, Message{From: "c", Incarnation: "1", Number: 1, Vouched: s})
	assert.Equal(t, opinions(), [2]int{1, 1})
	table.Receive(0, Message{From: "b", Incarnation: "1", Number: 2, Vouched: s})
	assert.Equal(t, opinions(), [2]int{0, 2})
	table.Receive(0, Message{From: "c", Incarnation: "2", Number: 1})
	assert.Equal(t, opinions(), [2]int{0, 1})
	table.Expire(AliveFor)
	assert.Equal(t, opinions(), [2]int{0, 0})
}
