package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Group is the runs whose settings differ in nothing but the repeat.
type Group struct {
	Setting Setting
	Runs    []Run
}

// Groups groups runs by their settings without the repeat.
func Groups(runs []Run) []Group {
	groups := map[string]*Group{}
	var order []string
	for _, r := range runs {
		s := withoutKey(r.Setting, "repeat")
		key := s.String()
		if groups[key] == nil {
			groups[key] = &Group{Setting: s}
			order = append(order, key)
		}
		groups[key].Runs = append(groups[key].Runs, r)
	}
	slices.SortFunc(order, compareNatural)
	out := make([]Group, len(order))
	for i, k := range order {
		out[i] = *groups[k]
	}
	return out
}

func withoutKey(s Setting, key string) Setting {
	t := Setting{}
	for k, v := range s {
		if k != key {
			t[k] = v
		}
	}
	return t
}

// compareNatural orders settings by key and value, numeric values as numbers.
func compareNatural(a, b string) int {
	fieldsA, fieldsB := strings.Fields(a), strings.Fields(b)
	for i := range min(len(fieldsA), len(fieldsB)) {
		if fieldsA[i] == fieldsB[i] {
			continue
		}
		ka, va, _ := strings.Cut(fieldsA[i], "=")
		kb, vb, _ := strings.Cut(fieldsB[i], "=")
		na, ea := strconv.ParseFloat(va, 64)
		nb, eb := strconv.ParseFloat(vb, 64)
		if ka == kb && ea == nil && eb == nil && na != nb {
			if na < nb {
				return -1
			}
			return 1
		}
		return strings.Compare(fieldsA[i], fieldsB[i])
	}
	return len(fieldsA) - len(fieldsB)
}

// Values returns a figure's values in a group, in ascending order.
func (g Group) Values(figure string) []float64 {
	var v []float64
	for _, r := range g.Runs {
		if x, ok := r.Figures[figure]; ok && !math.IsNaN(x) {
			v = append(v, x)
		}
	}
	sort.Float64s(v)
	return v
}

func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Table writes each group's median of the named figures, with the least and the greatest value.
func Table(out io.Writer, runs []Run, names []string) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(writer, "setting\truns\trules\t%s\n", strings.Join(names, "\t"))
	for _, group := range Groups(runs) {
		rules := "kept"
		for _, r := range group.Runs {
			if !r.RulesKept {
				rules = "BROKEN"
			}
		}
		fmt.Fprintf(writer, "%s\t%d\t%s", group.Setting, len(group.Runs), rules)
		for _, name := range names {
			values := group.Values(name)
			if len(values) == 0 {
				fmt.Fprint(writer, "\t-")
				continue
			}
			fmt.Fprintf(writer, "\t%s (%s to %s)", formatFigure(median(values)), formatFigure(values[0]),
				formatFigure(values[len(values)-1]))
		}
		fmt.Fprintln(writer)
	}
	return writer.Flush()
}

func formatFigure(x float64) string {
	if math.Abs(x) >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'f', 3, 64)
}

// CSV writes all runs as CSV, one per line.
func CSV(out io.Writer, runs []Run) error {
	keys, names := map[string]bool{}, map[string]bool{}
	for _, r := range runs {
		for k := range r.Setting {
			keys[k] = true
		}
		for n := range r.Figures {
			names[n] = true
		}
	}
	keyNames, figureNames := sortedKeys(keys), sortedKeys(names)
	writer := csv.NewWriter(out)
	writer.Write(append(append(slices.Clone(keyNames), "rules_kept", "version", "form"), figureNames...))
	for _, r := range runs {
		var row []string
		for _, k := range keyNames {
			row = append(row, r.Setting[k])
		}
		row = append(row, strconv.FormatBool(r.RulesKept), r.Version, r.Form)
		for _, n := range figureNames {
			row = append(row, strconv.FormatFloat(r.Figures[n], 'g', -1, 64))
		}
		writer.Write(row)
	}
	writer.Flush()
	return writer.Error()
}

func sortedKeys(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Difference compares one value of a key with the reference value, all other settings equal.
type Difference struct {
	Setting          Setting // the settings that are equal
	Reference, Value string
	Medians          [2]float64
	Significant      bool // beyond the noise of the repeats
}

// Compare compares each value of a key with a reference: "module" if it is among the values, otherwise the first.
// Runs are paired by repeat, that is by seed. A difference is significant if its mean is more than twice its
// standard error, over at least three pairs.
func Compare(runs []Run, key, figure string) ([]Difference, error) {
	groups := map[string]map[string]Group{}
	var values, order []string
	for _, g := range Groups(runs) {
		value, ok := g.Setting[key]
		if !ok {
			return nil, fmt.Errorf("compare runs: the experiment does not vary %q", key)
		}
		rest := withoutKey(g.Setting, key).String()
		if groups[rest] == nil {
			groups[rest] = map[string]Group{}
			order = append(order, rest)
		}
		groups[rest][value] = g
		if !slices.Contains(values, value) {
			values = append(values, value)
		}
	}
	if i := slices.Index(values, "module"); i > 0 {
		values[0], values[i] = values[i], values[0]
	}
	var out []Difference
	for _, rest := range order {
		reference, ok := groups[rest][values[0]]
		if !ok {
			continue
		}
		for _, value := range values[1:] {
			other, ok := groups[rest][value]
			if !ok {
				continue
			}
			out = append(out, Difference{withoutKey(reference.Setting, key), values[0], value,
				[2]float64{median(reference.Values(figure)), median(other.Values(figure))}, significant(reference, other, figure)})
		}
	}
	return out, nil
}

func significant(a, b Group, figure string) bool {
	var diffs []float64
	for _, runA := range a.Runs {
		for _, runB := range b.Runs {
			if runA.Setting["repeat"] == runB.Setting["repeat"] {
				diffs = append(diffs, runB.Figures[figure]-runA.Figures[figure])
			}
		}
	}
	if len(diffs) < 3 {
		return false
	}
	mean, sd := stat.MeanStdDev(diffs, nil)
	return math.Abs(mean) > 2*sd/math.Sqrt(float64(len(diffs)))
}

// Chart draws medians with their spread over a numeric key, with one line for each value of another key. The
// extension of the file gives the format: png or svg.
func Chart(runs []Run, x, figure, lines, file, title string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, x, figure
	chart.Legend.Top = true
	byLine := map[string][]Group{}
	var order []string
	for _, group := range Groups(runs) {
		name := group.Setting[lines]
		if _, ok := byLine[name]; !ok {
			order = append(order, name)
		}
		byLine[name] = append(byLine[name], group)
	}
	for i, name := range order {
		var medians plotter.XYs
		var spreads plotter.YErrors
		for _, group := range byLine[name] {
			position, err := strconv.ParseFloat(group.Setting[x], 64)
			if err != nil {
				return fmt.Errorf("draw chart: %s is %q, not a number", x, group.Setting[x])
			}
			values := group.Values(figure)
			if len(values) == 0 {
				return fmt.Errorf("draw chart: the runs have no figure %q", figure)
			}
			middle := median(values)
			medians = append(medians, plotter.XY{X: position, Y: middle})
			spreads = append(spreads, struct{ Low, High float64 }{middle - values[0], values[len(values)-1] - middle})
		}
		line, points, err := plotter.NewLinePoints(medians)
		if err != nil {
			return err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		bars, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{medians, spreads})
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		chart.Add(line, points, bars)
		if name != "" {
			chart.Legend.Add(name, line, points)
		}
	}
	chart.Add(plotter.NewGrid())
	return chart.Save(18*vg.Centimeter, 11*vg.Centimeter, file)
}

// TimeChart draws a figure, share or tries, over the seconds of a run, with one line for each value of a key: the
// mean of its runs.
func TimeChart(runs []Run, figure, lines, file, title string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, "second of the day", figure
	sums, counts := map[string][]float64{}, map[string]float64{}
	var order []string
	for _, run := range runs {
		name, series := run.Setting[lines], run.OnTimeShare
		if figure == "tries" {
			series = run.Tries
		}
		if counts[name] == 0 {
			order = append(order, name)
		}
		counts[name]++
		for i, x := range series {
			if i >= len(sums[name]) {
				sums[name] = append(sums[name], 0)
			}
			sums[name][i] += x
		}
	}
	slices.SortFunc(order, compareNatural)
	for i, name := range order {
		var points plotter.XYs
		for second, x := range sums[name] {
			points = append(points, plotter.XY{X: float64(second), Y: x / counts[name]})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		chart.Add(line)
		chart.Legend.Add(name, line)
	}
	chart.Add(plotter.NewGrid())
	return chart.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}
