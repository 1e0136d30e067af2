package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{Prefills: true, Decodes: true, Slots: 4, MaxQueued: 4, Blocks: 100, BlockTokens: 16, ChunkTokens: 256, StepTime: 10 * time.Millisecond,
		TimePerSequence: time.Millisecond, PrefillTokensPerSecond: 10000, KVCacheTTL: 5 * time.Second}
}

// drive runs an engine until it is idle, or for the given number of steps.
func drive(e *Engine, now time.Duration, steps int) time.Duration {
	for range steps {
		took, ok := e.BeginStep(now)
		if !ok {
			break
		}
		now += took
		e.FinishStep(now)
	}
	return now
}

// trackedJob is a job that records its tokens and its end.
type trackedJob struct {
	Job
	tokens, ends int
	outcome      Outcome
	cachedTokens int
}

func newJob(stage Stage, session, shared uint64, prompt, prefix, answer int) *trackedJob {
	a := &trackedJob{Job: Job{Key: fmt.Sprint(session, stage, prompt), Stage: stage, Session: session, SharedPrefix: shared, PromptTokens: prompt, PrefixTokens: prefix, OutputTokens: answer}}
	a.OnToken = func(n int) { a.tokens = n }
	a.OnEnd = func(e Outcome, kept int) { a.ends++; a.outcome, a.cachedTokens = e, kept }
	return a
}

func TestJobGeneratesAllTokensAndCachesItsPrompt(t *testing.T) {
	e := New(testConfig(), 0, false)
	a := newJob(StageWhole, 1, 9, 320, 160, 10)
	e.Submit(0, &a.Job)
	now := drive(e, 0, 100)
	if a.ends != 1 || a.outcome != Done || a.tokens != 10 || a.cachedTokens != 0 {
		t.Errorf("%+v", a)
	}
	// Two steps prefill 320 tokens in chunks of 256, the second of them with the first output token; nine more decode.
	if want := 11*10*time.Millisecond + 32*time.Millisecond + 9*time.Millisecond; now != want {
		t.Errorf("drive() ended at %v, want %v", now, want)
	}
	b := newJob(StageWhole, 2, 9, 320, 160, 1) // another session with the same prefix
	c := newJob(StageWhole, 1, 9, 400, 160, 1) // the same session continues
	e.Submit(now, &b.Job)
	now = drive(e, now, 100)
	e.Submit(now, &c.Job)
	drive(e, now, 100)
	if b.cachedTokens != 160 || c.cachedTokens != 320 {
		t.Errorf("cached %d tokens of a shared prefix of 160, and %d of a session's 320", b.cachedTokens, c.cachedTokens)
	}
}

func TestStepTimeGrowsWithSequencesAndSlowdown(t *testing.T) {
	m := testConfig()
	m.TimePer1000ContextTokens, m.TimePerMillionPairs = time.Millisecond, time.Millisecond
	time1 := func(jobs int, slow float64) time.Duration {
		e := New(m, 0, false)
		e.Slowdown = slow
		for i := range jobs {
			a := newJob(StageWhole, uint64(i+1), 0, 200, 0, 50)
			e.Submit(0, &a.Job)
		}
		now := drive(e, 0, 8)
		took, _ := e.BeginStep(now)
		return took
	}
	if one, four, slow := time1(1, 1), time1(4, 1), time1(4, 3); one >= four || slow < 2*four {
		t.Errorf("a step takes %v with one sequence, %v with four, %v with four at a third of the speed", one, four, slow)
	}
}

func TestSubmitBeyondSlotsAndQueueIsRejected(t *testing.T) {
	e := New(testConfig(), 0, false)
	full := 0
	for i := range 12 {
		a := newJob(StageWhole, uint64(i+1), 0, 32, 0, 5)
		e.Submit(0, &a.Job)
		if a.outcome == Full && a.ends == 1 {
			full++
		}
		e.BeginStep(0)
	}
	if full != 4 {
		t.Errorf("%d of 12 jobs rejected, want 4: there are 4 slots and 4 places in the queue", full)
	}
	big := newJob(StageWhole, 99, 0, 1601, 0, 1)
	e.Submit(0, &big.Job)
	if big.outcome != TooBig || big.ends != 1 {
		t.Errorf("a prompt larger than the memory ended %v", big.outcome)
	}
}

// When memory runs out the newest job is preempted, repeatedly if need be, and all jobs still finish.
func TestPreemptedJobsFinish(t *testing.T) {
	m := testConfig()
	m.Blocks = 30
	e := New(m, 0, false)
	var all []*trackedJob
	for i := range 4 {
		a := newJob(StageWhole, uint64(i+1), 0, 100, 0, 200)
		all = append(all, a)
		e.Submit(0, &a.Job)
	}
	drive(e, 0, 5000)
	for i, a := range all {
		if a.outcome != Done || a.tokens != 200 {
			t.Errorf("job %d ended %v with %d tokens", i, a.outcome, a.tokens)
		}
	}
	if e.Counts.Preempted == 0 {
		t.Error("no preemption: memory never ran out")
	}
	if all[0].Preemptions > 0 {
		t.Errorf("the oldest job was preempted %d times, want 0", all[0].Preemptions)
	}
}

func TestStatesWaitMoveExpireAndAreLetGo(t *testing.T) {
	e := New(testConfig(), 0, false)
	a := newJob(StagePrefill, 1, 0, 320, 0, 1)
	e.Submit(0, &a.Job)
	now := drive(e, 0, 50)
	if n, ok := e.HeldKVCache(a.Key); !ok || n != 320 || a.outcome != Done {
		t.Fatalf("held KV cache of %d tokens (%v), job ended %v", n, ok, a.outcome)
	}
	e.SetKVCacheMoving(a.Key, true)
	if _, ok := e.HeldKVCache(a.Key); ok {
		t.Error("a KV cache in transfer is offered again")
	}
	e.SetKVCacheMoving(a.Key, false)
	_, _, before := e.BlockCounts()
	e.BeginStep(now + 4*time.Second)
	if _, ok := e.HeldKVCache(a.Key); !ok {
		t.Error("the KV cache expired before its TTL")
	}
	e.BeginStep(now + 6*time.Second)
	_, ok := e.HeldKVCache(a.Key)
	if _, _, after := e.BlockCounts(); ok || before != 20 || after != 0 || e.Counts.StatesExpired != 1 {
		t.Errorf("held %v, blocks in use %d before and %d after, expired %d", ok, before, after, e.Counts.StatesExpired)
	}
}

func TestKVCacheEvictedAfterFetchIsRecomputed(t *testing.T) {
	m := testConfig()
	e := New(m, 0, false)
	e.EvictFresh = true
	hog := newJob(StageWhole, 1, 0, 1450, 0, 60)
	e.Submit(0, &hog.Job)
	now := drive(e, 0, 10)
	a := newJob(StageDecode, 2, 0, 64, 0, 3)
	var arrived func(bool)
	a.FetchKVCache = func(f func(bool)) { arrived = f }
	e.Submit(now, &a.Job)
	e.BeginStep(now)
	if arrived == nil {
		t.Fatal("no KV cache was fetched")
	}
	arrived(true)
	drive(e, now, 500)
	if e.Counts.FreshEvicted != 1 || a.outcome != Done || a.tokens != 3 {
		t.Errorf("evicted %d KV caches, job ended %v with %d tokens", e.Counts.FreshEvicted, a.outcome, a.tokens)
	}
	b := newJob(StageDecode, 3, 0, 64, 0, 3)
	b.FetchKVCache = func(f func(bool)) { f(false) }
	e.Submit(now, &b.Job)
	e.BeginStep(now)
	if b.outcome != NoKVCache {
		t.Errorf("job with a failed KV cache transfer ended %v", b.outcome)
	}
}

func TestSlowStartAgingAndNeighbourSlowTheEngine(t *testing.T) {
	m := testConfig()
	m.SlowStartShare, m.SlowStartRamp, m.ModelLoadTime = 0.25, 10*time.Second, 2*time.Second
	step := func(cold bool, at time.Duration, change func(*Engine)) time.Duration {
		e := New(m, 0, cold)
		if change != nil {
			change(e)
		}
		a := newJob(StageWhole, 1, 0, 16, 0, 5)
		e.Submit(at, &a.Job)
		took, _ := e.BeginStep(at)
		return took
	}
	warm := step(false, 0, nil)
	for what, took := range map[string]time.Duration{
		"in slow start at a quarter": step(true, 2*time.Second, nil), "beside another process": step(false, 0, func(e *Engine) { e.NeighbourShare = 0.75 }),
		"after aging": step(false, 28*time.Second, func(e *Engine) { e.SetAgingRate(0, 0.05) }),
	} {
		if took < 3*warm || took > 6*warm {
			t.Errorf("%s a step takes %v, at full speed %v", what, took, warm)
		}
	}
	if took := step(true, 12*time.Second, nil); took != warm {
		t.Errorf("after its ramp a step takes %v, want %v", took, warm)
	}
	if New(m, 0, true).LoadTimeLeft(500*time.Millisecond) != 1500*time.Millisecond {
		t.Error("LoadTimeLeft() 500ms after a slow start is not 1.5s")
	}
}

// For any order of submissions, cancellations and releases: the number of blocks is constant, no block is freed while in use,
// no job ends more than once, and once nothing more is submitted each job ends.
func TestBlocksAreConservedAndEachJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testConfig()
		m.Blocks, m.Slots = rapid.IntRange(10, 60).Draw(t, "blocks"), rapid.IntRange(1, 6).Draw(t, "slots")
		e := New(m, 0, false)
		stored := map[uint64]bool{}
		number := uint64(0)
		e.OnCacheEvent = func(c CacheEvent) {
			if number++; c.Number != number {
				t.Fatalf("cache event %d follows %d", c.Number, number-1)
			}
			switch c.Kind {
			case "stored":
				if stored[c.Block] {
					t.Fatalf("block %x was stored twice", c.Block)
				}
				stored[c.Block] = true
			case "evicted":
				if !stored[c.Block] {
					t.Fatalf("block %x was evicted without having been stored", c.Block)
				}
				delete(stored, c.Block)
			case "cleared":
				clear(stored)
			}
		}
		now := time.Duration(0)
		var all []*trackedJob
		var arrivals []func(bool)
		check := func() {
			free, idle, used := e.BlockCounts()
			if free+idle+used != m.Blocks || free < 0 || idle < 0 {
				t.Fatalf("%d free, %d cached and %d used of %d blocks", free, idle, used, m.Blocks)
			}
			for h, b := range e.cachedBlocks {
				if b.hash != h || b.ref < 0 || !stored[h] {
					t.Fatalf("cached block %x: hash %x, reference count %d, event sent %v", h, b.hash, b.ref, stored[h])
				}
			}
			for _, a := range all {
				if a.ends > 1 {
					t.Fatalf("%s ended %d times", a.Key, a.ends)
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				prompt := rapid.IntRange(1, 400).Draw(t, "prompt")
				a := newJob(Stage(rapid.IntRange(0, 2).Draw(t, "stage")), uint64(rapid.IntRange(0, 4).Draw(t, "session")), uint64(rapid.IntRange(0, 2).Draw(t, "shared")),
					prompt, rapid.IntRange(0, prompt).Draw(t, "prefix"), rapid.IntRange(1, 120).Draw(t, "answer"))
				a.Key = fmt.Sprint(i)
				a.FetchKVCache = func(f func(bool)) { arrivals = append(arrivals, f) }
				all = append(all, a)
				e.Submit(now, &a.Job)
			case 3:
				if len(all) > 0 {
					if a := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]; a.ends == 0 {
						e.Cancel(&a.Job)
					}
				}
			case 4:
				e.ReleaseKVCache(fmt.Sprint(rapid.IntRange(0, 80).Draw(t, "key")))
			case 5:
				if len(arrivals) > 0 {
					arrivals[0](rapid.Bool().Draw(t, "ok"))
					arrivals = arrivals[1:]
				}
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					e.DropCache()
				}
			default:
				now = drive(e, now, rapid.IntRange(1, 30).Draw(t, "drive"))
			}
			check()
		}
		for range 200 {
			now = drive(e, now, 500) + m.KVCacheTTL
			for _, f := range arrivals {
				f(true)
			}
			arrivals = nil
			check()
		}
		for _, a := range all {
			if a.ends != 1 {
				t.Fatalf("%s (stage %d, prompt %d, answer %d) never ended", a.Key, a.Stage, a.PromptTokens, a.OutputTokens)
			}
		}
		e.Stop()
		if free, idle, used := e.BlockCounts(); free != m.Blocks || idle+used != 0 {
			t.Fatalf("after Stop(): %d free, %d cached, %d used", free, idle, used)
		}
	})
}
