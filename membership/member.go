package membership

import "crocuslug/ident"

// State is what is believed of a member.
type State string

// States of members. Unreachable is the belief of one instance about a failure
// domain that it cannot reach, and is not passed on. Dead members are kept for
// a while, so that late news of them is recognized, but are in no View.
const (
	Live        State = "Live"
	Suspect     State = "Suspect"
	Leaving     State = "Leaving"
	Unreachable State = "Unreachable"
	Dead        State = "Dead"
)

// order says which state wins at equal incarnations.
func (s State) order() int {
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

// Member is one instance as others know it.
type Member struct {
	Instance    ident.Instance
	Name        string // stays the same when the daemon restarts
	Incarnation uint64 // rises with a restart and when the member refutes a suspicion
	Domain      ident.Domain
	Address     string // HTTP, host:port
	PeerAddress string // peer link, host:port
	State       State
}

// supersedes reports whether m is newer than old, both of one instance.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State.order() > old.State.order()
}

// fixedBytes estimates what a record takes in a message besides its strings.
const fixedBytes = 110

func (m Member) size() int {
	return fixedBytes + len(m.Instance) + len(m.Name) + len(m.Domain) + len(m.Address) + len(m.PeerAddress)
}

// Notice is a rumour about something else than a member, such as an upstream
// that is leaving. Of two notices with one key the higher version holds.
type Notice struct {
	Key     string
	Version uint64
	Value   string
}

func (n Notice) size() int {
	return fixedBytes/2 + len(n.Key) + len(n.Value)
}

// Kind tells messages apart.
type Kind string

// Kinds of messages.
const (
	Ping        Kind = "Ping"        // answered by Ack
	Ack         Kind = "Ack"         // Seq is that of the ping or ping request
	PingRequest Kind = "PingRequest" // asks the receiver to ping Target
	Gossip      Kind = "Gossip"      // carries rumours only
	Sync        Kind = "Sync"        // asks for the members after Target
	SyncPage    Kind = "SyncPage"    // answers Sync; more follow if Target is set
)

// Message is what two tables exchange.
type Message struct {
	Kind    Kind
	Sender  Member
	Seq     uint64         `json:",omitempty"`
	Target  ident.Instance `json:",omitempty"`
	Digest  uint64         `json:",omitempty"` // of the sender's members
	Members []Member       `json:",omitempty"`
	Notices []Notice       `json:",omitempty"`
}

// Send asks the caller to deliver Message to an instance. It may be lost.
type Send struct {
	To      ident.Instance
	Message Message
}
