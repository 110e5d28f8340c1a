package keyvalue

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"crocuslug/store"
)

// Message is one request as a dialect writes it.
type Message struct {
	Method string
	URI    string // path and query, escaped
	Body   []byte // JSON or an opaque value; nil if there is none
}

// Page is what an answer to List or Watch holds.
type Page struct {
	Entries []store.Entry
	Version store.Version // to watch from
	More    bool          // the next page starts after the last key
}

// Dialect writes the calls of one form of the service and reads its answers.
// Statuses mean the same in all forms: 404 absent, 410 trimmed, 412 conflict,
// 413 too large, 429 and 503 not applied.
type Dialect struct {
	Get    func(key string) Message
	List   func(prefix, after string) Message // the page after a key; "" means the first
	Watch  func(prefix string, after store.Version) Message
	Put    func(key string, value []byte, expect store.Version, l store.Lease) Message
	Delete func(key string, expect store.Version) Message
	Grant  func(ttl time.Duration) Message
	Renew  func(l store.Lease) Message
	Revoke func(l store.Lease) Message

	Entry   func(body []byte) (store.Entry, error)
	Entries func(body []byte) (Page, error)
	Version func(body []byte) (store.Version, error)
	Lease   func(body []byte) (store.Lease, error)
}

// Native returns the dialect of the project's own stand-in.
func Native() Dialect {
	return Dialect{
		Get: func(key string) Message { return Message{Method: http.MethodGet, URI: keyURI(key)} },
		List: func(prefix, _ string) Message {
			return Message{Method: http.MethodGet, URI: "/v1/keys?prefix=" + url.QueryEscape(prefix)}
		},
		Watch: func(prefix string, after store.Version) Message {
			return Message{Method: http.MethodGet, URI: "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + decimal(after)}
		},
		Put: func(key string, value []byte, expect store.Version, l store.Lease) Message {
			uri := keyURI(key) + "?expect=" + decimal(expect)
			if l != 0 {
				uri += "&lease=" + decimal(l)
			}
			return Message{Method: http.MethodPut, URI: uri, Body: value}
		},
		Delete: func(key string, expect store.Version) Message {
			return Message{Method: http.MethodDelete, URI: keyURI(key) + "?expect=" + decimal(expect)}
		},
		Grant: func(ttl time.Duration) Message {
			return Message{Method: http.MethodPost, URI: "/v1/leases?ttl=" + ttl.String()}
		},
		Renew:   func(l store.Lease) Message { return Message{Method: http.MethodPost, URI: leaseURI(l) + "/renew"} },
		Revoke:  func(l store.Lease) Message { return Message{Method: http.MethodDelete, URI: leaseURI(l)} },
		Entry:   decode[store.Entry],
		Entries: decode[Page],
		Version: func(body []byte) (store.Version, error) {
			p, err := decode[Page](body)
			return p.Version, err
		},
		Lease: func(body []byte) (store.Lease, error) {
			b, err := decode[struct{ Lease store.Lease }](body)
			return b.Lease, err
		},
	}
}

func decode[T any](body []byte) (T, error) {
	var v T
	err := json.Unmarshal(body, &v)
	return v, err
}

func decimal[T ~uint64](n T) string { return strconv.FormatUint(uint64(n), 10) }

func keyURI(key string) string { return "/v1/keys/" + url.PathEscape(key) }

func leaseURI(l store.Lease) string { return "/v1/leases/" + decimal(l) }
