package membership

import "crocuslug/ident"

// State is the state of a member as seen by one instance.
type State string

// States of members. Unreachable is set in the View of an instance for all members
// of a failure domain that it cannot reach, and is never sent to others. Dead
// members are kept for some time, so that old updates about them are recognized,
// but a View does not contain them.
const (
	Live        State = "Live"
	Suspect     State = "Suspect"
	Leaving     State = "Leaving"
	Unreachable State = "Unreachable"
	Dead        State = "Dead"
)

// precedence returns the rank of a state. Among updates with equal incarnations the one
// with the higher rank wins.
func (s State) precedence() int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	default:
		return 0
	}
}

// Member describes one instance.
type Member struct {
	Instance    ident.Instance
	Name        string // stays the same when the daemon restarts
	Incarnation uint64 // increases at a restart and when the member refutes a suspicion
	Domain      ident.Domain
	Address     string // HTTP, host:port
	PeerAddress string // peer link, host:port
	State       State
}

// supersedes reports whether m is newer than old, which describes the same instance.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State.precedence() > old.State.precedence()
}

// recordOverheadBytes estimates the encoded size of a member without its strings.
const recordOverheadBytes = 110

// size estimates the encoded size of m in bytes.
func (m Member) size() int {
	return recordOverheadBytes + len(m.Instance) + len(m.Name) + len(m.Domain) + len(m.Address) + len(m.PeerAddress)
}

// Notice is a rumor about something other than a member, such as an upstream that
// is leaving. Of two notices with the same key the one with the higher version wins.
type Notice struct {
	Key     string
	Version uint64
	Value   string
}

// size estimates the encoded size of n in bytes.
func (n Notice) size() int {
	return recordOverheadBytes/2 + len(n.Key) + len(n.Value)
}

// Kind is the kind of a message.
type Kind string

// Kinds of messages.
const (
	Ping        Kind = "Ping"        // answered by Ack
	Ack         Kind = "Ack"         // Seq is that of the ping or ping request
	PingRequest Kind = "PingRequest" // asks the receiver to ping Target
	Gossip      Kind = "Gossip"      // carries rumors only
	Sync        Kind = "Sync"        // asks for the members after Target
	SyncPage    Kind = "SyncPage"    // answers Sync; more follow if Target is set
)

// Message is sent from one table to another.
type Message struct {
	Kind    Kind
	Sender  Member
	Seq     uint64         `json:",omitempty"`
	Target  ident.Instance `json:",omitempty"`
	Digest  uint64         `json:",omitempty"` // of the sender's members
	Members []Member       `json:",omitempty"`
	Notices []Notice       `json:",omitempty"`
}

// Envelope is a message that the caller should deliver to an instance. Delivery may
// fail.
type Envelope struct {
	To      ident.Instance
	Message Message
}
