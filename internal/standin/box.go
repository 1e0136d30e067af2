package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/record"
)

// Make is how a box is built.
type Config struct {
	Name, Kind, Role, Zone, Rack string
	Units                        float64
	Addresses                    []addresses.Spec
	Seed                         uint64
	Engine                       engine.Make
}

// Instant is an engine that takes next to no time, for what is not about engines.
var InstantEngine = engine.Make{Reads: true, Writes: true, Slots: 1 << 20, Queue: 1 << 20, Blocks: 1 << 40, BlockTokens: 1 << 20, Chunk: 1 << 30, Step: time.Microsecond,
	ReadPerS: 1e12, StateLife: 8 * time.Second}

// Faults are what a box does wrong just now.
type Faults struct {
	SlowFactor             float64 // times; 0 and 1: none
	ErrorShare             float64 // share of trips answered with an error at once
	ErrorClass             string  // only of this grade
	Hang                   bool    // takes trips and says nothing
	ResetShare             float64 // share of answers cut off mid-stream
	EarlyResetShare        float64 // share of writes cut off when they have begun to run, before a token
	CrashAfterPrefillShare float64 // share of reads after which it dies
	IgnoreCancel           bool    // a cancel does not stop its work
	NeighbourShare         float64 // share of its machine that another program takes
	AgingRate              float64 // share by which its pace falls each second
	EvictFetched           bool    // memory pressure takes a state that has just been fetched
}

// Box is one stand-in model host.
type Backend struct {
	Config
	fleet *Fleet

	mu                sync.Mutex
	rng               *rand.Rand
	faults            Faults
	server            *http.Server
	cancel            context.CancelFunc
	ctx               context.Context
	endpoints         []*Endpoint
	StartNumber       uint64
	startedAt         time.Duration // on the record's clock
	slowStart         bool
	running           bool
	overloaded        bool
	engine            *engine.Engine
	wake              chan struct{}     // the engine may have something to do
	heldTries         map[string]string // of the states that wait, by key
	releaseAfterFetch map[string]bool   // states to be let go of once the fetch that is on has failed
	releases          map[string]releaseRecord
	recentWork        []workSample
	usage             usageCounts
	handlers          sync.WaitGroup
}

type workSample struct {
	receivedAt time.Duration
	work       float64
}

// NewBox adds a box to the fleet; Boot starts it.
func (f *Fleet) NewBackend(m Config) *Backend {
	b := &Backend{Config: m, fleet: f, rng: newRand(m.Seed, m.Name)}
	for _, s := range m.Addresses {
		b.endpoints = append(b.endpoints, &Endpoint{Spec: s})
	}
	return b
}

// Boot starts the box's process; a cold one ramps up.
func (b *Backend) Boot(cold bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running {
		return nil
	}
	front := newConnListener()
	for i, g := range b.endpoints {
		if err := g.Open(front); err != nil {
			for _, g := range b.endpoints[:i] {
				g.Close()
			}
			return err
		}
	}
	var life context.Context
	life, b.cancel = context.WithCancel(context.Background())
	b.ctx = life
	b.StartNumber, b.startedAt, b.slowStart, b.running, b.overloaded = b.fleet.nextStartNumber(), b.fleet.Record.Elapsed(), cold, true, false
	b.releases, b.heldTries, b.releaseAfterFetch, b.recentWork = map[string]releaseRecord{}, map[string]string{}, map[string]bool{}, nil
	b.engine, b.wake = engine.New(b.Engine, b.startedAt, cold), make(chan struct{}, 1)
	b.applyEngineFaults()
	b.handlers.Add(1)
	go b.runEngine(life, b.engine, b.wake)
	mux := http.NewServeMux()
	at := "POST /v2/models/" + b.fleet.Terms.Model
	mux.HandleFunc(at+"/generate", b.handleAttempt)
	mux.HandleFunc(at+"/generate_stream", b.handleAttempt)
	mux.HandleFunc(at+"/release", b.handleRelease)
	mux.HandleFunc(at+"/state", b.handleFetch)
	mux.HandleFunc(at+"/counts", b.handleCounts)
	mux.HandleFunc("GET /v2", func(w http.ResponseWriter, r *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"name": b.Name})
	})
	b.server = &http.Server{
		Handler: mux, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return life },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	server := b.server
	b.handlers.Add(1)
	go func() { defer b.handlers.Done(); server.Serve(front) }()
	b.fleet.Record.Record(record.Event{Kind: record.ProcessStarted, Backend: b.Name, StartID: b.StartNumber, SlowStart: cold})
	return nil
}

// Gate is one of the box's addresses.
func (b *Backend) Endpoint(i int) *Endpoint { return b.endpoints[i] }

// listen binds an address that a killed process may have had a moment ago.
func listenWithRetry(network, addr string) (net.Listener, error) {
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen(network, addr); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// Kill ends the process outright: connections break and what it held is lost.
func (b *Backend) Kill(why string) {
	b.mu.Lock()
	if !b.running {
		b.mu.Unlock()
		return
	}
	b.running = false
	b.fleet.Record.Record(record.Event{Kind: record.ProcessEnded, Backend: b.Name, StartID: b.StartNumber, Detail: why})
	for key, try := range b.heldTries {
		b.fleet.Record.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try, Detail: "lost"})
	}
	clear(b.heldTries)
	b.engine.Stop()
	b.cancel()
	server := b.server
	b.mu.Unlock()
	server.Close()
	for _, g := range b.endpoints {
		g.Close()
	}
	b.handlers.Wait()
}

// Up tells whether its process runs.
func (b *Backend) Up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// UpFor is how long it has been up, and whether it started cold.
func (b *Backend) Uptime() (time.Duration, bool, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fleet.Record.Elapsed() - b.startedAt, b.slowStart, b.StartNumber
}

// Do changes the faults.
func (b *Backend) UpdateFaults(change func(*Faults)) {
	b.mu.Lock()
	change(&b.faults)
	b.applyEngineFaults()
	b.mu.Unlock()
}

// apply hands the engine those faults that are its own; the box is locked.
func (b *Backend) applyEngineFaults() {
	if b.engine == nil {
		return
	}
	now := b.fleet.Record.Elapsed()
	b.engine.Slow, b.engine.Neighbour, b.engine.EvictFresh = b.faults.SlowFactor, b.faults.NeighbourShare, b.faults.EvictFetched
	if b.engine.AgeBy != b.faults.AgingRate {
		b.engine.Age(now, b.faults.AgingRate)
	}
}

// Forget drops the kept texts.
func (b *Backend) DropCache() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running {
		b.engine.Forget()
	}
}

// share is which part of its capacity the box can do now.
func (b *Backend) slowStartShare() float64 {
	r := b.fleet.Terms.Rules
	since := b.fleet.Record.Elapsed() - b.startedAt
	if !b.slowStart || since >= r.SlowStartRamp.Std() {
		return 1
	}
	return r.SlowStartShare + (1-r.SlowStartShare)*float64(since)/float64(r.SlowStartRamp.Std())
}

// drive runs an engine's steps in real time until its process ends.
func (b *Backend) runEngine(ctx context.Context, e *engine.Engine, wake chan struct{}) {
	defer b.handlers.Done()
	var due time.Duration // when the step that is on ends, by plan: what a timer oversleeps is not added up
	for {
		b.mu.Lock()
		now := b.fleet.Record.Elapsed()
		wait, ok := e.Loading(now), false
		if wait == 0 {
			wait, ok = e.Begin(max(due, now-maxStepLag))
		}
		b.recordExpired()
		b.mu.Unlock()
		switch {
		case ok:
			if due < now-maxStepLag {
				due = now
			}
			due += wait
			if sleep(ctx, due-b.fleet.Record.Elapsed()) != nil {
				return
			}
			b.mu.Lock()
			if ctx.Err() == nil {
				e.Finish(due)
			}
			b.mu.Unlock()
		case wait > 0:
			if sleep(ctx, wait) != nil {
				return
			}
		default:
			select {
			case <-wake:
			case <-time.After(time.Second): // states may expire
			case <-ctx.Done():
				return
			}
			due = b.fleet.Record.Elapsed()
		}
	}
}

// maxBehind is how far a step may lag behind its plan; a machine that lags more plays slower engines.
const maxStepLag = 20 * time.Millisecond

// nudge has the engine look for something to do.
func (b *Backend) wakeEngine() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// expired takes down the states that the engine has dropped by itself; the box is locked.
func (b *Backend) recordExpired() {
	for key, try := range b.heldTries {
		if _, waits := b.engine.Waits(key); !waits && !b.engine.Moves(key) {
			delete(b.heldTries, key)
			b.fleet.Record.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try, Detail: "expired"})
		}
	}
}

// work is what a trip asks of the box, in seconds of its full capacity: the mean of its grade.
func (b *Backend) meanWork(e kserve.AttemptParams) float64 {
	m := b.Engine
	read := b.fleet.meanUncached(e.Class) / m.ReadPerS
	step := m.Step.Seconds() + float64(m.Slots)*m.PerAnswer.Seconds() + float64(m.Slots)*m.PerContextK.Seconds()
	write := b.fleet.Profiles[e.Class].AnswerTokens * step / float64(m.Slots)
	switch e.Phase {
	case kserve.PhasePrefill:
		return read
	case kserve.PhaseDecode:
		return write
	}
	return read + write
}

// weigh counts a trip's work against what a cold box bears, and tells whether it falls over.
func (b *Backend) overloads(work float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, now := b.fleet.Terms.Rules, b.fleet.Record.Elapsed()
	if !b.slowStart || now-b.startedAt > r.SlowStartRamp.Std() {
		return false
	}
	b.recentWork = append(b.recentWork, workSample{now, work})
	for len(b.recentWork) > 0 && b.recentWork[0].receivedAt < now-r.SlowStartWindow.Std() {
		b.recentWork = b.recentWork[1:]
	}
	sum := 0.0
	for _, s := range b.recentWork {
		sum += s.work
	}
	b.overloaded = b.overloaded || sum > r.SlowStartMultiple*b.slowStartShare()*r.SlowStartWindow.Std().Seconds()*slowStartSlack
	return b.overloaded
}

// coldSlack is a little room for chance in what a cold box bears.
const slowStartSlack = 1.1

func (b *Backend) loadReport() []float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	values := b.engine.Report()
	var out []float64
	for _, name := range b.fleet.Terms.ReportFields {
		out = append(out, values[name])
	}
	return out
}

// run is a job in an engine, as its handler sees it. The engine's calls must not wait: tokens are counted, and written out
// by the handler at the client's pace.
type engineJob struct {
	job          engine.Job
	tokens       atomic.Int64
	cachedTokens atomic.Int64
	end          atomic.Int64 // 1 + engine.End
	changed      chan struct{}
}

func (r *engineJob) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// trip serves one trip from its bytes to its end.
func (b *Backend) handleAttempt(w http.ResponseWriter, r *http.Request) {
	e, _, err := kserve.ReadAttemptParams(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	line := record.Event{Backend: b.Name, Try: e.DedupKey, Class: e.Class, RequestKey: e.RequestKey(), Phase: e.Phase, Attempt: e.Attempt}
	put := func(what, word string) {
		l := line
		l.Kind, l.Detail = what, word
		b.fleet.Record.Record(l)
	}
	work := b.meanWork(e)
	got := line
	got.Kind, got.Work = record.AttemptReceived, work
	if c := connFromContext(r.Context()); c != nil {
		got.Address = c.endpoint.Spec.String()
		arrived, gone := c.timestamps()
		got.ArrivedUs = b.fleet.Record.TimestampUs(arrived)
		if !gone.IsZero() {
			// Its dispatcher has closed already: such a trip is not begun.
			got.ClosedUs = b.fleet.Record.TimestampUs(gone)
			b.fleet.Record.Record(got)
			put(record.AttemptEnded, "dropped")
			return
		}
	}
	b.fleet.Record.Record(got)
	// Whoever asked may go while the box works on: that is taken down on its own.
	unwatch := context.AfterFunc(r.Context(), func() { put(record.AttemptClosed, "") })
	defer unwatch()
	word := "broke"
	var spent func() (read, kept, answer int)
	count := b.countAttempt(e)
	costs := func(end string) *kserve.UsageRecord {
		if spent == nil {
			return count(end, 0, 0, 0)
		}
		read, kept, answer := spent()
		return count(end, read, kept, answer)
	}
	defer func() { costs(word); put(record.AttemptEnded, word) }()

	b.mu.Lock()
	start, faults, life := b.StartNumber, b.faults, b.ctx
	fails := b.rng.Float64() < faults.ErrorShare && (faults.ErrorClass == "" || faults.ErrorClass == e.Class)
	resets, resetsNow := b.rng.Float64() < faults.ResetShare, b.rng.Float64() < faults.EarlyResetShare
	crashes := b.rng.Float64() < faults.CrashAfterPrefillShare
	b.mu.Unlock()
	if b.overloads(work) {
		b.fleet.Record.Record(record.Event{Kind: record.Overloaded, Backend: b.Name, StartID: start})
		go b.Kill("pushed over")
		panic(http.ErrAbortHandler)
	}
	effect := func() {
		if b.fleet.isNewEffect(b, e.Class, cmp.Or(e.DedupKey, e.RequestKey())) {
			put(record.EffectStarted, "")
		} else {
			put(record.DuplicateDropped, "")
		}
	}
	answer := func(status int, told kserve.AttemptResult) {
		told.Load = b.loadReport()
		word = told.Outcome
		told.Usage = costs(word)
		kserve.WriteJSON(w, status, told)
	}
	ctx := r.Context()
	switch {
	case faults.Hang:
		<-ctx.Done()
		return
	case fails:
		if e.Phase != kserve.PhasePrefill { // an error may come after the effect
			effect()
		}
		answer(http.StatusInternalServerError, kserve.AttemptResult{Outcome: kserve.OutcomeFailed, Error: "internal error"})
		return
	}
	if faults.IgnoreCancel {
		ctx = life
	}
	j := &engineJob{changed: make(chan struct{}, 1)}
	j.job = engine.Job{Key: e.RequestKey(), Session: e.Session, Shared: e.SharedPrefix, Prompt: e.PromptTokens, Prefix: e.PrefixTokens, Answer: 1}
	switch e.Phase {
	case kserve.PhasePrefill:
		j.job.Stage = engine.Read
	case kserve.PhaseDecode:
		j.job.Stage = engine.Write
	default:
		j.job.Stage = engine.Whole
	}
	if e.Phase != kserve.PhasePrefill {
		j.job.Answer = b.fleet.answerTokens(e.Class, e.DedupKey, e.MaxTokens)
	}
	j.job.Token = func(n int) { j.tokens.Store(int64(n)); j.notify() }
	j.job.Ended = func(how engine.End, kept int) {
		j.cachedTokens.Store(int64(kept))
		j.end.Store(1 + int64(how))
		j.notify()
	}
	b.mu.Lock()
	if !b.running || b.StartNumber != start {
		b.mu.Unlock()
		return
	}
	eng := b.engine
	j.job.Fetch = func(arrived func(bool)) {
		b.handlers.Add(1)
		go func() {
			defer b.handlers.Done()
			err := b.fetchKVCache(ctx, e)
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.engine == eng && b.running {
				arrived(err == nil)
				b.wakeEngine()
			}
		}()
	}
	if e.Phase == kserve.PhasePrefill {
		ended := j.job.Ended
		j.job.Ended = func(how engine.End, kept int) { // the box is locked
			if how == engine.Done {
				if l, ok := b.releases[e.RequestKey()]; ok && e.Attempt <= l.attempt {
					eng.Release(e.RequestKey()) // it was released before it was read
					how = engine.Dropped
				} else {
					b.heldTries[e.RequestKey()] = e.DedupKey
					b.fleet.Record.Record(record.Event{Kind: record.KVCacheHeld, Backend: b.Name, RequestKey: e.RequestKey(), Try: e.DedupKey, Class: e.Class})
				}
			}
			ended(how, kept)
		}
	}
	spent = func() (int, int, int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		return j.job.Spent()
	}
	eng.Submit(b.fleet.Record.Elapsed(), &j.job)
	b.wakeEngine()
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		if b.engine == eng && b.running {
			eng.Cancel(&j.job)
			b.wakeEngine()
		}
		b.mu.Unlock()
	}()
	out, ctl := 0, http.NewResponseController(w)
	for {
		select {
		case <-j.changed:
		case <-ctx.Done():
			return
		}
		end := engine.End(j.end.Load() - 1)
		for n := int(j.tokens.Load()); out < n; out++ {
			if out == 0 {
				effect()
				if resetsNow {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", "text/event-stream")
			}
			if resets && out == (j.job.Answer+1)/2 {
				panic(http.ErrAbortHandler)
			}
			if kserve.WriteEvent(w, "", kserve.Token{Model: b.fleet.Terms.Model, Text: " word"}) != nil {
				return
			}
			if out == 0 || out+1 == n {
				if ctl.Flush() != nil {
					return
				}
			}
			if out == 0 {
				b.fleet.waitWhileHeld(ctx)
			}
		}
		if end < 0 {
			continue
		}
		kept := int(j.cachedTokens.Load())
		if e.Phase != kserve.PhaseDecode && end == engine.Done {
			b.fleet.observeUncached(e.Class, float64(e.PromptTokens-kept))
		}
		switch {
		case end == engine.Done && e.Phase == kserve.PhasePrefill:
			answer(http.StatusOK, kserve.AttemptResult{Outcome: kserve.OutcomePrefilled, CachedTokens: kept})
			ctl.Flush()
			if crashes {
				// A moment later, so that the dispatcher knows of the read and sends on.
				time.AfterFunc(2*time.Millisecond, func() { b.Kill("crashed after reading") })
			}
		case end == engine.Done:
			if kserve.WriteEvent(w, "end", kserve.AttemptResult{Outcome: kserve.OutcomeCompleted, CachedTokens: kept, Load: b.loadReport(), Usage: costs(kserve.OutcomeCompleted)}) == nil && ctl.Flush() == nil {
				word = kserve.OutcomeCompleted
			}
		case end == engine.Full || end == engine.TooBig:
			answer(http.StatusServiceUnavailable, kserve.AttemptResult{Outcome: kserve.OutcomeFull, Error: end.String()})
		case end == engine.NoState:
			answer(http.StatusServiceUnavailable, kserve.AttemptResult{Outcome: kserve.OutcomeNoKVCache, Error: "no state could be fetched"})
		default: // the process died, or the work was dropped: the connection says so
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// let ends the waiting of a state; false if none waits.
func (b *Backend) releaseKVCache(start uint64, key, why string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.StartNumber != start || !b.running {
		return false
	}
	try, held := b.heldTries[key]
	if !held {
		return false
	}
	if b.engine.Moves(key) && why != "taken" {
		b.releaseAfterFetch[key] = true
		return true
	}
	delete(b.heldTries, key)
	delete(b.releaseAfterFetch, key)
	b.engine.Release(key)
	b.wakeEngine()
	b.fleet.Record.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try, Detail: why})
	return true
}

func (b *Backend) handleRelease(w http.ResponseWriter, r *http.Request) {
	list, err := kserve.ReadReleases(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	_, _, start := b.Uptime()
	done := 0
	for _, x := range list {
		b.mu.Lock()
		b.releases[x.RequestKey] = releaseRecord{x.LastAttempt, b.fleet.Record.Elapsed()}
		if len(b.releases) > maxReleases {
			for key, l := range b.releases {
				if b.fleet.Record.Elapsed()-l.releasedAt > releaseRetention {
					delete(b.releases, key)
				}
			}
		}
		b.mu.Unlock()
		if b.releaseKVCache(start, x.RequestKey, "released") {
			done++
		}
	}
	kserve.WriteJSON(w, http.StatusOK, map[string]int{"released": done})
}

// releasedUpTo remembers a release, for reads of the same question that come after it.
type releaseRecord struct {
	attempt    int
	releasedAt time.Duration
}

const (
	maxReleases      = 4096
	releaseRetention = 30 * time.Second
)

// state gives a waiting state to a writer, which takes as long as the links need; until then it waits on.
func (b *Backend) handleFetch(w http.ResponseWriter, r *http.Request) {
	key, err := kserve.ReadKVFetch(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	b.mu.Lock()
	start := b.StartNumber
	tokens, ok := 0, false
	if b.running {
		tokens, ok = b.engine.Waits(key)
	}
	if !ok {
		b.mu.Unlock()
		kserve.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such state waits"})
		return
	}
	b.engine.Moving(key, true)
	b.mu.Unlock()
	if b.fleet.transfer(r.Context(), b, r.Header.Get("Rack"), r.Header.Get("Zone"), float64(tokens)) != nil {
		b.mu.Lock()
		unkept := b.releaseAfterFetch[key]
		if b.StartNumber == start && b.running {
			b.engine.Moving(key, false)
		}
		b.mu.Unlock()
		if unkept {
			b.releaseKVCache(start, key, "released")
		}
		return
	}
	if b.releaseKVCache(start, key, "taken") {
		kserve.WriteJSON(w, http.StatusOK, map[string]int{"tokens": tokens})
	}
}

// fetch takes the state from the reader that the trip names, by whichever of its addresses serves.
func (b *Backend) fetchKVCache(ctx context.Context, e kserve.AttemptParams) error {
	if len(e.KVCacheAddresses) == 0 {
		return errors.New("no state was named")
	}
	conn, err := b.fleet.prefillPool(e.PrefillBackend, e.KVCacheAddresses).Get(ctx)
	if err != nil {
		return err
	}
	r, err := kserve.NewKVFetchRequest(ctx, reach.URL(e.PrefillBackend), b.fleet.Terms.Model, e.RequestKey())
	if err != nil {
		return err
	}
	r.Header.Set("Rack", b.Rack)
	r.Header.Set("Zone", b.Zone)
	resp, err := conn.Do(ctx, r)
	if err != nil {
		conn.ReportFailed()
		return err
	}
	conn.ReportServed()
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the reader says %s", resp.Status)
	}
	return nil
}
