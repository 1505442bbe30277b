package plots

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"fawnplank/internal/lab/results"
	"fawnplank/internal/monotime"
)

// tableRow is one line of the table of totals.
type tableRow struct {
	name               string
	value              func(run *results.Run) string
	isUnknownToClients bool // the value is unknown for runs observed only at the clients
}

var tableRows = []tableRow{
	{name: "run", value: runTitle},
	{name: "run environment", value: func(run *results.Run) string {
		return fmt.Sprintf("%s, %d instances, %d backends, seed %d",
			run.Environment, run.Instances, run.Backends, run.Seed)
	}},
	{name: "requests, submissions", value: func(run *results.Run) string {
		return joinNumbers(run.Total.Requests, run.Total.Submitted)
	}},
	{name: "succeeded, of requests", value: func(run *results.Run) string {
		return formatPercent(float64(run.Total.Succeeded), float64(run.Total.Requests+run.Total.NotSent))
	}},
	{name: "late, of succeeded", value: func(run *results.Run) string {
		return formatPercent(float64(run.Total.Late), float64(run.Total.Succeeded))
	}},
	{name: "rejected, aborted, abandoned, not sent", value: func(run *results.Run) string {
		return joinNumbers(run.Total.Rejected, run.Total.Aborted, run.Total.Abandoned, run.Total.NotSent)
	}},
	{name: "p50, p90, p99, p99.9, max, ms", value: func(run *results.Run) string {
		total := &run.Total
		return fmt.Sprintf("%.1f, %.1f, %.1f, %.1f, %.1f",
			total.P50, total.P90, total.P99, total.P999, total.Max)
	}},
	{name: "attempts per success", isUnknownToClients: true, value: func(run *results.Run) string {
		return fmt.Sprintf("%.3f", float64(run.Total.Attempts)/math.Max(float64(run.Total.Succeeded), 1))
	}},
	{name: "counter calls, failed", isUnknownToClients: true, value: func(run *results.Run) string {
		return joinNumbers(run.Total.CounterCalls, run.Total.CounterFailures)
	}},
	{name: "withdrawn, with an attempt after, p50, p99, max, ms", isUnknownToClients: true, value: formatWithdrawals},
	{name: "dns updates answered", isUnknownToClients: true, value: func(run *results.Run) string {
		return fmt.Sprint(run.DNSUpdates)
	}},
	{name: "drift: over, under", isUnknownToClients: true, value: func(run *results.Run) string {
		over, under := run.Drift()
		return fmt.Sprintf("%.1f%%, %.1f%%", 100*over, 100*under)
	}},
	{name: "load tool's lag p50, p99, ms", value: func(run *results.Run) string {
		return fmt.Sprintf("%.2f, %.2f", run.LagP50, run.LagP99)
	}},
	{name: "rules 1 to 5 broken", value: func(run *results.Run) string {
		broken := run.RulesBroken
		return joinNumbers(broken["1"], broken["2"], broken["3"], broken["4"], broken["5"])
	}},
}

func formatWithdrawals(run *results.Run) string {
	w := run.Withdrawals
	if w == nil {
		return "none"
	}
	return fmt.Sprintf("%d, %d, %.1f, %.1f, %.1f", w.Count, w.WithLateAttempt, w.P50, w.P99, w.Max)
}

func joinNumbers(numbers ...int) string {
	texts := make([]string, len(numbers))
	for n, number := range numbers {
		texts[n] = fmt.Sprint(number)
	}
	return strings.Join(texts, ", ")
}

func formatPercent(part, whole float64) string {
	return fmt.Sprintf("%.1f%%", 100*part/math.Max(whole, 1))
}

// cell returns a row's text for a run.
func (r tableRow) cell(run *results.Run) string {
	if r.isUnknownToClients && run.Environment == results.EnvironmentClients {
		return "unknown to clients"
	}
	return r.value(run)
}

// WriteTable writes the totals of runs side by side, and then the findings of violated rules.
func WriteTable(w io.Writer, runs ...*results.Run) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range tableRows {
		cells := []string{row.name}
		for _, run := range runs {
			cells = append(cells, row.cell(run))
		}
		if _, err := fmt.Fprintln(table, strings.Join(cells, "\t")); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, run := range runs {
		for _, finding := range run.Findings {
			_, err := fmt.Fprintf(w, "%s: rule %d at %.3f s: %s\n",
				runTitle(run), finding.Rule, monotime.Seconds(finding.At.Sub(monotime.Instant{})), finding.Description)
			if err != nil {
				return err
			}
		}
	}
	return nil
}
