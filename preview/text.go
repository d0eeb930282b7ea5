package preview

import (
	"fmt"
	"strings"
)

// Summary returns the numbers of errors, findings and differences in words.
func (r *Report) Summary() string {
	text := fmt.Sprintf("%s, %s", plural(len(r.Errors), "error"), plural(len(r.Findings), "finding"))
	switch {
	case r.InForce == "":
	case !r.Compared:
		text += ", not compared with " + r.InForce
	default:
		text += fmt.Sprintf(", %s from %s", plural(len(r.Differences), "difference"), r.InForce)
	}
	return text
}

// Text returns the report for people to read.
func (r *Report) Text() string {
	var b strings.Builder
	b.WriteString(r.File + ": ")
	if r.Deployment != "" {
		b.WriteString("deployment " + r.Deployment + ": ")
	}
	b.WriteString(r.Summary() + "\n")
	for _, p := range r.Errors {
		fmt.Fprintf(&b, "error    %s\n", joinNonEmpty(p.File, p.Path, p.Detail))
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "finding  %s: %s [%s]\n", f.Path, f.Detail, f.Rule)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(&b, "%-8s %s\n", d.Change, d.Entry)
		for _, f := range d.Fields {
			fmt.Fprintf(&b, "           %s: %s -> %s\n", f.Path, valueText(f.From), valueText(f.To))
		}
		for _, effect := range d.Effects {
			fmt.Fprintf(&b, "         * %s\n", effect)
		}
	}
	return b.String()
}

func joinNonEmpty(parts ...string) string {
	var kept []string
	for _, part := range parts {
		if part != "" {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, ": ")
}

// valueText returns a value in JSON, or none for a missing one.
func valueText(value []byte) string {
	if len(value) == 0 {
		return "none"
	}
	return string(value)
}
