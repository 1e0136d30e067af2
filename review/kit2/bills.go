package kit2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/kserve"
)

// box is a sound model host that speaks KServe v2: it reads and answers whole requests and counts what each attempt
// cost. Its counts outlast its restarts.
type box struct {
	world     *world
	name      string
	address   string
	tokenTime time.Duration

	mu     sync.Mutex
	server *http.Server
	counts map[string][]kserve.UsageRecord // by start of a dispatcher; those that it may forget are gone
	forgot map[string]uint64
	open   map[string]int
	made   map[string]int // tokens that were read and answered, by start of a dispatcher
	asked  map[string]int // requests for counts, by start of a dispatcher
}

func (w *world) newBox(name string, tokenTime time.Duration) *box {
	b := &box{
		world: w, name: name, address: freeAddress(), tokenTime: tokenTime, counts: map[string][]kserve.UsageRecord{},
		forgot: map[string]uint64{}, open: map[string]int{}, made: map[string]int{}, asked: map[string]int{},
	}
	w.atEnd(b.stop)
	return b
}

// start starts the box's process.
func (b *box) start() error {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2", func(w http.ResponseWriter, _ *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"name": b.name})
	})
	mux.HandleFunc("POST /v2/models/lodge/generate_stream", b.answer)
	mux.HandleFunc("POST /v2/models/lodge/release", func(w http.ResponseWriter, _ *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{})
	})
	mux.HandleFunc("POST /v2/models/lodge/counts", b.tell)
	b.mu.Lock()
	b.server = &http.Server{Handler: mux}
	go b.server.Serve(listener)
	b.mu.Unlock()
	b.world.note("%s: runs", b.name)
	return nil
}

// stop ends the box's process: its connections break. What it has counted stays.
func (b *box) stop() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		server.Close()
		b.world.note("%s: is down", b.name)
	}
}

// answer runs one attempt: the prompt is read, and each token of the answer is one event.
func (b *box) answer(w http.ResponseWriter, r *http.Request) {
	attempt, _, err := kserve.ReadAttemptParams(r.Body)
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	epoch := attempt.DispatcherEpoch
	b.mu.Lock()
	b.open[epoch]++
	b.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	tokens, whole := 0, true
	for ; tokens < attempt.MaxTokens; tokens++ {
		time.Sleep(b.tokenTime)
		if r.Context().Err() != nil || kserve.WriteEvent(w, "", kserve.Token{Model: "lodge", Text: " bed"}) != nil ||
			http.NewResponseController(w).Flush() != nil {
			whole = false
			break
		}
	}
	end := kserve.OutcomeCompleted
	if !whole {
		end = "cancelled"
	}
	b.mu.Lock()
	b.open[epoch]--
	count := kserve.UsageRecord{
		Number: b.forgot[epoch] + uint64(len(b.counts[epoch])) + 1, RequestKey: attempt.RequestKey(),
		Attempt: attempt.Attempt, DedupKey: attempt.DedupKey, Phase: attempt.Phase, Tenant: attempt.Tenant,
		Class: attempt.Class, PrefillTokens: attempt.PromptTokens, OutputTokens: tokens, EndReason: end,
	}
	b.counts[epoch] = append(b.counts[epoch], count)
	b.made[epoch] += attempt.PromptTokens + tokens
	b.mu.Unlock()
	b.world.note("%s: counted %s trip %d: %d tokens read, %d answered, %s", b.name, count.RequestKey, count.Attempt,
		count.PrefillTokens, count.OutputTokens, end)
	if whole {
		kserve.WriteEvent(w, "end", kserve.AttemptResult{Outcome: end, Load: []float64{0.1, 0, 0.1}, Usage: &count})
	}
}

// tell answers a dispatcher's question for counts, and forgets those that it has.
func (b *box) tell(w http.ResponseWriter, r *http.Request) {
	query, err := kserve.ReadUsageQuery(r.Body)
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	epoch := query.DispatcherEpoch
	b.asked[epoch]++
	for len(b.counts[epoch]) > 0 && b.counts[epoch][0].Number <= query.After {
		b.forgot[epoch] = b.counts[epoch][0].Number
		b.counts[epoch] = b.counts[epoch][1:]
	}
	records := b.counts[epoch][:min(len(b.counts[epoch]), kserve.MaxUsageRecords)]
	kserve.WriteJSON(w, http.StatusOK, kserve.UsageReport{
		Records: append([]kserve.UsageRecord{}, records...), More: len(records) < len(b.counts[epoch]),
		InFlight: b.open[epoch], ForgottenThrough: b.forgot[epoch],
	})
}

// boxList is the list of boxes: the whole list at first, each change, and a heartbeat a second.
type boxList struct {
	mu      sync.Mutex
	updates []endpointlist.Update
	changed chan struct{}
}

// set changes the state of a box.
func (l *boxList) set(b *box, state string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := uint64(len(l.updates))
	l.updates = append(l.updates, endpointlist.Update{Base: version, Version: version + 1, Endpoints: []endpointlist.Endpoint{{
		Name: b.name, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: b.address}}, Kind: "mixed", Zone: "here",
		Rack: "rack-1", State: state, Units: 1, Incarnation: incarnation, UptimeMs: -1,
	}}})
	close(l.changed)
	l.changed = make(chan struct{})
	b.world.note("list: %s is %s", b.name, state)
}

// whole returns the whole list.
func (l *boxList) whole() endpointlist.Update {
	full := endpointlist.Update{Version: uint64(len(l.updates)), Full: true}
	last := map[string]endpointlist.Endpoint{}
	for _, update := range l.updates {
		last[update.Endpoints[0].Name] = update.Endpoints[0]
	}
	for _, endpoint := range last {
		if endpoint.State != endpointlist.Removed {
			full.Endpoints = append(full.Endpoints, endpoint)
		}
	}
	return full
}

// serve serves the list and returns its address.
func (l *boxList) serve(w *world) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/boxes/watch", func(rw http.ResponseWriter, r *http.Request) {
		out := json.NewEncoder(rw)
		l.mu.Lock()
		next := l.whole()
		changed := l.changed
		l.mu.Unlock()
		for r.Context().Err() == nil {
			if out.Encode(next) != nil || http.NewResponseController(rw).Flush() != nil {
				return
			}
			version := next.Version
			select {
			case <-changed:
			case <-time.After(time.Second):
			}
			l.mu.Lock()
			changed = l.changed
			if next = (endpointlist.Update{Version: version, Base: version}); version < uint64(len(l.updates)) {
				next = l.updates[version]
			}
			l.mu.Unlock()
		}
	})
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	w.atEnd(func() { server.Close() })
	return listener.Addr().String()
}

// The deployment of the case on bills.
const billedDeployment = `model = "lodge"

[dispatcher]
name = "d0"
listen = [%q]
operators = [%q]
boxes = %q
stop_time = "5s"

[ledger]
folder = %q

[[grade]]
name = "trail-info"
effect = "idempotent"
promised = "1.5s"
expiry = "6s"
benefit = 2.0
late_benefit = 0.3
max_tokens = 40

[[channel]]
name = "web-app"
share = 1.0
questions_a_second = 100.0

[[kind]]
name = "mixed"
role = "mixed"
memory = 200000
`

// server is one process of "serve".
type server struct {
	world                  *world
	listen, operators, dir string
	file                   string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

func (w *world) newServer(list string) *server {
	s := &server{world: w, listen: freeAddress(), operators: freeAddress(), dir: filepath.Join(w.dir, "ledger"),
		file: filepath.Join(w.dir, "d0.toml")}
	raw := fmt.Appendf(nil, billedDeployment, s.listen, s.operators, list, s.dir)
	if err := os.WriteFile(s.file, raw, 0o600); err != nil {
		panic(err)
	}
	return s
}

func (s *server) start() error {
	log, err := os.OpenFile(filepath.Join(s.world.dir, "d0.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("bin/sloetrestle", "serve", "--config", s.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { cmd.Wait(); close(exited) }()
	s.cmd, s.exited = cmd, exited
	s.world.atEnd(func() { cmd.Process.Kill(); <-exited })
	s.world.note("dispatcher: started, pid %d", cmd.Process.Pid)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + s.listen + "/v2/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.world.note("dispatcher: ready")
				return nil
			}
		}
	}
	return fmt.Errorf("the dispatcher is not ready")
}

// ask sends a request and reads its answer to the end.
func (s *server) ask(n int) {
	body := fmt.Sprintf(`{"id":"q-%d","text_input":"is the hut open","parameters":{"grade":"trail-info","channel":"web-app",`+
		`"session":"s-%d","prompt_tokens":200,"max_tokens":40}}`, n, n)
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.listen+"/v2/models/lodge/generate_stream", "application/json", strings.NewReader(body))
	if err != nil {
		s.world.note("client: q-%d: %v", n, err)
		return
	}
	var answer bytes.Buffer
	_, err = answer.ReadFrom(resp.Body)
	resp.Body.Close()
	s.world.note("client: q-%d got %d, %d bytes, %v", n, resp.StatusCode, answer.Len(), err)
}

// billed returns the tokens read and answered of all lines of the bill, and what the program says beside it.
func (s *server) billed() (tokens int, said string, err error) {
	cmd := exec.Command("bin/sloetrestle", "bill", "--ledger", s.dir, "--csv")
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return 0, errs.String(), err
	}
	for i, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		s.world.note("bill: %s", line)
		fields := strings.Split(line, ",")
		if i == 0 || len(fields) < 8 {
			continue
		}
		for _, column := range []int{5, 6, 7} {
			var n int
			fmt.Sscan(fields[column], &n)
			tokens += n
		}
	}
	return tokens, strings.TrimSpace(errs.String()), nil
}

// How the machine comes back, each within what the pages say (review/7/claim.txt), from its end on.
const (
	listNotices    = 700 * time.Millisecond  // that a process is gone
	dispatcherBack = 1200 * time.Millisecond // the dispatcher is started again
	boxBack        = 3700 * time.Millisecond // the box runs again
	listAdds       = 1800 * time.Millisecond // after that, the list names the box again
)

// lostCounts: a machine goes down with a dispatcher and a box on it that has just joined. The dispatcher is back at once,
// the box some seconds later.
func lostCounts(w *world) (verdict, error) {
	steady := []*box{w.newBox("box-1", 5*time.Millisecond), w.newBox("box-2", 5*time.Millisecond)}
	joined := w.newBox("box-3", 100*time.Millisecond)
	boxes := append(steady, joined)
	list := &boxList{changed: make(chan struct{})}
	for _, b := range boxes {
		if err := b.start(); err != nil {
			return verdict{}, err
		}
	}
	for _, b := range steady {
		list.set(b, endpointlist.Ready, 1)
	}
	s := w.newServer(list.serve(w))
	if err := s.start(); err != nil {
		return verdict{}, err
	}
	var group sync.WaitGroup
	asked := 0
	ask := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			asked++
			n := asked
			group.Go(func() { s.ask(n) })
		}
	}
	ask(2 * time.Second)
	list.set(joined, endpointlist.Ready, 1)
	ask(2500 * time.Millisecond)
	if w.trouble {
		w.note("the machine of the dispatcher and of %s goes down", joined.name)
		s.cmd.Process.Signal(syscall.SIGKILL)
		<-s.exited
		joined.stop()
		down := w.now()
		w.sleepUntil(down + listNotices)
		list.set(joined, endpointlist.Removed, 1)
		w.sleepUntil(down + dispatcherBack)
		if err := s.start(); err != nil {
			return verdict{}, err
		}
		w.sleepUntil(down + boxBack)
		if err := joined.start(); err != nil {
			return verdict{}, err
		}
		w.sleepUntil(down + boxBack + listAdds)
		list.set(joined, endpointlist.Ready, 2)
	}
	ask(2 * time.Second)
	group.Wait()
	time.Sleep(12 * time.Second)
	s.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-s.exited:
	case <-time.After(15 * time.Second):
		return verdict{}, fmt.Errorf("the dispatcher has not ended after SIGTERM")
	}
	billed, said, err := s.billed()
	if err != nil {
		return verdict{}, fmt.Errorf("bill: %w: %s", err, said)
	}
	counted := 0
	for _, b := range boxes {
		b.mu.Lock()
		for epoch, tokens := range b.made {
			counted += tokens
			w.note("%s: %d tokens for %s, which asked it %d times; %d counts were never asked for", b.name, tokens, epoch,
				b.asked[epoch], len(b.counts[epoch]))
		}
		b.mu.Unlock()
	}
	w.note("bill says beside it: %q", said)
	if said != "" {
		return verdict{false, fmt.Sprintf("the bill says that it is not closed: %s", said)}, nil
	}
	return verdict{billed != counted, fmt.Sprintf("the boxes counted %d tokens, the closed ledger has %d", counted, billed)}, nil
}
