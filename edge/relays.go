package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/registry"
	"crocuslug/relay"
	"crocuslug/result"
)

// relayMethod asks an instance for a connection to an upstream.
const relayMethod = "Edge.Relay"

// Bounds of connections through other instances, see package relay.
const (
	relayTimeout = 600 * time.Millisecond // of opening a connection through one instance
	maxTried     = 3                      // instances through which one connection is tried
	relayShare   = 8                      // one of so many file descriptors may be a relayed connection
)

// relayRequest asks for a connection to an upstream.
type relayRequest struct {
	Upstream ident.Upstream
	Beats    bool `json:",omitempty"` // the instance that asks understands beats, see package relay
}

// relayOffer offers the connection.
type relayOffer struct {
	Refused bool   `json:",omitempty"` // the upstream cannot be reached from the helper either
	Leaving bool   `json:",omitempty"` // the upstream is leaving, as the helper knows
	Born    int64  `json:",omitempty"` // directory.Upstream.Born, as the helper knows
	Address string // where to claim the connection
	Token   string
	Open    int  // connections that the helper passes on
	Beats   bool `json:",omitempty"` // the helper sends beats
}

// relayListen returns the address at which other instances claim connections.
func (e *Edge) relayListen() string {
	if e.cfg.RelayListen != "" {
		return e.cfg.RelayListen
	}
	host, _, err := net.SplitHostPort(e.cfg.PeerListen)
	if err != nil {
		host = "" // the link will not start either
	}
	return net.JoinHostPort(host, "0")
}

// handleRelay answers relayMethod. It opens a connection itself, or none: a request passes one other
// instance at most.
func (e *Edge) handleRelay(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var q relayRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	u, ok := e.fleet.Upstream(q.Upstream)
	switch {
	case !ok:
		return nil, result.Newf(result.NotFound, "upstream %s is not registered here", q.Upstream)
	case e.reach.Cut(u.Domain) || e.leaving.Load():
		return nil, result.New(result.PeerUnavailable, "this instance cannot pass connections on")
	case e.rests.Left(u.ID, e.timer.Now()) > 0:
		return nil, result.New(result.UpstreamRest, "the upstream has asked this instance for a rest")
	case e.relays.Full():
		e.meters.Count("Relays.Full", 1)
		return nil, result.New(result.Overloaded, "too many connections are passed on")
	}
	ctx, cancel := context.WithTimeout(e.ctx, relayTimeout)
	defer cancel()
	c, err := e.dialDirectly(ctx, u)
	if err != nil {
		return relayOffer{Refused: true, Open: e.relays.Open()}, nil
	}
	token, ok := e.relays.Offer(c, u.ID, from, q.Beats)
	if !ok {
		return nil, result.New(result.Overloaded, "too many connections are passed on")
	}
	e.meters.Count("Relays.Offered", 1)
	e.log.Info().Str("Peer", string(from)).Str("Upstream", string(u.ID)).Int("Open", e.relays.Open()).Msg("connection passed on for another instance")
	return relayOffer{Address: e.relays.Addr(), Token: token, Open: e.relays.Open(), Leaving: u.Draining, Born: u.Born, Beats: q.Beats}, nil
}

// notRelayed is the class of errors of connections that could not be opened through other instances.
var notRelayed = errs.Class("not relayed")

// dialThroughPeer opens a connection to an upstream through an instance that reaches it.
func (e *Edge) dialThroughPeer(ctx context.Context, u directory.Upstream) (net.Conn, error) {
	helpers := e.reach.Helpers(rand.Uint64, e.timer.Now())
	err := notRelayed.New("no instance that reaches upstreams of failure domain %q is known", u.Domain)
	for _, id := range helpers[:min(len(helpers), maxTried)] {
		var c net.Conn
		if c, err = e.dialThrough(ctx, id, u); err == nil {
			e.meters.Count("Relays.Used", 1)
			return c, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	e.meters.Count("Relays.Failed", 1)
	return nil, err
}

// dialThrough opens a connection to an upstream through an instance.
func (e *Edge) dialThrough(ctx context.Context, id ident.Instance, u directory.Upstream) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var offer relayOffer
	if err := e.link.Call(ctx, id, relayMethod, relayRequest{Upstream: u.ID, Beats: true}, &offer); err != nil {
		e.notHelped(id, u, err)
		return nil, notRelayed.Wrap(err)
	}
	e.reach.Helped(id, true, offer.Open, e.timer.Now())
	if offer.Leaving {
		e.mergeDepartures([]registry.Departure{{Upstream: u.ID, Born: offer.Born}}, id, e.timer.Now())
	}
	if offer.Refused {
		return nil, notRelayed.New("no connection from instance %s either", id)
	}
	conn, err := relay.Dial(ctx, e.timer, id, offer.Address, offer.Token, offer.Beats)
	if err != nil {
		e.notHelped(id, u, err)
		return nil, notRelayed.Wrap(err)
	}
	return conn, nil
}

// notHelped records that an instance did not pass a connection on. It writes one line for all requests
// that wait for the instance at that time.
func (e *Edge) notHelped(id ident.Instance, u directory.Upstream, err error) {
	e.meters.Count("Relays.InVain", 1)
	if e.reach.Helped(id, false, 0, e.timer.Now()) {
		e.log.Info().Str("Upstream", string(u.ID)).Str("Peer", string(id)).Err(err).Msg("instance did not pass a connection on")
	}
}
