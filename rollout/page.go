package rollout

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"crocuslug/distribution"
	"crocuslug/ident"
)

// PageRequest asks a peer for one page of its response to a pull. The response is
// divided into pages since it may contain a whole document, which can be larger
// than the largest message between instances.
type PageRequest struct {
	Have     ident.Revision
	Revision ident.Revision // revision of the previous page; 0 asks for the first page
	Offset   int            // bytes of the response that were received before
}

// Page is a part of a distribution.PullResponse in JSON.
type Page struct {
	Revision ident.Revision // revision of the response
	Size     int            // bytes of the whole response
	Body     []byte
}

// maxResponseBytes bounds the size of a response in all its pages.
const maxResponseBytes = 64 << 20

// encodedResponse is the response to the last request, in JSON.
type encodedResponse struct {
	have     ident.Revision
	revision ident.Revision
	body     []byte
}

// AnswerPull returns a page for a peer that pulls. If the document has changed
// since the previous page, it returns the first page of the new response.
func (r *Rollout) AnswerPull(a PageRequest) (Page, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.lastResponse
	if e.body == nil || e.have != a.Have || e.revision != r.distributor.Revision() {
		response := r.distributor.AnswerPull(distribution.PullRequest{Have: a.Have})
		body, err := json.Marshal(response)
		if err != nil {
			return Page{}, err
		}
		e = encodedResponse{a.Have, response.Revision, body}
		r.lastResponse = e
	}
	offset := a.Offset
	if a.Revision != e.revision || offset < 0 || offset > len(e.body) {
		offset = 0
	}
	end := min(offset+r.cfg.PageBytes, len(e.body))
	return Page{e.revision, len(e.body), e.body[offset:end]}, nil
}

// fetch pulls all pages of the response of a peer. It returns an error if the
// document of the peer changes meanwhile; the next notice of the peer then starts
// another pull.
func (r *Rollout) fetch(ctx context.Context, to ident.Instance, request distribution.PullRequest) (distribution.PullResponse, error) {
	var response distribution.PullResponse
	var body []byte
	a := PageRequest{Have: request.Have}
	for {
		p, err := r.deps.Pull(ctx, to, a)
		if err != nil {
			return response, err
		}
		if a.Offset > 0 && p.Revision != a.Revision {
			return response, errs.New("revision %d of %s changed to %d during the pull", a.Revision, to, p.Revision)
		}
		if len(p.Body) == 0 || p.Size > maxResponseBytes || len(body)+len(p.Body) > p.Size {
			return response, errs.New("malformed page from %s", to)
		}
		body = append(body, p.Body...)
		if len(body) == p.Size {
			return response, json.Unmarshal(body, &response)
		}
		a.Revision, a.Offset = p.Revision, len(body)
	}
}
