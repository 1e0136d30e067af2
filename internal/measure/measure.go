// Package measure finds what one dispatcher process costs and adds: questions at a stated rate through it to idle
// stand-ins, beside the same calls made directly, and many streams held open. It judges nothing and is no part of
// the tests; begin with Run.
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pelletier/go-toml/v2"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// Plan is what to measure.
type Plan struct {
	Rates        []int // questions a second, one after the other
	Seconds      float64
	Streams      int // held open at once
	ServeCommand []string
	Logf         func(format string, args ...any)
}

// Row is one rate's figures; times are to the first token.
type Row struct {
	Rate                int     `json:"questions_a_second"`
	AnsweredPerSecond   float64 `json:"held_a_second"` // answered, of those asked
	Failed              int64   `json:"failed"`
	DirectP50           float64 `json:"direct_p50_ms"`
	DirectP99           float64 `json:"direct_p99_ms"`
	ThroughP50          float64 `json:"through_p50_ms"`
	ThroughP99          float64 `json:"through_p99_ms"`
	Cores               float64 `json:"cores"` // of the dispatcher's process
	CPUMicrosPerRequest float64 `json:"cpu_us_a_question"`
}

// Figures are what came of it.
type Report struct {
	Rows       []Row   `json:"rates"`
	Streams    int     `json:"streams"`
	IdleMiB    float64 `json:"idle_mib"`
	StreamsMiB float64 `json:"with_streams_mib"`
}

type testbed struct {
	plan           Plan
	fleet          *standin.Fleet
	recorder       *record.Recorder
	model          string
	prefillAddr    string
	decodeAddr     string
	dispatcherAddr string
	cmd            *exec.Cmd
	http           *http.Client
	lastRequest    atomic.Uint64
}

// Run measures.
func Run(ctx context.Context, plan Plan) (f Report, err error) {
	dir, err := os.MkdirTemp("", "sloetrestle-measure-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	r := &testbed{plan: plan, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	stop, err := r.start(ctx, dir)
	if err != nil {
		return f, err
	}
	defer stop()
	r.runAtRate(ctx, 50, 2, r.viaDispatcher) // connections and code are warm
	f.IdleMiB = r.residentMiB()
	for _, rate := range plan.Rates {
		direct, _, _ := r.runAtRate(ctx, rate, plan.Seconds, r.direct)
		cpu := r.cpuSeconds()
		began := time.Now()
		through, done, failed := r.runAtRate(ctx, rate, plan.Seconds, r.viaDispatcher)
		took := time.Since(began).Seconds()
		cpu = r.cpuSeconds() - cpu
		ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		row := Row{Rate: rate, AnsweredPerSecond: float64(done) / plan.Seconds, Failed: failed, DirectP50: ms(direct, 50), DirectP99: ms(direct, 99),
			ThroughP50: ms(through, 50), ThroughP99: ms(through, 99), Cores: cpu / took, CPUMicrosPerRequest: cpu * 1e6 / float64(max(done, 1))}
		f.Rows = append(f.Rows, row)
		plan.Logf("%5d a second: answered %.0f, failed %d; first token direct p50 %.2f p99 %.2f ms, through the dispatcher p50 %.2f p99 %.2f ms; %.2f cores, %.0f us a question",
			rate, row.AnsweredPerSecond, failed, row.DirectP50, row.DirectP99, row.ThroughP50, row.ThroughP99, row.Cores, row.CPUMicrosPerRequest)
		if ctx.Err() != nil {
			return f, ctx.Err()
		}
	}
	f.Streams = plan.Streams
	f.StreamsMiB = r.memoryWithStreams(ctx, plan.Streams)
	plan.Logf("resident memory %.0f MiB idle, %.0f MiB with %d open streams", f.IdleMiB, f.StreamsMiB, f.Streams)
	return f, nil
}

// open starts two idle boxes, the list and a dispatcher's process.
func (r *testbed) start(ctx context.Context, dir string) (stop func(), err error) {
	d := setup.DefaultDispatcherConfig()
	d.Classes = []setup.Class{{Name: "measured", Effect: "idempotent", LatencyTarget: setup.Duration(time.Second), Deadline: setup.Duration(10 * time.Second), Value: 1, DefaultMaxTokens: 8}}
	d.BackendKinds = []setup.BackendKind{{Name: "reader", Role: "reader", MemoryTokens: 1 << 30}, {Name: "writer", Role: "writer", MemoryTokens: 1 << 30}}
	d.Limits.DecodeCanPrefill, d.Limits.MaxConnsPerBackend = false, 4096
	r.model = d.Model
	if r.recorder, err = record.Open("", record.Header{}); err != nil {
		return nil, err
	}
	r.fleet = standin.NewFleet(d.Deployment, r.recorder, standin.Links{SameRack: 1e12, CrossRack: 1e12, ZoneFactor: 1}, map[string]standin.ClassProfile{"measured": {NewTokens: 1, AnswerTokens: 8}})
	var addrs []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
		l.Close()
	}
	list := r.fleet.NewDiscovery(addrs[0])
	if err := list.Start(); err != nil {
		return nil, err
	}
	var boxes []*standin.Backend
	for i, kind := range []string{"reader", "writer"} {
		b := r.fleet.NewBackend(standin.Config{Name: kind + "-1", Kind: kind, Zone: "here", Rack: "r", Units: 1, Engine: standin.InstantEngine, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: addrs[1+i]}}})
		if err := b.Boot(false); err != nil {
			return nil, err
		}
		list.Publish(b, boxlist.Ready, 0)
		boxes = append(boxes, b)
	}
	r.prefillAddr, r.decodeAddr, r.dispatcherAddr = addrs[1], addrs[2], addrs[3]
	d.Instance.Listen, d.Instance.DiscoveryAddr = []string{r.dispatcherAddr}, addrs[0]
	raw, err := toml.Marshal(d)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "dispatcher.toml")
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return nil, err
	}
	r.cmd = exec.Command(r.plan.ServeCommand[0], append(append([]string(nil), r.plan.ServeCommand[1:]...), file)...)
	r.cmd.Stderr = os.Stderr
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	stop = func() {
		r.cmd.Process.Signal(syscall.SIGTERM)
		r.cmd.Wait()
		for _, b := range boxes {
			b.Kill("end")
		}
		list.Stop()
		r.fleet.Close()
		r.http.CloseIdleConnections()
	}
	for range 500 {
		resp, err := r.http.Get("http://" + r.dispatcherAddr + "/v2/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return stop, nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	return nil, fmt.Errorf("the dispatcher was not ready within 5 s")
}

// rate asks at a steady rate, whatever comes back; a time counts from when the question was due.
func (r *testbed) runAtRate(ctx context.Context, perS int, seconds float64, ask func(context.Context) (time.Time, error)) (h *hdrhistogram.Histogram, done, failed int64) {
	h = hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	n := int(float64(perS) * seconds)
	began := time.Now()
	for i := range n {
		due := began.Add(time.Duration(float64(i) / float64(perS) * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		all.Add(1)
		go func() {
			defer all.Done()
			first, err := ask(ctx)
			took := first.Sub(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			done++
			h.RecordValue(max(took.Microseconds(), 1))
		}()
	}
	all.Wait()
	return h, done, failed
}

// first reads a stream to its end and tells when its first token came; one without an end has failed.
func readFirstToken(resp *http.Response, err error) (at time.Time, _ error) {
	if err != nil {
		return at, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return at, fmt.Errorf("%s", resp.Status)
	}
	events := kserve.NewEventReader(resp.Body)
	for {
		ev, err := events.Next()
		if err != nil {
			return at, err
		}
		if at.IsZero() {
			at = time.Now()
		}
		if ev.Name == "end" {
			return at, nil
		}
	}
}

func (r *testbed) requestBody(most int) []byte {
	id := r.lastRequest.Add(1)
	raw, err := json.Marshal(kserve.GenerateRequest{ID: fmt.Sprint("m", id), Parameters: kserve.Params{"prompt_tokens": 800, "max_tokens": most, "session": fmt.Sprint("s", id%997)}})
	if err != nil {
		panic(err)
	}
	return raw
}

// through asks the dispatcher.
func (r *testbed) viaDispatcher(ctx context.Context) (time.Time, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.dispatcherAddr+"/v2/models/"+r.model+"/generate_stream", bytes.NewReader(r.requestBody(8)))
	if err != nil {
		return time.Time{}, err
	}
	return readFirstToken(r.http.Do(req))
}

// direct reads and writes at the boxes without a dispatcher.
func (r *testbed) direct(ctx context.Context) (time.Time, error) {
	id := r.lastRequest.Add(1)
	e := kserve.AttemptParams{Phase: kserve.PhasePrefill, DispatcherEpoch: "direct.1", RequestNumber: id, DedupKey: fmt.Sprint("m", id), Class: "measured", PromptTokens: 800, MaxTokens: 8}
	req, err := kserve.NewAttemptRequest(ctx, "http://"+r.prefillAddr, r.model, "", e)
	if err != nil {
		return time.Time{}, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return time.Time{}, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	e.Phase, e.Attempt, e.PrefillBackend, e.KVCacheAddresses = kserve.PhaseDecode, 1, "reader-1", []string{"tcp4:" + r.prefillAddr}
	if req, err = kserve.NewAttemptRequest(ctx, "http://"+r.decodeAddr, r.model, "", e); err != nil {
		return time.Time{}, err
	}
	return readFirstToken(r.http.Do(req))
}

// streams holds many answers open and returns the process's memory meanwhile.
func (r *testbed) memoryWithStreams(ctx context.Context, n int) float64 {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	var open atomic.Int64
	for i := range n {
		all.Add(1)
		time.Sleep(2 * time.Millisecond)
		go func() {
			defer all.Done()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.dispatcherAddr+"/v2/models/"+r.model+"/generate_stream", bytes.NewReader(r.requestBody(8)))
			if err != nil {
				return
			}
			resp, err := r.http.Do(req)
			if err != nil {
				return
			}
			open.Add(1)
			// The stream is left unread: it stays open until all have been counted.
			<-ctx.Done()
			resp.Body.Close()
		}()
		if i == 0 {
			r.fleet.HoldAnswers(true)
			defer r.fleet.HoldAnswers(false)
		}
	}
	for range 500 {
		if open.Load() == int64(n) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.plan.Logf("%d of %d streams are open", open.Load(), n)
	mb := r.residentMiB()
	cancel()
	r.fleet.HoldAnswers(false)
	all.Wait()
	return mb
}

// cpu is the time that the dispatcher's process has used, in seconds.
func (r *testbed) cpuSeconds() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // clock ticks, 100 a second on Linux
}

// memory is its resident memory, in MiB.
func (r *testbed) residentMiB() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024
}
