package rollout

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"crocuslug/distribution"
	"crocuslug/ident"
)

// PageAsk asks a peer for a page of what it has above a revision. An answer may
// hold a whole document, which is more than a message between instances holds.
type PageAsk struct {
	Have     ident.Revision
	Revision ident.Revision // of the page before; 0 asks for the first
	Offset   int            // bytes of the answer that the asker has
}

// Page is a piece of a distribution.Answer as JSON.
type Page struct {
	Revision ident.Revision // of the whole answer
	Size     int            // bytes of the whole answer
	Body     []byte
}

// maxAnswerBytes bounds an answer in all its pages.
const maxAnswerBytes = 64 << 20

// encoded is the answer that was asked for last.
type encoded struct {
	have     ident.Revision
	revision ident.Revision
	body     []byte
}

// Asked answers a peer's pull. If the document has changed since the page
// before, the page is the first of the new answer.
func (r *Rollout) Asked(a PageAsk) (Page, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.encoded
	if e.body == nil || e.have != a.Have || e.revision != r.core.Revision() {
		answer := r.core.AnswerPull(distribution.PullRequest{Have: a.Have})
		body, err := json.Marshal(answer)
		if err != nil {
			return Page{}, err
		}
		e = encoded{a.Have, answer.Revision, body}
		r.encoded = e
	}
	offset := a.Offset
	if a.Revision != e.revision || offset < 0 || offset > len(e.body) {
		offset = 0
	}
	end := min(offset+r.cfg.PageBytes, len(e.body))
	return Page{e.revision, len(e.body), e.body[offset:end]}, nil
}

// fetch pulls all pages of a peer's answer. It returns an error if the peer's
// document changes meanwhile; the peer's next notice starts another pull.
func (r *Rollout) fetch(ctx context.Context, to ident.Instance, ask distribution.PullRequest) (distribution.PullResponse, error) {
	var answer distribution.PullResponse
	var body []byte
	a := PageAsk{Have: ask.Have}
	for {
		p, err := r.ports.Pull(ctx, to, a)
		if err != nil {
			return answer, err
		}
		if a.Offset > 0 && p.Revision != a.Revision {
			return answer, errs.New("revision %d of %s has changed to %d", a.Revision, to, p.Revision)
		}
		if len(p.Body) == 0 || p.Size > maxAnswerBytes || len(body)+len(p.Body) > p.Size {
			return answer, errs.New("malformed page of %s", to)
		}
		body = append(body, p.Body...)
		if len(body) == p.Size {
			return answer, json.Unmarshal(body, &answer)
		}
		a.Revision, a.Offset = p.Revision, len(body)
	}
}
