// Package load sends requests to running dispatchers open loop: arrivals are planned ahead or read from a trace and
// never wait for answers, and latencies count from the time a request was due, so that a slow dispatcher cannot look
// better by receiving fewer requests. It counts results and applies no pass or fail criteria. Begin with Run.
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

	"sloetrestle/internal/fakes"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Arrival is one request of a trace: a row of a CSV file or a line of a JSON lines file.
type Arrival struct {
	AtMs         float64 `json:"at_ms"` // since the start of the run
	Class        string  `json:"grade"` // the first configured class where it is empty
	Tokens       int     `json:"tokens"`
	PrefixID     string  `json:"shared"`        // requests with the same one share a prefix
	PrefixTokens int     `json:"shared_tokens"` // length of the shared prefix
	Session      string  `json:"session"`
	MaxTokens    int     `json:"max_tokens"` // 0: the limit of the class
	Tenant       string  `json:"channel"`
}

const (
	maxTraceLineBytes = 64 << 10  // of a line of JSON
	maxArrivals       = 2_000_000 // of a trace
)

// ReadTrace reads arrivals from a CSV file with a header row (name ending in .csv) or from JSON lines (any other
// name) and returns them in order of time; the file need not be sorted. Errors give the line or the arrival that is
// malformed.
func ReadTrace(file string, terms setup.Deployment) ([]fakes.Request, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer input.Close()
	var arrivals []Arrival
	if strings.HasSuffix(file, ".csv") {
		arrivals, err = readCSV(input)
	} else {
		arrivals, err = readJSONLines(input)
	}
	if err != nil {
		return nil, fmt.Errorf("%s:%w", file, err)
	}
	requests := make([]fakes.Request, len(arrivals))
	for i, arrival := range arrivals {
		n := max(terms.ClassIndex(arrival.Class), 0)
		if arrival.Class != "" && terms.ClassIndex(arrival.Class) < 0 {
			return nil, fmt.Errorf("%s: arrival %d: class %q is not configured", file, i+1, arrival.Class)
		}
		if arrival.AtMs < 0 || arrival.Tokens < 1 || arrival.PrefixTokens < 0 || arrival.PrefixTokens > arrival.Tokens ||
			arrival.MaxTokens < 0 {
			return nil, fmt.Errorf("%s: arrival %d: time or token counts out of range: %+v", file, i+1, arrival)
		}
		class := terms.Classes[n]
		kiloTokens := float64(arrival.Tokens) / 1000
		request := fakes.Request{
			SubmitAt: time.Duration(arrival.AtMs * float64(time.Millisecond)), Name: fmt.Sprint("t", i), Class: class.Name,
			Tenant: arrival.Tenant, Session: arrival.Session, PrefixID: arrival.PrefixID, PrefixTokens: arrival.PrefixTokens,
			PromptTokens: arrival.Tokens, MaxTokens: arrival.MaxTokens,
			LatencyTarget: class.LatencyTarget.Std() + time.Duration(kiloTokens*float64(class.TargetPer1000Tokens)),
			Deadline:      class.Deadline.Std() + 2*time.Duration(kiloTokens*float64(class.TargetPer1000Tokens)),
			PatienceShare: 1, Idempotent: class.Effect == "idempotent",
		}
		if request.MaxTokens == 0 {
			request.MaxTokens = class.DefaultMaxTokens
		}
		requests[i] = request
	}
	slices.SortStableFunc(requests, func(arrival, b fakes.Request) int { return int(arrival.SubmitAt - b.SubmitAt) })
	return requests, nil
}

// readCSV reads a trace with a header row. Errors begin with the number of the line.
func readCSV(r io.Reader) ([]Arrival, error) {
	rows := csv.NewReader(r)
	rows.ReuseRecord = true
	header, err := rows.Read()
	if err != nil {
		return nil, fmt.Errorf("1: no header: %w", err)
	}
	columns := slices.Clone(header)
	for _, column := range columns {
		if !slices.Contains([]string{
			"at_ms", "grade", "tokens", "shared", "shared_tokens", "session", "max_tokens", "channel",
		}, column) {
			return nil, fmt.Errorf("1: column %q is unknown", column)
		}
	}
	var arrivals []Arrival
	for line := 2; ; line++ {
		row, err := rows.Read()
		if err == io.EOF {
			return arrivals, nil
		}
		if err != nil || len(arrivals) >= maxArrivals {
			return nil, fmt.Errorf("%d: %v (at most %d arrivals)", line, err, maxArrivals)
		}
		var arrival Arrival
		for i, column := range columns {
			var parseErr error
			switch column {
			case "at_ms":
				arrival.AtMs, parseErr = strconv.ParseFloat(row[i], 64)
			case "tokens":
				arrival.Tokens, parseErr = strconv.Atoi(row[i])
			case "shared_tokens":
				arrival.PrefixTokens, parseErr = strconv.Atoi(row[i])
			case "max_tokens":
				arrival.MaxTokens, parseErr = strconv.Atoi(row[i])
			case "grade":
				arrival.Class = strings.Clone(row[i])
			case "shared":
				arrival.PrefixID = strings.Clone(row[i])
			case "session":
				arrival.Session = strings.Clone(row[i])
			case "channel":
				arrival.Tenant = strings.Clone(row[i])
			}
			if parseErr != nil {
				return nil, fmt.Errorf("%d: %s: %q is not a number", line, column, row[i])
			}
		}
		arrivals = append(arrivals, arrival)
	}
}

// readJSONLines reads a trace of one JSON object per line and skips empty lines. Errors begin with the number of the
// line.
func readJSONLines(r io.Reader) ([]Arrival, error) {
	var arrivals []Arrival
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxTraceLineBytes)
	for line := 1; lines.Scan(); line++ {
		if len(strings.TrimSpace(lines.Text())) == 0 {
			continue
		}
		var a Arrival
		decoder := json.NewDecoder(strings.NewReader(lines.Text()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&a); err != nil {
			return nil, fmt.Errorf("%d: %w", line, err)
		}
		if arrivals = append(arrivals, a); len(arrivals) > maxArrivals {
			return nil, fmt.Errorf("%d: more than %d arrivals", line, maxArrivals)
		}
	}
	return arrivals, lines.Err()
}

// Stats counts the results of one priority class, or of all classes under the name "all".
type Stats struct {
	Class             string                  `json:"Grade"`
	Sent              int                     `json:"Asked"` // requests, without their retries
	Served            int                     `json:"Satisfied"`
	InTime            int                     // first token within the latency target
	Rejected          int                     `json:"Declined"`
	Failed            int                     `json:"Forfeited"`
	Cut               int                     // the connection broke, or none could be made, before the final answer
	Abandoned         int                     `json:"Quit"` // the client left before any answer
	P50, P90, P99     float64                 // ms from the due time to the first token
	Max               float64                 `json:"Most"` // ms from the due time to the first token
	firstTokenLatency *hdrhistogram.Histogram // in µs
}

// Run sends requests to dispatchers at addresses, each when it is due, and returns the results sorted by class, with
// those of all classes under "all". It calls logf with the progress each second. Where ctx ends first it returns the
// results so far and the error of ctx.
func Run(
	ctx context.Context, model string, addresses []string, requests []fakes.Request, logf func(string, ...any),
) ([]Stats, error) {
	if len(addresses) == 0 || len(requests) == 0 {
		return nil, fmt.Errorf("load needs at least one dispatcher and one request, got %d addresses and %d requests",
			len(addresses), len(requests))
	}
	recorder, err := record.Open("", record.Header{})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	dueAt, latencyTarget := map[string]time.Duration{}, map[string]time.Duration{}
	byClass := map[string]*Stats{}
	statsOf := func(class string) *Stats {
		if byClass[class] == nil {
			byClass[class] = &Stats{Class: class, firstTokenLatency: hdrhistogram.New(1, 600_000_000, 3)}
		}
		return byClass[class]
	}
	for _, request := range requests {
		latencyTarget[request.Name] = request.LatencyTarget
		statsOf(request.Class)
	}
	statsOf("all")
	start := time.Now()
	open := 0
	recorder.OnEvent = func(line record.Event) {
		mu.Lock()
		defer mu.Unlock()
		for _, stats := range []*Stats{statsOf(line.Class), statsOf("all")} {
			switch {
			case line.Kind == record.RequestSent && strings.HasSuffix(line.Try, ".0"):
				stats.Sent++
			case line.Kind == record.FirstToken:
				latency := time.Since(start) - dueAt[line.Request]
				stats.firstTokenLatency.RecordValue(max(latency.Microseconds(), 1))
				if latency <= latencyTarget[line.Request] {
					stats.InTime++
				}
			case line.Kind == record.FinalAnswer && line.Detail == "satisfied":
				stats.Served++
			case line.Kind == record.FinalAnswer && line.Detail == "declined":
				stats.Rejected++
			case line.Kind == record.FinalAnswer:
				stats.Failed++
			case line.Kind == record.ConnectionLost:
				stats.Cut++
			case line.Kind == record.ClientLeft:
				stats.Abandoned++
			}
		}
	}
	clients := fakes.NewClients(recorder, model, func(seed uint64) (string, string) {
		address := addresses[seed%uint64(len(addresses))]
		return address, address
	})
	defer clients.Close()
	stop := make(chan struct{})
	var progress sync.WaitGroup
	progress.Add(1)
	go func() {
		defer progress.Done()
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				mu.Lock()
				all := statsOf("all")
				logf("%4.0f s  asked %6d  satisfied %6d  declined %5d  forfeited %4d  cut %4d  open %5d  "+
					"first token p50 %.0f p99 %.0f ms",
					time.Since(start).Seconds(), all.Sent, all.Served, all.Rejected, all.Failed, all.Cut, open,
					float64(all.firstTokenLatency.ValueAtQuantile(50))/1000, float64(all.firstTokenLatency.ValueAtQuantile(99))/1000)
				mu.Unlock()
			}
		}
	}()
	var inFlight sync.WaitGroup
	for _, request := range requests {
		if wait := request.SubmitAt - time.Since(start); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		mu.Lock()
		dueAt[request.Name] = request.SubmitAt
		open++
		mu.Unlock()
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			clients.Submit(ctx, request)
			mu.Lock()
			open--
			mu.Unlock()
		}()
	}
	inFlight.Wait()
	close(stop)
	progress.Wait()
	var results []Stats
	for _, stats := range byClass {
		ms := func(q float64) float64 { return float64(stats.firstTokenLatency.ValueAtQuantile(q)) / 1000 }
		stats.P50, stats.P90, stats.P99, stats.Max = ms(50), ms(90), ms(99), float64(stats.firstTokenLatency.Max())/1000
		results = append(results, *stats)
	}
	slices.SortFunc(results, func(a, b Stats) int { return strings.Compare(a.Class, b.Class) })
	return results, ctx.Err()
}
