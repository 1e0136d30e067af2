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
type Make struct {
	Name, Kind, Role, Zone, Rack string
	Units                        float64
	Addresses                    []addresses.Spec
	Seed                         uint64
	Engine                       engine.Make
}

// Instant is an engine that takes next to no time, for what is not about engines.
var Instant = engine.Make{Reads: true, Writes: true, Slots: 1 << 20, Queue: 1 << 20, Blocks: 1 << 40, BlockTokens: 1 << 20, Chunk: 1 << 30, Step: time.Microsecond,
	ReadPerS: 1e12, StateLife: 8 * time.Second}

// Faults are what a box does wrong just now.
type Faults struct {
	Slow           float64 // times; 0 and 1: none
	Fail           float64 // share of trips answered with an error at once
	FailGrade      string  // only of this grade
	Hang           bool    // takes trips and says nothing
	Reset          float64 // share of answers cut off mid-stream
	ResetAtOnce    float64 // share of writes cut off when they have begun to run, before a token
	CrashAfterRead float64 // share of reads after which it dies
	Ignore         bool    // a cancel does not stop its work
	Neighbour      float64 // share of its machine that another program takes
	AgeBy          float64 // share by which its pace falls each second
	EvictFresh     bool    // memory pressure takes a state that has just been fetched
}

// Box is one stand-in model host.
type Box struct {
	Make
	fleet *Fleet

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	server   *http.Server
	stop     context.CancelFunc
	life     context.Context
	gates    []*Gate
	Start    uint64
	started  time.Duration // on the record's clock
	cold     bool
	up       bool
	fell     bool
	engine   *engine.Engine
	wake     chan struct{}     // the engine may have something to do
	tries    map[string]string // of the states that wait, by key
	unkept   map[string]bool   // states to be let go of once the fetch that is on has failed
	letGo    map[string]releasedUpTo
	sent     []sent
	counts   counts
	handlers sync.WaitGroup
}

type sent struct {
	at   time.Duration
	work float64
}

// NewBox adds a box to the fleet; Boot starts it.
func (f *Fleet) NewBox(m Make) *Box {
	b := &Box{Make: m, fleet: f, rng: chanceOf(m.Seed, m.Name)}
	for _, s := range m.Addresses {
		b.gates = append(b.gates, &Gate{Spec: s})
	}
	return b
}

// Boot starts the box's process; a cold one ramps up.
func (b *Box) Boot(cold bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.up {
		return nil
	}
	front := newDoor()
	for i, g := range b.gates {
		if err := g.Open(front); err != nil {
			for _, g := range b.gates[:i] {
				g.Close()
			}
			return err
		}
	}
	var life context.Context
	life, b.stop = context.WithCancel(context.Background())
	b.life = life
	b.Start, b.started, b.cold, b.up, b.fell = b.fleet.start(), b.fleet.Book.Elapsed(), cold, true, false
	b.letGo, b.tries, b.unkept, b.sent = map[string]releasedUpTo{}, map[string]string{}, map[string]bool{}, nil
	b.engine, b.wake = engine.New(b.Engine, b.started, cold), make(chan struct{}, 1)
	b.apply()
	b.handlers.Add(1)
	go b.drive(life, b.engine, b.wake)
	mux := http.NewServeMux()
	at := "POST /v2/models/" + b.fleet.Terms.Model
	mux.HandleFunc(at+"/generate", b.trip)
	mux.HandleFunc(at+"/generate_stream", b.trip)
	mux.HandleFunc(at+"/release", b.release)
	mux.HandleFunc(at+"/state", b.state)
	mux.HandleFunc(at+"/counts", b.tell)
	mux.HandleFunc("GET /v2", func(w http.ResponseWriter, r *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"name": b.Name})
	})
	b.server = &http.Server{
		Handler: mux, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return life },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, cameBy{}, c)
		},
	}
	server := b.server
	b.handlers.Add(1)
	go func() { defer b.handlers.Done(); server.Serve(front) }()
	b.fleet.Book.Record(record.Event{Kind: record.ProcessStarted, Backend: b.Name, StartID: b.Start, SlowStart: cold})
	return nil
}

// Gate is one of the box's addresses.
func (b *Box) Gate(i int) *Gate { return b.gates[i] }

// listen binds an address that a killed process may have had a moment ago.
func listen(network, addr string) (net.Listener, error) {
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
func (b *Box) Kill(why string) {
	b.mu.Lock()
	if !b.up {
		b.mu.Unlock()
		return
	}
	b.up = false
	b.fleet.Book.Record(record.Event{Kind: record.ProcessEnded, Backend: b.Name, StartID: b.Start, Detail: why})
	for key, try := range b.tries {
		b.fleet.Book.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try, Detail: "lost"})
	}
	clear(b.tries)
	b.engine.Stop()
	b.stop()
	server := b.server
	b.mu.Unlock()
	server.Close()
	for _, g := range b.gates {
		g.Close()
	}
	b.handlers.Wait()
}

// Up tells whether its process runs.
func (b *Box) Up() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up
}

// UpFor is how long it has been up, and whether it started cold.
func (b *Box) UpFor() (time.Duration, bool, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fleet.Book.Elapsed() - b.started, b.cold, b.Start
}

// Do changes the faults.
func (b *Box) Do(change func(*Faults)) {
	b.mu.Lock()
	change(&b.faults)
	b.apply()
	b.mu.Unlock()
}

// apply hands the engine those faults that are its own; the box is locked.
func (b *Box) apply() {
	if b.engine == nil {
		return
	}
	now := b.fleet.Book.Elapsed()
	b.engine.Slow, b.engine.Neighbour, b.engine.EvictFresh = b.faults.Slow, b.faults.Neighbour, b.faults.EvictFresh
	if b.engine.AgeBy != b.faults.AgeBy {
		b.engine.Age(now, b.faults.AgeBy)
	}
}

// Forget drops the kept texts.
func (b *Box) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.up {
		b.engine.Forget()
	}
}

// share is which part of its capacity the box can do now.
func (b *Box) share() float64 {
	r := b.fleet.Terms.Rules
	since := b.fleet.Book.Elapsed() - b.started
	if !b.cold || since >= r.ColdRamp.D() {
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*float64(since)/float64(r.ColdRamp.D())
}

// drive runs an engine's steps in real time until its process ends.
func (b *Box) drive(ctx context.Context, e *engine.Engine, wake chan struct{}) {
	defer b.handlers.Done()
	var due time.Duration // when the step that is on ends, by plan: what a timer oversleeps is not added up
	for {
		b.mu.Lock()
		now := b.fleet.Book.Elapsed()
		wait, ok := e.Loading(now), false
		if wait == 0 {
			wait, ok = e.Begin(max(due, now-maxBehind))
		}
		b.expired()
		b.mu.Unlock()
		switch {
		case ok:
			if due < now-maxBehind {
				due = now
			}
			due += wait
			if sleep(ctx, due-b.fleet.Book.Elapsed()) != nil {
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
			due = b.fleet.Book.Elapsed()
		}
	}
}

// maxBehind is how far a step may lag behind its plan; a machine that lags more plays slower engines.
const maxBehind = 20 * time.Millisecond

// nudge has the engine look for something to do.
func (b *Box) nudge() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// expired takes down the states that the engine has dropped by itself; the box is locked.
func (b *Box) expired() {
	for key, try := range b.tries {
		if _, waits := b.engine.Waits(key); !waits && !b.engine.Moves(key) {
			delete(b.tries, key)
			b.fleet.Book.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try, Detail: "expired"})
		}
	}
}

// work is what a trip asks of the box, in seconds of its full capacity: the mean of its grade.
func (b *Box) work(e kserve.Errand) float64 {
	m := b.Engine
	read := b.fleet.leftToRead(e.Grade) / m.ReadPerS
	step := m.Step.Seconds() + float64(m.Slots)*m.PerAnswer.Seconds() + float64(m.Slots)*m.PerContextK.Seconds()
	write := b.fleet.Talk[e.Grade].Answer * step / float64(m.Slots)
	switch e.Stage {
	case kserve.StageRead:
		return read
	case kserve.StageWrite:
		return write
	}
	return read + write
}

// weigh counts a trip's work against what a cold box bears, and tells whether it falls over.
func (b *Box) weigh(work float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, now := b.fleet.Terms.Rules, b.fleet.Book.Elapsed()
	if !b.cold || now-b.started > r.ColdRamp.D() {
		return false
	}
	b.sent = append(b.sent, sent{now, work})
	for len(b.sent) > 0 && b.sent[0].at < now-r.ColdWindow.D() {
		b.sent = b.sent[1:]
	}
	sum := 0.0
	for _, s := range b.sent {
		sum += s.work
	}
	b.fell = b.fell || sum > r.ColdMultiple*b.share()*r.ColdWindow.D().Seconds()*coldSlack
	return b.fell
}

// coldSlack is a little room for chance in what a cold box bears.
const coldSlack = 1.1

func (b *Box) load() []float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	values := b.engine.Report()
	var out []float64
	for _, name := range b.fleet.Terms.Report {
		out = append(out, values[name])
	}
	return out
}

// run is a job in an engine, as its handler sees it. The engine's calls must not wait: tokens are counted, and written out
// by the handler at the client's pace.
type run struct {
	job    engine.Job
	tokens atomic.Int64
	kept   atomic.Int64
	end    atomic.Int64 // 1 + engine.End
	bell   chan struct{}
}

func (r *run) ring() {
	select {
	case r.bell <- struct{}{}:
	default:
	}
}

// trip serves one trip from its bytes to its end.
func (b *Box) trip(w http.ResponseWriter, r *http.Request) {
	e, _, err := kserve.ReadErrand(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		kserve.WriteFault(w, err)
		return
	}
	line := record.Event{Backend: b.Name, Try: e.Mark, Class: e.Grade, RequestKey: e.Key(), Phase: e.Stage, Attempt: e.Trip}
	put := func(what, word string) {
		l := line
		l.Kind, l.Detail = what, word
		b.fleet.Book.Record(l)
	}
	work := b.work(e)
	got := line
	got.Kind, got.Work = record.AttemptReceived, work
	if c := connOf(r.Context()); c != nil {
		got.Address = c.gate.Spec.String()
		arrived, gone := c.times()
		got.ArrivedUs = b.fleet.Book.TimestampUs(arrived)
		if !gone.IsZero() {
			// Its dispatcher has closed already: such a trip is not begun.
			got.ClosedUs = b.fleet.Book.TimestampUs(gone)
			b.fleet.Book.Record(got)
			put(record.AttemptEnded, "dropped")
			return
		}
	}
	b.fleet.Book.Record(got)
	// Whoever asked may go while the box works on: that is taken down on its own.
	unwatch := context.AfterFunc(r.Context(), func() { put(record.AttemptClosed, "") })
	defer unwatch()
	word := "broke"
	var spent func() (read, kept, answer int)
	count := b.count(e)
	costs := func(end string) *kserve.Count {
		if spent == nil {
			return count(end, 0, 0, 0)
		}
		read, kept, answer := spent()
		return count(end, read, kept, answer)
	}
	defer func() { costs(word); put(record.AttemptEnded, word) }()

	b.mu.Lock()
	start, faults, life := b.Start, b.faults, b.life
	fails := b.rng.Float64() < faults.Fail && (faults.FailGrade == "" || faults.FailGrade == e.Grade)
	resets, resetsNow := b.rng.Float64() < faults.Reset, b.rng.Float64() < faults.ResetAtOnce
	crashes := b.rng.Float64() < faults.CrashAfterRead
	b.mu.Unlock()
	if b.weigh(work) {
		b.fleet.Book.Record(record.Event{Kind: record.Overloaded, Backend: b.Name, StartID: start})
		go b.Kill("pushed over")
		panic(http.ErrAbortHandler)
	}
	effect := func() {
		if b.fleet.runs(b, e.Grade, cmp.Or(e.Mark, e.Key())) {
			put(record.EffectStarted, "")
		} else {
			put(record.DuplicateDropped, "")
		}
	}
	answer := func(status int, told kserve.Told) {
		told.Load = b.load()
		word = told.Outcome
		told.Count = costs(word)
		kserve.WriteJSON(w, status, told)
	}
	ctx := r.Context()
	switch {
	case faults.Hang:
		<-ctx.Done()
		return
	case fails:
		if e.Stage != kserve.StageRead { // an error may come after the effect
			effect()
		}
		answer(http.StatusInternalServerError, kserve.Told{Outcome: kserve.OutcomeFailed, Error: "internal error"})
		return
	}
	if faults.Ignore {
		ctx = life
	}
	j := &run{bell: make(chan struct{}, 1)}
	j.job = engine.Job{Key: e.Key(), Session: e.Session, Shared: e.Shared, Prompt: e.Tokens, Prefix: e.Prefix, Answer: 1}
	switch e.Stage {
	case kserve.StageRead:
		j.job.Stage = engine.Read
	case kserve.StageWrite:
		j.job.Stage = engine.Write
	default:
		j.job.Stage = engine.Whole
	}
	if e.Stage != kserve.StageRead {
		j.job.Answer = b.fleet.answerTokens(e.Grade, e.Mark, e.Most)
	}
	j.job.Token = func(n int) { j.tokens.Store(int64(n)); j.ring() }
	j.job.Ended = func(how engine.End, kept int) {
		j.kept.Store(int64(kept))
		j.end.Store(1 + int64(how))
		j.ring()
	}
	b.mu.Lock()
	if !b.up || b.Start != start {
		b.mu.Unlock()
		return
	}
	eng := b.engine
	j.job.Fetch = func(arrived func(bool)) {
		b.handlers.Add(1)
		go func() {
			defer b.handlers.Done()
			err := b.fetch(ctx, e)
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.engine == eng && b.up {
				arrived(err == nil)
				b.nudge()
			}
		}()
	}
	if e.Stage == kserve.StageRead {
		ended := j.job.Ended
		j.job.Ended = func(how engine.End, kept int) { // the box is locked
			if how == engine.Done {
				if l, ok := b.letGo[e.Key()]; ok && e.Trip <= l.trip {
					eng.Release(e.Key()) // it was released before it was read
					how = engine.Dropped
				} else {
					b.tries[e.Key()] = e.Mark
					b.fleet.Book.Record(record.Event{Kind: record.KVCacheHeld, Backend: b.Name, RequestKey: e.Key(), Try: e.Mark, Class: e.Grade})
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
	eng.Submit(b.fleet.Book.Elapsed(), &j.job)
	b.nudge()
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		if b.engine == eng && b.up {
			eng.Cancel(&j.job)
			b.nudge()
		}
		b.mu.Unlock()
	}()
	out, ctl := 0, http.NewResponseController(w)
	for {
		select {
		case <-j.bell:
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
				b.fleet.holds(ctx)
			}
		}
		if end < 0 {
			continue
		}
		kept := int(j.kept.Load())
		if e.Stage != kserve.StageWrite && end == engine.Done {
			b.fleet.sawRead(e.Grade, float64(e.Tokens-kept))
		}
		switch {
		case end == engine.Done && e.Stage == kserve.StageRead:
			answer(http.StatusOK, kserve.Told{Outcome: kserve.OutcomeRead, Kept: kept})
			ctl.Flush()
			if crashes {
				// A moment later, so that the dispatcher knows of the read and sends on.
				time.AfterFunc(2*time.Millisecond, func() { b.Kill("crashed after reading") })
			}
		case end == engine.Done:
			if kserve.WriteEvent(w, "end", kserve.Told{Outcome: kserve.OutcomeAnswered, Kept: kept, Load: b.load(), Count: costs(kserve.OutcomeAnswered)}) == nil && ctl.Flush() == nil {
				word = kserve.OutcomeAnswered
			}
		case end == engine.Full || end == engine.TooBig:
			answer(http.StatusServiceUnavailable, kserve.Told{Outcome: kserve.OutcomeFull, Error: end.String()})
		case end == engine.NoState:
			answer(http.StatusServiceUnavailable, kserve.Told{Outcome: kserve.OutcomeNoState, Error: "no state could be fetched"})
		default: // the process died, or the work was dropped: the connection says so
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// let ends the waiting of a state; false if none waits.
func (b *Box) let(start uint64, key, why string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Start != start || !b.up {
		return false
	}
	try, held := b.tries[key]
	if !held {
		return false
	}
	if b.engine.Moves(key) && why != "taken" {
		b.unkept[key] = true
		return true
	}
	delete(b.tries, key)
	delete(b.unkept, key)
	b.engine.Release(key)
	b.nudge()
	b.fleet.Book.Record(record.Event{Kind: record.KVCacheReleased, Backend: b.Name, RequestKey: key, Try: try, Detail: why})
	return true
}

func (b *Box) release(w http.ResponseWriter, r *http.Request) {
	list, err := kserve.ReadRelease(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		kserve.WriteFault(w, err)
		return
	}
	_, _, start := b.UpFor()
	done := 0
	for _, x := range list {
		b.mu.Lock()
		b.letGo[x.Key] = releasedUpTo{x.Trip, b.fleet.Book.Elapsed()}
		if len(b.letGo) > letGoMost {
			for key, l := range b.letGo {
				if b.fleet.Book.Elapsed()-l.at > letGoTime {
					delete(b.letGo, key)
				}
			}
		}
		b.mu.Unlock()
		if b.let(start, x.Key, "released") {
			done++
		}
	}
	kserve.WriteJSON(w, http.StatusOK, map[string]int{"released": done})
}

// releasedUpTo remembers a release, for reads of the same question that come after it.
type releasedUpTo struct {
	trip int
	at   time.Duration
}

const (
	letGoMost = 4096
	letGoTime = 30 * time.Second
)

// state gives a waiting state to a writer, which takes as long as the links need; until then it waits on.
func (b *Box) state(w http.ResponseWriter, r *http.Request) {
	key, err := kserve.ReadFetch(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		kserve.WriteFault(w, err)
		return
	}
	b.mu.Lock()
	start := b.Start
	tokens, ok := 0, false
	if b.up {
		tokens, ok = b.engine.Waits(key)
	}
	if !ok {
		b.mu.Unlock()
		kserve.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such state waits"})
		return
	}
	b.engine.Moving(key, true)
	b.mu.Unlock()
	if b.fleet.move(r.Context(), b, r.Header.Get("Rack"), r.Header.Get("Zone"), float64(tokens)) != nil {
		b.mu.Lock()
		unkept := b.unkept[key]
		if b.Start == start && b.up {
			b.engine.Moving(key, false)
		}
		b.mu.Unlock()
		if unkept {
			b.let(start, key, "released")
		}
		return
	}
	if b.let(start, key, "taken") {
		kserve.WriteJSON(w, http.StatusOK, map[string]int{"tokens": tokens})
	}
}

// fetch takes the state from the reader that the trip names, by whichever of its addresses serves.
func (b *Box) fetch(ctx context.Context, e kserve.Errand) error {
	if len(e.State) == 0 {
		return errors.New("no state was named")
	}
	conn, err := b.fleet.reader(e.Reader, e.State).Get(ctx)
	if err != nil {
		return err
	}
	r, err := kserve.NewFetch(ctx, reach.URL(e.Reader), b.fleet.Terms.Model, e.Key())
	if err != nil {
		return err
	}
	r.Header.Set("Rack", b.Rack)
	r.Header.Set("Zone", b.Zone)
	resp, err := conn.Do(ctx, r)
	if err != nil {
		conn.Lost()
		return err
	}
	conn.Served()
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the reader says %s", resp.Status)
	}
	return nil
}
