package edge

import (
	"net/http"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/store"
	"crocuslug/work"
)

// Ports translate between the platform's forms and the types here.
type Ports struct {
	Store            keyvalue.Settings // of the client of the platform's store
	ConfigurationKey string            // of the store
	UpstreamsPrefix  string            // of the keys of upstreams in the store
	ReadinessPath    string

	Configuration func(value []byte) (directory.Document, error)
	Upstream      work.Protocol
	Entry         func(e store.Entry) (directory.Upstream, error)
	Describe      func(h http.Header) work.Description
	Forwarded     func(h http.Header) http.Header    // fields of a request that go on
	Returned      func(h http.Header) http.Header    // fields of an answer that go back
	Identity      func(h http.Header) ident.Upstream // of the upstream that gave an answer to a look at its health; "" if it does not say
}
