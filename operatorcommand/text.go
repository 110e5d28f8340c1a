package operatorcommand

import (
	"fmt"
	"io"
	"time"

	"crocuslug/operatorapi"
	"crocuslug/plan"
	"crocuslug/revision"
)

// writePlan writes a plan as text; confirm is the command that puts it in force,
// or "".
func writePlan(w io.Writer, p plan.Plan, confirm string) {
	fmt.Fprintf(w, "Plan %s by %s on revision %d: %s\n", p.ID, p.Author, p.BaseRevision, countChanges(len(p.Changes)))
	for _, c := range p.Changes {
		fmt.Fprintf(w, "  %s\n", c.Path)
		if c.Before != nil {
			fmt.Fprintf(w, "    - %s\n", c.Before)
		}
		if c.After != nil {
			fmt.Fprintf(w, "    + %s\n", c.After)
		}
		fmt.Fprintf(w, "    %s\n", c.Effect)
	}
	for _, text := range p.Warnings {
		fmt.Fprintf(w, "Warning: %s\n", text)
	}
	fmt.Fprintln(w, "Nothing has changed yet.")
	if confirm != "" {
		fmt.Fprintf(w, "To put it in force: %s\n", confirm)
	}
}

func writeRecord(w io.Writer, rec revision.Record) {
	fmt.Fprintf(w, "Revision %d  %s  %s by %s, confirmed by %s", rec.Revision,
		rec.Time.Format(time.RFC3339), countChanges(rec.Changes), rec.Author, rec.ConfirmedBy)
	if rec.Note != "" {
		fmt.Fprintf(w, ": %s", rec.Note)
	}
	fmt.Fprintln(w)
}

func writeStatus(w io.Writer, s operatorapi.StatusResponse) {
	fmt.Fprintf(w, "Newest revision in force: %d. Instances: %d, behind: %d, without answer: %d, cannot reach the platform: %d\n",
		s.Newest, len(s.Instances), s.Behind, s.Silent, s.CutOff)
	for _, r := range s.Instances {
		state := fmt.Sprintf("revision %d", r.Revision)
		if r.Revision < s.Newest {
			state += ", behind"
		}
		if r.CutOff {
			state += ", cannot reach the platform's key-value service"
		}
		if !r.Answered {
			state = "no answer"
		}
		fmt.Fprintf(w, "  %-20s %-20s %s\n", r.Domain, r.Instance, state)
	}
}

func countChanges(n int) string {
	if n == 1 {
		return "1 change"
	}
	return fmt.Sprintf("%d changes", n)
}
