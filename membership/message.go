package membership

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/ident"
)

// State is the opinion on a node.
type State uint8

// States of nodes. At the same number the higher state wins.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	// StateLeft nodes shut down by themselves.
	StateLeft
)

// Update is news about one node. Only the node itself raises its number, to
// refute a suspicion.
type Update struct {
	Instance ident.InstanceID
	Address  string
	Number   uint32
	State    State
}

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	KindPing Kind = iota + 1
	// KindRequest asks the receiver to ping Target and to pass on its ack.
	KindRequest
	KindAck
	// KindGossip carries updates only.
	KindGossip
)

// Message is one datagram.
type Message struct {
	Kind     Kind
	Sequence uint32
	From     ident.InstanceID
	Target   ident.InstanceID
	Updates  []Update
}

// Encode encodes a message without field names.
func Encode(m Message) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(&m)
	return b.Bytes(), errors.Wrap(err, "encode membership message")
}

// Decode decodes a message.
func Decode(b []byte) (Message, error) {
	var m Message
	err := msgpack.Unmarshal(b, &m)
	if err == nil && (m.Kind < KindPing || m.Kind > KindGossip || m.From == "") {
		err = errors.Errorf("unknown kind %d", m.Kind)
	}
	return m, errors.Wrap(err, "decode membership message")
}

// Event is an input of the machine.
type Event interface{ membershipEvent() }

// Tick lets time pass. The caller sends one every 100 ms or so.
type Tick struct{}

// MessageReceived is a message from another node.
type MessageReceived struct {
	Address string
	Message Message
}

// Node is an entry instance of the platform's list.
type Node struct {
	Instance ident.InstanceID
	Address  string
}

// NodesListed carries the platform's list of entry instances. It names new nodes,
// and dead ones that can be forgotten because it no longer has them.
type NodesListed struct{ Nodes []Node }

// Leave tells that this node shuts down.
type Leave struct{}

func (Tick) membershipEvent()            {}
func (MessageReceived) membershipEvent() {}
func (NodesListed) membershipEvent()     {}
func (Leave) membershipEvent()           {}

// Action is an output of the machine.
type Action interface{ membershipAction() }

// SendMessage asks for one datagram. It may be lost.
type SendMessage struct {
	Address string
	Message Message
}

// StateChanged tells of a new opinion on a node.
type StateChanged struct {
	Instance ident.InstanceID
	State    State
}

func (SendMessage) membershipAction()  {}
func (StateChanged) membershipAction() {}

// Config holds the times and limits of the machine.
type Config struct {
	// Interval is the time between probes.
	Interval time.Duration
	// AckTimeout is the wait for a direct ack before others are asked.
	AckTimeout time.Duration
	// Indirect is the number of nodes that are asked.
	Indirect int
	// Suspicion is the time that a suspect has to refute.
	Suspicion time.Duration
	// MaxUpdates bounds the updates in a message, and so its size.
	MaxUpdates int
	// Gossip is the time between messages that only spread news, while there
	// are any. Pings and acks alone spread a refutation over hundreds of nodes
	// too slowly for the suspicion time.
	Gossip time.Duration
	// Repeats is the number of times an update is sent beyond one for each
	// doubling of the number of nodes.
	Repeats int
}

// DefaultConfig returns the values of the design page.
func DefaultConfig() Config {
	return Config{
		Interval:   time.Second,
		AckTimeout: 300 * time.Millisecond,
		Indirect:   3,
		Suspicion:  5 * time.Second,
		MaxUpdates: 12,
		Gossip:     200 * time.Millisecond,
		Repeats:    3,
	}
}
