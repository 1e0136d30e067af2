// Package engine is a model of a language-model server under pressure: a scheduler that works in steps, with chunked
// reading of prompts between the tokens of running answers, memory in blocks with reference counts, kept prefixes as
// a tree of block hashes, preemption when blocks run out, and read states that wait. It is free of I/O and of clocks:
// whoever drives it says what time it is, and runs it in virtual or in real time alike. Its figures are emulated, never
// measured on an engine. Begin with Engine.Submit, Begin and Finish.
package engine

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Make is how an engine is built. The presets' orders of magnitude are of published 70B-class deployments; each value
// stands in a day's file with its unit.
type Config struct {
	Prefills, Decodes bool // roles: a reader has the one, a writer the other, a mixed server both

	Slots       int // answers that run at once, prompts being read among them
	MaxQueued   int // more that may wait
	Blocks      int // of memory
	BlockTokens int // tokens to a block
	ChunkTokens int // prompt tokens read in one step at most

	StepTime                 time.Duration // a step that does nothing else
	TimePerSequence          time.Duration // for each running answer, in each step
	TimePer1000ContextTokens time.Duration // for each 1,000 tokens of their contexts
	PrefillTokensPerSecond   float64       // prompt tokens a second, alone
	TimePerMillionPairs      time.Duration // for each million pairs of a token read and one before it: long prompts cost more

	KVCacheTTL     time.Duration // how long a read state waits at most
	SlowStartShare float64       // of its pace, right after a start
	SlowStartRamp  time.Duration // until it has all of it
	ModelLoadTime  time.Duration // of the model, before the first step
}

// Check names what makes no sense.
func (m Config) Validate() error {
	switch {
	case m.Slots < 1 || m.MaxQueued < 0 || m.Blocks < 1 || m.BlockTokens < 1 || m.ChunkTokens < 1:
		return fmt.Errorf("slots, blocks, block_tokens and chunk must be at least 1, and queue not negative")
	case m.StepTime <= 0 || m.PrefillTokensPerSecond <= 0:
		return fmt.Errorf("step and read_tokens_a_second must be above 0")
	case !m.Prefills && !m.Decodes:
		return fmt.Errorf("an engine reads, writes, or both")
	}
	return nil
}

// Stage is what a job asks.
type Stage int

const (
	StagePrefill Stage = iota // read the prompt and keep the state
	StageDecode               // take a state that is fetched, and answer
	StageWhole                // read and answer
)

// End is how a job ended.
type Outcome int

const (
	Done      Outcome = iota // read or answered
	Full                     // refused: slots and queue
	NoKVCache                // the state could not be had
	TooBig                   // it can never have the memory it needs
	Cancelled                // it was cancelled
	Lost                     // the engine stopped
)

func (e Outcome) String() string {
	return [...]string{"done", "full", "no_state", "too_big", "dropped", "lost"}[e]
}

// Job is one trip at the engine. The functions are called by the engine while it is being driven; any may be nil.
type Job struct {
	Key          string // of the question
	Stage        Stage
	Session      uint64
	SharedPrefix uint64
	PromptTokens int
	PrefixTokens int // of it, the shared beginning
	OutputTokens int // tokens it will have, which nobody is told

	FetchKVCache func(arrived func(ok bool)) // starts the move of a state; arrived is to be called, later, with how it went
	OnToken      func(n int)                 // one more token is out; 1 is the first
	OnEnd        func(e Outcome, kept int)

	engine  *Engine
	blocks  []*block
	read    int // tokens of the prompt, and of the answer so far, that are in memory
	cost    int // tokens that were read for it, in all
	target  int // how many have to be before the next token
	kept    int
	out     int // tokens answered
	came    uint64
	state   phase
	fetched bool
	Preempt int // how often it was put back
}

// Spent is what the job has cost its engine so far: tokens read (anew too, after it was put back) and found kept, and answer
// tokens made.
func (j *Job) Usage() (read, kept, answer int) {
	if j.Stage != StageDecode {
		kept = j.kept
	}
	if j.Stage != StagePrefill {
		answer = j.out
	}
	return j.cost, kept, answer
}

type phase int

const (
	queued phase = iota
	fetching
	reading
	running
	over
)

// block is one block of memory. Whole ones have a hash and are found by it; ref counts who uses it.
type block struct {
	hash uint64
	ref  int
	rest *list.Element // its place among those that nobody uses
}

// held is a state that waits at a reader.
type held struct {
	job   *Job
	since time.Duration
	taken bool
}

// CacheEvent says what became of a kept block; they are numbered without gaps.
type CacheEvent struct {
	Number uint64
	Kind   string // stored, evicted or cleared
	Block  uint64
}

// Engine is one server.
type Engine struct {
	Config
	OnCacheEvent     func(CacheEvent)
	OnKVCacheDropped func(key string) // a state that nobody let go of waits no more: it expired, or the engine stopped

	queue   []*Job // by when they came; those put back first
	active  []*Job // that have a slot, by when they came
	states  map[string]*held
	order   []string // of states, by when they began to wait
	tree    map[uint64]*block
	free    int       // blocks that hold nothing
	rest    list.List // blocks that are kept and used by none, longest unused first
	jobs    uint64
	events  uint64
	started time.Duration
	cold    bool
	planned []*Job // of the step that is on
	chunks  []int
	inStep  bool

	// What may be wrong with it.
	Slowdown       float64 // times; 0 and 1: nothing
	NeighbourShare float64 // share of the machine that another program takes
	AgingRate      float64 // share by which its pace falls each second
	agedFrom       time.Duration
	EvictFresh     bool // memory pressure takes a state that has just been fetched

	Counts Counts
}

// Counts are what an engine has done.
type Counts struct {
	Steps, Tokens, ReadTokens, KeptTokens, Preempted, Evicted, Refused, StatesExpired, FreshEvicted int64
	Ends                                                                                            [Lost + 1]int64
}

// Add sums two engines' counts.
func (c *Counts) Add(o Counts) {
	c.Steps, c.Tokens, c.ReadTokens, c.KeptTokens = c.Steps+o.Steps, c.Tokens+o.Tokens, c.ReadTokens+o.ReadTokens, c.KeptTokens+o.KeptTokens
	c.Preempted, c.Evicted, c.Refused = c.Preempted+o.Preempted, c.Evicted+o.Evicted, c.Refused+o.Refused
	c.StatesExpired, c.FreshEvicted = c.StatesExpired+o.StatesExpired, c.FreshEvicted+o.FreshEvicted
	for i := range c.Ends {
		c.Ends[i] += o.Ends[i]
	}
}

// New starts an engine at a time; a cold one ramps up.
func New(m Config, now time.Duration, cold bool) *Engine {
	return &Engine{Config: m, states: map[string]*held{}, tree: map[uint64]*block{}, free: m.Blocks, started: now, cold: cold, agedFrom: now}
}

// Submit takes a job, or ends it at once.
func (e *Engine) Submit(now time.Duration, j *Job) {
	j.engine = e
	e.jobs++
	j.came = e.jobs
	switch {
	case j.Stage == StagePrefill && !e.Prefills, j.Stage != StagePrefill && !e.Decodes:
		e.end(j, NoKVCache)
	case e.blocksFor(j.PromptTokens+j.OutputTokens) > e.Blocks:
		// It could never be answered here: taking it would only put others back again and again.
		e.end(j, TooBig)
	case len(e.active) >= e.Slots && len(e.queue) >= e.MaxQueued:
		e.Counts.Refused++
		e.end(j, Full)
	default:
		e.queue = append(e.queue, j)
	}
}

func (e *Engine) blocksFor(tokens int) int { return (tokens + e.BlockTokens - 1) / e.BlockTokens }

// hashes are those of a prompt's whole blocks, each with all before it. A block of the shared beginning is alike in all
// sessions, the rest in one.
func (e *Engine) hashes(j *Job) iter.Seq2[int, uint64] {
	return func(yield func(int, uint64) bool) {
		var raw [24]byte
		before := uint64(0)
		for i := 0; (i+1)*e.BlockTokens <= j.PromptTokens; i++ {
			of := j.Session
			if j.SharedPrefix != 0 && (i+1)*e.BlockTokens <= j.PrefixTokens {
				of = j.SharedPrefix
			}
			if of == 0 {
				return // nothing by which it could be known again
			}
			binary.LittleEndian.PutUint64(raw[:], before)
			binary.LittleEndian.PutUint64(raw[8:], of)
			binary.LittleEndian.PutUint64(raw[16:], uint64(i))
			before = xxhash.Sum64(raw[:])
			if !yield(i, before) {
				return
			}
		}
	}
}

// KeptFor tells how many tokens of a prompt are kept.
func (e *Engine) KeptFor(j *Job) int {
	kept := 0
	for i, h := range e.hashes(j) {
		if e.tree[h] == nil {
			break
		}
		kept = (i + 1) * e.BlockTokens
	}
	return kept
}

// take gets a block for a job: a free one, else the kept one that was unused longest. False: all are in use.
func (e *Engine) take(j *Job) bool {
	if e.free == 0 && !e.evict() {
		return false
	}
	e.free--
	j.blocks = append(j.blocks, &block{ref: 1})
	return true
}

// evict frees the kept block that was unused longest.
func (e *Engine) evict() bool {
	if e.rest.Len() == 0 {
		return false
	}
	oldest, _ := e.rest.Front().Value.(*block)
	e.rest.Remove(oldest.rest)
	delete(e.tree, oldest.hash)
	e.free++
	e.Counts.Evicted++
	e.say("evicted", oldest.hash)
	return true
}

func (e *Engine) say(kind string, hash uint64) {
	e.events++
	if e.OnCacheEvent != nil {
		e.OnCacheEvent(CacheEvent{e.events, kind, hash})
	}
}

// room gives a job what blocks it lacks for so many tokens.
func (e *Engine) room(j *Job, tokens int) bool {
	for len(j.blocks) < e.blocksFor(tokens) {
		if !e.take(j) {
			return false
		}
	}
	return true
}

// adopt lets a job use the blocks that are kept of its prompt; the last token is always read anew, as it makes the next.
func (e *Engine) adopt(j *Job) {
	for _, h := range e.hashes(j) {
		b := e.tree[h]
		if b == nil || (len(j.blocks)+1)*e.BlockTokens >= j.PromptTokens {
			break
		}
		if b.ref == 0 {
			e.rest.Remove(b.rest)
		}
		b.ref++
		j.blocks = append(j.blocks, b)
	}
	j.read = len(j.blocks) * e.BlockTokens
}

// keep enters a job's whole prompt blocks into the tree, as they have been read.
func (e *Engine) keep(j *Job) {
	for i, h := range e.hashes(j) {
		if i >= len(j.blocks) || (i+1)*e.BlockTokens > j.read {
			break
		}
		if b := j.blocks[i]; b.hash == 0 && e.tree[h] == nil {
			b.hash = h
			e.tree[h] = b
			e.say("stored", h)
		}
	}
}

// letGo gives a job's blocks back: kept ones stay until they are evicted, the last of a chain to be evicted first.
func (e *Engine) letGo(j *Job) {
	for i := len(j.blocks) - 1; i >= 0; i-- {
		b := j.blocks[i]
		b.ref--
		if b.ref > 0 {
			continue
		}
		if b.hash != 0 {
			b.rest = e.rest.PushBack(b)
		} else {
			e.free++
		}
	}
	j.blocks = nil
	j.read = 0
}

// end ends a job wherever it is.
func (e *Engine) end(j *Job, how Outcome) {
	if j.state == over {
		return
	}
	j.state = over
	e.letGo(j)
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == j })
	e.queue = slices.DeleteFunc(e.queue, func(o *Job) bool { return o == j })
	e.Counts.Ends[how]++
	if j.OnEnd != nil {
		j.OnEnd(how, j.kept)
	}
}

// Cancel drops a job.
func (e *Engine) Cancel(j *Job) { e.end(j, Cancelled) }

// Stop loses all that the engine holds.
func (e *Engine) Stop() {
	for len(e.active) > 0 {
		e.end(e.active[0], Lost)
	}
	for len(e.queue) > 0 {
		e.end(e.queue[0], Lost)
	}
	for _, key := range slices.Clone(e.order) {
		e.drop(key)
	}
	e.DropCache()
}

// Forget drops all kept blocks that are in no use.
func (e *Engine) DropCache() {
	for h, b := range e.tree {
		if b.ref > 0 {
			b.hash = 0
		} else {
			e.free++
			e.rest.Remove(b.rest)
		}
		delete(e.tree, h)
	}
	e.say("cleared", 0)
}

// admit gives slots to jobs that wait, first come first. One that finds no memory waits, and all behind it.
func (e *Engine) admit(now time.Duration) {
	for len(e.queue) > 0 && len(e.active) < e.Slots {
		j := e.queue[0]
		if j.Stage == StageDecode && !j.fetched {
			if !e.room(j, j.PromptTokens) {
				e.letGo(j)
				return
			}
			e.queue = e.queue[1:]
			e.active = append(e.active, j)
			j.state = fetching
			if j.FetchKVCache == nil {
				e.arrived(j, false)
			} else {
				j.FetchKVCache(func(ok bool) { e.arrived(j, ok) })
			}
			continue
		}
		j.target = j.PromptTokens + j.out
		e.adopt(j)
		kept := j.read
		if !e.room(j, j.target) {
			e.letGo(j)
			return
		}
		if j.out == 0 {
			j.kept = kept
			e.Counts.KeptTokens += int64(kept)
		}
		e.queue = e.queue[1:]
		e.active = append(e.active, j)
		j.state = reading
	}
}

// arrived takes the end of a state's move.
func (e *Engine) arrived(j *Job, ok bool) {
	if j.state != fetching {
		return
	}
	if !ok {
		e.end(j, NoKVCache)
		return
	}
	j.fetched = true
	if e.EvictFresh && e.free+e.rest.Len() < e.Blocks/8 {
		// Pressure takes what has just come: it is read anew here, as after a preemption.
		e.Counts.FreshEvicted++
		e.putBack(j)
		return
	}
	j.read, j.target = j.PromptTokens, j.PromptTokens
	j.state = running
	e.keep(j)
}

// putBack frees a job's memory and lets it wait at the head of the queue, to be read anew with what it has answered.
func (e *Engine) putBack(j *Job) {
	e.letGo(j)
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == j })
	j.state = queued
	j.Preempt++
	e.queue = slices.Insert(e.queue, 0, j)
}

// Begin plans the next step and returns how long it takes; false: there is nothing to do until something is submitted
// or arrives.
func (e *Engine) BeginStep(now time.Duration) (time.Duration, bool) {
	e.expire(now)
	e.admit(now)
	e.planned, e.chunks = e.planned[:0], e.chunks[:0]
	budget := e.ChunkTokens
	answers, context, pairs, tokens := 0, 0.0, 0.0, 0
	for _, j := range e.active {
		switch j.state {
		case running:
			answers++
			context += float64(j.read)
			e.planned, e.chunks = append(e.planned, j), append(e.chunks, 0)
		case reading:
			if n := min(budget, j.target-j.read); n > 0 {
				budget -= n
				tokens += n
				pairs += float64(n) * (float64(j.read) + float64(n)/2)
				e.planned, e.chunks = append(e.planned, j), append(e.chunks, n)
			}
		}
	}
	if len(e.planned) == 0 {
		return 0, false
	}
	e.inStep = true
	took := e.StepTime.Seconds() + float64(answers)*e.TimePerSequence.Seconds() + context/1000*e.TimePer1000ContextTokens.Seconds() +
		float64(tokens)/e.PrefillTokensPerSecond + pairs/1e6*e.TimePerMillionPairs.Seconds()
	return time.Duration(took / e.Speed(now) * float64(time.Second)), true
}

// Speed is which part of its full speed the engine has now.
func (e *Engine) Speed(now time.Duration) float64 {
	p := 1.0
	if up := now - e.started - e.ModelLoadTime; e.cold && up < e.SlowStartRamp {
		p = e.SlowStartShare + (1-e.SlowStartShare)*max(float64(up)/float64(e.SlowStartRamp), 0)
	}
	if e.Slowdown > 1 {
		p /= e.Slowdown
	}
	p *= 1 - min(max(e.NeighbourShare, 0), 0.95)
	if e.AgingRate > 0 {
		p *= math.Pow(1-min(e.AgingRate, 0.5), (now - e.agedFrom).Seconds())
	}
	return max(p, 0.001)
}

// Loading tells how long it still loads its model.
func (e *Engine) LoadTimeLeft(now time.Duration) time.Duration {
	if !e.cold {
		return 0
	}
	return max(e.started+e.ModelLoadTime-now, 0)
}

// Age begins to slow it down, by a share each second; 0 ends that.
func (e *Engine) SetAgingRate(now time.Duration, by float64) { e.AgingRate, e.agedFrom = by, now }

// Finish applies the step that Begin planned.
func (e *Engine) FinishStep(now time.Duration) {
	e.inStep = false
	e.Counts.Steps++
	planned, chunks := slices.Clone(e.planned), slices.Clone(e.chunks)
	for i, j := range planned {
		if j.state == reading && chunks[i] > 0 {
			j.read += chunks[i]
			j.cost += chunks[i]
			e.Counts.ReadTokens += int64(chunks[i])
			if j.read < j.target {
				continue
			}
			e.keep(j)
			if j.Stage == StagePrefill {
				e.wait(now, j)
				continue
			}
			j.state = running
			e.answer(j)
		} else if j.state == running && chunks[i] == 0 {
			e.answer(j)
		}
	}
}

// answer adds one token to a running answer.
func (e *Engine) answer(j *Job) {
	for j.state == running && !e.room(j, j.PromptTokens+j.out+1) {
		// Memory is out: the newest answer goes back, so that the oldest always comes to its end.
		var newest *Job
		for _, o := range e.active {
			if o.state == running && (newest == nil || o.came > newest.came) {
				newest = o
			}
		}
		e.Counts.Preempted++
		e.putBack(newest)
	}
	if j.state != running {
		return
	}
	j.out++
	j.read = j.PromptTokens + j.out
	e.Counts.Tokens++
	if j.OnToken != nil {
		j.OnToken(j.out)
	}
	if j.state == running && j.out >= j.OutputTokens {
		e.end(j, Done)
	}
}

// wait lets a read state wait with its blocks.
func (e *Engine) wait(now time.Duration, j *Job) {
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == j })
	j.state = over
	if old := e.states[j.Key]; old != nil {
		e.ReleaseKVCache(j.Key)
	}
	e.states[j.Key] = &held{job: j, since: now}
	e.order = append(e.order, j.Key)
	e.Counts.Ends[Done]++
	if j.OnEnd != nil {
		j.OnEnd(Done, j.kept)
	}
}

// expire drops states that waited too long.
func (e *Engine) expire(now time.Duration) {
	for len(e.order) > 0 {
		h := e.states[e.order[0]]
		if e.KVCacheTTL <= 0 || now-h.since < e.KVCacheTTL {
			return
		}
		e.Counts.StatesExpired++
		e.drop(e.order[0])
	}
}

// Waits returns the tokens of a state that waits; false: there is none, or it is on its way already.
func (e *Engine) HeldKVCache(key string) (tokens int, ok bool) {
	h := e.states[key]
	if h == nil || h.taken {
		return 0, false
	}
	return h.job.PromptTokens, true
}

// Moves tells whether a state is on its way.
func (e *Engine) KVCacheMoving(key string) bool {
	h := e.states[key]
	return h != nil && h.taken
}

// Moving marks a state as on its way, or, if the move failed, as waiting again.
func (e *Engine) SetKVCacheMoving(key string, on bool) {
	if h := e.states[key]; h != nil {
		h.taken = on
	}
}

// Release lets go of a state.
func (e *Engine) ReleaseKVCache(key string) bool {
	h := e.states[key]
	if h == nil {
		return false
	}
	delete(e.states, key)
	e.order = slices.DeleteFunc(e.order, func(k string) bool { return k == key })
	e.letGo(h.job)
	return true
}

// drop lets go of a state by the engine's own doing.
func (e *Engine) drop(key string) {
	if e.ReleaseKVCache(key) && e.OnKVCacheDropped != nil {
		e.OnKVCacheDropped(key)
	}
}

// Report is what a load report may hold.
func (e *Engine) LoadReport() map[string]float64 {
	waiting := 0
	for _, j := range e.active {
		if j.state == reading {
			waiting += j.target - j.read
		}
	}
	for _, j := range e.queue {
		waiting += j.PromptTokens
	}
	return map[string]float64{
		"util": float64(len(e.active)) / float64(e.Slots), "queue": float64(len(e.queue)), "inflight": float64(len(e.active) + len(e.queue) + len(e.states)),
		"x0": float64(e.Blocks-e.free-e.rest.Len()) / float64(e.Blocks), "x1": float64(waiting) / 1000,
	}
}

// Memory counts the blocks: free, kept and unused, and in use.
func (e *Engine) Memory() (free, idle, used int) {
	seen := map[*block]bool{}
	count := func(j *Job) {
		for _, b := range j.blocks {
			seen[b] = true
		}
	}
	for _, j := range e.active {
		count(j)
	}
	for _, j := range e.queue {
		count(j)
	}
	for _, h := range e.states {
		count(h.job)
	}
	return e.free, e.rest.Len(), len(seen)
}

// Held counts its jobs: with a slot, waiting, and states.
func (e *Engine) Held() (active, queued, states int) {
	return len(e.active), len(e.queue), len(e.states)
}
