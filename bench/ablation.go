package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bergamotstile/policy"
)

// PrintAblations runs the policy bergamotstile in full and then with each
// mechanism switched off, and prints a line for each.
func PrintAblations(o TableOptions, out io.Writer) error {
	o.Policies = []string{PolicyBergamotstile}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "without\t")
	for _, m := range measures {
		fmt.Fprintf(w, "%s\t", m.name)
	}
	fmt.Fprintln(w)
	for _, off := range append([]policy.Mechanism{""}, policy.Mechanisms...) {
		o.Disabled = nil
		name := "(nothing)"
		if off != "" {
			o.Disabled, name = []policy.Mechanism{off}, string(off)
		}
		table, err := RunTable(o)
		if err != nil {
			return err
		}
		printRow(w, name, table[PolicyBergamotstile])
	}
	return w.Flush()
}
