// Package plan computes what an intent will change before it is accepted.
//
// Operators review a plan and then confirm it. A plan contains the intent, the
// revision on which it is based and a digest. The instance that receives the
// confirmation can therefore compute the same change, and refuses a plan that was
// altered or whose base is no longer the current revision.
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

// ID identifies a plan and the change that results from it. It is derived from
// the content of the plan: the same intent of the same author on the same revision
// is the same change.
type ID string

// Plan is a proposed change that an operator can confirm.
type Plan struct {
	ID           ID
	BaseRevision ident.Revision
	Author       string
	Intent       intent.Intent
	Changes      []Change
	Warnings     []string `json:",omitempty"`
	Digest       string   // hexadecimal SHA-256 of the plan in JSON with empty ID and Digest
}

// Change is one difference that a plan makes.
type Change struct {
	Path   string          // for example Workspaces.acme.MaxConcurrent
	Before json.RawMessage `json:",omitempty"` // absent if the part is new
	After  json.RawMessage `json:",omitempty"` // absent if the part is removed
	Effect string          // description for operators
}

// Make returns the plan that applies in to base, or all problems of the intent. The
// plan contains warnings of what the change would break at the current usage.
func Make(base configuration.Document, in intent.Intent, usage Usage) (Plan, []intent.Problem) {
	doc, problems := intent.Apply(base, in)
	if len(problems) > 0 {
		return Plan{}, problems
	}
	changes := diff(base, doc)
	if len(changes) == 0 {
		return Plan{}, []intent.Problem{{Path: "Set", Text: "changes nothing; allowed are intents that change something"}}
	}
	p := Plan{
		BaseRevision: base.Revision,
		Author:       in.Author,
		Intent:       in,
		Changes:      changes,
		Warnings:     warnings(base, doc, usage),
	}
	p.Digest = p.digest()
	p.ID = p.id()
	return p, nil
}

// Rollback returns a plan that restores the content of older on top of base. It
// results in a new revision. Like Make, it may return problems instead.
func Rollback(base, older configuration.Document, author string, usage Usage) (Plan, []intent.Problem) {
	in := intent.Difference(base, older)
	in.Author = author
	in.Note = fmt.Sprintf("Roll back to revision %d.", older.Revision)
	return Make(base, in, usage)
}

// Verify returns nil if the digest and ID of p match its content, and PlanDigest
// otherwise.
func (p Plan) Verify() *result.Error {
	if p.Digest == "" || p.Digest != p.digest() || p.ID != p.id() {
		return result.New(result.PlanDigest, "the plan was altered after it was made")
	}
	return nil
}

// Document returns the document that results from applying p to base, with the next
// revision. It returns PlanStale if base is not the base of p, PlanDigest if p was
// altered or lists other changes than its intent makes, and IntentInvalid if the
// result does not pass the checks.
func (p Plan) Document(base configuration.Document) (configuration.Document, *result.Error) {
	if err := p.Verify(); err != nil {
		return configuration.Document{}, err
	}
	if p.BaseRevision != base.Revision {
		return configuration.Document{}, result.Newf(result.PlanStale,
			"the plan is based on revision %d, but revision %d is in force", p.BaseRevision, base.Revision)
	}
	doc, problems := intent.Apply(base, p.Intent)
	if len(problems) > 0 {
		return configuration.Document{}, result.Newf(result.IntentInvalid, "%s", FormatProblems(problems))
	}
	if !sameChanges(p.Changes, diff(base, doc)) {
		return configuration.Document{}, result.New(result.PlanDigest, "the changes listed in the plan differ from those that its intent makes")
	}
	doc.Revision = base.Revision + 1
	return doc, nil
}

// FormatProblems returns the problems as text, one on each line.
func FormatProblems(problems []intent.Problem) string {
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

// idDigits is the number of hexadecimal digits of an ID.
const idDigits = 32

// id returns the ID of p. It covers only what determines the change; the warnings
// are excluded since they depend on the usage at the time of planning.
func (p Plan) id() ID {
	body, err := json.Marshal(identity{p.BaseRevision, p.Author, p.Intent})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return ID(hex.EncodeToString(sum[:])[:idDigits])
}

// identity is the part of a plan that its ID covers.
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
