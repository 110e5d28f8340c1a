package peerlink

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"

	"crocuslug/ident"
	"crocuslug/result"
)

const (
	nonceBytes        = 16
	maxHandshakeBytes = 4 << 10
)

// hello opens the handshake. The dialing side sends it without a proof, the
// accepting side answers with its own, and the dialing side closes with a
// hello that holds only its proof.
type hello struct {
	Instance ident.Instance `json:",omitempty"`
	Domain   ident.Domain   `json:",omitempty"`
	To       ident.Instance `json:",omitempty"` // the instance that the dialing side wants
	Nonce    []byte         `json:",omitempty"`
	Proof    []byte         `json:",omitempty"`
}

// transcript is what both sides prove to have seen.
type transcript struct {
	Side     string
	Dialer   hello
	Acceptor hello
}

// Sides of a handshake, so that a proof cannot be sent back as its answer.
const (
	sideDialer   = "Dialer"
	sideAcceptor = "Acceptor"
)

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // does not fail
	return b
}

// proof authenticates the handshake for one side.
func proof(secret []byte, side string, dialer, acceptor hello) []byte {
	dialer.Proof = nil
	acceptor.Proof = nil
	text, err := json.Marshal(transcript{Side: side, Dialer: dialer, Acceptor: acceptor})
	if err != nil {
		panic("peerlink: transcript: " + err.Error())
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write(text)
	return mac.Sum(nil)
}

// handshake is the state of one side. It holds no socket and no clock.
type handshake struct {
	secret []byte
	self   hello
	peer   hello
	dials  bool
	proved bool
}

func newHandshake(cfg Settings, dials bool, to ident.Instance) *handshake {
	self := hello{Instance: cfg.Instance, Domain: cfg.Domain, Nonce: newNonce(), To: to}
	return &handshake{secret: cfg.Secret, self: self, dials: dials}
}

// receive takes the peer's next message. It returns the answer, if one is due,
// and whether the handshake is complete on this side.
func (h *handshake) receive(payload []byte) (answer []byte, complete bool, err *result.Error) {
	var m hello
	if e := json.Unmarshal(payload, &m); e != nil {
		return nil, false, result.New(result.Malformed, "handshake is not readable")
	}
	if h.peer.Nonce != nil {
		return nil, true, h.check(sideDialer, h.peer, h.self, m.Proof)
	}
	if len(m.Nonce) != nonceBytes || m.Instance == "" {
		return nil, false, result.New(result.Malformed, "handshake lacks an instance or a nonce")
	}
	h.peer = m
	if !h.dials {
		return h.accept()
	}
	if m.Instance != h.self.To {
		return nil, false, result.Newf(result.PeerUnavailable, "the address belongs to instance %s", m.Instance)
	}
	if err := h.check(sideAcceptor, h.self, m, m.Proof); err != nil {
		return nil, false, err
	}
	return encodeHello(hello{Proof: proof(h.secret, sideDialer, h.self, m)}), true, nil
}

func (h *handshake) accept() ([]byte, bool, *result.Error) {
	if h.peer.To != h.self.Instance {
		return nil, false, result.Newf(result.PeerUnavailable, "instance %s is wanted here", h.peer.To)
	}
	answer := h.self
	answer.Proof = proof(h.secret, sideAcceptor, h.peer, h.self)
	return encodeHello(answer), false, nil
}

func (h *handshake) check(side string, dialer, acceptor hello, got []byte) *result.Error {
	if !hmac.Equal(got, proof(h.secret, side, dialer, acceptor)) {
		return result.New(result.Unauthorized, "the peer does not hold the shared secret")
	}
	h.proved = true
	return nil
}

func encodeHello(m hello) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic("peerlink: hello: " + err.Error())
	}
	return text
}
