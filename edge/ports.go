package edge

import (
	"net/http"

	"crocuslug/canary"
	"crocuslug/directory"
	"crocuslug/keyvalue"
	"crocuslug/store"
	"crocuslug/work"
)

// Ports translate between the formats of the platform and the types of this project.
type Ports struct {
	Store            keyvalue.Settings // for the client of the store
	ConfigurationKey string            // store key of the configuration
	UpstreamsPrefix  string            // prefix of the store keys of upstreams
	ReadinessPath    string

	// DecodeConfiguration decodes the value at ConfigurationKey.
	DecodeConfiguration func(value []byte) (directory.Document, error)
	// Prefixes of the store keys of orders of deliveries and of their statuses. The rest of a key is the
	// service. Without them there are no deliveries.
	OrdersPrefix   string
	StatusesPrefix string

	// DecodeOrder decodes the store entry of an order.
	DecodeOrder func(e store.Entry) (canary.Order, error)
	// DecodeStatus decodes the store entry of a status.
	DecodeStatus func(e store.Entry) (canary.Status, error)
	// EncodeStatus returns the value of the store entry of a status.
	EncodeStatus func(s canary.Status) ([]byte, error)
	// UpstreamPorts translate the exchanges with upstreams.
	UpstreamPorts work.Protocol
	// DecodeUpstream decodes the store entry of an upstream.
	DecodeUpstream func(e store.Entry) (directory.Upstream, error)
	// Describe returns what the header of a caller's request says about it.
	Describe func(h http.Header) work.Description
	// RequestHeader returns the header fields of a request that are sent to the upstream.
	RequestHeader func(h http.Header) http.Header
	// AnswerHeader returns the header fields of an answer that are sent to the caller.
	AnswerHeader func(h http.Header) http.Header
}
