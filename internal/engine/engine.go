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

// Config is how an engine is built. The presets' orders of magnitude are of published 70B-class deployments; each value
// stands in a day's file with its unit.
type Config struct {
	Prefills, Decodes bool // roles: a reader has the one, a writer the other, a mixed server both

	Slots       int // answers that run at once, prompts being read among them
	MaxQueued       int // more that may wait
	Blocks      int // of memory
	BlockTokens int // tokens to a block
	ChunkTokens       int // prompt tokens read in one step at most

	StepTime        time.Duration // a step that does nothing else
	TimePerSequence   time.Duration // for each running answer, in each step
	TimePer1000ContextTokens time.Duration // for each 1,000 tokens of their contexts
	PrefillTokensPerSecond    float64       // prompt tokens a second, alone
	TimePerMillionPairs   time.Duration // for each million pairs of a token read and one before it: long prompts cost more

	KVCacheTTL time.Duration // how long a read state waits at most
	SlowStartShare float64       // of its pace, right after a start
	SlowStartRamp  time.Duration // until it has all of it
	ModelLoadTime      time.Duration // of the model, before the first step
}

// Validate names what makes no sense.
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
	StagePrefill  Stage = iota // read the prompt and keep the state
	StageDecode              // take a state that is fetched, and answer
	StageWhole              // read and answer
)

// Outcome is how a job ended.
type Outcome int

const (
	Done    Outcome = iota // read or answered
	Full               // refused: slots and queue
	NoKVCache            // the state could not be had
	TooBig             // it can never have the memory it needs
	Cancelled            // it was cancelled
	Lost               // the engine stopped
)

func (e Outcome) String() string {
	return [...]string{"done", "full", "no_state", "too_big", "dropped", "lost"}[e]
}

// Job is one trip at the engine. The functions are called by the engine while it is being driven; any may be nil.
type Job struct {
	Key     string // of the question
	Stage   Stage
	Session uint64
	SharedPrefix  uint64
	PromptTokens  int
	PrefixTokens  int // of it, the shared beginning
	OutputTokens  int // tokens it will have, which nobody is told

	FetchKVCache func(arrived func(ok bool)) // starts the move of a state; arrived is to be called, later, with how it went
	OnToken func(n int)                 // one more token is out; 1 is the first
	OnEnd func(e Outcome, kept int)

	engine  *Engine
	blocks  []*block
	tokensInMemory    int // tokens of the prompt, and of the answer so far, that are in memory
	prefilledTokens    int // tokens that were read for it, in all
	targetTokens  int // how many have to be before the next token
	cachedTokens    int
	generatedTokens     int // tokens answered
	arrivalNumber    uint64
	phase   phase
	fetched bool
	Preemptions int // how often it was put back
}

// Usage is what the job has cost its engine so far: tokens read (anew too, after it was put back) and found kept, and answer
// tokens made.
func (j *Job) Usage() (prefilled, cached, generated int) {
	if j.Stage != StageDecode {
		cached = j.cachedTokens
	}
	if j.Stage != StagePrefill {
		generated = j.generatedTokens
	}
	return j.prefilledTokens, cached, generated
}

type phase int

const (
	phaseQueued phase = iota
	phaseFetching
	phasePrefill
	phaseDecode
	phaseEnded
)

// block is one block of memory. Whole ones have a hash and are found by it; ref counts who uses it.
type block struct {
	hash uint64
	ref  int
	idleElement *list.Element // its place among those that nobody uses
}

// held is a state that waits at a reader.
type heldKVCache struct {
	job   *Job
	since time.Duration
	moving bool
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
	OnCacheEvent func(CacheEvent)
	OnKVCacheDropped  func(key string) // a state that nobody let go of waits no more: it expired, or the engine stopped

	queue   []*Job // by when they came; those put back first
	active  []*Job // that have a slot, by when they came
	kvCaches  map[string]*heldKVCache
	kvCacheOrder   []string // of states, by when they began to wait
	cachedBlocks    map[uint64]*block
	freeBlocks    int       // blocks that hold nothing
	idleBlocks    list.List // blocks that are kept and used by none, longest unused first
	jobCount    uint64
	eventCount  uint64
	startedAt time.Duration
	slowStart    bool
	planned []*Job // of the step that is on
	plannedTokens  []int
	inStep  bool

	// What may be wrong with it.
	Slowdown       float64 // times; 0 and 1: nothing
	NeighbourShare  float64 // share of the machine that another program takes
	AgingRate      float64 // share by which its pace falls each second
	agingSince   time.Duration
	EvictFresh bool // memory pressure takes a state that has just been fetched

	Counts Counts
}

// Counts are what an engine has done.
type Counts struct {
	Steps, Tokens, ReadTokens, KeptTokens, Preempted, Evicted, Refused, StatesExpired, FreshEvicted int64
	Ends                                                                                            [Lost + 1]int64
}

// Add sums two engines' counts.
func (c *Counts) Add(other Counts) {
	c.Steps, c.Tokens, c.ReadTokens, c.KeptTokens = c.Steps+other.Steps, c.Tokens+other.Tokens, c.ReadTokens+other.ReadTokens, c.KeptTokens+other.KeptTokens
	c.Preempted, c.Evicted, c.Refused = c.Preempted+other.Preempted, c.Evicted+other.Evicted, c.Refused+other.Refused
	c.StatesExpired, c.FreshEvicted = c.StatesExpired+other.StatesExpired, c.FreshEvicted+other.FreshEvicted
	for i := range c.Ends {
		c.Ends[i] += other.Ends[i]
	}
}

// New starts an engine at a time; a cold one ramps up.
func New(config Config, now time.Duration, slowStart bool) *Engine {
	return &Engine{Config: config, kvCaches: map[string]*heldKVCache{}, cachedBlocks: map[uint64]*block{}, freeBlocks: config.Blocks, startedAt: now, slowStart: slowStart, agingSince: now}
}

// Submit takes a job, or ends it at once.
func (e *Engine) Submit(now time.Duration, j *Job) {
	j.engine = e
	e.jobCount++
	j.arrivalNumber = e.jobCount
	switch {
	case j.Stage == StagePrefill && !e.Prefills, j.Stage != StagePrefill && !e.Decodes:
		e.endJob(j, NoKVCache)
	case e.blocksFor(j.PromptTokens+j.OutputTokens) > e.Blocks:
		// It could never be answered here: taking it would only put others back again and again.
		e.endJob(j, TooBig)
	case len(e.active) >= e.Slots && len(e.queue) >= e.MaxQueued:
		e.Counts.Refused++
		e.endJob(j, Full)
	default:
		e.queue = append(e.queue, j)
	}
}

func (e *Engine) blocksFor(tokens int) int { return (tokens + e.BlockTokens - 1) / e.BlockTokens }

// hashes are those of a prompt's whole blocks, each with all before it. A block of the shared beginning is alike in all
// sessions, the rest in one.
func (e *Engine) blockHashes(j *Job) iter.Seq2[int, uint64] {
	return func(yield func(int, uint64) bool) {
		var raw [24]byte
		previous := uint64(0)
		for i := 0; (i+1)*e.BlockTokens <= j.PromptTokens; i++ {
			owner := j.Session
			if j.SharedPrefix != 0 && (i+1)*e.BlockTokens <= j.PrefixTokens {
				owner = j.SharedPrefix
			}
			if owner == 0 {
				return // nothing by which it could be known again
			}
			binary.LittleEndian.PutUint64(raw[:], previous)
			binary.LittleEndian.PutUint64(raw[8:], owner)
			binary.LittleEndian.PutUint64(raw[16:], uint64(i))
			previous = xxhash.Sum64(raw[:])
			if !yield(i, previous) {
				return
			}
		}
	}
}

// KeptFor tells how many tokens of a prompt are kept.
func (e *Engine) CachedTokens(j *Job) int {
	cached := 0
	for i, hash := range e.blockHashes(j) {
		if e.cachedBlocks[hash] == nil {
			break
		}
		cached = (i + 1) * e.BlockTokens
	}
	return cached
}

// take gets a block for a job: a free one, else the kept one that was unused longest. False: all are in use.
func (e *Engine) allocateBlock(j *Job) bool {
	if e.freeBlocks == 0 && !e.evictBlock() {
		return false
	}
	e.freeBlocks--
	j.blocks = append(j.blocks, &block{ref: 1})
	return true
}

// evict frees the kept block that was unused longest.
func (e *Engine) evictBlock() bool {
	if e.idleBlocks.Len() == 0 {
		return false
	}
	oldest, _ := e.idleBlocks.Front().Value.(*block)
	e.idleBlocks.Remove(oldest.idleElement)
	delete(e.cachedBlocks, oldest.hash)
	e.freeBlocks++
	e.Counts.Evicted++
	e.emitCacheEvent("evicted", oldest.hash)
	return true
}

func (e *Engine) emitCacheEvent(kind string, hash uint64) {
	e.eventCount++
	if e.OnCacheEvent != nil {
		e.OnCacheEvent(CacheEvent{e.eventCount, kind, hash})
	}
}

// room gives a job what blocks it lacks for so many tokens.
func (e *Engine) reserveBlocks(j *Job, tokens int) bool {
	for len(j.blocks) < e.blocksFor(tokens) {
		if !e.allocateBlock(j) {
			return false
		}
	}
	return true
}

// adopt lets a job use the blocks that are kept of its prompt; the last token is always read anew, as it makes the next.
func (e *Engine) reuseCachedBlocks(j *Job) {
	for _, hash := range e.blockHashes(j) {
		b := e.cachedBlocks[hash]
		if b == nil || (len(j.blocks)+1)*e.BlockTokens >= j.PromptTokens {
			break
		}
		if b.ref == 0 {
			e.idleBlocks.Remove(b.idleElement)
		}
		b.ref++
		j.blocks = append(j.blocks, b)
	}
	j.tokensInMemory = len(j.blocks) * e.BlockTokens
}

// keep enters a job's whole prompt blocks into the tree, as they have been read.
func (e *Engine) cachePromptBlocks(j *Job) {
	for i, hash := range e.blockHashes(j) {
		if i >= len(j.blocks) || (i+1)*e.BlockTokens > j.tokensInMemory {
			break
		}
		if b := j.blocks[i]; b.hash == 0 && e.cachedBlocks[hash] == nil {
			b.hash = hash
			e.cachedBlocks[hash] = b
			e.emitCacheEvent("stored", hash)
		}
	}
}

// letGo gives a job's blocks back: kept ones stay until they are evicted, the last of a chain to be evicted first.
func (e *Engine) releaseBlocks(j *Job) {
	for i := len(j.blocks) - 1; i >= 0; i-- {
		b := j.blocks[i]
		b.ref--
		if b.ref > 0 {
			continue
		}
		if b.hash != 0 {
			b.idleElement = e.idleBlocks.PushBack(b)
		} else {
			e.freeBlocks++
		}
	}
	j.blocks = nil
	j.tokensInMemory = 0
}

// end ends a job wherever it is.
func (e *Engine) endJob(j *Job, outcome Outcome) {
	if j.phase == phaseEnded {
		return
	}
	j.phase = phaseEnded
	e.releaseBlocks(j)
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == j })
	e.queue = slices.DeleteFunc(e.queue, func(o *Job) bool { return o == j })
	e.Counts.Ends[outcome]++
	if j.OnEnd != nil {
		j.OnEnd(outcome, j.cachedTokens)
	}
}

// Cancel drops a job.
func (e *Engine) Cancel(j *Job) { e.endJob(j, Cancelled) }

// Stop loses all that the engine holds.
func (e *Engine) Stop() {
	for len(e.active) > 0 {
		e.endJob(e.active[0], Lost)
	}
	for len(e.queue) > 0 {
		e.endJob(e.queue[0], Lost)
	}
	for _, key := range slices.Clone(e.kvCacheOrder) {
		e.dropKVCache(key)
	}
	e.DropCache()
}

// DropCache drops all kept blocks that are in no use.
func (e *Engine) DropCache() {
	for h, b := range e.cachedBlocks {
		if b.ref > 0 {
			b.hash = 0
		} else {
			e.freeBlocks++
			e.idleBlocks.Remove(b.idleElement)
		}
		delete(e.cachedBlocks, h)
	}
	e.emitCacheEvent("cleared", 0)
}

// admit gives slots to jobs that wait, first come first. One that finds no memory waits, and all behind it.
func (e *Engine) admit(now time.Duration) {
	for len(e.queue) > 0 && len(e.active) < e.Slots {
		j := e.queue[0]
		if j.Stage == StageDecode && !j.fetched {
			if !e.reserveBlocks(j, j.PromptTokens) {
				e.releaseBlocks(j)
				return
			}
			e.queue = e.queue[1:]
			e.active = append(e.active, j)
			j.phase = phaseFetching
			if j.FetchKVCache == nil {
				e.kvCacheArrived(j, false)
			} else {
				j.FetchKVCache(func(ok bool) { e.kvCacheArrived(j, ok) })
			}
			continue
		}
		j.targetTokens = j.PromptTokens + j.generatedTokens
		e.reuseCachedBlocks(j)
		cached := j.tokensInMemory
		if !e.reserveBlocks(j, j.targetTokens) {
			e.releaseBlocks(j)
			return
		}
		if j.generatedTokens == 0 {
			j.cachedTokens = cached
			e.Counts.KeptTokens += int64(cached)
		}
		e.queue = e.queue[1:]
		e.active = append(e.active, j)
		j.phase = phasePrefill
	}
}

// arrived takes the end of a state's move.
func (e *Engine) kvCacheArrived(j *Job, ok bool) {
	if j.phase != phaseFetching {
		return
	}
	if !ok {
		e.endJob(j, NoKVCache)
		return
	}
	j.fetched = true
	if e.EvictFresh && e.freeBlocks+e.idleBlocks.Len() < e.Blocks/8 {
		// Pressure takes what has just come: it is read anew here, as after a preemption.
		e.Counts.FreshEvicted++
		e.preempt(j)
		return
	}
	j.tokensInMemory, j.targetTokens = j.PromptTokens, j.PromptTokens
	j.phase = phaseDecode
	e.cachePromptBlocks(j)
}

// putBack frees a job's memory and lets it wait at the head of the queue, to be read anew with what it has answered.
func (e *Engine) preempt(j *Job) {
	e.releaseBlocks(j)
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == j })
	j.phase = phaseQueued
	j.Preemptions++
	e.queue = slices.Insert(e.queue, 0, j)
}

// BeginStep plans the next step and returns how long it takes; false: there is nothing to do until something is submitted
// or arrives.
func (e *Engine) BeginStep(now time.Duration) (time.Duration, bool) {
	e.expireKVCaches(now)
	e.admit(now)
	e.planned, e.plannedTokens = e.planned[:0], e.plannedTokens[:0]
	budget := e.ChunkTokens
	sequences, contextTokens, pairs, prefillTokens := 0, 0.0, 0.0, 0
	for _, j := range e.active {
		switch j.phase {
		case phaseDecode:
			sequences++
			contextTokens += float64(j.tokensInMemory)
			e.planned, e.plannedTokens = append(e.planned, j), append(e.plannedTokens, 0)
		case phasePrefill:
			if chunk := min(budget, j.targetTokens-j.tokensInMemory); chunk > 0 {
				budget -= chunk
				prefillTokens += chunk
				pairs += float64(chunk) * (float64(j.tokensInMemory) + float64(chunk)/2)
				e.planned, e.plannedTokens = append(e.planned, j), append(e.plannedTokens, chunk)
			}
		}
	}
	if len(e.planned) == 0 {
		return 0, false
	}
	e.inStep = true
	stepTime := e.StepTime.Seconds() + float64(sequences)*e.TimePerSequence.Seconds() + contextTokens/1000*e.TimePer1000ContextTokens.Seconds() +
		float64(prefillTokens)/e.PrefillTokensPerSecond + pairs/1e6*e.TimePerMillionPairs.Seconds()
	return time.Duration(stepTime / e.Speed(now) * float64(time.Second)), true
}

// Speed is which part of its full speed the engine has now.
func (e *Engine) Speed(now time.Duration) float64 {
	speed := 1.0
	if uptime := now - e.startedAt - e.ModelLoadTime; e.slowStart && uptime < e.SlowStartRamp {
		speed = e.SlowStartShare + (1-e.SlowStartShare)*max(float64(uptime)/float64(e.SlowStartRamp), 0)
	}
	if e.Slowdown > 1 {
		speed /= e.Slowdown
	}
	speed *= 1 - min(max(e.NeighbourShare, 0), 0.95)
	if e.AgingRate > 0 {
		speed *= math.Pow(1-min(e.AgingRate, 0.5), (now - e.agingSince).Seconds())
	}
	return max(speed, 0.001)
}

// LoadTimeLeft tells how long it still loads its model.
func (e *Engine) LoadTimeLeft(now time.Duration) time.Duration {
	if !e.slowStart {
		return 0
	}
	return max(e.startedAt+e.ModelLoadTime-now, 0)
}

// SetAgingRate begins to slow it down, by a share each second; 0 ends that.
func (e *Engine) SetAgingRate(now time.Duration, rate float64) { e.AgingRate, e.agingSince = rate, now }

// FinishStep applies the step that Begin planned.
func (e *Engine) FinishStep(now time.Duration) {
	e.inStep = false
	e.Counts.Steps++
	planned, plannedTokens := slices.Clone(e.planned), slices.Clone(e.plannedTokens)
	for i, j := range planned {
		if j.phase == phasePrefill && plannedTokens[i] > 0 {
			j.tokensInMemory += plannedTokens[i]
			j.prefilledTokens += plannedTokens[i]
			e.Counts.ReadTokens += int64(plannedTokens[i])
			if j.tokensInMemory < j.targetTokens {
				continue
			}
			e.cachePromptBlocks(j)
			if j.Stage == StagePrefill {
				e.holdKVCache(now, j)
				continue
			}
			j.phase = phaseDecode
			e.decodeToken(j)
		} else if j.phase == phaseDecode && plannedTokens[i] == 0 {
			e.decodeToken(j)
		}
	}
}

// answer adds one token to a running answer.
func (e *Engine) decodeToken(j *Job) {
	for j.phase == phaseDecode && !e.reserveBlocks(j, j.PromptTokens+j.generatedTokens+1) {
		// Memory is out: the newest answer goes back, so that the oldest always comes to its end.
		var newest *Job
		for _, o := range e.active {
			if o.phase == phaseDecode && (newest == nil || o.arrivalNumber > newest.arrivalNumber) {
				newest = o
			}
		}
		e.Counts.Preempted++
		e.preempt(newest)
	}
	if j.phase != phaseDecode {
		return
	}
	j.generatedTokens++
	j.tokensInMemory = j.PromptTokens + j.generatedTokens
	e.Counts.Tokens++
	if j.OnToken != nil {
		j.OnToken(j.generatedTokens)
	}
	if j.phase == phaseDecode && j.generatedTokens >= j.OutputTokens {
		e.endJob(j, Done)
	}
}

// wait lets a read state wait with its blocks.
func (e *Engine) holdKVCache(now time.Duration, j *Job) {
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == j })
	j.phase = phaseEnded
	if old := e.kvCaches[j.Key]; old != nil {
		e.ReleaseKVCache(j.Key)
	}
	e.kvCaches[j.Key] = &heldKVCache{job: j, since: now}
	e.kvCacheOrder = append(e.kvCacheOrder, j.Key)
	e.Counts.Ends[Done]++
	if j.OnEnd != nil {
		j.OnEnd(Done, j.cachedTokens)
	}
}

// expire drops states that waited too long.
func (e *Engine) expireKVCaches(now time.Duration) {
	for len(e.kvCacheOrder) > 0 {
		h := e.kvCaches[e.kvCacheOrder[0]]
		if e.KVCacheTTL <= 0 || now-h.since < e.KVCacheTTL {
			return
		}
		e.Counts.StatesExpired++
		e.dropKVCache(e.kvCacheOrder[0])
	}
}

// HeldKVCache returns the tokens of a state that waits; false: there is none, or it is on its way already.
func (e *Engine) HeldKVCache(key string) (tokens int, ok bool) {
	h := e.kvCaches[key]
	if h == nil || h.moving {
		return 0, false
	}
	return h.job.PromptTokens, true
}

// KVCacheMoving tells whether a state is on its way.
func (e *Engine) KVCacheMoving(key string) bool {
	h := e.kvCaches[key]
	return h != nil && h.moving
}

// SetKVCacheMoving marks a state as on its way, or, if the move failed, as waiting again.
func (e *Engine) SetKVCacheMoving(key string, moving bool) {
	if h := e.kvCaches[key]; h != nil {
		h.moving = moving
	}
}

// ReleaseKVCache lets go of a state.
func (e *Engine) ReleaseKVCache(key string) bool {
	h := e.kvCaches[key]
	if h == nil {
		return false
	}
	delete(e.kvCaches, key)
	e.kvCacheOrder = slices.DeleteFunc(e.kvCacheOrder, func(k string) bool { return k == key })
	e.releaseBlocks(h.job)
	return true
}

// drop lets go of a state by the engine's own doing.
func (e *Engine) dropKVCache(key string) {
	if e.ReleaseKVCache(key) && e.OnKVCacheDropped != nil {
		e.OnKVCacheDropped(key)
	}
}

// LoadReport is what a load report may hold.
func (e *Engine) LoadReport() map[string]float64 {
	waitingTokens := 0
	for _, j := range e.active {
		if j.phase == phasePrefill {
			waitingTokens += j.targetTokens - j.tokensInMemory
		}
	}
	for _, j := range e.queue {
		waitingTokens += j.PromptTokens
	}
	return map[string]float64{
		"util": float64(len(e.active)) / float64(e.Slots), "queue": float64(len(e.queue)), "inflight": float64(len(e.active) + len(e.queue) + len(e.kvCaches)),
		"x0": float64(e.Blocks-e.freeBlocks-e.idleBlocks.Len()) / float64(e.Blocks), "x1": float64(waitingTokens) / 1000,
	}
}

// Memory counts the blocks: free, kept and unused, and in use.
func (e *Engine) BlockCounts() (free, idle, used int) {
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
	for _, h := range e.kvCaches {
		count(h.job)
	}
	return e.freeBlocks, e.idleBlocks.Len(), len(seen)
}

// Held counts its jobs: with a slot, waiting, and states.
func (e *Engine) JobCounts() (active, queued, kvCaches int) {
	return len(e.active), len(e.queue), len(e.kvCaches)
}
