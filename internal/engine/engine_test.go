package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{Prefills: true, Decodes: true, Slots: 4, MaxQueued: 4, Blocks: 100, BlockTokens: 16, ChunkTokens: 256,
		StepTime: 10 * time.Millisecond, TimePerSequence: time.Millisecond,
		PrefillTokensPerSecond: 10000, KVCacheTTL: 5 * time.Second}
}

// drive runs an engine until it is idle, or for the given number of steps.
func drive(e *Engine, now time.Duration, steps int) time.Duration {
	for range steps {
		stepTime, ok := e.BeginStep(now)
		if !ok {
			break
		}
		now += stepTime
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

func newJob(stage Stage, session, shared uint64, prompt, prefix, output int) *trackedJob {
	tracked := &trackedJob{Job: Job{Key: fmt.Sprint(session, stage, prompt), Stage: stage, Session: session,
		SharedPrefix: shared, PromptTokens: prompt, PrefixTokens: prefix, OutputTokens: output}}
	tracked.OnToken = func(n int) { tracked.tokens = n }
	tracked.OnEnd = func(o Outcome, cached int) { tracked.ends++; tracked.outcome, tracked.cachedTokens = o, cached }
	return tracked
}

func TestJobGeneratesAllTokensAndCachesItsPrompt(t *testing.T) {
	e := New(testConfig(), 0, false)
	first := newJob(StageWhole, 1, 9, 320, 160, 10)
	e.Submit(0, &first.Job)
	now := drive(e, 0, 100)
	if first.ends != 1 || first.outcome != Done || first.tokens != 10 || first.cachedTokens != 0 {
		t.Errorf("%+v", first)
	}
	// Two steps prefill 320 tokens in chunks of 256, the second of them with the first output token; nine more decode.
	if want := 11*10*time.Millisecond + 32*time.Millisecond + 9*time.Millisecond; now != want {
		t.Errorf("drive() ended at %v, want %v", now, want)
	}
	otherSession := newJob(StageWhole, 2, 9, 320, 160, 1) // another session with the same prefix
	sameSession := newJob(StageWhole, 1, 9, 400, 160, 1)  // the same session continues
	e.Submit(now, &otherSession.Job)
	now = drive(e, now, 100)
	e.Submit(now, &sameSession.Job)
	drive(e, now, 100)
	if otherSession.cachedTokens != 160 || sameSession.cachedTokens != 320 {
		t.Errorf("cached %d tokens of a shared prefix of 160, and %d of a session's 320", otherSession.cachedTokens,
			sameSession.cachedTokens)
	}
}

func TestStepTimeGrowsWithSequencesAndSlowdown(t *testing.T) {
	config := testConfig()
	config.TimePer1000ContextTokens, config.TimePerMillionPairs = time.Millisecond, time.Millisecond
	stepTime := func(jobs int, slow float64) time.Duration {
		e := New(config, 0, false)
		e.Slowdown = slow
		for i := range jobs {
			a := newJob(StageWhole, uint64(i+1), 0, 200, 0, 50)
			e.Submit(0, &a.Job)
		}
		now := drive(e, 0, 8)
		took, _ := e.BeginStep(now)
		return took
	}
	if one, four, slow := stepTime(1, 1), stepTime(4, 1), stepTime(4, 3); one >= four || slow < 2*four {
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
	config := testConfig()
	config.Blocks = 30
	e := New(config, 0, false)
	var all []*trackedJob
	for i := range 4 {
		tracked := newJob(StageWhole, uint64(i+1), 0, 100, 0, 200)
		all = append(all, tracked)
		e.Submit(0, &tracked.Job)
	}
	drive(e, 0, 5000)
	for i, tracked := range all {
		if tracked.outcome != Done || tracked.tokens != 200 {
			t.Errorf("job %d ended %v with %d tokens", i, tracked.outcome, tracked.tokens)
		}
	}
	if e.Counts.Preempted == 0 {
		t.Error("no preemption: memory never ran out")
	}
	if all[0].Preemptions > 0 {
		t.Errorf("the oldest job was preempted %d times, want 0", all[0].Preemptions)
	}
}

func TestHeldKVCacheIsFetchedOnceAndExpires(t *testing.T) {
	e := New(testConfig(), 0, false)
	prefill := newJob(StagePrefill, 1, 0, 320, 0, 1)
	e.Submit(0, &prefill.Job)
	now := drive(e, 0, 50)
	if n, ok := e.HeldKVCache(prefill.Key); !ok || n != 320 || prefill.outcome != Done {
		t.Fatalf("held KV cache of %d tokens (%v), job ended %v", n, ok, prefill.outcome)
	}
	e.SetKVCacheMoving(prefill.Key, true)
	if _, ok := e.HeldKVCache(prefill.Key); ok {
		t.Error("a KV cache in transfer is offered again")
	}
	e.SetKVCacheMoving(prefill.Key, false)
	_, _, before := e.BlockCounts()
	e.BeginStep(now + 4*time.Second)
	if _, ok := e.HeldKVCache(prefill.Key); !ok {
		t.Error("the KV cache expired before its TTL")
	}
	e.BeginStep(now + 6*time.Second)
	_, ok := e.HeldKVCache(prefill.Key)
	if _, _, after := e.BlockCounts(); ok || before != 20 || after != 0 || e.Counts.StatesExpired != 1 {
		t.Errorf("held %v, blocks in use %d before and %d after, expired %d", ok, before, after, e.Counts.StatesExpired)
	}
}

func TestKVCacheEvictedAfterFetchIsRecomputed(t *testing.T) {
	config := testConfig()
	e := New(config, 0, false)
	e.EvictFresh = true
	large := newJob(StageWhole, 1, 0, 1450, 0, 60)
	e.Submit(0, &large.Job)
	now := drive(e, 0, 10)
	fetching := newJob(StageDecode, 2, 0, 64, 0, 3)
	var arrived func(bool)
	fetching.FetchKVCache = func(f func(bool)) { arrived = f }
	e.Submit(now, &fetching.Job)
	e.BeginStep(now)
	if arrived == nil {
		t.Fatal("no KV cache was fetched")
	}
	arrived(true)
	drive(e, now, 500)
	if e.Counts.FreshEvicted != 1 || fetching.outcome != Done || fetching.tokens != 3 {
		t.Errorf("evicted %d KV caches, job ended %v with %d tokens", e.Counts.FreshEvicted, fetching.outcome,
			fetching.tokens)
	}
	failing := newJob(StageDecode, 3, 0, 64, 0, 3)
	failing.FetchKVCache = func(f func(bool)) { f(false) }
	e.Submit(now, &failing.Job)
	e.BeginStep(now)
	if failing.outcome != NoKVCache {
		t.Errorf("job with a failed KV cache transfer ended %v", failing.outcome)
	}
}

func TestSlowStartAgingAndNeighbourSlowTheEngine(t *testing.T) {
	config := testConfig()
	config.SlowStartShare, config.SlowStartRamp, config.ModelLoadTime = 0.25, 10*time.Second, 2*time.Second
	step := func(slowStart bool, now time.Duration, change func(*Engine)) time.Duration {
		e := New(config, 0, slowStart)
		if change != nil {
			change(e)
		}
		a := newJob(StageWhole, 1, 0, 16, 0, 5)
		e.Submit(now, &a.Job)
		took, _ := e.BeginStep(now)
		return took
	}
	fullSpeed := step(false, 0, nil)
	for what, took := range map[string]time.Duration{
		"in slow start at a quarter": step(true, 2*time.Second, nil), "beside another process": step(false, 0,
			func(e *Engine) { e.NeighbourShare = 0.75 }),
		"after aging": step(false, 28*time.Second, func(e *Engine) { e.SetAgingRate(0, 0.05) }),
	} {
		if took < 3*fullSpeed || took > 6*fullSpeed {
			t.Errorf("%s a step takes %v, at full speed %v", what, took, fullSpeed)
		}
	}
	if took := step(true, 12*time.Second, nil); took != fullSpeed {
		t.Errorf("after its ramp a step takes %v, want %v", took, fullSpeed)
	}
	if New(config, 0, true).LoadTimeLeft(500*time.Millisecond) != 1500*time.Millisecond {
		t.Error("LoadTimeLeft() 500ms after a slow start is not 1.5s")
	}
}

// For any order of submissions, cancellations and releases: the number of blocks is constant, no block is freed
// while in use, no job ends more than once, and once nothing more is submitted each job ends.
func TestBlocksAreConservedAndEachJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.Blocks, config.Slots = rapid.IntRange(10, 60).Draw(t, "blocks"), rapid.IntRange(1, 6).Draw(t, "slots")
		e := New(config, 0, false)
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
			if free+idle+used != config.Blocks || free < 0 || idle < 0 {
				t.Fatalf("%d free, %d cached and %d used of %d blocks", free, idle, used, config.Blocks)
			}
			for h, b := range e.cachedBlocks {
				if b.hash != h || b.ref < 0 || !stored[h] {
					t.Fatalf("cached block %x: hash %x, reference count %d, event sent %v", h, b.hash, b.ref, stored[h])
				}
			}
			for _, tracked := range all {
				if tracked.ends > 1 {
					t.Fatalf("%s ended %d times", tracked.Key, tracked.ends)
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				prompt := rapid.IntRange(1, 400).Draw(t, "prompt")
				tracked := newJob(Stage(rapid.IntRange(0, 2).Draw(t, "stage")), uint64(rapid.IntRange(0, 4).Draw(t, "session")),
					uint64(rapid.IntRange(0, 2).Draw(t, "shared")),
					prompt, rapid.IntRange(0, prompt).Draw(t, "prefix"), rapid.IntRange(1, 120).Draw(t, "answer"))
				tracked.Key = fmt.Sprint(i)
				tracked.FetchKVCache = func(f func(bool)) { arrivals = append(arrivals, f) }
				all = append(all, tracked)
				e.Submit(now, &tracked.Job)
			case 3:
				if len(all) > 0 {
					if tracked := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]; tracked.ends == 0 {
						e.Cancel(&tracked.Job)
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
			now = drive(e, now, 500) + config.KVCacheTTL
			for _, f := range arrivals {
				f(true)
			}
			arrivals = nil
			check()
		}
		for _, tracked := range all {
			if tracked.ends != 1 {
				t.Fatalf("%s (stage %d, prompt %d, answer %d) never ended", tracked.Key, tracked.Stage, tracked.PromptTokens,
					tracked.OutputTokens)
			}
		}
		e.Stop()
		if free, idle, used := e.BlockCounts(); free != config.Blocks || idle+used != 0 {
			t.Fatalf("after Stop(): %d free, %d cached, %d used", free, idle, used)
		}
	})
}
