package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func writer() Config {
	return Config{Prefills: true, Decodes: true, Slots: 4, MaxQueued: 4, Blocks: 100, BlockTokens: 16, ChunkTokens: 256, StepTime: 10 * time.Millisecond,
		TimePerSequence: time.Millisecond, PrefillTokensPerSecond: 10000, KVCacheTTL: 5 * time.Second}
}

// drive runs an engine until it has nothing to do, or for so many steps.
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

// asked is a job that counts what becomes of it.
type asked struct {
	Job
	tokens, ends int
	how          Outcome
	keptThen     int
}

func job(stage Stage, session, shared uint64, prompt, prefix, answer int) *asked {
	a := &asked{Job: Job{Key: fmt.Sprint(session, stage, prompt), Stage: stage, Session: session, SharedPrefix: shared, PromptTokens: prompt, PrefixTokens: prefix, OutputTokens: answer}}
	a.OnToken = func(n int) { a.tokens = n }
	a.OnEnd = func(e Outcome, kept int) { a.ends++; a.how, a.keptThen = e, kept }
	return a
}

func TestAnAnswerHasItsTokensAndLeavesItsPromptKept(t *testing.T) {
	e := New(writer(), 0, false)
	a := job(StageWhole, 1, 9, 320, 160, 10)
	e.Submit(0, &a.Job)
	now := drive(e, 0, 100)
	if a.ends != 1 || a.how != Done || a.tokens != 10 || a.keptThen != 0 {
		t.Errorf("%+v", a)
	}
	// Two steps to read 320 tokens by 256, the second with the first token; nine more.
	if want := 11*10*time.Millisecond + 32*time.Millisecond + 9*time.Millisecond; now != want {
		t.Errorf("took %v, not %v", now, want)
	}
	b := job(StageWhole, 2, 9, 320, 160, 1) // another session with the same beginning
	c := job(StageWhole, 1, 9, 400, 160, 1) // the same one goes on
	e.Submit(now, &b.Job)
	now = drive(e, now, 100)
	e.Submit(now, &c.Job)
	drive(e, now, 100)
	if b.keptThen != 160 || c.keptThen != 320 {
		t.Errorf("kept %d of a shared beginning of 160, %d of a session's 320", b.keptThen, c.keptThen)
	}
}

func TestStepsGrowWithWhatIsDone(t *testing.T) {
	m := writer()
	m.TimePer1000ContextTokens, m.TimePerMillionPairs = time.Millisecond, time.Millisecond
	time1 := func(jobs int, slow float64) time.Duration {
		e := New(m, 0, false)
		e.Slowdown = slow
		for i := range jobs {
			a := job(StageWhole, uint64(i+1), 0, 200, 0, 50)
			e.Submit(0, &a.Job)
		}
		now := drive(e, 0, 8)
		took, _ := e.BeginStep(now)
		return took
	}
	if one, four, slow := time1(1, 1), time1(4, 1), time1(4, 3); one >= four || slow < 2*four {
		t.Errorf("a step takes %v with one answer, %v with four, %v with four and a third of the pace", one, four, slow)
	}
}

func TestPastSlotsAndQueueTheAnswerIsFull(t *testing.T) {
	e := New(writer(), 0, false)
	full := 0
	for i := range 12 {
		a := job(StageWhole, uint64(i+1), 0, 32, 0, 5)
		e.Submit(0, &a.Job)
		if a.how == Full && a.ends == 1 {
			full++
		}
		e.BeginStep(0)
	}
	if full != 4 {
		t.Errorf("%d of 12 were refused, with room for 4 and 4 more", full)
	}
	big := job(StageWhole, 99, 0, 1601, 0, 1)
	e.Submit(0, &big.Job)
	if big.how != TooBig || big.ends != 1 {
		t.Errorf("a prompt larger than the memory: %v", big.how)
	}
}

// When memory runs out the newest goes back, again and again if it must; all come to their end.
func TestThrashEnds(t *testing.T) {
	m := writer()
	m.Blocks = 30
	e := New(m, 0, false)
	var all []*asked
	for i := range 4 {
		a := job(StageWhole, uint64(i+1), 0, 100, 0, 200)
		all = append(all, a)
		e.Submit(0, &a.Job)
	}
	drive(e, 0, 5000)
	for i, a := range all {
		if a.how != Done || a.tokens != 200 {
			t.Errorf("answer %d ended %v with %d tokens", i, a.how, a.tokens)
		}
	}
	if e.Counts.Preempted == 0 {
		t.Error("memory never ran out")
	}
	if all[0].Preempt > 0 {
		t.Errorf("the oldest was put back %d times", all[0].Preempt)
	}
}

func TestStatesWaitMoveExpireAndAreLetGo(t *testing.T) {
	e := New(writer(), 0, false)
	a := job(StagePrefill, 1, 0, 320, 0, 1)
	e.Submit(0, &a.Job)
	now := drive(e, 0, 50)
	if n, ok := e.HeldKVCache(a.Key); !ok || n != 320 || a.how != Done {
		t.Fatalf("%d tokens wait (%v), ended %v", n, ok, a.how)
	}
	e.SetKVCacheMoving(a.Key, true)
	if _, ok := e.HeldKVCache(a.Key); ok {
		t.Error("a state that moves is given twice")
	}
	e.SetKVCacheMoving(a.Key, false)
	_, _, before := e.Memory()
	e.BeginStep(now + 4*time.Second)
	if _, ok := e.HeldKVCache(a.Key); !ok {
		t.Error("it expired early")
	}
	e.BeginStep(now + 6*time.Second)
	_, ok := e.HeldKVCache(a.Key)
	if _, _, after := e.Memory(); ok || before != 20 || after != 0 || e.Counts.StatesExpired != 1 {
		t.Errorf("waits %v, %d blocks used and then %d, expired %d", ok, before, after, e.Counts.StatesExpired)
	}
}

func TestAFetchedStateUnderPressureIsReadAnew(t *testing.T) {
	m := writer()
	e := New(m, 0, false)
	e.EvictFresh = true
	hog := job(StageWhole, 1, 0, 1450, 0, 60)
	e.Submit(0, &hog.Job)
	now := drive(e, 0, 10)
	a := job(StageDecode, 2, 0, 64, 0, 3)
	var arrived func(bool)
	a.FetchKVCache = func(f func(bool)) { arrived = f }
	e.Submit(now, &a.Job)
	e.BeginStep(now)
	if arrived == nil {
		t.Fatal("nothing was fetched")
	}
	arrived(true)
	drive(e, now, 500)
	if e.Counts.FreshEvicted != 1 || a.how != Done || a.tokens != 3 {
		t.Errorf("evicted %d, ended %v with %d tokens", e.Counts.FreshEvicted, a.how, a.tokens)
	}
	b := job(StageDecode, 3, 0, 64, 0, 3)
	b.FetchKVCache = func(f func(bool)) { f(false) }
	e.Submit(now, &b.Job)
	e.BeginStep(now)
	if b.how != NoKVCache {
		t.Errorf("a state that could not be had: %v", b.how)
	}
}

func TestAColdAnAgeingAndASharedEngineAreSlower(t *testing.T) {
	m := writer()
	m.SlowStartShare, m.SlowStartRamp, m.ModelLoadTime = 0.25, 10*time.Second, 2*time.Second
	step := func(cold bool, at time.Duration, change func(*Engine)) time.Duration {
		e := New(m, 0, cold)
		if change != nil {
			change(e)
		}
		a := job(StageWhole, 1, 0, 16, 0, 5)
		e.Submit(at, &a.Job)
		took, _ := e.BeginStep(at)
		return took
	}
	warm := step(false, 0, nil)
	for what, took := range map[string]time.Duration{
		"at a quarter": step(true, 2*time.Second, nil), "beside another program": step(false, 0, func(e *Engine) { e.NeighbourShare = 0.75 }),
		"aged": step(false, 28*time.Second, func(e *Engine) { e.SetAgingRate(0, 0.05) }),
	} {
		if took < 3*warm || took > 6*warm {
			t.Errorf("%s a step takes %v, warm %v", what, took, warm)
		}
	}
	if took := step(true, 12*time.Second, nil); took != warm {
		t.Errorf("after its ramp a step takes %v, not %v", took, warm)
	}
	if New(m, 0, true).LoadTimeLeft(500*time.Millisecond) != 1500*time.Millisecond {
		t.Error("the model loads in no time")
	}
}

// Whatever is asked, cancelled and released, in whatever order: blocks are neither lost nor made, none is freed while it is
// in use, every job ends once at most, and all that is left alone ends.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := writer()
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
					t.Fatalf("block %x was evicted and is not stored", c.Block)
				}
				delete(stored, c.Block)
			case "cleared":
				clear(stored)
			}
		}
		now := time.Duration(0)
		var all []*asked
		var arrivals []func(bool)
		check := func() {
			free, idle, used := e.Memory()
			if free+idle+used != m.Blocks || free < 0 || idle < 0 {
				t.Fatalf("%d free, %d kept and %d used of %d blocks", free, idle, used, m.Blocks)
			}
			for h, b := range e.tree {
				if b.hash != h || b.ref < 0 || !stored[h] {
					t.Fatalf("block %x of the tree: hash %x, used by %d, told %v", h, b.hash, b.ref, stored[h])
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
				a := job(Stage(rapid.IntRange(0, 2).Draw(t, "stage")), uint64(rapid.IntRange(0, 4).Draw(t, "session")), uint64(rapid.IntRange(0, 2).Draw(t, "shared")),
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
		if free, idle, used := e.Memory(); free != m.Blocks || idle+used != 0 {
			t.Fatalf("after the stop %d free, %d kept, %d used", free, idle, used)
		}
	})
}
