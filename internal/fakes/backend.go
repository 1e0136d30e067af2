package fakes

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
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// Config describes a backend. Addresses are those it listens on, Units is its capacity as service discovery lists
// it, and Seed and Name determine its random faults.
type Config struct {
	Name, Kind, Role, Zone, Rack string
	Units                        float64
	Addresses                    []addresses.Spec
	Seed                         uint64
	Engine                       engine.Config
}

// InstantEngine is an engine that takes next to no time, for tests that are not about engines.
var InstantEngine = engine.Config{
	Prefills: true, Decodes: true, Slots: 1 << 20, MaxQueued: 1 << 20, Blocks: 1 << 40, BlockTokens: 1 << 20,
	ChunkTokens: 1 << 30, StepTime: time.Microsecond, PrefillTokensPerSecond: 1e12, KVCacheTTL: 8 * time.Second,
}

// Faults are the current faults of a backend.
type Faults struct {
	SlowFactor             float64 // factor on the duration of engine steps; 0 and 1: none
	ErrorShare             float64 // share of attempts answered with an error at once
	ErrorClass             string  // only attempts of this class; empty: of all
	Hang                   bool    // accepts attempts and never responds
	ResetShare             float64 // share of answers whose connection is reset mid-stream
	EarlyResetShare        float64 // share of attempts reset once they have begun to run, before a token is sent
	CrashAfterPrefillShare float64 // share of prefills after which the process crashes
	IgnoreCancel           bool    // a cancelled attempt keeps running
	NeighbourShare         float64 // share of the machine that another program takes
	AgingRate              float64 // share by which the speed falls each second
	EvictFetched           bool    // memory pressure evicts a KV cache that has just been fetched
}

// Backend is one fake backend: a process that serves attempts through an engine model at one or more addresses.
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
	startedAt         time.Duration // on the clock of the record
	slowStart         bool
	running           bool
	overloaded        bool
	engine            *engine.Engine
	wake              chan struct{}     // signals that the engine may have something to do
	heldTries         map[string]string // tries whose KV caches are held, by request key
	releaseAfterFetch map[string]bool   // keys of KV caches to release if the fetch in progress fails
	releases          map[string]releaseRecord
	recentWork        []workSample
	usage             usageCounts
	handlers          sync.WaitGroup
}

// workSample is the work of an attempt that reached a backend in slow start.
type workSample struct {
	receivedAt time.Duration
	work       float64
}

// NewBackend returns a backend of the fleet; Boot starts it.
func (f *Fleet) NewBackend(config Config) *Backend {
	backend := &Backend{Config: config, fleet: f, rng: newRand(config.Seed, config.Name)}
	for _, spec := range config.Addresses {
		backend.endpoints = append(backend.endpoints, &Endpoint{Spec: spec})
	}
	return backend
}

// Boot starts the backend's process. With slowStart its capacity ramps up, and too much work during the ramp
// crashes it. It does nothing if the process runs already.
func (b *Backend) Boot(slowStart bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running {
		return nil
	}
	listener := newConnListener()
	for i, endpoint := range b.endpoints {
		if err := endpoint.Open(listener); err != nil {
			for _, endpoint := range b.endpoints[:i] {
				endpoint.Close()
			}
			return err
		}
	}
	var ctx context.Context
	ctx, b.cancel = context.WithCancel(context.Background())
	b.ctx = ctx
	b.StartNumber, b.startedAt, b.slowStart, b.running, b.overloaded =
		b.fleet.nextStartNumber(), b.fleet.Record.Elapsed(), slowStart, true, false
	b.releases, b.heldTries, b.releaseAfterFetch, b.recentWork =
		map[string]releaseRecord{}, map[string]string{}, map[string]bool{}, nil
	b.engine, b.wake = engine.New(b.Engine, b.startedAt, slowStart), make(chan struct{}, 1)
	b.applyEngineFaults()
	b.handlers.Add(1)
	go b.runEngine(ctx, b.engine, b.wake)
	mux := http.NewServeMux()
	modelPath := "POST /v2/models/" + b.fleet.Terms.Model
	mux.HandleFunc(modelPath+"/generate", b.handleAttempt)
	mux.HandleFunc(modelPath+"/generate_stream", b.handleAttempt)
	mux.HandleFunc(modelPath+"/release", b.handleRelease)
	mux.HandleFunc(modelPath+"/state", b.handleFetch)
	mux.HandleFunc(modelPath+"/counts", b.handleCounts)
	mux.HandleFunc("GET /v2", func(w http.ResponseWriter, r *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"name": b.Name})
	})
	b.server = &http.Server{
		Handler: mux, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	server := b.server
	b.handlers.Add(1)
	go func() { defer b.handlers.Done(); server.Serve(listener) }()
	b.fleet.Record.Record(record.Event{Kind: record.ProcessStarted, Backend: b.Name, StartID: b.StartNumber,
		SlowStart: slowStart})
	return nil
}

// Endpoint returns the endpoint at the i-th address of the backend.
func (b *Backend) Endpoint(i int) *Endpoint { return b.endpoints[i] }

// listenWithRetry listens on an address that may still be bound by a process killed a moment ago. It tries for a
// second.
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

// Kill ends the process at once: its connections are reset and the KV caches it held are lost.
func (b *Backend) Kill(reason string) {
	b.mu.Lock()
	if !b.running {
		b.mu.Unlock()
		return
	}
	b.running = false
	b.fleet.Record.Record(record.Event{Kind: record.ProcessEnded, Backend: b.Name, StartID: b.StartNumber, Detail: reason})
	for key, try := range b.heldTries {
		b.fleet.Record.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try,
			Detail: "lost"})
	}
	clear(b.heldTries)
	b.engine.Stop()
	b.cancel()
	server := b.server
	b.mu.Unlock()
	server.Close()
	for _, endpoint := range b.endpoints {
		endpoint.Close()
	}
	b.handlers.Wait()
}

// Up reports whether the process runs.
func (b *Backend) Up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// Uptime returns how long the process has been up, whether it began with a slow start, and the number of its
// start.
func (b *Backend) Uptime() (time.Duration, bool, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fleet.Record.Elapsed() - b.startedAt, b.slowStart, b.StartNumber
}

// UpdateFaults changes the faults.
func (b *Backend) UpdateFaults(change func(*Faults)) {
	b.mu.Lock()
	change(&b.faults)
	b.applyEngineFaults()
	b.mu.Unlock()
}

// applyEngineFaults passes the faults that concern the engine on to it. b.mu must be held.
func (b *Backend) applyEngineFaults() {
	if b.engine == nil {
		return
	}
	now := b.fleet.Record.Elapsed()
	b.engine.Slowdown, b.engine.NeighbourShare, b.engine.EvictFresh =
		b.faults.SlowFactor, b.faults.NeighbourShare, b.faults.EvictFetched
	if b.engine.AgingRate != b.faults.AgingRate {
		b.engine.SetAgingRate(now, b.faults.AgingRate)
	}
}

// DropCache empties the prefix cache.
func (b *Backend) DropCache() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running {
		b.engine.DropCache()
	}
}

// slowStartShare returns the share of its full capacity that the backend has now. b.mu must be held.
func (b *Backend) slowStartShare() float64 {
	rules := b.fleet.Terms.Rules
	uptime := b.fleet.Record.Elapsed() - b.startedAt
	if !b.slowStart || uptime >= rules.SlowStartRamp.Std() {
		return 1
	}
	return rules.SlowStartShare + (1-rules.SlowStartShare)*float64(uptime)/float64(rules.SlowStartRamp.Std())
}

// runEngine runs an engine's steps in real time until the process ends.
func (b *Backend) runEngine(ctx context.Context, eng *engine.Engine, wake chan struct{}) {
	defer b.handlers.Done()
	var due time.Duration // planned end of the current step; planning from it keeps timer lateness from adding up
	for {
		b.mu.Lock()
		now := b.fleet.Record.Elapsed()
		wait, ok := eng.LoadTimeLeft(now), false
		if wait == 0 {
			wait, ok = eng.BeginStep(max(due, now-maxStepLag))
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
				eng.FinishStep(due)
			}
			b.mu.Unlock()
		case wait > 0:
			if sleep(ctx, wait) != nil {
				return
			}
		default:
			select {
			case <-wake:
			case <-time.After(time.Second): // held KV caches may expire
			case <-ctx.Done():
				return
			}
			due = b.fleet.Record.Elapsed()
		}
	}
}

// maxStepLag is how far a step may lag behind its plan. On a machine that lags further the engines become slower
// than modelled.
const maxStepLag = 20 * time.Millisecond

// wakeEngine makes the engine look for something to do.
func (b *Backend) wakeEngine() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// recordExpired records the held KV caches that the engine has dropped by itself. b.mu must be held.
func (b *Backend) recordExpired() {
	for key, try := range b.heldTries {
		if _, held := b.engine.HeldKVCache(key); !held && !b.engine.KVCacheMoving(key) {
			delete(b.heldTries, key)
			b.fleet.Record.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try,
				Detail: "expired"})
		}
	}
}

// meanWork returns the mean work of an attempt of this class and stage, in seconds of the backend's full capacity.
func (b *Backend) meanWork(attempt kserve.AttemptParams) float64 {
	config := b.Engine
	prefill := b.fleet.meanUncached(attempt.Class) / config.PrefillTokensPerSecond
	step := config.StepTime.Seconds() + float64(config.Slots)*config.TimePerSequence.Seconds() +
		float64(config.Slots)*config.TimePer1000ContextTokens.Seconds()
	decode := b.fleet.Profiles[attempt.Class].AnswerTokens * step / float64(config.Slots)
	switch attempt.Phase {
	case kserve.PhasePrefill:
		return prefill
	case kserve.PhaseDecode:
		return decode
	}
	return prefill + decode
}

// overloads adds an attempt's work to that of a backend in slow start and reports whether the backend crashes: it
// does once the work that arrived within a time window exceeds a multiple of its capacity.
func (b *Backend) overloads(work float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rules, now := b.fleet.Terms.Rules, b.fleet.Record.Elapsed()
	if !b.slowStart || now-b.startedAt > rules.SlowStartRamp.Std() {
		return false
	}
	b.recentWork = append(b.recentWork, workSample{now, work})
	for len(b.recentWork) > 0 && b.recentWork[0].receivedAt < now-rules.SlowStartWindow.Std() {
		b.recentWork = b.recentWork[1:]
	}
	total := 0.0
	for _, sample := range b.recentWork {
		total += sample.work
	}
	b.overloaded = b.overloaded ||
		total > rules.SlowStartMultiple*b.slowStartShare()*rules.SlowStartWindow.Std().Seconds()*slowStartSlack
	return b.overloaded
}

// slowStartSlack allows for random variation in the work that a backend in slow start bears.
const slowStartSlack = 1.1

// loadReport returns the load values of the engine in the order of the settings.
func (b *Backend) loadReport() []float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	values := b.engine.LoadReport()
	var report []float64
	for _, name := range b.fleet.Terms.ReportFields {
		report = append(report, values[name])
	}
	return report
}

// engineJob is a job in an engine, as its handler sees it. The engine's callbacks must not block: they only count
// tokens, and the handler writes these out at the client's pace.
type engineJob struct {
	job          engine.Job
	tokens       atomic.Int64
	cachedTokens atomic.Int64
	end          atomic.Int64 // 1 + engine.End; 0 while the job runs
	changed      chan struct{}
}

// notify tells the handler that the job has new tokens or has ended.
func (j *engineJob) notify() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// handleAttempt serves one attempt from the arrival of its body to its end.
func (b *Backend) handleAttempt(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(kserve.AttemptHeader, r.Header.Get(kserve.AttemptHeader))
	attempt, _, err := kserve.ReadAttemptParams(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	line := record.Event{
		Backend: b.Name, Try: attempt.DedupKey, Class: attempt.Class, RequestKey: attempt.RequestKey(),
		Phase: attempt.Phase, Attempt: attempt.Attempt,
	}
	put := func(what, outcome string) {
		entry := line
		entry.Kind, entry.Detail = what, outcome
		b.fleet.Record.Record(entry)
	}
	work := b.meanWork(attempt)
	received := line
	received.Kind, received.Work = record.AttemptReceived, work
	if conn := connFromContext(r.Context()); conn != nil {
		received.Address = conn.endpoint.Spec.String()
		arrived, closed := conn.timestamps()
		received.ArrivedUs = b.fleet.Record.TimestampUs(arrived)
		if !closed.IsZero() {
			// The dispatcher has already closed the connection: such an attempt is not started.
			received.ClosedUs = b.fleet.Record.TimestampUs(closed)
			b.fleet.Record.Record(received)
			put(record.AttemptEnded, "dropped")
			return
		}
	}
	b.fleet.Record.Record(received)
	// The dispatcher may close the connection while the backend works on; that gets an entry of its own.
	unwatch := context.AfterFunc(r.Context(), func() { put(record.AttemptClosed, "") })
	defer unwatch()
	outcome := "broke"
	var usage func() (prefilled, cached, generated int)
	count := b.countAttempt(attempt)
	countOnce := func(end string) *kserve.UsageRecord {
		if usage == nil {
			return count(end, 0, 0, 0)
		}
		prefilled, cached, generated := usage()
		return count(end, prefilled, cached, generated)
	}
	defer func() { countOnce(outcome); put(record.AttemptEnded, outcome) }()

	b.mu.Lock()
	startNumber, faults, backendCtx := b.StartNumber, b.faults, b.ctx
	fail := b.rng.Float64() < faults.ErrorShare && (faults.ErrorClass == "" || faults.ErrorClass == attempt.Class)
	reset, resetEarly := b.rng.Float64() < faults.ResetShare, b.rng.Float64() < faults.EarlyResetShare
	crash := b.rng.Float64() < faults.CrashAfterPrefillShare
	b.mu.Unlock()
	if b.overloads(work) {
		b.fleet.Record.Record(record.Event{Kind: record.Overloaded, Backend: b.Name, StartID: startNumber})
		go b.Kill("pushed over")
		panic(http.ErrAbortHandler)
	}
	recordEffect := func() {
		if b.fleet.isNewEffect(b, attempt.Class, cmp.Or(attempt.DedupKey, attempt.RequestKey())) {
			put(record.EffectStarted, "")
		} else {
			put(record.DuplicateDropped, "")
		}
	}
	respond := func(status int, result kserve.AttemptResult) {
		result.Load = b.loadReport()
		outcome = result.Outcome
		result.Usage = countOnce(outcome)
		kserve.WriteJSON(w, status, result)
	}
	ctx := r.Context()
	switch {
	case faults.Hang:
		<-ctx.Done()
		return
	case fail:
		if attempt.Phase != kserve.PhasePrefill { // an error may come after the effect
			recordEffect()
		}
		respond(http.StatusInternalServerError, kserve.AttemptResult{Outcome: kserve.OutcomeFailed, Error: "internal error"})
		return
	}
	if faults.IgnoreCancel {
		ctx = backendCtx
	}
	run := &engineJob{changed: make(chan struct{}, 1)}
	run.job = engine.Job{
		Key: attempt.RequestKey(), Session: attempt.Session, SharedPrefix: attempt.SharedPrefix,
		PromptTokens: attempt.PromptTokens, PrefixTokens: attempt.PrefixTokens, OutputTokens: 1,
	}
	switch attempt.Phase {
	case kserve.PhasePrefill:
		run.job.Stage = engine.StagePrefill
	case kserve.PhaseDecode:
		run.job.Stage = engine.StageDecode
	default:
		run.job.Stage = engine.StageWhole
	}
	if attempt.Phase != kserve.PhasePrefill {
		run.job.OutputTokens = b.fleet.answerTokens(attempt.Class, attempt.DedupKey, attempt.MaxTokens)
	}
	run.job.OnToken = func(ready int) { run.tokens.Store(int64(ready)); run.notify() }
	run.job.OnEnd = func(end engine.Outcome, cached int) {
		run.cachedTokens.Store(int64(cached))
		run.end.Store(1 + int64(end))
		run.notify()
	}
	b.mu.Lock()
	if !b.running || b.StartNumber != startNumber {
		b.mu.Unlock()
		return
	}
	eng := b.engine
	run.job.FetchKVCache = func(arrived func(bool)) {
		b.handlers.Add(1)
		go func() {
			defer b.handlers.Done()
			err := b.fetchKVCache(ctx, attempt)
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.engine == eng && b.running {
				arrived(err == nil)
				b.wakeEngine()
			}
		}()
	}
	if attempt.Phase == kserve.PhasePrefill {
		ended := run.job.OnEnd
		run.job.OnEnd = func(end engine.Outcome, cached int) { // b.mu is held
			if end == engine.Done {
				if entry, ok := b.releases[attempt.RequestKey()]; ok && attempt.Attempt <= entry.attempt {
					eng.ReleaseKVCache(attempt.RequestKey()) // it was released before the prefill ended
					end = engine.Cancelled
				} else {
					b.heldTries[attempt.RequestKey()] = attempt.DedupKey
					b.fleet.Record.Record(record.Event{
						Kind: record.KVCacheHeld, Backend: b.Name, RequestKey: attempt.RequestKey(), Try: attempt.DedupKey,
						Class: attempt.Class,
					})
				}
			}
			ended(end, cached)
		}
	}
	usage = func() (int, int, int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		return run.job.Usage()
	}
	eng.Submit(b.fleet.Record.Elapsed(), &run.job)
	b.wakeEngine()
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		if b.engine == eng && b.running {
			eng.Cancel(&run.job)
			b.wakeEngine()
		}
		b.mu.Unlock()
	}()
	written, controller := 0, http.NewResponseController(w)
	for {
		select {
		case <-run.changed:
		case <-ctx.Done():
			return
		}
		end := engine.Outcome(run.end.Load() - 1)
		for ready := int(run.tokens.Load()); written < ready; written++ {
			if written == 0 {
				recordEffect()
				if resetEarly {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", "text/event-stream")
			}
			if reset && written == (run.job.OutputTokens+1)/2 {
				panic(http.ErrAbortHandler)
			}
			if kserve.WriteEvent(w, "", kserve.Token{Model: b.fleet.Terms.Model, Text: " word"}) != nil {
				return
			}
			if written == 0 || written+1 == ready {
				if controller.Flush() != nil {
					return
				}
			}
			if written == 0 {
				b.fleet.waitWhileHeld(ctx)
			}
		}
		if end < 0 {
			continue
		}
		cached := int(run.cachedTokens.Load())
		if attempt.Phase != kserve.PhaseDecode && end == engine.Done {
			b.fleet.observeUncached(attempt.Class, float64(attempt.PromptTokens-cached))
		}
		switch {
		case end == engine.Done && attempt.Phase == kserve.PhasePrefill:
			respond(http.StatusOK, kserve.AttemptResult{Outcome: kserve.OutcomePrefilled, CachedTokens: cached})
			controller.Flush()
			if crash {
				// Crash a moment later, so that the dispatcher receives the prefill's response and sends the
				// decode attempt.
				time.AfterFunc(2*time.Millisecond, func() { b.Kill("crashed after reading") })
			}
		case end == engine.Done:
			if kserve.WriteEvent(w, "end", kserve.AttemptResult{
				Outcome: kserve.OutcomeCompleted, CachedTokens: cached, Load: b.loadReport(),
				Usage: countOnce(kserve.OutcomeCompleted),
			}) == nil && controller.Flush() == nil {
				outcome = kserve.OutcomeCompleted
			}
		case end == engine.Full || end == engine.TooBig:
			respond(http.StatusServiceUnavailable, kserve.AttemptResult{Outcome: kserve.OutcomeFull, Error: end.String()})
		case end == engine.NoKVCache:
			respond(http.StatusServiceUnavailable,
				kserve.AttemptResult{Outcome: kserve.OutcomeNoKVCache, Error: "no state could be fetched"})
		default: // the process died or the work was dropped: abort the connection
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// releaseKVCache ends the holding of a request's KV cache and reports whether one was held. If a fetch is in
// progress, the release waits for its failure, unless the reason is the fetch itself.
func (b *Backend) releaseKVCache(startNumber uint64, key, reason string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.StartNumber != startNumber || !b.running {
		return false
	}
	try, held := b.heldTries[key]
	if !held {
		return false
	}
	if b.engine.KVCacheMoving(key) && reason != "taken" {
		b.releaseAfterFetch[key] = true
		return true
	}
	delete(b.heldTries, key)
	delete(b.releaseAfterFetch, key)
	b.engine.ReleaseKVCache(key)
	b.wakeEngine()
	b.fleet.Record.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try,
		Detail: reason})
	return true
}

// handleRelease releases the KV caches of the requests that a dispatcher lists, and remembers the releases.
func (b *Backend) handleRelease(w http.ResponseWriter, r *http.Request) {
	entries, err := kserve.ReadReleases(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	_, _, startNumber := b.Uptime()
	released := 0
	for _, entry := range entries {
		b.mu.Lock()
		b.releases[entry.RequestKey] = releaseRecord{entry.LastAttempt, b.fleet.Record.Elapsed()}
		if len(b.releases) > maxReleases {
			for key, release := range b.releases {
				if b.fleet.Record.Elapsed()-release.releasedAt > releaseRetention {
					delete(b.releases, key)
				}
			}
		}
		b.mu.Unlock()
		if b.releaseKVCache(startNumber, entry.RequestKey, "released") {
			released++
		}
	}
	kserve.WriteJSON(w, http.StatusOK, map[string]int{"released": released})
}

// releaseRecord remembers a release for prefill attempts of the same request that end after it: attempts up to
// this number don't hold a KV cache.
type releaseRecord struct {
	attempt    int
	releasedAt time.Duration
}

const (
	maxReleases      = 4096 // above it, releases older than releaseRetention are dropped
	releaseRetention = 30 * time.Second
)

// handleFetch transfers a held KV cache to a decode backend, which takes as long as the links need. The cache
// stays held until the transfer is complete.
func (b *Backend) handleFetch(w http.ResponseWriter, r *http.Request) {
	key, err := kserve.ReadKVFetch(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	b.mu.Lock()
	startNumber := b.StartNumber
	tokens, held := 0, false
	if b.running {
		tokens, held = b.engine.HeldKVCache(key)
	}
	if !held {
		b.mu.Unlock()
		kserve.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such state waits"})
		return
	}
	b.engine.SetKVCacheMoving(key, true)
	b.mu.Unlock()
	if b.fleet.transfer(r.Context(), b, r.Header.Get("Rack"), r.Header.Get("Zone"), float64(tokens)) != nil {
		b.mu.Lock()
		releaseNow := b.releaseAfterFetch[key]
		if b.StartNumber == startNumber && b.running {
			b.engine.SetKVCacheMoving(key, false)
		}
		b.mu.Unlock()
		if releaseNow {
			b.releaseKVCache(startNumber, key, "released")
		}
		return
	}
	if b.releaseKVCache(startNumber, key, "taken") {
		kserve.WriteJSON(w, http.StatusOK, map[string]int{"tokens": tokens})
	}
}

// fetchKVCache fetches the KV cache from the prefill backend that the attempt names, at whichever of its addresses
// responds.
func (b *Backend) fetchKVCache(ctx context.Context, attempt kserve.AttemptParams) error {
	if len(attempt.KVCacheAddresses) == 0 {
		return errors.New("fetching the KV cache: the attempt names no prefill address")
	}
	conn, err := b.fleet.prefillPool(attempt.PrefillBackend, attempt.KVCacheAddresses).Get(ctx)
	if err != nil {
		return err
	}
	request, err := kserve.NewKVFetchRequest(ctx, connpool.URL(attempt.PrefillBackend), b.fleet.Terms.Model,
		attempt.RequestKey())
	if err != nil {
		return err
	}
	request.Header.Set("Rack", b.Rack)
	request.Header.Set("Zone", b.Zone)
	resp, err := conn.Do(ctx, request)
	if err != nil {
		conn.ReportFailed()
		return err
	}
	conn.ReportServed()
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fetching the KV cache: the prefill backend answered %s", resp.Status)
	}
	return nil
}
