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

// Group is the runs that differ in nothing but the repeat.
type Group struct {
	Setting Setting
	Runs    []Run
}

// Groups gathers repeats.
func Groups(runs []Run) []Group {
	by := map[string]*Group{}
	var order []string
	for _, r := range runs {
		s := without(r.Setting, "repeat")
		key := s.String()
		if by[key] == nil {
			by[key] = &Group{Setting: s}
			order = append(order, key)
		}
		by[key].Runs = append(by[key].Runs, r)
	}
	slices.SortFunc(order, natural)
	out := make([]Group, len(order))
	for i, k := range order {
		out[i] = *by[k]
	}
	return out
}

func without(s Setting, key string) Setting {
	t := Setting{}
	for k, v := range s {
		if k != key {
			t[k] = v
		}
	}
	return t
}

// natural orders settings with numbers in them as numbers.
func natural(a, b string) int {
	x, y := strings.Fields(a), strings.Fields(b)
	for i := range min(len(x), len(y)) {
		if x[i] == y[i] {
			continue
		}
		ka, va, _ := strings.Cut(x[i], "=")
		kb, vb, _ := strings.Cut(y[i], "=")
		na, ea := strconv.ParseFloat(va, 64)
		nb, eb := strconv.ParseFloat(vb, 64)
		if ka == kb && ea == nil && eb == nil && na != nb {
			if na < nb {
				return -1
			}
			return 1
		}
		return strings.Compare(x[i], y[i])
	}
	return len(x) - len(y)
}

// Values lists a figure's values of a group, in order.
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

// Table writes medians with their spread, from the least to the most.
func Table(out io.Writer, runs []Run, names []string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "setting\truns\trules\t%s\n", strings.Join(names, "\t"))
	for _, g := range Groups(runs) {
		kept := "kept"
		for _, r := range g.Runs {
			if !r.Kept {
				kept = "BROKEN"
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%s", g.Setting, len(g.Runs), kept)
		for _, n := range names {
			v := g.Values(n)
			if len(v) == 0 {
				fmt.Fprint(w, "\t-")
				continue
			}
			fmt.Fprintf(w, "\t%s (%s to %s)", short(median(v)), short(v[0]), short(v[len(v)-1]))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func short(x float64) string {
	if math.Abs(x) >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'f', 3, 64)
}

// CSV writes all runs, one a line.
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
	ks, ns := sortedKeys(keys), sortedKeys(names)
	w := csv.NewWriter(out)
	w.Write(append(append(slices.Clone(ks), "rules_kept", "version", "form"), ns...))
	for _, r := range runs {
		var row []string
		for _, k := range ks {
			row = append(row, r.Setting[k])
		}
		row = append(row, strconv.FormatBool(r.Kept), r.Version, r.Form)
		for _, n := range ns {
			row = append(row, strconv.FormatFloat(r.Figures[n], 'g', -1, 64))
		}
		w.Write(row)
	}
	w.Flush()
	return w.Error()
}

func sortedKeys(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Difference is how one value of a key does against another, all else alike.
type Difference struct {
	Setting          Setting // what is alike
	Reference, Value string
	Medians          [2]float64
	Significant      bool // the noise of the repeats
}

// Compare sets each value of a key beside the first one. A difference is beyond the noise if it is more than twice the
// standard error of the two groups' means, and each has three runs at least; of seeds that are paired, their
// differences' error counts.
func Compare(runs []Run, key, figure string) ([]Difference, error) {
	by := map[string]map[string]Group{}
	var values, order []string
	for _, g := range Groups(runs) {
		v, ok := g.Setting[key]
		if !ok {
			return nil, fmt.Errorf("the experiment does not vary %q", key)
		}
		rest := without(g.Setting, key).String()
		if by[rest] == nil {
			by[rest] = map[string]Group{}
			order = append(order, rest)
		}
		by[rest][v] = g
		if !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	if i := slices.Index(values, "module"); i > 0 {
		values[0], values[i] = values[i], values[0]
	}
	var out []Difference
	for _, rest := range order {
		a, ok := by[rest][values[0]]
		if !ok {
			continue
		}
		for _, v := range values[1:] {
			b, ok := by[rest][v]
			if !ok {
				continue
			}
			out = append(out, Difference{without(a.Setting, key), values[0], v, [2]float64{median(a.Values(figure)), median(b.Values(figure))}, beyond(a, b, figure)})
		}
	}
	return out, nil
}

func beyond(a, b Group, figure string) bool {
	var diffs []float64
	for _, x := range a.Runs {
		for _, y := range b.Runs {
			if x.Setting["repeat"] == y.Setting["repeat"] {
				diffs = append(diffs, y.Figures[figure]-x.Figures[figure])
			}
		}
	}
	if len(diffs) < 3 {
		return false
	}
	mean, sd := stat.MeanStdDev(diffs, nil)
	return math.Abs(mean) > 2*sd/math.Sqrt(float64(len(diffs)))
}

// Chart draws medians with their spread over a key with numbers, a line for each value of another. The file's ending says
// which form: png or svg.
func Chart(runs []Run, x, figure, lines, file, title string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, figure
	p.Legend.Top = true
	byLine := map[string][]Group{}
	var order []string
	for _, g := range Groups(runs) {
		name := g.Setting[lines]
		if _, ok := byLine[name]; !ok {
			order = append(order, name)
		}
		byLine[name] = append(byLine[name], g)
	}
	for i, name := range order {
		var pts plotter.XYs
		var errs plotter.YErrors
		for _, g := range byLine[name] {
			at, err := strconv.ParseFloat(g.Setting[x], 64)
			if err != nil {
				return fmt.Errorf("%s is %q, which is no number to draw over", x, g.Setting[x])
			}
			v := g.Values(figure)
			if len(v) == 0 {
				return fmt.Errorf("the runs have no figure %q", figure)
			}
			m := median(v)
			pts = append(pts, plotter.XY{X: at, Y: m})
			errs = append(errs, struct{ Low, High float64 }{m - v[0], v[len(v)-1] - m})
		}
		line, points, err := plotter.NewLinePoints(pts)
		if err != nil {
			return err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		bars, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{pts, errs})
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		p.Add(line, points, bars)
		if name != "" {
			p.Legend.Add(name, line, points)
		}
	}
	p.Add(plotter.NewGrid())
	return p.Save(18*vg.Centimeter, 11*vg.Centimeter, file)
}

// Over draws a figure over the seconds of a run: share, or tries; a line for each value of a key, the mean of its runs.
func TimeChart(runs []Run, of, lines, file, title string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "second of the day", of
	sums, counts := map[string][]float64{}, map[string]float64{}
	var order []string
	for _, r := range runs {
		name, v := r.Setting[lines], r.Share
		if of == "tries" {
			v = r.Tries
		}
		if counts[name] == 0 {
			order = append(order, name)
		}
		counts[name]++
		for i, x := range v {
			if i >= len(sums[name]) {
				sums[name] = append(sums[name], 0)
			}
			sums[name][i] += x
		}
	}
	slices.SortFunc(order, natural)
	for i, name := range order {
		var pts plotter.XYs
		for at, x := range sums[name] {
			pts = append(pts, plotter.XY{X: float64(at), Y: x / counts[name]})
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Add(plotter.NewGrid())
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}
