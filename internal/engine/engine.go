// Package engine models an LLM inference server: a step-based scheduler with continuous batching and chunked
// prefill, paged KV memory with reference counts, a prefix cache keyed by chained block hashes, preemption when
// blocks run out, and prefilled KV caches held until a decode backend fetches them. It does no I/O and reads no
// clock: the caller passes the time, so that an engine runs in virtual or in real time alike, and its timings are
// emulated. Begin with Engine.Submit, BeginStep and FinishStep.
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

// Config describes an engine: its roles, capacities and timing model. The presets have the orders of magnitude of
// published deployments of 70B-class models.
type Config struct {
	Prefills, Decodes bool // roles; a mixed backend has both

	Slots       int // jobs that run at once, in prefill or decode
	MaxQueued   int // jobs that may wait for a slot
	Blocks      int // of KV memory
	BlockTokens int // tokens per block
	ChunkTokens int // prompt tokens prefilled in one step at most

	StepTime                 time.Duration // base time of a step
	TimePerSequence          time.Duration // added to a step by each decoding sequence
	TimePer1000ContextTokens time.Duration // added to a step for each 1,000 tokens of their contexts
	PrefillTokensPerSecond   float64       // with nothing else running
	TimePerMillionPairs      time.Duration // attention cost for each million pairs of a prefilled token and one before it

	KVCacheTTL     time.Duration // how long a prefilled KV cache is held; 0: without bound
	SlowStartShare float64       // share of the full speed right after a slow start
	SlowStartRamp  time.Duration // from the end of loading until full speed
	ModelLoadTime  time.Duration // before the first step of a slow start
}

// Validate returns an error that names the settings that are out of range.
func (c Config) Validate() error {
	switch {
	case c.Slots < 1 || c.MaxQueued < 0 || c.Blocks < 1 || c.BlockTokens < 1 || c.ChunkTokens < 1:
		return fmt.Errorf("slots, blocks, block_tokens and chunk must be at least 1, and queue must not be negative")
	case c.StepTime <= 0 || c.PrefillTokensPerSecond <= 0:
		return fmt.Errorf("step and read_tokens_a_second must be above 0")
	case !c.Prefills && !c.Decodes:
		return fmt.Errorf("an engine needs the role prefill, decode, or both")
	}
	return nil
}

// Stage is the part of a request's work that a job does.
type Stage int

const (
	StagePrefill Stage = iota // prefill the prompt and hold its KV cache
	StageDecode               // fetch a KV cache and decode
	StageWhole                // prefill and decode
)

// Outcome tells how a job ended.
type Outcome int

const (
	Done      Outcome = iota // prefilled, or all tokens generated
	Full                     // rejected: slots and queue are full
	NoKVCache                // the KV cache could not be fetched
	TooBig                   // it needs more memory than the engine has
	Cancelled                // cancelled by the caller
	Lost                     // the engine stopped
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"done", "full", "no_state", "too_big", "dropped", "lost"}[o]
}

// Job is one attempt at the engine. The engine calls the job's functions from within its own methods; each may be nil.
type Job struct {
	Key          string // of the request
	Stage        Stage
	Session      uint64
	SharedPrefix uint64
	PromptTokens int
	PrefixTokens int // the part of the prompt that is a shared prefix
	OutputTokens int // length of the output, unknown to the scheduler

	FetchKVCache func(arrived func(ok bool)) // starts a transfer; arrived must be called later with its success
	OnToken      func(n int)                 // the n-th output token is generated, from 1
	OnEnd        func(outcome Outcome, cachedTokens int)

	engine          *Engine
	blocks          []*block
	tokensInMemory  int // of the prompt and of the output so far
	prefilledTokens int // total, repeated prefills included
	targetTokens    int // tokens that must be in memory before the next output token
	cachedTokens    int
	generatedTokens int
	arrivalNumber   uint64
	phase           phase
	fetched         bool
	Preemptions     int // how often it was preempted
}

// Usage returns what the job has cost its engine so far, in tokens: prefilled (again too, after a preemption),
// found in the prefix cache, and generated.
func (job *Job) Usage() (prefilled, cached, generated int) {
	if job.Stage != StageDecode {
		cached = job.cachedTokens
	}
	if job.Stage != StagePrefill {
		generated = job.generatedTokens
	}
	return job.prefilledTokens, cached, generated
}

type phase int

const (
	phaseQueued phase = iota
	phaseFetching
	phasePrefill
	phaseDecode
	phaseEnded
)

// block is one block of KV memory. Full prompt blocks are found by their hash; ref counts the jobs that use the block.
type block struct {
	hash        uint64
	ref         int
	idleElement *list.Element // its place in Engine.idleBlocks
}

// heldKVCache is the KV cache of a prefilled prompt, held until a decode backend fetches it.
type heldKVCache struct {
	job    *Job
	since  time.Duration
	moving bool
}

// CacheEvent reports a change of the prefix cache. Events are numbered without gaps.
type CacheEvent struct {
	Number uint64
	Kind   string // stored, evicted or cleared
	Block  uint64
}

// Engine is one emulated inference server. It is not safe for concurrent use.
type Engine struct {
	Config
	OnCacheEvent     func(CacheEvent)
	OnKVCacheDropped func(key string) // a held KV cache expired, or the engine stopped

	queue         []*Job // by arrival; preempted jobs first
	active        []*Job // jobs that have a slot, by admission
	kvCaches      map[string]*heldKVCache
	kvCacheOrder  []string // keys of kvCaches, oldest first
	cachedBlocks  map[uint64]*block
	freeBlocks    int       // blocks with no content
	idleBlocks    list.List // cached blocks that no job uses, least recently used first
	jobCount      uint64
	eventCount    uint64
	startedAt     time.Duration
	slowStart     bool
	planned       []*Job // jobs of the current step
	plannedTokens []int
	inStep        bool

	// Injected faults.
	Slowdown       float64 // factor on the time of a step; 0 and 1: none
	NeighbourShare float64 // share of the machine that another process takes
	AgingRate      float64 // share of the speed lost each second
	agingSince     time.Duration
	EvictFresh     bool // evict KV caches just fetched under memory pressure

	Counts Counts
}

// Counts are an engine's totals since its start.
type Counts struct {
	Steps, Tokens, ReadTokens, KeptTokens, Preempted, Evicted, Refused, StatesExpired, FreshEvicted int64
	Ends                                                                                            [Lost + 1]int64
}

// Add adds another engine's counts.
func (c *Counts) Add(other Counts) {
	c.Steps, c.Tokens, c.ReadTokens, c.KeptTokens =
		c.Steps+other.Steps, c.Tokens+other.Tokens, c.ReadTokens+other.ReadTokens, c.KeptTokens+other.KeptTokens
	c.Preempted, c.Evicted, c.Refused = c.Preempted+other.Preempted, c.Evicted+other.Evicted, c.Refused+other.Refused
	c.StatesExpired, c.FreshEvicted = c.StatesExpired+other.StatesExpired, c.FreshEvicted+other.FreshEvicted
	for i := range c.Ends {
		c.Ends[i] += other.Ends[i]
	}
}

// New starts an engine at the given time. With slowStart it first loads its model and then ramps up its speed.
func New(config Config, now time.Duration, slowStart bool) *Engine {
	return &Engine{Config: config, kvCaches: map[string]*heldKVCache{}, cachedBlocks: map[uint64]*block{},
		freeBlocks: config.Blocks, startedAt: now, slowStart: slowStart, agingSince: now}
}

// Submit queues a job, or ends it at once if the engine can't take it.
func (e *Engine) Submit(now time.Duration, job *Job) {
	job.engine = e
	e.jobCount++
	job.arrivalNumber = e.jobCount
	switch {
	case job.Stage == StagePrefill && !e.Prefills, job.Stage != StagePrefill && !e.Decodes:
		e.endJob(job, NoKVCache)
	case e.blocksFor(job.PromptTokens+job.OutputTokens) > e.Blocks:
		// It could never finish here: admitting it would only preempt the others again and again.
		e.endJob(job, TooBig)
	case len(e.active) >= e.Slots && len(e.queue) >= e.MaxQueued:
		e.Counts.Refused++
		e.endJob(job, Full)
	default:
		e.queue = append(e.queue, job)
	}
}

func (e *Engine) blocksFor(tokens int) int { return (tokens + e.BlockTokens - 1) / e.BlockTokens }

// blockHashes yields the index and hash of each full block of the job's prompt. A hash covers all blocks before it.
// Blocks within the shared prefix are common to all sessions, the others to one session.
func (e *Engine) blockHashes(job *Job) iter.Seq2[int, uint64] {
	return func(yield func(int, uint64) bool) {
		var raw [24]byte
		previous := uint64(0)
		for i := 0; (i+1)*e.BlockTokens <= job.PromptTokens; i++ {
			owner := job.Session
			if job.SharedPrefix != 0 && (i+1)*e.BlockTokens <= job.PrefixTokens {
				owner = job.SharedPrefix
			}
			if owner == 0 {
				return // no session: not cacheable
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

// CachedTokens returns how many leading tokens of the job's prompt are in the prefix cache.
func (e *Engine) CachedTokens(job *Job) int {
	cached := 0
	for i, hash := range e.blockHashes(job) {
		if e.cachedBlocks[hash] == nil {
			break
		}
		cached = (i + 1) * e.BlockTokens
	}
	return cached
}

// allocateBlock gives the job a block, and evicts the least recently used cached one if none is free. It returns
// false if all blocks are in use.
func (e *Engine) allocateBlock(job *Job) bool {
	if e.freeBlocks == 0 && !e.evictBlock() {
		return false
	}
	e.freeBlocks--
	job.blocks = append(job.blocks, &block{ref: 1})
	return true
}

// evictBlock frees the least recently used cached block that no job uses.
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

// reserveBlocks gives the job the blocks that it lacks for the given number of tokens.
func (e *Engine) reserveBlocks(job *Job, tokens int) bool {
	for len(job.blocks) < e.blocksFor(tokens) {
		if !e.allocateBlock(job) {
			return false
		}
	}
	return true
}

// reuseCachedBlocks gives the job the cached blocks of its prompt. The last prompt token is always computed anew,
// since the first output token follows from it.
func (e *Engine) reuseCachedBlocks(job *Job) {
	for _, hash := range e.blockHashes(job) {
		b := e.cachedBlocks[hash]
		if b == nil || (len(job.blocks)+1)*e.BlockTokens >= job.PromptTokens {
			break
		}
		if b.ref == 0 {
			e.idleBlocks.Remove(b.idleElement)
		}
		b.ref++
		job.blocks = append(job.blocks, b)
	}
	job.tokensInMemory = len(job.blocks) * e.BlockTokens
}

// cachePromptBlocks adds the job's full, prefilled prompt blocks to the prefix cache.
func (e *Engine) cachePromptBlocks(job *Job) {
	for i, hash := range e.blockHashes(job) {
		if i >= len(job.blocks) || (i+1)*e.BlockTokens > job.tokensInMemory {
			break
		}
		if b := job.blocks[i]; b.hash == 0 && e.cachedBlocks[hash] == nil {
			b.hash = hash
			e.cachedBlocks[hash] = b
			e.emitCacheEvent("stored", hash)
		}
	}
}

// releaseBlocks returns the job's blocks. Cached ones stay until they are evicted, the last of a chain first.
func (e *Engine) releaseBlocks(job *Job) {
	for i := len(job.blocks) - 1; i >= 0; i-- {
		b := job.blocks[i]
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
	job.blocks = nil
	job.tokensInMemory = 0
}

// endJob ends a job in whatever phase it is.
func (e *Engine) endJob(job *Job, outcome Outcome) {
	if job.phase == phaseEnded {
		return
	}
	job.phase = phaseEnded
	e.releaseBlocks(job)
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == job })
	e.queue = slices.DeleteFunc(e.queue, func(o *Job) bool { return o == job })
	e.Counts.Ends[outcome]++
	if job.OnEnd != nil {
		job.OnEnd(outcome, job.cachedTokens)
	}
}

// Cancel ends a job with outcome Cancelled.
func (e *Engine) Cancel(job *Job) { e.endJob(job, Cancelled) }

// Stop ends all jobs with outcome Lost, and drops held KV caches and the prefix cache.
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

// DropCache empties the prefix cache. Blocks in use stay with their jobs, but are no longer found by others.
func (e *Engine) DropCache() {
	for hash, b := range e.cachedBlocks {
		if b.ref > 0 {
			b.hash = 0
		} else {
			e.freeBlocks++
			e.idleBlocks.Remove(b.idleElement)
		}
		delete(e.cachedBlocks, hash)
	}
	e.emitCacheEvent("cleared", 0)
}

// admit gives slots to queued jobs in order. A job that finds no memory stays at the head and blocks those behind it.
func (e *Engine) admit(now time.Duration) {
	for len(e.queue) > 0 && len(e.active) < e.Slots {
		job := e.queue[0]
		if job.Stage == StageDecode && !job.fetched {
			if !e.reserveBlocks(job, job.PromptTokens) {
				e.releaseBlocks(job)
				return
			}
			e.queue = e.queue[1:]
			e.active = append(e.active, job)
			job.phase = phaseFetching
			if job.FetchKVCache == nil {
				e.kvCacheArrived(job, false)
			} else {
				job.FetchKVCache(func(ok bool) { e.kvCacheArrived(job, ok) })
			}
			continue
		}
		job.targetTokens = job.PromptTokens + job.generatedTokens
		e.reuseCachedBlocks(job)
		cached := job.tokensInMemory
		if !e.reserveBlocks(job, job.targetTokens) {
			e.releaseBlocks(job)
			return
		}
		if job.generatedTokens == 0 {
			job.cachedTokens = cached
			e.Counts.KeptTokens += int64(cached)
		}
		e.queue = e.queue[1:]
		e.active = append(e.active, job)
		job.phase = phasePrefill
	}
}

// kvCacheArrived handles the end of a KV cache transfer.
func (e *Engine) kvCacheArrived(job *Job, ok bool) {
	if job.phase != phaseFetching {
		return
	}
	if !ok {
		e.endJob(job, NoKVCache)
		return
	}
	job.fetched = true
	if e.EvictFresh && e.freeBlocks+e.idleBlocks.Len() < e.Blocks/8 {
		// Memory pressure evicts the KV cache just fetched: the prompt is prefilled here, as after a preemption.
		e.Counts.FreshEvicted++
		e.preempt(job)
		return
	}
	job.tokensInMemory, job.targetTokens = job.PromptTokens, job.PromptTokens
	job.phase = phaseDecode
	e.cachePromptBlocks(job)
}

// preempt frees the job's memory and returns it to the head of the queue. Its prompt and generated tokens are
// prefilled anew.
func (e *Engine) preempt(job *Job) {
	e.releaseBlocks(job)
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == job })
	job.phase = phaseQueued
	job.Preemptions++
	e.queue = slices.Insert(e.queue, 0, job)
}

// BeginStep plans the next step and returns how long it takes. It returns false if there is nothing to do until a
// job is submitted or a KV cache arrives.
func (e *Engine) BeginStep(now time.Duration) (time.Duration, bool) {
	e.expireKVCaches(now)
	e.admit(now)
	e.planned, e.plannedTokens = e.planned[:0], e.plannedTokens[:0]
	budget := e.ChunkTokens
	sequences, contextTokens, pairs, prefillTokens := 0, 0.0, 0.0, 0
	for _, job := range e.active {
		switch job.phase {
		case phaseDecode:
			sequences++
			contextTokens += float64(job.tokensInMemory)
			e.planned, e.plannedTokens = append(e.planned, job), append(e.plannedTokens, 0)
		case phasePrefill:
			if chunk := min(budget, job.targetTokens-job.tokensInMemory); chunk > 0 {
				budget -= chunk
				prefillTokens += chunk
				pairs += float64(chunk) * (float64(job.tokensInMemory) + float64(chunk)/2)
				e.planned, e.plannedTokens = append(e.planned, job), append(e.plannedTokens, chunk)
			}
		}
	}
	if len(e.planned) == 0 {
		return 0, false
	}
	e.inStep = true
	stepTime := e.StepTime.Seconds() + float64(sequences)*e.TimePerSequence.Seconds() +
		contextTokens/1000*e.TimePer1000ContextTokens.Seconds() +
		float64(prefillTokens)/e.PrefillTokensPerSecond + pairs/1e6*e.TimePerMillionPairs.Seconds()
	return time.Duration(stepTime / e.Speed(now) * float64(time.Second)), true
}

// Speed returns the engine's speed now as a share of its full speed.
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

// LoadTimeLeft returns how long the engine still loads its model.
func (e *Engine) LoadTimeLeft(now time.Duration) time.Duration {
	if !e.slowStart {
		return 0
	}
	return max(e.startedAt+e.ModelLoadTime-now, 0)
}

// SetAgingRate makes the engine lose the given share of its speed each second from now on; 0 restores it.
func (e *Engine) SetAgingRate(now time.Duration, rate float64) { e.AgingRate, e.agingSince = rate, now }

// FinishStep applies the step that BeginStep planned.
func (e *Engine) FinishStep(now time.Duration) {
	e.inStep = false
	e.Counts.Steps++
	planned, plannedTokens := slices.Clone(e.planned), slices.Clone(e.plannedTokens)
	for i, job := range planned {
		if job.phase == phasePrefill && plannedTokens[i] > 0 {
			job.tokensInMemory += plannedTokens[i]
			job.prefilledTokens += plannedTokens[i]
			e.Counts.ReadTokens += int64(plannedTokens[i])
			if job.tokensInMemory < job.targetTokens {
				continue
			}
			e.cachePromptBlocks(job)
			if job.Stage == StagePrefill {
				e.holdKVCache(now, job)
				continue
			}
			job.phase = phaseDecode
			e.decodeToken(job)
		} else if job.phase == phaseDecode && plannedTokens[i] == 0 {
			e.decodeToken(job)
		}
	}
}

// decodeToken adds one token to a job's output.
func (e *Engine) decodeToken(job *Job) {
	for job.phase == phaseDecode && !e.reserveBlocks(job, job.PromptTokens+job.generatedTokens+1) {
		// Out of memory: preempt the newest decoding job, so that the oldest always finishes.
		var newest *Job
		for _, other := range e.active {
			if other.phase == phaseDecode && (newest == nil || other.arrivalNumber > newest.arrivalNumber) {
				newest = other
			}
		}
		e.Counts.Preempted++
		e.preempt(newest)
	}
	if job.phase != phaseDecode {
		return
	}
	job.generatedTokens++
	job.tokensInMemory = job.PromptTokens + job.generatedTokens
	e.Counts.Tokens++
	if job.OnToken != nil {
		job.OnToken(job.generatedTokens)
	}
	if job.phase == phaseDecode && job.generatedTokens >= job.OutputTokens {
		e.endJob(job, Done)
	}
}

// holdKVCache ends a prefill job and holds its KV cache with its blocks.
func (e *Engine) holdKVCache(now time.Duration, job *Job) {
	e.active = slices.DeleteFunc(e.active, func(o *Job) bool { return o == job })
	job.phase = phaseEnded
	if previous := e.kvCaches[job.Key]; previous != nil {
		e.ReleaseKVCache(job.Key)
	}
	e.kvCaches[job.Key] = &heldKVCache{job: job, since: now}
	e.kvCacheOrder = append(e.kvCacheOrder, job.Key)
	e.Counts.Ends[Done]++
	if job.OnEnd != nil {
		job.OnEnd(Done, job.cachedTokens)
	}
}

// expireKVCaches drops KV caches held for longer than KVCacheTTL.
func (e *Engine) expireKVCaches(now time.Duration) {
	for len(e.kvCacheOrder) > 0 {
		held := e.kvCaches[e.kvCacheOrder[0]]
		if e.KVCacheTTL <= 0 || now-held.since < e.KVCacheTTL {
			return
		}
		e.Counts.StatesExpired++
		e.dropKVCache(e.kvCacheOrder[0])
	}
}

// HeldKVCache returns the tokens of a KV cache that is ready to be fetched. It returns false if there is none, or
// if it is being transferred already.
func (e *Engine) HeldKVCache(key string) (tokens int, ok bool) {
	held := e.kvCaches[key]
	if held == nil || held.moving {
		return 0, false
	}
	return held.job.PromptTokens, true
}

// KVCacheMoving tells whether a KV cache is being transferred.
func (e *Engine) KVCacheMoving(key string) bool {
	held := e.kvCaches[key]
	return held != nil && held.moving
}

// SetKVCacheMoving marks a KV cache as being transferred or, after a failed transfer, as ready again.
func (e *Engine) SetKVCacheMoving(key string, moving bool) {
	if held := e.kvCaches[key]; held != nil {
		held.moving = moving
	}
}

// ReleaseKVCache frees a held KV cache. It returns false if there is none.
func (e *Engine) ReleaseKVCache(key string) bool {
	held := e.kvCaches[key]
	if held == nil {
		return false
	}
	delete(e.kvCaches, key)
	e.kvCacheOrder = slices.DeleteFunc(e.kvCacheOrder, func(k string) bool { return k == key })
	e.releaseBlocks(held.job)
	return true
}

// dropKVCache releases a KV cache on the engine's own account and reports it through OnKVCacheDropped.
func (e *Engine) dropKVCache(key string) {
	if e.ReleaseKVCache(key) && e.OnKVCacheDropped != nil {
		e.OnKVCacheDropped(key)
	}
}

// LoadReport returns the values that a load report may hold: the share of slots in use, queued jobs, jobs and held
// KV caches, the share of blocks in use (x0), and prompt tokens still to prefill in thousands (x1).
func (e *Engine) LoadReport() map[string]float64 {
	waitingTokens := 0
	for _, job := range e.active {
		if job.phase == phasePrefill {
			waitingTokens += job.targetTokens - job.tokensInMemory
		}
	}
	for _, job := range e.queue {
		waitingTokens += job.PromptTokens
	}
	return map[string]float64{
		"util": float64(len(e.active)) / float64(e.Slots), "queue": float64(len(e.queue)),
		"inflight": float64(len(e.active) + len(e.queue) + len(e.kvCaches)),
		"x0":       float64(e.Blocks-e.freeBlocks-e.idleBlocks.Len()) / float64(e.Blocks),
		"x1":       float64(waitingTokens) / 1000,
	}
}

// BlockCounts returns the numbers of free, cached but unused, and used blocks.
func (e *Engine) BlockCounts() (free, idle, used int) {
	seen := map[*block]bool{}
	count := func(job *Job) {
		for _, b := range job.blocks {
			seen[b] = true
		}
	}
	for _, job := range e.active {
		count(job)
	}
	for _, job := range e.queue {
		count(job)
	}
	for _, held := range e.kvCaches {
		count(held.job)
	}
	return e.freeBlocks, e.idleBlocks.Len(), len(seen)
}

// JobCounts returns the numbers of jobs with a slot, queued jobs, and held KV caches.
func (e *Engine) JobCounts() (active, queued, kvCaches int) {
	return len(e.active), len(e.queue), len(e.kvCaches)
}
