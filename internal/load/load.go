// Package load asks a running dispatcher open loop: arrivals are drawn ahead or read from a trace and never wait for
// answers, and times count from when a question was due, so that a slow dispatcher can't hide by being asked less. It
// judges nothing. Begin with Run.
package load

import (
	"bufio"
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// Arrival is one line of a trace.
type Arrival struct {
	AtMs         float64 `json:"at_ms"`
	Class        string  `json:"grade"`
	Tokens       int     `json:"tokens"`
	PrefixID     string  `json:"shared"`
	PrefixTokens int     `json:"shared_tokens"`
	Session      string  `json:"session"`
	MaxTokens    int     `json:"max_tokens"`
	Tenant       string  `json:"channel"`
}

// mostLine bounds a line of a trace, and mostArrivals a trace.
const (
	maxTraceLineBytes = 64 << 10
	maxArrivals       = 2_000_000
)

// ReadTrace reads arrivals from CSV with a header, or from JSON lines; the file's ending says which. Times need not be in
// order. What is wrong is named with its line.
func ReadTrace(file string, terms setup.Deployment) ([]standin.Request, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []Arrival
	if strings.HasSuffix(file, ".csv") {
		all, err = readCSV(f)
	} else {
		all, err = readJSONLines(f)
	}
	if err != nil {
		return nil, fmt.Errorf("%s:%w", file, err)
	}
	wishes := make([]standin.Request, len(all))
	for i, a := range all {
		n := max(terms.ClassIndex(a.Class), 0)
		if a.Class != "" && terms.ClassIndex(a.Class) < 0 {
			return nil, fmt.Errorf("%s: arrival %d: grade %q is unknown", file, i+1, a.Class)
		}
		if a.AtMs < 0 || a.Tokens < 1 || a.PrefixTokens < 0 || a.PrefixTokens > a.Tokens || a.MaxTokens < 0 {
			return nil, fmt.Errorf("%s: arrival %d: senseless: %+v", file, i+1, a)
		}
		g := terms.Classes[n]
		k := float64(a.Tokens) / 1000
		w := standin.Request{SubmitAt: time.Duration(a.AtMs * float64(time.Millisecond)), Name: fmt.Sprint("t", i), Class: g.Name, Tenant: a.Tenant, Session: a.Session,
			PrefixID: a.PrefixID, PrefixTokens: a.PrefixTokens, PromptTokens: a.Tokens, MaxTokens: a.MaxTokens, LatencyTarget: g.LatencyTarget.Std() + time.Duration(k*float64(g.TargetPer1000Tokens)),
			Deadline: g.Deadline.Std() + 2*time.Duration(k*float64(g.TargetPer1000Tokens)), PatienceShare: 1, Idempotent: g.Effect == "idempotent"}
		if w.MaxTokens == 0 {
			w.MaxTokens = g.DefaultMaxTokens
		}
		wishes[i] = w
	}
	slices.SortStableFunc(wishes, func(a, b standin.Request) int { return int(a.SubmitAt - b.SubmitAt) })
	return wishes, nil
}

func readCSV(r io.Reader) ([]Arrival, error) {
	in := csv.NewReader(r)
	in.ReuseRecord = true
	head, err := in.Read()
	if err != nil {
		return nil, fmt.Errorf("1: no header: %w", err)
	}
	names := slices.Clone(head)
	for _, n := range names {
		if !slices.Contains([]string{"at_ms", "grade", "tokens", "shared", "shared_tokens", "session", "max_tokens", "channel"}, n) {
			return nil, fmt.Errorf("1: column %q is unknown", n)
		}
	}
	var all []Arrival
	for line := 2; ; line++ {
		row, err := in.Read()
		if err == io.EOF {
			return all, nil
		}
		if err != nil || len(all) >= maxArrivals {
			return nil, fmt.Errorf("%d: %v (at most %d arrivals)", line, err, maxArrivals)
		}
		var a Arrival
		for i, n := range names {
			var bad error
			switch n {
			case "at_ms":
				a.AtMs, bad = strconv.ParseFloat(row[i], 64)
			case "tokens":
				a.Tokens, bad = strconv.Atoi(row[i])
			case "shared_tokens":
				a.PrefixTokens, bad = strconv.Atoi(row[i])
			case "max_tokens":
				a.MaxTokens, bad = strconv.Atoi(row[i])
			case "grade":
				a.Class = strings.Clone(row[i])
			case "shared":
				a.PrefixID = strings.Clone(row[i])
			case "session":
				a.Session = strings.Clone(row[i])
			case "channel":
				a.Tenant = strings.Clone(row[i])
			}
			if bad != nil {
				return nil, fmt.Errorf("%d: %s: %q is no number", line, n, row[i])
			}
		}
		all = append(all, a)
	}
}

func readJSONLines(r io.Reader) ([]Arrival, error) {
	var all []Arrival
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxTraceLineBytes)
	for line := 1; in.Scan(); line++ {
		if len(strings.TrimSpace(in.Text())) == 0 {
			continue
		}
		var a Arrival
		d := json.NewDecoder(strings.NewReader(in.Text()))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil {
			return nil, fmt.Errorf("%d: %w", line, err)
		}
		if all = append(all, a); len(all) > maxArrivals {
			return nil, fmt.Errorf("%d: more than %d arrivals", line, maxArrivals)
		}
	}
	return all, in.Err()
}

// Figures are what came of it, by grade and in all.
type Figures struct {
	Grade                                                    string
	Asked, Satisfied, InTime, Declined, Forfeited, Cut, Quit int
	P50, P90, P99, Most                                      float64 // ms from when it was due to the first token
	first                                                    *hdrhistogram.Histogram
}

// Run asks and reports; say is told of progress each second.
func Run(ctx context.Context, model string, to []string, wishes []standin.Request, say func(string, ...any)) ([]Figures, error) {
	if len(to) == 0 || len(wishes) == 0 {
		return nil, fmt.Errorf("there is nobody to ask, or nothing to ask for")
	}
	book, err := record.Open("", record.Header{})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	due, promise := map[string]time.Duration{}, map[string]time.Duration{}
	by := map[string]*Figures{}
	of := func(grade string) *Figures {
		if by[grade] == nil {
			by[grade] = &Figures{Grade: grade, first: hdrhistogram.New(1, 600_000_000, 3)}
		}
		return by[grade]
	}
	for _, w := range wishes {
		promise[w.Name] = w.LatencyTarget
		of(w.Class)
	}
	of("all")
	began := time.Now()
	open := 0
	book.OnEvent = func(l record.Event) {
		mu.Lock()
		defer mu.Unlock()
		for _, f := range []*Figures{of(l.Class), of("all")} {
			switch {
			case l.Kind == record.RequestSent && strings.HasSuffix(l.Try, ".0"):
				f.Asked++
			case l.Kind == record.FirstToken:
				took := time.Since(began) - due[l.Request]
				f.first.RecordValue(max(took.Microseconds(), 1))
				if took <= promise[l.Request] {
					f.InTime++
				}
			case l.Kind == record.FinalAnswer && l.Detail == "satisfied":
				f.Satisfied++
			case l.Kind == record.FinalAnswer && l.Detail == "declined":
				f.Declined++
			case l.Kind == record.FinalAnswer:
				f.Forfeited++
			case l.Kind == record.ConnectionLost:
				f.Cut++
			case l.Kind == record.ClientLeft:
				f.Quit++
			}
		}
	}
	clients := standin.NewClients(book, model, func(seed uint64) (string, string) { at := to[seed%uint64(len(to))]; return at, at })
	defer clients.Close()
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Add(1)
	go func() {
		defer watching.Done()
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				mu.Lock()
				f := of("all")
				say("%4.0f s  asked %6d  satisfied %6d  declined %5d  forfeited %4d  cut %4d  open %5d  first token p50 %.0f p99 %.0f ms", time.Since(began).Seconds(),
					f.Asked, f.Satisfied, f.Declined, f.Forfeited, f.Cut, open, float64(f.first.ValueAtQuantile(50))/1000, float64(f.first.ValueAtQuantile(99))/1000)
				mu.Unlock()
			}
		}
	}()
	var all sync.WaitGroup
	for _, w := range wishes {
		if wait := w.SubmitAt - time.Since(began); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		mu.Lock()
		due[w.Name] = w.SubmitAt
		open++
		mu.Unlock()
		all.Add(1)
		go func() {
			defer all.Done()
			clients.Submit(ctx, w)
			mu.Lock()
			open--
			mu.Unlock()
		}()
	}
	all.Wait()
	close(stop)
	watching.Wait()
	var out []Figures
	for _, f := range by {
		ms := func(q float64) float64 { return float64(f.first.ValueAtQuantile(q)) / 1000 }
		f.P50, f.P90, f.P99, f.Most = ms(50), ms(90), ms(99), float64(f.first.Max())/1000
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b Figures) int { return strings.Compare(a.Grade, b.Grade) })
	return out, ctx.Err()
}
