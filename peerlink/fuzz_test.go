package peerlink

import (
	"bytes"
	"testing"
)

// FuzzHandshake checks that no two messages complete a handshake without the secret.
func FuzzHandshake(f *testing.F) {
	nonce := bytes.Repeat([]byte{1}, nonceBytes)
	f.Add(encodeHello(hello{Instance: "b", Nonce: nonce, To: "a"}), encodeHello(hello{Proof: nonce}), true)
	f.Add(encodeHello(hello{Instance: "b", Nonce: nonce, To: "a"}), []byte("{}"), false)
	f.Add([]byte(`{"Instance": "b", "Nonce": null}`), []byte("null"), false)
	f.Fuzz(func(t *testing.T, first, second []byte, dials bool) {
		h := newHandshake(Settings{Instance: "a", Secret: []byte("secret")}, dials, "b")
		for _, m := range [][]byte{first, second} {
			_, complete, err := h.receive(m)
			if h.authenticated || complete && err == nil {
				t.Errorf("handshake with %q: got it authenticated or complete, want an error", m)
			}
			if err != nil {
				return
			}
		}
	})
}
