// Package access tells whose key a caller presents.
//
// The configuration keeps only SHA-256 hashes of keys. A key is hashed and
// looked up by its hash, so that the time of the look-up tells nothing of the key.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"crocuslug/configuration"
	"crocuslug/ident"
)

// Keys is an immutable index of the keys of one configuration.
type Keys struct {
	workspaces map[string]ident.Workspace
	operators  map[string]string
}

// New returns the index of doc. Bootstrap is the hash of the first operator's
// key; it counts only while doc has no operators, and "" never counts.
func New(doc *configuration.Document, bootstrap string) *Keys {
	k := &Keys{
		workspaces: make(map[string]ident.Workspace),
		operators:  make(map[string]string),
	}
	if doc != nil {
		k.index(doc)
	}
	if bootstrap != "" && len(k.operators) == 0 {
		k.operators[bootstrap] = Bootstrap
	}
	return k
}

// Bootstrap is the name of the first operator.
const Bootstrap = "bootstrap"

func (k *Keys) index(doc *configuration.Document) {
	for _, w := range doc.Workspaces {
		for _, h := range w.KeyHashes {
			if h == "" {
				continue // the hash of no key
			}
			k.workspaces[strings.ToLower(h)] = w.Name
		}
	}
	for _, o := range doc.Operators {
		for _, h := range o.KeyHashes {
			if h == "" {
				continue
			}
			k.operators[strings.ToLower(h)] = o.Name
		}
	}
}

// Hash returns the hexadecimal SHA-256 of a key.
func Hash(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:])
}

// Workspace returns the workspace that the Authorization header names.
func (k *Keys) Workspace(authorization []byte) (ident.Workspace, bool) {
	w, ok := k.workspaces[bearerHash(authorization)]
	return w, ok
}

// Operator returns the operator that the Authorization header names.
func (k *Keys) Operator(authorization []byte) (string, bool) {
	o, ok := k.operators[bearerHash(authorization)]
	return o, ok
}

// scheme goes before the key in the Authorization header.
const scheme = "Bearer "

// bearerHash returns the hash of the key in the header, or "".
func bearerHash(authorization []byte) string {
	if len(authorization) <= len(scheme) || subtle.ConstantTimeCompare(authorization[:len(scheme)], []byte(scheme)) != 1 {
		return ""
	}
	return Hash(authorization[len(scheme):])
}
