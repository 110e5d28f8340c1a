// Package instancelist reads the platform's list of instances.
//
// The list names live and leaving instances, with a delay: an instance on it may
// have ended, and one that is missing may be live. A failed fetch says nothing
// about any instance.
package instancelist

import (
	"encoding/json"
	"net"

	"github.com/zeebo/errs"

	"crocuslug/ident"
)

// List is one version of the list.
type List struct {
	Version   uint64
	Instances []Instance
}

// Instance is an instance of the system as registered at the platform.
type Instance struct {
	Instance    ident.Instance
	Domain      ident.Domain
	Address     string // host:port for callers, over HTTP
	PeerAddress string // host:port for other instances
	State       State
}

// State says whether an instance is live or leaving.
type State string

// States of instances.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// maxInstances is the largest number of instances in a list.
const maxInstances = 100_000

// Parse parses a list in JSON. It returns an error if body is malformed, there
// are more than 100,000 instances, an instance has no name or appears twice, a
// state is unknown, or an address is not host:port.
func Parse(body []byte) (List, error) {
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return List{}, errs.Wrap(err)
	}
	if len(l.Instances) > maxInstances {
		return List{}, errs.New("%d instances, want at most %d", len(l.Instances), maxInstances)
	}
	seen := make(map[ident.Instance]bool, len(l.Instances))
	for _, i := range l.Instances {
		if i.Instance == "" || seen[i.Instance] {
			return List{}, errs.New("instance %q: name is empty or repeated; want a unique name", i.Instance)
		}
		seen[i.Instance] = true
		if err := i.check(); err != nil {
			return List{}, err
		}
	}
	return l, nil
}

func (i *Instance) check() error {
	if i.State != Live && i.State != Leaving {
		return errs.New("instance %q: state %q, want %s or %s", i.Instance, i.State, Live, Leaving)
	}
	for _, a := range []string{i.Address, i.PeerAddress} {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return errs.New("instance %q: %v", i.Instance, err)
		}
	}
	return nil
}
