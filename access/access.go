// Package access authenticates callers and operators by their keys.
//
// The configuration contains only SHA-256 hashes of keys. A key is hashed and
// looked up by its hash, so that the duration of the look-up reveals nothing
// about the key.
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

// New returns the index of the keys in doc, which may be nil. Bootstrap is the
// hash of the key of the first operator, or "" if there is none; it is accepted
// only if doc has no operator's key.
func New(doc *configuration.Document, bootstrap string) *Keys {
	k := &Keys{
		workspaces: make(map[string]ident.Workspace),
		operators:  make(map[string]string),
	}
	if doc != nil {
		k.addAll(doc)
	}
	if bootstrap != "" && len(k.operators) == 0 {
		k.operators[bootstrap] = BootstrapOperator
	}
	return k
}

// BootstrapOperator is the name of the operator whose key is in the settings.
const BootstrapOperator = "bootstrap"

func (k *Keys) addAll(doc *configuration.Document) {
	for _, w := range doc.Workspaces {
		for _, h := range w.KeyHashes {
			if h == "" {
				continue // an empty hash belongs to no key
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

// Workspace returns the workspace to which the key in the Authorization header
// belongs, and false if there is none.
func (k *Keys) Workspace(authorization []byte) (ident.Workspace, bool) {
	w, ok := k.workspaces[bearerHash(authorization)]
	return w, ok
}

// Operator returns the name of the operator to whom the key in the Authorization
// header belongs, and false if there is none.
func (k *Keys) Operator(authorization []byte) (string, bool) {
	o, ok := k.operators[bearerHash(authorization)]
	return o, ok
}

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// bearerHash returns the hash of the key in the header, or "" if there is none.
func bearerHash(authorization []byte) string {
	if len(authorization) <= len(bearerPrefix) || subtle.ConstantTimeCompare(authorization[:len(bearerPrefix)], []byte(bearerPrefix)) != 1 {
		return ""
	}
	return Hash(authorization[len(bearerPrefix):])
}
