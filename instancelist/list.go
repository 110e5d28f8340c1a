// Package instancelist reads the platform's list of instances.
//
// The list shows live and leaving instances and lags behind them: an instance
// on it may be gone, and one that is missing may be live. A failed fetch says
// nothing about any instance.
package instancelist

import (
	"encoding/json"
	"net"

	"github.com/zeebo/errs"

	"crocuslug/ident"
)

// List is one state of the list.
type List struct {
	Version   uint64
	Instances []Instance
}

// Instance is an instance of the system as the platform sees it.
type Instance struct {
	Instance    ident.Instance
	Domain      ident.Domain
	Address     string // host:port of HTTP
	PeerAddress string // host:port of links between instances
	State       State
}

// State says whether an instance is to stay.
type State string

// States of instances.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// maxInstances bounds a list.
const maxInstances = 100_000

// Parse reads the JSON form of a list. It returns an error if the form is
// malformed, an instance is named twice or not at all, a state is not known or
// an address is not host:port.
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
			return List{}, errs.New("instance %q: want one entry with a name", i.Instance)
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
