// Package nativewire is the project's own form of what an edge, its callers, its
// upstreams and the store say to each other.
//
// Documents and entries are JSON with the fields of package directory. It is
// what the stand-ins speak; a platform with names of its own has an adapter in
// place of this package.
package nativewire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/directory"
	"crocuslug/edge"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/store"
	"crocuslug/work"
)

// Header fields.
const (
	Request   = "Crocuslug-Request"   // id of one attempt of a caller
	Patience  = "Crocuslug-Patience"  // how long the caller waits, as 600ms
	Key       = "Crocuslug-Key"       // of a workspace
	After     = "Crocuslug-After"     // number of the last piece that is held
	Prompt    = "Crocuslug-Prompt"    // tokens of the prompt
	Tokens    = "Crocuslug-Tokens"    // of prompt and answer
	Workspace = "Crocuslug-Workspace" // set by the instance
	Upstream  = "Crocuslug-Upstream"  // that is to run the request
	CopyTo    = "Crocuslug-Copy-To"   // address that is to keep a copy of the run
	From      = "Crocuslug-From"      // copy to go on from
	NotRun    = "Crocuslug-Not-Run"   // the upstream did not run the request
	Signature = "Crocuslug-Signature" // of an upstream's answer
)

// Keys of the store and paths.
const (
	ConfigurationKey = "configuration"
	UpstreamsPrefix  = "upstreams/"
	ReadinessPath    = "/ready"
	StatePath        = "/state"
	CopiesPath       = "/copies"
)

// Ports returns the form for an edge whose store is at an address.
func Ports(storeAddress string) edge.Ports {
	return edge.Ports{
		Store:            keyvalue.Settings{Address: storeAddress},
		ConfigurationKey: ConfigurationKey,
		UpstreamsPrefix:  UpstreamsPrefix,
		ReadinessPath:    ReadinessPath,
		Configuration: func(b []byte) (directory.Document, error) {
			var doc directory.Document
			if err := json.Unmarshal(b, &doc); err != nil {
				return doc, errs.Wrap(err)
			}
			if doc.Version == 0 {
				return doc, errs.New("configuration has no version")
			}
			return doc, nil
		},
		Entry: func(e store.Entry) (directory.Upstream, error) {
			var u directory.Upstream
			if err := json.Unmarshal(e.Value, &u); err != nil {
				return u, errs.Wrap(err)
			}
			if u.ID == "" || UpstreamsPrefix+string(u.ID) != e.Key {
				return u, errs.New("id %q does not match key %q", u.ID, e.Key)
			}
			u.Revision = e.Version
			return u, nil
		},
		Identity:  func(h http.Header) ident.Upstream { return ident.Upstream(h.Get(Signature)) },
		Describe:  describe,
		Forwarded: forwarded,
		Returned:  func(h http.Header) http.Header { return h.Clone() },
		Upstream: work.Protocol{
			Header:      legHeader,
			Matches:     func(w *work.Work, h http.Header) bool { return h.Get(Request) == string(w.ID) },
			NotRun:      func(_ int, h http.Header) bool { return h.Get(NotRun) != "" },
			Replaced:    func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest },
			Signed:      func(h http.Header) bool { return h.Get(Signature) != "" },
			ProbePath:   StatePath,
			CopyRequest: encodeMove,
			CopyName:    func(status int, body []byte) (string, bool) { return string(body), status == http.StatusOK },
			DropTarget:  func(name string) string { return CopiesPath + "/" + name },
		},
	}
}

func describe(h http.Header) work.Description {
	d := work.Description{ID: ident.Request(h.Get(Request)), Key: h.Get(Key)}
	if t, err := time.ParseDuration(h.Get(Patience)); err == nil {
		d.MaxWait, d.HasMaxWait = t, true
	}
	if n, err := strconv.ParseUint(h.Get(After), 10, 64); err == nil {
		d.LastPiece, d.Resumes = n, true
	}
	if n, err := strconv.Atoi(h.Get(Prompt)); err == nil {
		d.PromptTokens = n
	}
	if n, err := strconv.Atoi(h.Get(Tokens)); err == nil {
		d.Tokens = n
	}
	return d
}

func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range []string{Key, Workspace, Upstream, CopyTo, From, "Connection", "Content-Length"} {
		out.Del(name)
	}
	return out
}

func legHeader(w *work.Work, leg *work.Attempt) http.Header {
	h := w.Header.Clone()
	h.Set(Patience, leg.Remaining.String())
	h.Set(Upstream, string(leg.Upstream.ID))
	if w.Workspace != "" {
		h.Set(Workspace, string(w.Workspace))
	}
	if leg.Resumes || leg.ResumeFrom != nil {
		h.Set(After, strconv.FormatUint(leg.LastPiece, 10))
	}
	if leg.CopyTo != "" {
		h.Set(CopyTo, leg.CopyTo)
	}
	if leg.ResumeFrom != nil {
		h.Set(From, leg.ResumeFrom.Owner+"/"+leg.ResumeFrom.Name)
	}
	return h
}

func encodeMove(m work.Move) (target string, body []byte) {
	body, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings always encode
	}
	return CopiesPath, body
}
