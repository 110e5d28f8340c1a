// Package instancelist reads the platform's list of instances.
//
// The list names live and leaving instances, with a delay: an instance on it may
// have ended, and one that is missing may be live. A failed fetch says nothing
// about any instance.
package instancelist

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/zeebo/errs"

	"crocuslug/ident"
)

// List is one version of the list.
type List struct {
	Version   uint64
	Instances []Instance
	Odd       []error `json:"-"` // why instances were left out, one for each; nil if none was
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
	l, err := ParseUsable(body)
	if err == nil && len(l.Odd) > 0 {
		err = l.Odd[0]
	}
	if err != nil {
		return List{}, err
	}
	return l, nil
}

// ParseUsable parses a list in JSON and leaves out the instances for which Parse
// returns an error. It returns an error if body is malformed otherwise or has
// more than 100,000 instances.
func ParseUsable(body []byte) (List, error) {
	var raw struct {
		Version   uint64
		Instances []json.RawMessage
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return List{}, errs.Wrap(err)
	}
	if len(raw.Instances) > maxInstances {
		return List{}, errs.New("%d instances, want at most %d", len(raw.Instances), maxInstances)
	}
	l := List{Version: raw.Version}
	seen := make(map[ident.Instance]bool, len(raw.Instances))
	for n, text := range raw.Instances {
		var i Instance
		err := json.Unmarshal(text, &i)
		switch {
		case err != nil:
			err = errs.New("entry %d: %.*v", n, maxReason, err)
		case i.Instance == "" || seen[i.Instance]:
			err = errs.New("instance %.*q: name is empty or repeated; want a unique name", maxReason, i.Instance)
		default:
			err = i.check()
		}
		if err != nil {
			l.Odd = append(l.Odd, err)
			continue
		}
		seen[i.Instance] = true
		l.Instances = append(l.Instances, i)
	}
	return l, nil
}

// maxReason is the length in characters of what an error repeats of an entry.
const maxReason = 100

func (i *Instance) check() error {
	if i.State != Live && i.State != Leaving {
		return errs.New("instance %.*q: state %.*q, want %s or %s", maxReason, i.Instance, maxReason, i.State, Live, Leaving)
	}
	for _, a := range []string{i.Address, i.PeerAddress} {
		host, port, err := net.SplitHostPort(a)
		if err != nil {
			return errs.New("instance %.*q: %.*v", maxReason, i.Instance, maxReason, err)
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
			return errs.New("instance %.*q: address %.*q, want host:port with a port from 1 to 65535", maxReason, i.Instance, maxReason, a)
		}
	}
	return nil
}
