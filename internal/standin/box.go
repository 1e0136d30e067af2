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
	"slices"
	"sync"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/record"
)

// Make is how a box is built.
type Make struct {
	Name, Kind, Role, Zone, Rack string
	Slots, Queue, Memory         int
	ReadPerS                     float64       // tokens
	TokenTime                    time.Duration // between tokens of an idle box
	Units                        float64
	Addresses                    []addresses.Spec
	Seed                         uint64
}

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
	gates    []*Gate
	Start    uint64
	started  time.Duration // on the record's clock
	cold     bool
	up       bool
	fell     bool
	drains   bool
	running  int
	line     []chan struct{} // waiting for a slot, first come first
	busy     int             // slots taken
	held     int             // tokens of states and running answers
	states   map[string]*waiting
	letGo    map[string]releasedUpTo
	kept     map[uint64]text
	age      int
	sent     []sent
	reading  *lane
	handlers sync.WaitGroup

	Changed func(*Box) // tells the list
}

type waiting struct {
	tokens int
	try    string
	timer  *time.Timer
	taking bool
	unkept bool // to be let go of once the fetch that is on has failed
}

type text struct{ tokens, age int }

type sent struct {
	at   time.Duration
	work float64
}

// stateLife is how long a state waits for a dispatcher that may have been killed.
const stateLife = 8 * time.Second

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
	b.Start, b.started, b.cold, b.up, b.fell, b.drains = b.fleet.start(), b.fleet.Book.Since(), cold, true, false, false
	b.letGo = map[string]releasedUpTo{}
	b.states, b.kept, b.sent, b.reading = map[string]*waiting{}, map[uint64]text{}, nil, &lane{}
	b.held, b.busy, b.line, b.running = 0, 0, nil, 0
	mux := http.NewServeMux()
	at := "POST /v2/models/" + b.fleet.Terms.Model
	mux.HandleFunc(at+"/generate", b.trip)
	mux.HandleFunc(at+"/generate_stream", b.trip)
	mux.HandleFunc(at+"/release", b.release)
	mux.HandleFunc(at+"/state", b.state)
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
	b.fleet.Book.Put(record.Line{What: record.Up, Box: b.Name, Start: b.Start, Cold: cold})
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
	b.fleet.Book.Put(record.Line{What: record.Down, Box: b.Name, Start: b.Start, Word: why})
	for key, s := range b.states {
		s.timer.Stop()
		b.fleet.Book.Put(record.Line{What: record.Let, Box: b.Name, Key: key, Try: s.try, Word: "lost"})
	}
	b.states = map[string]*waiting{}
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
	return b.fleet.Book.Since() - b.started, b.cold, b.Start
}

// Do changes the faults.
func (b *Box) Do(change func(*Faults)) {
	b.mu.Lock()
	change(&b.faults)
	b.mu.Unlock()
}

// Drain makes it refuse what is new, as the list will tell.
func (b *Box) Drain(on bool) {
	b.mu.Lock()
	b.drains = on
	b.mu.Unlock()
}

// Forget drops the kept texts.
func (b *Box) Forget() {
	b.mu.Lock()
	b.kept = map[uint64]text{}
	b.mu.Unlock()
}

// share is which part of its capacity the box can do now.
func (b *Box) share() float64 {
	r := b.fleet.Terms.Rules
	since := b.fleet.Book.Since() - b.started
	if !b.cold || since >= r.ColdRamp.D() {
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*float64(since)/float64(r.ColdRamp.D())
}

// pace is how many times longer work takes now.
func (b *Box) pace() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.faults.Slow, 1) / b.share()
}

// work is what a trip asks of the box, in seconds of its full capacity: the mean of its grade.
func (b *Box) work(e kserve.Errand) float64 {
	read := b.fleet.leftToRead(e.Grade) / b.ReadPerS
	write := b.fleet.Talk[e.Grade].Answer * b.TokenTime.Seconds() / float64(b.Slots)
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
	r, now := b.fleet.Terms.Rules, b.fleet.Book.Since()
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
	values := map[string]float64{
		"util": float64(b.busy) / float64(b.Slots), "queue": float64(len(b.line)),
		"x0": float64(b.held) / float64(b.Memory), "inflight": float64(b.busy + len(b.line) + len(b.states)),
	}
	var out []float64
	for _, name := range b.fleet.Terms.Report {
		out = append(out, values[name])
	}
	return out
}

// Why work stops.
var (
	errFull   = errors.New("slots and queue are full")
	errKilled = errors.New("the box was killed")
)

// slot waits for a place among those served at once; tokens of memory go with it.
func (b *Box) slot(ctx context.Context, tokens int) error {
	b.mu.Lock()
	if b.held+tokens > b.Memory {
		b.mu.Unlock()
		return errFull
	}
	if b.busy < b.Slots && len(b.line) == 0 {
		b.busy++
		b.held += tokens
		b.mu.Unlock()
		return nil
	}
	if len(b.line) >= b.Queue {
		b.mu.Unlock()
		return errFull
	}
	turn := make(chan struct{})
	b.line = append(b.line, turn)
	b.held += tokens
	b.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.line, turn); i >= 0 {
		b.line = slices.Delete(b.line, i, i+1)
		b.held -= tokens
		return ctx.Err()
	}
	b.giveBack(tokens) // its turn came in the same moment
	return ctx.Err()
}

// leave gives a slot on.
func (b *Box) leave(start uint64, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Start == start {
		b.giveBack(tokens)
	}
}

func (b *Box) giveBack(tokens int) {
	b.held -= tokens
	if len(b.line) > 0 {
		close(b.line[0])
		b.line = b.line[1:]
		return
	}
	b.busy--
}

// keep remembers the texts of a prompt and tells how much of it was kept before.
func (b *Box) keep(e kserve.Errand) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := 0
	for _, key := range []uint64{e.Session, e.Shared} {
		if t, ok := b.kept[key]; ok && key != 0 {
			found = max(found, min(t.tokens, e.Tokens))
		}
	}
	b.age++
	if e.Session != 0 {
		b.kept[e.Session] = text{e.Tokens, b.age}
	}
	if e.Shared != 0 {
		b.kept[e.Shared] = text{e.Prefix, b.age}
	}
	sum := 0
	for _, t := range b.kept {
		sum += t.tokens
	}
	for sum > b.Memory/2 { // the longest unused goes first
		oldest, at := uint64(0), text{}
		for key, t := range b.kept {
			if oldest == 0 || t.age < at.age {
				oldest, at = key, t
			}
		}
		delete(b.kept, oldest)
		sum -= at.tokens
	}
	return found
}

// trip serves one trip from its bytes to its end.
func (b *Box) trip(w http.ResponseWriter, r *http.Request) {
	e, _, err := kserve.ReadErrand(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		kserve.WriteFault(w, err)
		return
	}
	line := record.Line{Box: b.Name, Try: e.Mark, Grade: e.Grade, Key: e.Key(), Stage: e.Stage, Trip: e.Trip}
	put := func(what, word string) {
		l := line
		l.What, l.Word = what, word
		b.fleet.Book.Put(l)
	}
	work := b.work(e)
	got := line
	got.What, got.Work = record.Trip, work
	if c := connOf(r.Context()); c != nil {
		got.Address = c.gate.Spec.String()
		arrived, gone := c.times()
		got.Arrived = b.fleet.Book.Stamp(arrived)
		if !gone.IsZero() {
			// Its dispatcher has closed already: such a trip is not begun.
			got.Gone = b.fleet.Book.Stamp(gone)
			b.fleet.Book.Put(got)
			put(record.End, "dropped")
			return
		}
	}
	b.fleet.Book.Put(got)
	// Whoever asked may go while the box works on: that is taken down on its own.
	unwatch := context.AfterFunc(r.Context(), func() { put(record.Closed, "") })
	defer unwatch()
	word := "broke"
	defer func() { put(record.End, word) }()

	b.mu.Lock()
	start, faults, drains := b.Start, b.faults, b.drains
	fails := b.rng.Float64() < faults.Fail && (faults.FailGrade == "" || faults.FailGrade == e.Grade)
	resets, resetsNow := b.rng.Float64() < faults.Reset, b.rng.Float64() < faults.ResetAtOnce
	crashes := b.rng.Float64() < faults.CrashAfterRead
	b.mu.Unlock()
	if b.weigh(work) {
		b.fleet.Book.Put(record.Line{What: record.Fell, Box: b.Name, Start: start})
		go b.Kill("pushed over")
		panic(http.ErrAbortHandler)
	}
	effect := func() {
		if b.fleet.runs(b, e.Grade, cmp.Or(e.Mark, e.Key())) {
			put(record.Ran, "")
		} else {
			put(record.Repeat, "")
		}
	}
	answer := func(status int, told kserve.Told) {
		told.Load = b.load()
		word = told.Outcome
		kserve.WriteJSON(w, status, told)
	}
	ctx := r.Context()
	switch {
	case drains:
		answer(http.StatusServiceUnavailable, kserve.Told{Outcome: kserve.OutcomeFull, Error: "draining"})
		return
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
		ctx = context.WithoutCancel(ctx)
	}
	tokens := e.Tokens
	if e.Stage != kserve.StageRead {
		tokens += e.Most / 4
	}
	if err := b.slot(ctx, tokens); err == errFull {
		answer(http.StatusServiceUnavailable, kserve.Told{Outcome: kserve.OutcomeFull, Error: err.Error()})
		return
	} else if err != nil {
		return
	}
	if e.Stage == kserve.StageRead {
		b.read(ctx, w, e, start, crashes, answer)
		return
	}
	defer b.leave(start, tokens)
	kept := 0
	if e.Stage == kserve.StageWrite {
		err := b.fetch(ctx, e)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			answer(http.StatusServiceUnavailable, kserve.Told{Outcome: kserve.OutcomeNoState, Error: err.Error()})
			return
		}
		b.keep(e)
	} else if kept, err = b.readHere(ctx, e); err != nil {
		return
	}
	effect()
	if resetsNow {
		panic(http.ErrAbortHandler)
	}
	word = b.stream(ctx, w, e, kept, resets)
}

// readHere reads what is not kept, one prompt after the other.
func (b *Box) readHere(ctx context.Context, e kserve.Errand) (kept int, err error) {
	kept = b.keep(e)
	left := float64(e.Tokens - kept)
	b.fleet.sawRead(e.Grade, left)
	b.mu.Lock()
	reading := b.reading
	b.mu.Unlock()
	return kept, reading.use(ctx, seconds(left/b.ReadPerS*b.pace()))
}

// read keeps the state of a prompt until it is taken or let go.
func (b *Box) read(ctx context.Context, w http.ResponseWriter, e kserve.Errand, start uint64, crashes bool, answer func(int, kserve.Told)) {
	kept, err := b.readHere(ctx, e)
	if err != nil {
		b.leave(start, e.Tokens)
		return
	}
	key := e.Key()
	b.mu.Lock()
	if !b.up || b.Start != start {
		b.mu.Unlock()
		return
	}
	if l, ok := b.letGo[key]; ok && e.Trip <= l.trip {
		b.giveBack(e.Tokens)
		b.mu.Unlock()
		return // it was released before it was read
	}
	b.held += e.Tokens // the slot is given on, the state stays
	b.giveBack(e.Tokens)
	s := &waiting{tokens: e.Tokens, try: e.Mark}
	s.timer = time.AfterFunc(stateLife, func() { b.let(start, key, "expired") })
	b.states[key] = s
	b.mu.Unlock()
	b.fleet.Book.Put(record.Line{What: record.Held, Box: b.Name, Key: key, Try: e.Mark, Grade: e.Grade})
	answer(http.StatusOK, kserve.Told{Outcome: kserve.OutcomeRead, Kept: kept})
	http.NewResponseController(w).Flush()
	if crashes {
		// A moment later, so that the dispatcher knows of the read and sends on.
		time.AfterFunc(2*time.Millisecond, func() { b.Kill("crashed after reading") })
	}
}

// let ends the waiting of a state; false if none waits.
func (b *Box) let(start uint64, key, why string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[key]
	if s == nil || b.Start != start || !b.up {
		return false
	}
	if s.taking && why != "taken" {
		s.unkept = true
		return true
	}
	s.timer.Stop()
	delete(b.states, key)
	b.held -= s.tokens
	b.fleet.Book.Put(record.Line{What: record.Let, Box: b.Name, Key: key, Try: s.try, Word: why})
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
		b.letGo[x.Key] = releasedUpTo{x.Trip, b.fleet.Book.Since()}
		if len(b.letGo) > letGoMost {
			for key, l := range b.letGo {
				if b.fleet.Book.Since()-l.at > letGoTime {
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
	s, start := b.states[key], b.Start
	if s == nil || s.taking {
		b.mu.Unlock()
		kserve.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such state waits"})
		return
	}
	s.taking = true
	b.mu.Unlock()
	if b.fleet.move(r.Context(), b, r.Header.Get("Rack"), r.Header.Get("Zone"), float64(s.tokens)) != nil {
		b.mu.Lock()
		s.taking = false
		unkept := s.unkept
		b.mu.Unlock()
		if unkept {
			b.let(start, key, "released")
		}
		return
	}
	if b.let(start, key, "taken") {
		kserve.WriteJSON(w, http.StatusOK, map[string]int{"tokens": s.tokens})
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

// stream answers token by token and returns how it ended.
func (b *Box) stream(ctx context.Context, w http.ResponseWriter, e kserve.Errand, kept int, resets bool) string {
	w.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(w)
	n := b.fleet.answerTokens(e.Grade, e.Mark, e.Most)
	for i := range n {
		if resets && i == n/2 {
			panic(http.ErrAbortHandler)
		}
		if kserve.WriteEvent(w, "", kserve.Token{Model: b.fleet.Terms.Model, Text: " word"}) != nil || ctl.Flush() != nil {
			return "broke"
		}
		b.fleet.holds(ctx)
		b.mu.Lock()
		share := float64(b.busy) / float64(b.Slots)
		reading := b.reading
		b.mu.Unlock()
		took := time.Duration(float64(b.TokenTime) * (0.6 + 0.8*share) * b.pace())
		if reading.waits() > 0 {
			took += took / 2 // a prompt is read between its steps
		}
		if sleep(ctx, took) != nil {
			return "broke"
		}
	}
	if kserve.WriteEvent(w, "end", kserve.Told{Outcome: kserve.OutcomeAnswered, Kept: kept, Load: b.load()}) != nil || ctl.Flush() != nil {
		return "broke"
	}
	return kserve.OutcomeAnswered
}
