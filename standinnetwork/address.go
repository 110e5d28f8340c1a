package standinnetwork

import "crocuslug/loopback"

// Address is the listening address of a server, which keeps it while it is down. The
// zero value is ready for use. An Address is not safe for concurrent use.
type Address struct {
	text     string
	reserved *loopback.Address // nil if the address is configured or released
}

// Listen listens on configured, or on a reserved loopback address if configured is "".
// Later calls listen on the same port until Release. Listen returns an error if no
// address can be reserved or if it cannot listen.
func (a *Address) Listen(configured string) (*Listener, error) {
	switch {
	case configured == "" && a.reserved == nil:
		reserved, err := loopback.Reserve()
		if err != nil {
			return nil, err
		}
		a.reserved, a.text = reserved, reserved.String()
	case a.text == "":
		a.text = configured
	}
	l, err := Listen(a.text)
	if err != nil {
		return nil, err
	}
	a.text = l.Addr().String()
	return l, nil
}

// String returns the address of the last Listen, or "" before the first.
func (a *Address) String() string { return a.text }

// Release ends the reservation of the address, if there is one.
func (a *Address) Release() {
	if a.reserved != nil {
		a.reserved.Release()
		a.reserved = nil
	}
}
