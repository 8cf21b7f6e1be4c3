package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// JSON returns the result as one JSON object.
func (r *Result) JSON() []byte {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		panic(err)
	}
	return append(text, '\n')
}

// mainMetrics returns the metrics that tables show. The JSON has all of them.
func (r *Result) mainMetrics() []string {
	names := []string{"service", "worst10", "worst_type", "sends_per_op", "busy_share", "probes_per_op", "rules_broken"}
	for _, m := range []string{"gossip_bytes", "gossip_worst", "gossip_false_deaths"} {
		for _, arm := range r.Order {
			if _, ok := r.Arms[arm][m]; ok {
				names = append(names, m)
				break
			}
		}
	}
	return names
}

// Table returns the result as Markdown: a table of metrics by arm with confidence intervals, the expectations, and the
// first violations of rules. It needs the experiment file, which a result from Open does not have.
func (r *Result) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n", r.Name)
	if r.source.About != "" {
		fmt.Fprintf(&b, "%s\n\n", strings.TrimSpace(r.source.About))
	}
	world := &r.source.World
	fmt.Fprintf(&b, "Emulated: %d gateways, %d groups of %d servers, %v, seeds %d to %d. Means over the seeds; the interval holds 95 of 100\n"+
		"such means, by bootstrap.\n\n", world.Gateways.Count, world.Servers.Groups, world.Servers.Members, world.Length, r.Seeds[0],
		r.Seeds[len(r.Seeds)-1])
	metrics := r.mainMetrics()
	fmt.Fprintf(&b, "| arm | %s |\n| --- |%s\n", strings.Join(metrics, " | "), strings.Repeat(" --- |", len(metrics)))
	for _, arm := range r.Order {
		fmt.Fprintf(&b, "| %s |", r.source.Arm(arm).Label)
		for _, m := range metrics {
			if estimate, ok := r.Arms[arm][m]; ok {
				fmt.Fprintf(&b, " %s |", estimate.format(decimals(m)))
			} else {
				b.WriteString(" - |")
			}
		}
		b.WriteByte('\n')
	}
	if len(r.Expect) > 0 {
		b.WriteString("\n| expected | value | interval | bound | holds |\n| --- | --- | --- | --- | --- |\n")
		for _, o := range r.Expect {
			holds := "yes"
			if !o.Holds {
				holds = "**no**"
			}
			fmt.Fprintf(&b, "| %s | %.4g | %.4g to %.4g | %s | %s |\n", o.Name, o.Value, o.Low, o.High, o.Bound, holds)
		}
	}
	for i, s := range r.Stories {
		if i == 0 {
			b.WriteString("\nRules were broken:\n\n")
		}
		fmt.Fprintf(&b, "- rule %d after %v, gateway %d, op %d (%s): %s\n", s.Rule, s.At, s.Gateway, s.Op, s.OpType, s.What)
	}
	return b.String()
}

// format returns the mean with its confidence interval as text.
func (e Estimate) format(decimals int) string {
	if e.Low == e.High {
		return fmt.Sprintf("%.*f", decimals, e.Mean)
	}
	return fmt.Sprintf("%.*f (%.*f to %.*f)", decimals, e.Mean, decimals, e.Low, decimals, e.High)
}

// writeFiles writes the result to a folder as JSON, table and charts.
func (r *Result) writeFiles(dir string) error {
	if err := writeFileAtomically(filepath.Join(dir, "result.json"), r.JSON()); err != nil {
		return err
	}
	if err := writeFileAtomically(filepath.Join(dir, "README.md"), []byte(r.Table()+r.chartLinks())); err != nil {
		return err
	}
	for i := range r.source.Charts {
		if err := r.drawChart(&r.source.Charts[i], dir); err != nil {
			return fmt.Errorf("chart %s: %w", r.source.Charts[i].Name, err)
		}
	}
	return nil
}

// chartLinks returns Markdown that shows the charts.
func (r *Result) chartLinks() string {
	var b strings.Builder
	for _, c := range r.source.Charts {
		fmt.Fprintf(&b, "\n![%s](%s.svg)\n", c.Title, c.Name)
	}
	return b.String()
}

// Open reads a stored result from a folder, with the runs of each arm whose runs are all stored.
func Open(dir string) (*Result, error) {
	text, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	for _, arm := range r.Order {
		var runs []*Run
		for _, seed := range r.Seeds {
			run := &Run{}
			text, err := os.ReadFile(filepath.Join(dir, "runs", fmt.Sprintf("%s-%d.json", arm, seed)))
			if err == nil {
				err = json.Unmarshal(text, run)
			}
			if err != nil { // a result may be stored without its runs, which are many
				runs = nil
				break
			}
			runs = append(runs, run)
		}
		r.runs = append(r.runs, runs)
	}
	return r, nil
}
