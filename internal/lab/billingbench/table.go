package billingbench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes costs as a table with a line for each cost.
func WriteTable(w io.Writer, costs []Cost) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(table, "TLS\tclients\tcommands a second\tp50, ms\tp99, ms\t"+
		"released after the lease, ms\tstated, ms\tordinary path, ns")
	if err != nil {
		return err
	}
	for _, cost := range costs {
		_, err := fmt.Fprintf(table, "%v\t%d\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			cost.TLS, cost.Clients, cost.CommandsPerSecond, cost.CommandP50, cost.CommandP99,
			cost.ReleaseDelay, cost.ReleaseDelayBound, cost.RequestOverheadNanos)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}
