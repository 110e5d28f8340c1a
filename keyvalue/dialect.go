package keyvalue

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"crocuslug/store"
)

// Request is one HTTP request to the service.
type Request struct {
	Method string
	URI    string // path and query, escaped
	Body   []byte // JSON or an opaque value; nil if empty
}

// Page is the content of an answer to List or Watch.
type Page struct {
	Entries []store.Entry
	Version store.Version // version from which to watch
	More    bool          // there is another page, after the last key of this one
}

// Dialect encodes the calls of one wire format of the service and decodes the answers. The
// statuses have the same meaning in all formats: 404 absent, 410 trimmed, 412 conflict, 413 too
// large, 429 and 503 not applied.
type Dialect struct {
	Get    func(key string) Request
	List   func(prefix, after string) Request // the page after a key; "" means the first page
	Watch  func(prefix string, after store.Version, wait time.Duration) Request
	Put    func(key string, value []byte, expect store.Version, l store.Lease) Request
	Delete func(key string, expect store.Version) Request
	Grant  func(ttl time.Duration) Request
	Renew  func(l store.Lease) Request
	Revoke func(l store.Lease) Request

	// EraField is the header field of an answer that holds the era of the service in decimal.
	EraField string

	// Versions in requests and answers are revisions without an era.
	DecodeEntry   func(body []byte) (store.Entry, error)
	DecodePage    func(body []byte) (Page, error)
	DecodeVersion func(body []byte) (store.Version, error)
	DecodeLease   func(body []byte) (store.Lease, error)
}

// NativeDialect returns the wire format of the stand-in for the service.
func NativeDialect() Dialect {
	return Dialect{
		Get: func(key string) Request { return Request{Method: http.MethodGet, URI: keyURI(key)} },
		List: func(prefix, _ string) Request {
			return Request{Method: http.MethodGet, URI: "/v1/keys?prefix=" + url.QueryEscape(prefix)}
		},
		Watch: func(prefix string, after store.Version, wait time.Duration) Request {
			return Request{Method: http.MethodGet, URI: "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + decimal(after) + "&wait=" + wait.String()}
		},
		Put: func(key string, value []byte, expect store.Version, l store.Lease) Request {
			uri := keyURI(key) + "?expect=" + decimal(expect)
			if l != 0 {
				uri += "&lease=" + decimal(l)
			}
			return Request{Method: http.MethodPut, URI: uri, Body: value}
		},
		Delete: func(key string, expect store.Version) Request {
			return Request{Method: http.MethodDelete, URI: keyURI(key) + "?expect=" + decimal(expect)}
		},
		Grant: func(ttl time.Duration) Request {
			return Request{Method: http.MethodPost, URI: "/v1/leases?ttl=" + ttl.String()}
		},
		Renew:       func(l store.Lease) Request { return Request{Method: http.MethodPost, URI: leaseURI(l) + "/renew"} },
		Revoke:      func(l store.Lease) Request { return Request{Method: http.MethodDelete, URI: leaseURI(l)} },
		EraField:    "Store-Era",
		DecodeEntry: decode[store.Entry],
		DecodePage:  decode[Page],
		DecodeVersion: func(body []byte) (store.Version, error) {
			p, err := decode[Page](body)
			return p.Version, err
		},
		DecodeLease: func(body []byte) (store.Lease, error) {
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
