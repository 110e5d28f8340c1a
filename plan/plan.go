// Package plan says what an intent will change, before it does.
//
// Operators read a plan and confirm it. A plan carries the intent, the revision
// that it starts from and a digest, so that whichever instance takes the
// confirmation can work out the same change, and refuses a plan that was
// altered or is out of date.
package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/result"
)

// ID identifies a plan and the change that it becomes. It follows from the
// plan's content: the same intent of the same author on the same revision is
// the same change.
type ID string

// Plan is a change that waits for its confirmation.
type Plan struct {
	ID           ID
	BaseRevision ident.Revision
	Author       string
	Intent       intent.Intent
	Changes      []Change
	Warnings     []string `json:",omitempty"`
	Digest       string   // hexadecimal SHA-256 of the plan as JSON without ID and digest
}

// Change is one difference that a plan makes.
type Change struct {
	Path   string          // as in Workspaces.acme.MaxConcurrent
	Before json.RawMessage `json:",omitempty"` // absent if the part is new
	After  json.RawMessage `json:",omitempty"` // absent if the part goes
	Effect string          // for people
}

// Make returns the plan of in on base, or all problems of the intent. The plan
// warns of what it would break, given the present use.
func Make(base configuration.Document, in intent.Intent, use Usage) (Plan, []intent.Problem) {
	doc, problems := intent.Apply(base, in)
	if len(problems) > 0 {
		return Plan{}, problems
	}
	changes := diff(base, doc)
	if len(changes) == 0 {
		return Plan{}, []intent.Problem{{Path: "Set", Text: "changes nothing, allowed are intents that make a difference"}}
	}
	p := Plan{
		BaseRevision: base.Revision,
		Author:       in.Author,
		Intent:       in,
		Changes:      changes,
		Warnings:     warnings(base, doc, use),
	}
	p.Digest = p.digest()
	p.ID = p.id()
	return p, nil
}

// Rollback returns a plan that makes the content of base that of older again.
// It is a new change with a revision of its own.
func Rollback(base, older configuration.Document, author string, use Usage) (Plan, []intent.Problem) {
	in := intent.Between(base, older)
	in.Author = author
	in.Note = fmt.Sprintf("Roll back to revision %d.", older.Revision)
	return Make(base, in, use)
}

// Verify returns nil if p is whole: its digest and id follow from its content.
func (p Plan) Verify() *result.Error {
	if p.Digest == "" || p.Digest != p.digest() || p.ID != p.id() {
		return result.New(result.PlanDigest, "the plan was altered after it was made")
	}
	return nil
}

// Document returns the document that p makes of base, one revision later. It
// returns PlanStale if base is not the base of p, PlanDigest if p was altered
// or lists other changes than its intent makes, and IntentInvalid.
func (p Plan) Document(base configuration.Document) (configuration.Document, *result.Error) {
	if err := p.Verify(); err != nil {
		return configuration.Document{}, err
	}
	if p.BaseRevision != base.Revision {
		return configuration.Document{}, result.Newf(result.PlanStale,
			"the plan starts from revision %d, in force is %d", p.BaseRevision, base.Revision)
	}
	doc, problems := intent.Apply(base, p.Intent)
	if len(problems) > 0 {
		return configuration.Document{}, result.Newf(result.IntentInvalid, "%s", Text(problems))
	}
	if !sameChanges(p.Changes, diff(base, doc)) {
		return configuration.Document{}, result.New(result.PlanDigest, "the plan lists other changes than it makes")
	}
	doc.Revision = base.Revision + 1
	return doc, nil
}

// Text joins problems for people, one a line.
func Text(problems []intent.Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (p Plan) digest() string {
	p.ID, p.Digest = "", ""
	body, err := json.Marshal(p)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// idDigits is the length of a plan's id.
const idDigits = 32

// id covers what decides the change; warnings depend on when they are asked.
func (p Plan) id() ID {
	body, err := json.Marshal(identity{p.BaseRevision, p.Author, p.Intent})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return ID(hex.EncodeToString(sum[:])[:idDigits])
}

type identity struct {
	BaseRevision ident.Revision
	Author       string
	Intent       intent.Intent
}

func sameChanges(a, b []Change) bool {
	x, err := json.Marshal(a)
	if err != nil {
		return false
	}
	y, err := json.Marshal(b)
	return err == nil && bytes.Equal(x, y)
}
