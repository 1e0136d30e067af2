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
	Rates   []int // questions a second, one after the other
	Seconds float64
	Streams int // held open at once
	Serve   []string
	Say     func(format string, args ...any)
}

// Row is one rate's figures; times are to the first token.
type Row struct {
	Rate      int     `json:"questions_a_second"`
	Held      float64 `json:"held_a_second"` // answered, of those asked
	Failed    int64   `json:"failed"`
	DirectP50 float64 `json:"direct_p50_ms"`
	DirectP99 float64 `json:"direct_p99_ms"`
	P50       float64 `json:"through_p50_ms"`
	P99       float64 `json:"through_p99_ms"`
	CPU       float64 `json:"cores"` // of the dispatcher's process
	PerCPU    float64 `json:"cpu_us_a_question"`
}

// Figures are what came of it.
type Figures struct {
	Rows      []Row   `json:"rates"`
	Streams   int     `json:"streams"`
	IdleMB    float64 `json:"idle_mib"`
	StreamsMB float64 `json:"with_streams_mib"`
}

type rig struct {
	plan   Plan
	fleet  *standin.Fleet
	book   *record.Recorder
	model  string
	reader string
	writer string
	addr   string
	cmd    *exec.Cmd
	http   *http.Client
	asked  atomic.Uint64
}

// Run measures.
func Run(ctx context.Context, plan Plan) (f Figures, err error) {
	dir, err := os.MkdirTemp("", "sloetrestle-measure-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	r := &rig{plan: plan, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	stop, err := r.open(ctx, dir)
	if err != nil {
		return f, err
	}
	defer stop()
	r.rate(ctx, 50, 2, r.through) // connections and code are warm
	f.IdleMB = r.memory()
	for _, rate := range plan.Rates {
		direct, _, _ := r.rate(ctx, rate, plan.Seconds, r.direct)
		cpu := r.cpu()
		began := time.Now()
		through, done, failed := r.rate(ctx, rate, plan.Seconds, r.through)
		took := time.Since(began).Seconds()
		cpu = r.cpu() - cpu
		ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		row := Row{Rate: rate, Held: float64(done) / plan.Seconds, Failed: failed, DirectP50: ms(direct, 50), DirectP99: ms(direct, 99),
			P50: ms(through, 50), P99: ms(through, 99), CPU: cpu / took, PerCPU: cpu * 1e6 / float64(max(done, 1))}
		f.Rows = append(f.Rows, row)
		plan.Say("%5d a second: answered %.0f, failed %d; first token direct p50 %.2f p99 %.2f ms, through the dispatcher p50 %.2f p99 %.2f ms; %.2f cores, %.0f us a question",
			rate, row.Held, failed, row.DirectP50, row.DirectP99, row.P50, row.P99, row.CPU, row.PerCPU)
		if ctx.Err() != nil {
			return f, ctx.Err()
		}
	}
	f.Streams = plan.Streams
	f.StreamsMB = r.streams(ctx, plan.Streams)
	plan.Say("resident memory %.0f MiB idle, %.0f MiB with %d open streams", f.IdleMB, f.StreamsMB, f.Streams)
	return f, nil
}

// open starts two idle boxes, the list and a dispatcher's process.
func (r *rig) open(ctx context.Context, dir string) (stop func(), err error) {
	d := setup.DefaultDispatcher()
	d.Grades = []setup.Grade{{Name: "measured", Effect: "idempotent", Promised: setup.Span(time.Second), Expiry: setup.Span(10 * time.Second), Benefit: 1, Most: 8}}
	d.Kinds = []setup.Kind{{Name: "reader", Role: "reader", Memory: 1 << 30}, {Name: "writer", Role: "writer", Memory: 1 << 30}}
	d.Limits.LocalRead, d.Limits.BoxConns = false, 4096
	r.model = d.Model
	if r.book, err = record.Open("", record.Header{}); err != nil {
		return nil, err
	}
	r.fleet = standin.NewFleet(d.Terms, r.book, standin.Links{Near: 1e12, Far: 1e12, Zone: 1}, map[string]standin.Talk{"measured": {New: 1, Answer: 8}})
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
	list := r.fleet.NewList(addrs[0])
	if err := list.Open(); err != nil {
		return nil, err
	}
	var boxes []*standin.Box
	for i, kind := range []string{"reader", "writer"} {
		b := r.fleet.NewBox(standin.Make{Name: kind + "-1", Kind: kind, Zone: "here", Rack: "r", Units: 1, Engine: standin.Instant, Addresses: []addresses.Spec{{Network: addresses.TCP4, At: addrs[1+i]}}})
		if err := b.Boot(false); err != nil {
			return nil, err
		}
		list.Publish(b, boxlist.Ready, 0)
		boxes = append(boxes, b)
	}
	r.reader, r.writer, r.addr = addrs[1], addrs[2], addrs[3]
	d.Place.Listen, d.Place.Boxes = []string{r.addr}, addrs[0]
	raw, err := toml.Marshal(d)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "dispatcher.toml")
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return nil, err
	}
	r.cmd = exec.Command(r.plan.Serve[0], append(append([]string(nil), r.plan.Serve[1:]...), file)...)
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
		list.Shut()
		r.fleet.Close()
		r.http.CloseIdleConnections()
	}
	for range 500 {
		resp, err := r.http.Get("http://" + r.addr + "/v2/health/ready")
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
func (r *rig) rate(ctx context.Context, perS int, seconds float64, ask func(context.Context) (time.Time, error)) (h *hdrhistogram.Histogram, done, failed int64) {
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
func first(resp *http.Response, err error) (at time.Time, _ error) {
	if err != nil {
		return at, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return at, fmt.Errorf("%s", resp.Status)
	}
	events := kserve.NewEvents(resp.Body)
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

func (r *rig) body(most int) []byte {
	id := r.asked.Add(1)
	raw, err := json.Marshal(kserve.Prompt{ID: fmt.Sprint("m", id), Parameters: kserve.Params{"prompt_tokens": 800, "max_tokens": most, "session": fmt.Sprint("s", id%997)}})
	if err != nil {
		panic(err)
	}
	return raw
}

// through asks the dispatcher.
func (r *rig) through(ctx context.Context) (time.Time, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addr+"/v2/models/"+r.model+"/generate_stream", bytes.NewReader(r.body(8)))
	if err != nil {
		return time.Time{}, err
	}
	return first(r.http.Do(req))
}

// direct reads and writes at the boxes without a dispatcher.
func (r *rig) direct(ctx context.Context) (time.Time, error) {
	id := r.asked.Add(1)
	e := kserve.Errand{Stage: kserve.StageRead, From: "direct.1", Question: id, Mark: fmt.Sprint("m", id), Grade: "measured", Tokens: 800, Most: 8}
	req, err := kserve.NewErrand(ctx, "http://"+r.reader, r.model, "", e)
	if err != nil {
		return time.Time{}, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return time.Time{}, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	e.Stage, e.Trip, e.Reader, e.State = kserve.StageWrite, 1, "reader-1", []string{"tcp4:" + r.reader}
	if req, err = kserve.NewErrand(ctx, "http://"+r.writer, r.model, "", e); err != nil {
		return time.Time{}, err
	}
	return first(r.http.Do(req))
}

// streams holds many answers open and returns the process's memory meanwhile.
func (r *rig) streams(ctx context.Context, n int) float64 {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	var open atomic.Int64
	for i := range n {
		all.Add(1)
		time.Sleep(2 * time.Millisecond)
		go func() {
			defer all.Done()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addr+"/v2/models/"+r.model+"/generate_stream", bytes.NewReader(r.body(8)))
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
			r.fleet.Hold(true)
			defer r.fleet.Hold(false)
		}
	}
	for range 500 {
		if open.Load() == int64(n) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.plan.Say("%d of %d streams are open", open.Load(), n)
	mb := r.memory()
	cancel()
	r.fleet.Hold(false)
	all.Wait()
	return mb
}

// cpu is the time that the dispatcher's process has used, in seconds.
func (r *rig) cpu() float64 {
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
func (r *rig) memory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024
}
