// Package nativewire is the project's own wire format between an edge, its callers, its upstreams
// and the store.
//
// Documents and store entries are JSON with the fields of package directory. The stand-ins use
// this format. For a platform with other names, an adapter package takes its place.
package nativewire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/directory"
	"crocuslug/edge"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/prefix"
	"crocuslug/store"
	"crocuslug/work"
)

// Header fields.
const (
	RequestField   = "Crocuslug-Request"   // id of one attempt of a caller
	TimeoutField   = "Crocuslug-Patience"  // how long the caller waits, such as 600ms
	KeyField       = "Crocuslug-Key"       // key of a workspace
	AfterField     = "Crocuslug-After"     // number of the last piece that the caller has received
	OriginField    = "Crocuslug-Origin"    // id of the attempt of the caller that brought the first piece
	PromptField    = "Crocuslug-Prompt"    // tokens of the prompt
	TokensField    = "Crocuslug-Tokens"    // tokens of prompt and answer together
	PartsField     = "Crocuslug-Parts"     // parts of the prompt in order, each as NAME:TOKENS
	WorkspaceField = "Crocuslug-Workspace" // set by the instance
	UpstreamField  = "Crocuslug-Upstream"  // id of the upstream that must run the request
	CopyToField    = "Crocuslug-Copy-To"   // address of the upstream that keeps a copy of the run
	CopyFromField  = "Crocuslug-From"      // copy from which the run continues
	NotRunField    = "Crocuslug-Not-Run"   // set if the upstream did not run the request
	SignatureField = "Crocuslug-Signature" // id of the upstream that answers
	LimitField     = "Crocuslug-Limit"     // requests a second that the upstream takes from all instances together
	RestField      = "Retry-After"         // seconds for which an upstream that answers 503 wants nothing from the instance
	LeavingField   = "Crocuslug-Leaving"   // set if the upstream that answers is leaving
)

// Store keys, and paths of instances and upstreams.
const (
	ConfigurationKey = "configuration"
	UpstreamsPrefix  = "upstreams/"
	OrdersPrefix     = "orders/"
	StatusesPrefix   = "statuses/"
	ReadinessPath    = "/ready"
	StatePath        = "/state"
	CopiesPath       = "/copies"
)

// Ports returns this format for an edge that uses the store at storeAddress.
func Ports(storeAddress string) edge.Ports {
	return edge.Ports{
		Store:            keyvalue.Settings{Address: storeAddress},
		ConfigurationKey: ConfigurationKey,
		UpstreamsPrefix:  UpstreamsPrefix,
		ReadinessPath:    ReadinessPath,
		DecodeConfiguration: func(b []byte) (directory.Document, error) {
			var doc directory.Document
			if err := json.Unmarshal(b, &doc); err != nil {
				return doc, errs.Wrap(err)
			}
			if doc.Version == 0 {
				return doc, errs.New("configuration has no version")
			}
			doc.KeysRequired = doc.KeysRequired || doc.Workspaces != nil // the list is present though it may be empty
			return doc, nil
		},
		DecodeUpstream: func(e store.Entry) (directory.Upstream, error) {
			var u directory.Upstream
			if err := json.Unmarshal(e.Value, &u); err != nil {
				return u, errs.Wrap(err)
			}
			if u.ID == "" || UpstreamsPrefix+string(u.ID) != e.Key {
				return u, errs.New("id %q does not match key %q", u.ID, e.Key)
			}
			u.Revision = e.Version
			return u, u.Check()
		},
		OrdersPrefix:   OrdersPrefix,
		StatusesPrefix: StatusesPrefix,
		DecodeOrder:    decodeOrder,
		DecodeStatus:   decodeStatus,
		EncodeStatus:   encodeStatus,

		Describe:      describe,
		RequestHeader: requestHeader,
		AnswerHeader:  func(h http.Header) http.Header { return h.Clone() },
		UpstreamPorts: work.Protocol{
			Header:      legHeader,
			Matches:     func(w *work.Work, h http.Header) bool { return h.Get(RequestField) == string(w.ID) },
			NotRun:      func(_ int, h http.Header) bool { return h.Get(NotRunField) != "" },
			Replaced:    func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest },
			Limit:       func(h http.Header) string { return strings.Join(h.Values(LimitField), ",") },
			Rest:        func(h http.Header) string { return strings.Join(h.Values(RestField), ",") },
			Leaving:     func(h http.Header) bool { return h.Get(LeavingField) != "" },
			UpstreamID:  upstreamID,
			Signed:      func(h http.Header) bool { return h.Get(SignatureField) != "" },
			ProbePath:   StatePath,
			CopyRequest: encodeMove,
			CopyName:    func(status int, body []byte) (string, bool) { return string(body), status == http.StatusOK },
			DropTarget:  func(name string) string { return CopiesPath + "/" + name },
		},
	}
}

// upstreamID returns the upstream that an answer comes from, or "" if it does not name it.
func upstreamID(h http.Header) ident.Upstream { return ident.Upstream(h.Get(SignatureField)) }

// describe returns what the header of a caller's request says about the request. Fields that
// cannot be parsed are treated as absent.
func describe(h http.Header) work.Description {
	d := work.Description{ID: ident.Request(h.Get(RequestField)), Key: h.Get(KeyField), Origin: ident.Request(h.Get(OriginField))}
	if t, err := time.ParseDuration(h.Get(TimeoutField)); err == nil {
		d.MaxWait, d.HasMaxWait = t, true
	}
	if n, err := strconv.ParseUint(h.Get(AfterField), 10, 64); err == nil {
		d.LastPiece, d.Resumes = n, true
	}
	if n, err := strconv.Atoi(h.Get(PromptField)); err == nil {
		d.PromptTokens = n
	}
	if n, err := strconv.Atoi(h.Get(TokensField)); err == nil {
		d.Tokens = n
	}
	d.Parts = prefix.ParseParts(h.Get(PartsField))
	return d
}

// requestHeader returns the fields of a caller's request that are forwarded to an upstream.
func requestHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range []string{KeyField, WorkspaceField, UpstreamField, CopyToField, CopyFromField, "Connection", "Content-Length"} {
		out.Del(name)
	}
	return out
}

// legHeader returns the header of a request to one upstream.
func legHeader(w *work.Work, leg *work.Attempt) http.Header {
	h := w.Header.Clone()
	h.Set(TimeoutField, leg.Remaining.String())
	h.Set(UpstreamField, string(leg.Upstream.ID))
	if w.Workspace != "" {
		h.Set(WorkspaceField, string(w.Workspace))
	}
	if leg.Resumes || leg.ResumeFrom != nil {
		h.Set(AfterField, strconv.FormatUint(leg.LastPiece, 10))
	}
	if leg.CopyTo != "" {
		h.Set(CopyToField, leg.CopyTo)
	}
	if leg.ResumeFrom != nil {
		h.Set(CopyFromField, leg.ResumeFrom.Owner+"/"+leg.ResumeFrom.Name)
	}
	return h
}

// encodeMove returns the call that copies a run to another upstream.
func encodeMove(m work.Move) (target string, body []byte) {
	body, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings can always be encoded
	}
	return CopiesPath, body
}
