package membership

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/ident"
)

// State is the assumed state of a node.
type State uint8

// States of nodes. Of two updates with the same number, the higher state wins.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	// StateLeft means that the node announced its shutdown.
	StateLeft
)

// Update is the state of one node as it is gossiped. Number orders the updates of a
// node. Only the node itself raises it: to refute a suspicion, or when it leaves.
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
	// KindPingRequest asks the receiver to ping Target and to forward its ack.
	KindPingRequest
	KindAck
	// KindGossip carries updates only.
	KindGossip
)

// Message is the content of one datagram.
type Message struct {
	Kind     Kind
	Sequence uint32
	From     ident.InstanceID
	Target   ident.InstanceID
	Updates  []Update
}

// Encode encodes a message as a msgpack array, without field names.
func Encode(m Message) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(&m)
	return b.Bytes(), errors.Wrap(err, "encode membership message")
}

// Decode decodes a message and checks that its kind is known and its sender is set.
func Decode(b []byte) (Message, error) {
	var m Message
	err := msgpack.Unmarshal(b, &m)
	if err == nil && (m.Kind < KindPing || m.Kind > KindGossip || m.From == "") {
		err = errors.Errorf("unknown kind %d or missing sender", m.Kind)
	}
	return m, errors.Wrap(err, "decode membership message")
}

// Event is an input of the state machine.
type Event interface{ membershipEvent() }

// Tick triggers the time-driven work. The caller sends one about every 100 ms.
type Tick struct{}

// MessageReceived carries a message from another node and the sender's address.
type MessageReceived struct {
	Address string
	Message Message
}

// Node is an entry instance of the platform's list.
type Node struct {
	Instance ident.InstanceID
	Address  string
}

// NodesListed carries the platform's list of entry instances. New nodes are added; dead
// nodes that are no longer in the list are deleted.
type NodesListed struct{ Nodes []Node }

// Leave reports that this node shuts down.
type Leave struct{}

func (Tick) membershipEvent()            {}
func (MessageReceived) membershipEvent() {}
func (NodesListed) membershipEvent()     {}
func (Leave) membershipEvent()           {}

// Action is an output of the state machine.
type Action interface{ membershipAction() }

// SendMessage asks the caller to send one datagram, which may get lost.
type SendMessage struct {
	Address string
	Message Message
}

// StateChanged reports that the assumed state of a node changed.
type StateChanged struct {
	Instance ident.InstanceID
	State    State
}

func (SendMessage) membershipAction()  {}
func (StateChanged) membershipAction() {}

// Config holds the times and limits of the state machine.
type Config struct {
	// ProbeInterval is the time between probes.
	ProbeInterval time.Duration
	// AckTimeout is the wait for a direct ack before indirect probes are requested.
	AckTimeout time.Duration
	// IndirectProbes is the number of nodes that are asked for an indirect probe, and
	// of nodes that are pinged when this node leaves.
	IndirectProbes int
	// SuspicionTimeout is the time that a suspect has to refute the suspicion.
	SuspicionTimeout time.Duration
	// MaxUpdates limits the updates in a message, and thereby its size.
	MaxUpdates int
	// GossipInterval is the time between messages that carry only updates, while
	// updates are queued. Pings and acks alone spread a refutation over hundreds of
	// nodes too slowly for SuspicionTimeout.
	GossipInterval time.Duration
	// BaseTransmissions is the number of times that an update is sent, in addition to
	// one for each doubling of the number of nodes.
	BaseTransmissions int
}

// DefaultConfig returns the values that the design documentation gives.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     time.Second,
		AckTimeout:        300 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionTimeout:  5 * time.Second,
		MaxUpdates:        12,
		GossipInterval:    200 * time.Millisecond,
		BaseTransmissions: 3,
	}
}
