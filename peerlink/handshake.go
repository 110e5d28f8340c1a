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

// hello is a message of the handshake. The dialing side sends one without a proof,
// the accepting side answers with one that includes its proof, and the dialing side
// finishes with one that contains only its proof.
type hello struct {
	Instance ident.Instance `json:",omitempty"`
	Domain   ident.Domain   `json:",omitempty"`
	To       ident.Instance `json:",omitempty"` // instance that the dialing side wants to reach
	Nonce    []byte         `json:",omitempty"`
	Proof    []byte         `json:",omitempty"`
}

// transcript is the content that the proof of each side authenticates.
type transcript struct {
	Side     string
	Dialer   hello
	Acceptor hello
}

// Sides of a handshake. They are part of the proofs, so that the proof of one side
// cannot be returned as the proof of the other.
const (
	sideDialer   = "Dialer"
	sideAcceptor = "Acceptor"
)

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never returns an error
	return b
}

// proof returns the proof of one side: an HMAC-SHA256 of the transcript with the
// shared secret.
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

// handshake is the state of one side of a handshake. It does no input or output.
type handshake struct {
	secret        []byte
	self          hello
	peer          hello
	dialed        bool // this side has dialed
	authenticated bool // the peer has proved that it knows the secret
}

func newHandshake(cfg Settings, dialed bool, to ident.Instance) *handshake {
	self := hello{Instance: cfg.Instance, Domain: cfg.Domain, Nonce: newNonce(), To: to}
	return &handshake{secret: cfg.Secret, self: self, dialed: dialed}
}

// receive handles the next message of the peer. It returns the answer to send, if
// any, and whether the handshake is complete on this side.
func (h *handshake) receive(payload []byte) (answer []byte, complete bool, err *result.Error) {
	var m hello
	if e := json.Unmarshal(payload, &m); e != nil {
		return nil, false, result.New(result.Malformed, "handshake message is not valid JSON")
	}
	if h.peer.Nonce != nil {
		return nil, true, h.verifyProof(sideDialer, h.peer, h.self, m.Proof)
	}
	if len(m.Nonce) != nonceBytes || m.Instance == "" {
		return nil, false, result.New(result.Malformed, "handshake message lacks an instance or a nonce of 16 bytes")
	}
	h.peer = m
	if !h.dialed {
		return h.accept()
	}
	if m.Instance != h.self.To {
		return nil, false, result.Newf(result.PeerUnavailable, "the address belongs to instance %s, not to the dialed one", m.Instance)
	}
	if err := h.verifyProof(sideAcceptor, h.self, m, m.Proof); err != nil {
		return nil, false, err
	}
	return encodeHello(hello{Proof: proof(h.secret, sideDialer, h.self, m)}), true, nil
}

// accept answers the hello of the dialing side.
func (h *handshake) accept() ([]byte, bool, *result.Error) {
	if h.peer.To != h.self.Instance {
		return nil, false, result.Newf(result.PeerUnavailable, "the peer dialed instance %s, which does not listen here", h.peer.To)
	}
	answer := h.self
	answer.Proof = proof(h.secret, sideAcceptor, h.peer, h.self)
	return encodeHello(answer), false, nil
}

// verifyProof returns an Unauthorized error unless got is the proof of the given side.
func (h *handshake) verifyProof(side string, dialer, acceptor hello, got []byte) *result.Error {
	if !hmac.Equal(got, proof(h.secret, side, dialer, acceptor)) {
		return result.New(result.Unauthorized, "the proof of the peer does not match the shared secret")
	}
	h.authenticated = true
	return nil
}

func encodeHello(m hello) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic("peerlink: hello: " + err.Error())
	}
	return text
}
