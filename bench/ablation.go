package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bergamotstile/policy"
)

// PrintAblations runs the policy bergamotstile first with all mechanisms and then
// with one mechanism at a time switched off. It prints a table with a row for
// each of them.
func PrintAblations(o TableOptions, out io.Writer) error {
	o.Policies = []string{PolicyBergamotstile}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "without\t")
	for _, column := range tableColumns {
		fmt.Fprintf(w, "%s\t", column.name)
	}
	fmt.Fprintln(w)
	for _, disabled := range append([]policy.Mechanism{""}, policy.Mechanisms...) {
		o.Disabled = nil
		name := "(nothing)"
		if disabled != "" {
			o.Disabled, name = []policy.Mechanism{disabled}, string(disabled)
		}
		table, err := RunTable(o)
		if err != nil {
			return err
		}
		printRow(w, name, table[PolicyBergamotstile])
	}
	return w.Flush()
}
