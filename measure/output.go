package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// line is the machine-readable form of a Result.
type line struct {
	Deployment string  `json:"deployment"`
	Service    string  `json:"service"`
	Situation  string  `json:"situation"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Jobs       int     `json:"jobs"`
	Missed     int     `json:"missed"`
	Spills     int     `json:"spills"`
	NoSlot     int     `json:"spills-refused"`
	Shed       int     `json:"shed"`
	P50        float64 `json:"p50-ms"`
	P99        float64 `json:"p99-ms"`
	P999       float64 `json:"p999-ms"`
	LongP99    float64 `json:"long-p99-ms"`
	Weight     float64 `json:"weight-in-time"`
}

// WriteLines writes one JSON object a line for each result.
func WriteLines(out io.Writer, results []Result) error {
	e := json.NewEncoder(out)
	for _, r := range results {
		l := line{
			r.Deployment, r.Service, r.Situation, r.Policy, r.Seed, r.Jobs, r.Missed, r.Spills, r.SpillsRefused, r.Shed,
			r.P50, r.P99, r.P999, r.LongP99, r.Weight,
		}
		if err := e.Encode(l); err != nil {
			return errors.Wrap(err, "measure: write lines")
		}
	}
	return nil
}

// row holds the results of one policy in one situation for all seeds.
type row struct {
	service, situation, policy string
	results                    []Result
}

// WriteTable writes a table with the median over the seeds and, in brackets, the lowest and highest value. Ratios are
// computed for each seed: p99 of short requests to that of both bounds and to that of the same policy in the situation
// "steady", and weight in time to that of the bound with network delays.
func WriteTable(out io.Writer, results []Result) error {
	rows := joinSeeds(results)
	find := func(service, situation, policy string) *row {
		i := slices.IndexFunc(rows, func(r row) bool {
			return r.service == service && r.situation == situation && r.policy == policy
		})
		if i < 0 {
			return nil
		}
		return &rows[i]
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "service\tsituation\tpolicy\tp50 ms\tp99 ms\tp99/bound\tp99/bound+network\tp99/steady\t"+
		"weight in time %\tweight/bound+network\tmissed %\tspills %\trefused\tshed")
	p99 := func(r Result) float64 { return r.P99 }
	weight := func(r Result) float64 { return r.Weight }
	for _, r := range rows {
		network := find(r.service, r.situation, BoundNetwork)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.service, r.situation, r.policy,
			r.medianAndRange("%.1f", func(r Result) float64 { return r.P50 }), r.medianAndRange("%.1f", p99),
			r.ratio(find(r.service, r.situation, Bound), p99), r.ratio(network, p99),
			r.ratio(find(r.service, "steady", r.policy), p99),
			r.medianAndRange("%.2f", func(r Result) float64 { return 100 * r.Weight }), r.ratio(network, weight),
			r.medianAndRange("%.2f", func(r Result) float64 { return 100 * float64(r.Missed) / float64(max(r.Jobs, 1)) }),
			r.medianAndRange("%.1f", func(r Result) float64 { return 100 * float64(r.Spills) / float64(max(r.Jobs, 1)) }),
			r.medianAndRange("%.0f", func(r Result) float64 { return float64(r.SpillsRefused) }),
			r.medianAndRange("%.0f", func(r Result) float64 { return float64(r.Shed) }))
	}
	return errors.Wrap(t.Flush(), "measure: write table")
}

// joinSeeds collects the results of consecutive seeds in rows.
func joinSeeds(results []Result) []row {
	var rows []row
	for _, r := range results {
		service := r.Deployment + "/" + r.Service
		if n := len(rows); n > 0 && rows[n-1].service == service && rows[n-1].situation == r.Situation &&
			rows[n-1].policy == r.Policy {
			rows[n-1].results = append(rows[n-1].results, r)
			continue
		}
		rows = append(rows, row{service, r.Situation, r.Policy, []Result{r}})
	}
	return rows
}

// medianAndRange formats the median and the range of a value.
func (r *row) medianAndRange(format string, value func(Result) float64) string {
	values := make([]float64, 0, len(r.results))
	for _, x := range r.results {
		values = append(values, value(x))
	}
	return medianAndRange(format, values)
}

// ratio formats the median and the range of the ratio of a value to that of another row with the same seed.
func (r *row) ratio(to *row, value func(Result) float64) string {
	if to == nil {
		return "-"
	}
	values := make([]float64, 0, len(r.results))
	for i, x := range r.results {
		values = append(values, value(x)/value(to.results[i]))
	}
	return medianAndRange("%.3f", values)
}

// medianAndRange formats the median and, in brackets, the lowest and highest value.
func medianAndRange(format string, values []float64) string {
	slices.Sort(values)
	last := len(values) - 1
	return fmt.Sprintf(format+" ["+format+" "+format+"]", values[last/2], values[0], values[last])
}
