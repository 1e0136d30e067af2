// Package measure finds what one dispatcher process costs and adds to latency: it sends requests at fixed rates
// through the dispatcher to idle test backends, sends the same calls to the backends directly, and holds many streams
// open. It applies no pass or fail criteria and no test depends on it. Begin with Run.
package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pelletier/go-toml/v2"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/procstat"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Plan says what to measure.
type Plan struct {
	Rates        []int    // requests per second, one rate after the other
	Seconds      float64  // at each rate, once directly and once through the dispatcher
	Streams      int      // open at once
	ServeCommand []string // starts a dispatcher when the path of its configuration is appended
	Logf         func(format string, args ...any)
}

// Row holds the results at one rate. Latencies are from the time a request was due to its first token.
type Row struct {
	Rate                int     `json:"questions_a_second"`
	AnsweredPerSecond   float64 `json:"held_a_second"`
	Failed              int64   `json:"failed"`
	DirectP50           float64 `json:"direct_p50_ms"`
	DirectP99           float64 `json:"direct_p99_ms"`
	ThroughP50          float64 `json:"through_p50_ms"`
	ThroughP99          float64 `json:"through_p99_ms"`
	Cores               float64 `json:"cores"` // mean CPU use of the dispatcher process
	CPUMicrosPerRequest float64 `json:"cpu_us_a_question"`
}

// Report holds the results of a run.
type Report struct {
	Rows       []Row   `json:"rates"`
	Streams    int     `json:"streams"`
	IdleMiB    float64 `json:"idle_mib"`         // resident memory of the dispatcher process before the first rate
	StreamsMiB float64 `json:"with_streams_mib"` // its resident memory while the streams are open
}

// testbed is a dispatcher process with one prefill and one decode backend.
type testbed struct {
	plan           Plan
	fleet          *fakes.Fleet
	recorder       *record.Recorder
	model          string
	prefillAddr    string
	decodeAddr     string
	dispatcherAddr string
	cmd            *exec.Cmd
	http           *http.Client
	lastRequest    atomic.Uint64 // number of the last request
}

// Run starts a dispatcher with its backends and measures it at each rate of the plan, then with open streams.
func Run(ctx context.Context, plan Plan) (report Report, err error) {
	dir, err := os.MkdirTemp("", "sloetrestle-measure-")
	if err != nil {
		return report, err
	}
	defer os.RemoveAll(dir)
	bed := &testbed{plan: plan, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	stop, err := bed.start(ctx, dir)
	if err != nil {
		return report, err
	}
	defer stop()
	bed.runAtRate(ctx, 50, 2, bed.viaDispatcher) // warms up connections and code
	report.IdleMiB = bed.residentMiB()
	for _, rate := range plan.Rates {
		direct, _, _ := bed.runAtRate(ctx, rate, plan.Seconds, bed.direct)
		cpu := bed.cpuSeconds()
		start := time.Now()
		through, done, failed := bed.runAtRate(ctx, rate, plan.Seconds, bed.viaDispatcher)
		elapsed := time.Since(start).Seconds()
		cpu = bed.cpuSeconds() - cpu
		ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		row := Row{
			Rate: rate, AnsweredPerSecond: float64(done) / plan.Seconds, Failed: failed,
			DirectP50: ms(direct, 50), DirectP99: ms(direct, 99), ThroughP50: ms(through, 50), ThroughP99: ms(through, 99),
			Cores: cpu / elapsed, CPUMicrosPerRequest: cpu * 1e6 / float64(max(done, 1)),
		}
		report.Rows = append(report.Rows, row)
		plan.Logf("%5d a second: answered %.0f, failed %d; first token direct p50 %.2f p99 %.2f ms, "+
			"through the dispatcher p50 %.2f p99 %.2f ms; %.2f cores, %.0f us per request",
			rate, row.AnsweredPerSecond, failed, row.DirectP50, row.DirectP99, row.ThroughP50, row.ThroughP99,
			row.Cores, row.CPUMicrosPerRequest)
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
	}
	report.Streams = plan.Streams
	report.StreamsMiB = bed.memoryWithStreams(ctx, plan.Streams)
	plan.Logf("resident memory %.0f MiB idle, %.0f MiB with %d open streams",
		report.IdleMiB, report.StreamsMiB, report.Streams)
	return report, nil
}

// start starts two idle backends, service discovery and a dispatcher process, and returns once the dispatcher is ready.
func (bed *testbed) start(ctx context.Context, dir string) (stop func(), err error) {
	config := setup.DefaultDispatcherConfig()
	config.Classes = []setup.Class{{
		Name: "measured", Effect: "idempotent", LatencyTarget: setup.Duration(time.Second),
		Deadline: setup.Duration(10 * time.Second),
		Value:    1, DefaultMaxTokens: 8,
	}}
	config.BackendKinds = []setup.BackendKind{
		{Name: "reader", Role: "reader", MemoryTokens: 1 << 30},
		{Name: "writer", Role: "writer", MemoryTokens: 1 << 30},
	}
	config.Limits.DecodeCanPrefill, config.Limits.MaxConnsPerBackend = false, 4096
	bed.model = config.Model
	if bed.recorder, err = record.Open("", record.Header{}); err != nil {
		return nil, err
	}
	bed.fleet = fakes.NewFleet(config.Deployment, bed.recorder,
		fakes.Links{SameRack: 1e12, CrossRack: 1e12, ZoneFactor: 1},
		map[string]fakes.ClassProfile{"measured": {NewTokens: 1, AnswerTokens: 8}})
	var addrs []string // of service discovery, the prefill backend, the decode backend and the dispatcher
	for range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addrs = append(addrs, listener.Addr().String())
		listener.Close()
	}
	discovery := bed.fleet.NewDiscovery(addrs[0])
	if err := discovery.Start(); err != nil {
		return nil, err
	}
	var backends []*fakes.Backend
	for i, kind := range []string{"reader", "writer"} {
		backend := bed.fleet.NewBackend(fakes.Config{
			Name: kind + "-1", Kind: kind, Zone: "here", Rack: "r", Units: 1, Engine: fakes.InstantEngine,
			Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: addrs[1+i]}},
		})
		if err := backend.Boot(false); err != nil {
			return nil, err
		}
		discovery.Publish(backend, endpointlist.Ready, 0)
		backends = append(backends, backend)
	}
	bed.prefillAddr, bed.decodeAddr, bed.dispatcherAddr = addrs[1], addrs[2], addrs[3]
	config.Instance.Listen, config.Instance.DiscoveryAddr = []string{bed.dispatcherAddr}, addrs[0]
	raw, err := toml.Marshal(config)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "dispatcher.toml")
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return nil, err
	}
	bed.cmd = exec.Command(bed.plan.ServeCommand[0], append(append([]string(nil), bed.plan.ServeCommand[1:]...), file)...)
	bed.cmd.Stderr = os.Stderr
	bed.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := bed.cmd.Start(); err != nil {
		return nil, err
	}
	stop = func() {
		bed.cmd.Process.Signal(syscall.SIGTERM)
		bed.cmd.Wait()
		for _, backend := range backends {
			backend.Kill("end")
		}
		discovery.Stop()
		bed.fleet.Close()
		bed.http.CloseIdleConnections()
	}
	for range 500 {
		resp, err := bed.http.Get("http://" + bed.dispatcherAddr + "/v2/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return stop, nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	return nil, fmt.Errorf("the dispatcher at %s was not ready within 5 s", bed.dispatcherAddr)
}

// runAtRate calls send at a steady rate for the given seconds, without waiting for earlier calls, and then waits for
// all of them. send returns the time of the first token. Of the calls without an error (done), latencies holds the
// time from when each was due to its first token, in µs; one above the histogram's range is counted as done but not
// recorded. The end of the context stops further calls.
func (bed *testbed) runAtRate(
	ctx context.Context, perSecond int, seconds float64, send func(context.Context) (time.Time, error),
) (latencies *hdrhistogram.Histogram, done, failed int64) {
	latencies = hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	n := int(float64(perSecond) * seconds)
	start := time.Now()
	for i := range n {
		dueAt := start.Add(time.Duration(float64(i) / float64(perSecond) * float64(time.Second)))
		if wait := time.Until(dueAt); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			firstToken, err := send(ctx)
			latency := firstToken.Sub(dueAt)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			done++
			latencies.RecordValue(max(latency.Microseconds(), 1))
		}()
	}
	inFlight.Wait()
	return latencies, done, failed
}

// readFirstToken reads a stream to its end and returns the time of its first event. A stream without an end event is
// an error.
func readFirstToken(resp *http.Response, err error) (firstToken time.Time, _ error) {
	if err != nil {
		return firstToken, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return firstToken, fmt.Errorf("%s", resp.Status)
	}
	events := kserve.NewEventReader(resp.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return firstToken, err
		}
		if firstToken.IsZero() {
			firstToken = time.Now()
		}
		if event.Name == "end" {
			return firstToken, nil
		}
	}
}

// requestBody returns a new request for maxTokens tokens in one of 997 sessions.
func (bed *testbed) requestBody(maxTokens int) []byte {
	id := bed.lastRequest.Add(1)
	raw, err := json.Marshal(kserve.GenerateRequest{ID: fmt.Sprint("m", id), Parameters: kserve.Params{
		"prompt_tokens": 800, "max_tokens": maxTokens, "session": fmt.Sprint("s", id%997),
	}})
	if err != nil {
		panic(err)
	}
	return raw
}

// viaDispatcher sends one request to the dispatcher and returns the time of its first token.
func (bed *testbed) viaDispatcher(ctx context.Context) (time.Time, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+bed.dispatcherAddr+"/v2/models/"+bed.model+"/generate_stream", bytes.NewReader(bed.requestBody(8)))
	if err != nil {
		return time.Time{}, err
	}
	return readFirstToken(bed.http.Do(req))
}

// direct sends the prefill and the decode attempt of one request to the backends and returns the time of its first
// token.
func (bed *testbed) direct(ctx context.Context) (time.Time, error) {
	id := bed.lastRequest.Add(1)
	attempt := kserve.AttemptParams{
		Phase: kserve.PhasePrefill, DispatcherEpoch: "direct.1", RequestNumber: id, DedupKey: fmt.Sprint("m", id),
		Class:        "measured",
		PromptTokens: 800, MaxTokens: 8,
	}
	req, err := kserve.NewAttemptRequest(ctx, "http://"+bed.prefillAddr, bed.model, "", attempt)
	if err != nil {
		return time.Time{}, err
	}
	resp, err := bed.http.Do(req)
	if err != nil {
		return time.Time{}, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	attempt.Phase, attempt.Attempt, attempt.PrefillBackend, attempt.KVCacheAddresses =
		kserve.PhaseDecode, 1, "reader-1", []string{"tcp4:" + bed.prefillAddr}
	if req, err = kserve.NewAttemptRequest(ctx, "http://"+bed.decodeAddr, bed.model, "", attempt); err != nil {
		return time.Time{}, err
	}
	return readFirstToken(bed.http.Do(req))
}

// memoryWithStreams holds n streams open and returns the resident memory of the dispatcher process meanwhile, in MiB.
func (bed *testbed) memoryWithStreams(ctx context.Context, n int) float64 {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams sync.WaitGroup
	var open atomic.Int64
	for i := range n {
		streams.Add(1)
		time.Sleep(2 * time.Millisecond)
		go func() {
			defer streams.Done()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost,
				"http://"+bed.dispatcherAddr+"/v2/models/"+bed.model+"/generate_stream", bytes.NewReader(bed.requestBody(8)))
			if err != nil {
				return
			}
			resp, err := bed.http.Do(req)
			if err != nil {
				return
			}
			open.Add(1)
			// The body is not read, which keeps the stream open until all streams have been counted.
			<-ctx.Done()
			resp.Body.Close()
		}()
		if i == 0 {
			bed.fleet.HoldAnswers(true)
			defer bed.fleet.HoldAnswers(false)
		}
	}
	for range 500 {
		if open.Load() == int64(n) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	bed.plan.Logf("%d of %d streams are open", open.Load(), n)
	memory := bed.residentMiB()
	cancel()
	bed.fleet.HoldAnswers(false)
	streams.Wait()
	return memory
}

// cpuSeconds returns the CPU time that the dispatcher process has used, in seconds; 0 where it cannot be read.
func (bed *testbed) cpuSeconds() float64 {
	used, err := procstat.ProcessorTime(bed.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return used.Seconds()
}

// residentMiB returns the resident memory of the dispatcher process, in MiB; 0 where it cannot be read.
func (bed *testbed) residentMiB() float64 {
	return float64(procstat.ResidentMemory(bed.cmd.Process.Pid)) / 1024
}
