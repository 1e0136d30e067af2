package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/checker"
	"sloetrestle/internal/day"
	"sloetrestle/internal/fleet"
)

// Run is one stored run.
type Run struct {
	Setting         Setting            `json:"setting"`
	Figures         map[string]float64 `json:"figures"`
	RulesKept       bool               `json:"rules_kept"`
	BrokenRules     []string           `json:"broken,omitempty"`
	Digest          string             `json:"digest,omitempty"`
	Version         string             `json:"version"`
	Machine         string             `json:"machine"`
	Form            string             `json:"form"`
	StartedAt       time.Time          `json:"at"`
	DurationSeconds float64            `json:"took_s"`
	OnTimeShare     []float64          `json:"share,omitempty"` // by second of first submission
	Tries           []float64          `json:"tries,omitempty"`
}

// Store is a database file of experiments.
type Store struct{ db *bbolt.DB }

// OpenStore opens the file, or creates it.
func OpenStore(file string) (*Store, error) {
	db, err := bbolt.Open(file, 0o644, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, fmt.Errorf("open experiment store %s: %w", file, err)
	}
	return &Store{db}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

const planKey = "\x00plan" // sorts before every setting

// Begin registers an experiment. An existing one resumes if its plan is the same, and is an error otherwise.
func (s *Store) Begin(p *Plan) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists([]byte(p.Experiment.Name))
		if err != nil {
			return err
		}
		if old := b.Get([]byte(planKey)); old != nil && string(old) != string(p.raw) {
			return fmt.Errorf("experiment %s is stored with a different plan; use another name", p.Experiment.Name)
		}
		return b.Put([]byte(planKey), p.raw)
	})
}

// Has tells whether the run of a setting is stored.
func (s *Store) Has(name string, setting Setting) bool {
	found := false
	s.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket([]byte(name)); b != nil {
			found = b.Get([]byte(setting.String())) != nil
		}
		return nil
	})
	return found
}

// Put stores a run; it is on disk when Put returns.
func (s *Store) Put(name string, r Run) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(name)).Put([]byte(r.Setting.String()), raw)
	})
}

// Runs lists the stored runs of an experiment in the order of their settings.
func (s *Store) Runs(name string) ([]Run, error) {
	var runs []Run
	err := s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(name))
		if b == nil {
			return fmt.Errorf("experiment %q is not in the store", name)
		}
		return b.ForEach(func(k, v []byte) error {
			if string(k) == planKey {
				return nil
			}
			var r Run
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("decode run %s: %w", k, err)
			}
			runs = append(runs, r)
			return nil
		})
	})
	return runs, err
}

// Names lists the experiments and the number of runs stored of each.
func (s *Store) Names() (names []string, runs map[string]int, err error) {
	runs = map[string]int{}
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			names = append(names, string(name))
			runs[string(name)] = b.Stats().KeyN - 1
			return nil
		})
	})
	return names, runs, err
}

// Execute runs the settings of a plan that have no stored run, and stops between runs when the context ends.
// Virtual runs go in parallel. Runs on sockets go one at a time, since they would compete for the processors.
func Execute(ctx context.Context, store *Store, plan *Plan, version string, stage day.RunOptions,
	logf func(string, ...any)) error {
	if err := store.Begin(plan); err != nil {
		return err
	}
	var missing []Setting
	all := plan.Settings()
	for _, setting := range all {
		if !store.Has(plan.Experiment.Name, setting) {
			missing = append(missing, setting)
		}
	}
	logf("%s: %d runs, %d of them already stored", plan.Experiment.Name, len(all), len(all)-len(missing))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(1)
	if plan.Experiment.Form == "virtual" {
		group.SetLimit(runtime.NumCPU())
	}
	var mu sync.Mutex
	done := 0
	for _, setting := range missing {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			run, err := runOnce(ctx, plan, setting, stage)
			if err != nil {
				return fmt.Errorf("%s: %w", setting, err)
			}
			run.Version, run.Machine, run.Form = version, machineDescription(), plan.Experiment.Form
			if err := store.Put(plan.Experiment.Name, run); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			logf("%4d of %d  %s  service %.3f  p99 %.0f ms  %s", done, len(missing), setting, run.Figures["service"],
				run.Figures["first_p99_ms"], rulesText(run))
			return nil
		})
	}
	return group.Wait()
}

func rulesText(r Run) string {
	if r.RulesKept {
		return "rules kept"
	}
	return fmt.Sprint("BROKEN ", r.BrokenRules)
}

func machineDescription() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

func runOnce(ctx context.Context, plan *Plan, setting Setting, stage day.RunOptions) (Run, error) {
	scenario, err := plan.Scenario(setting)
	if err != nil {
		return Run{}, err
	}
	startedAt := time.Now()
	run := Run{Setting: setting, StartedAt: startedAt.UTC()}
	var verdict checker.Verdict
	if plan.Experiment.Form == "virtual" {
		out, err := fleet.Play(scenario, setting["policy"])
		if err != nil {
			return run, err
		}
		verdict, run.Digest = out.Verdict, out.Digest
		run.Figures = figures(verdict)
		run.Figures["followers"], run.Figures["others"] = out.Followers, out.Others
		for name, use := range out.Budgets {
			run.Figures["budget_"+name] = use.MonthlyShare
			run.Figures["budget_declined_"+name] = float64(use.Rejected) / max(float64(use.Rejected+use.Admitted), 1)
		}
		run.OnTimeShare, run.Tries = out.OnTimeShare, out.TriesPerSecond
		for _, fault := range scenario.Faults {
			if fault.Kind == "crash" { // no recovery within the run counts as the whole rest of it
				seconds, ok := checker.RecoverySeconds(out.OnTimeShare, out.Submitted, fault.Start.Std(),
					(fault.Start + fault.Duration).Std())
				if !ok {
					seconds = (scenario.Header.Duration - fault.Start - fault.Duration).Std().Seconds()
				}
				run.Figures["recovered_s"], run.Figures["recovered"] = seconds, map[bool]float64{true: 1}[ok]
			}
		}
		for _, counts := range out.Engines {
			run.Figures["preempted"] += float64(counts.Preempted)
			run.Figures["engine_refused"] += float64(counts.Refused)
			run.Figures["kept_tokens"] += float64(counts.KeptTokens)
			run.Figures["read_tokens"] += float64(counts.ReadTokens)
		}
	} else {
		if verdict, err = day.Run(ctx, scenario, stage); err != nil {
			return run, err
		}
		run.Figures = figures(verdict)
	}
	run.RulesKept = verdict.Passed()
	for _, rule := range verdict.Rules {
		if !rule.Passed {
			run.BrokenRules = append(run.BrokenRules, rule.Name)
		}
	}
	run.DurationSeconds = time.Since(startedAt).Seconds()
	return run, nil
}

// figures returns the figures of a verdict that tables and charts can show.
func figures(verdict checker.Verdict) map[string]float64 {
	values := map[string]float64{"service": verdict.ValueShare, "first_p50_ms": verdict.FirstTokenP50Ms,
		"first_p99_ms": verdict.FirstTokenP99Ms, "trips": verdict.AttemptsPerRequest, "cold_worst": verdict.PeakSlowStartLoad,
		"pinned_ms": verdict.MaxIdleKVCacheMs}
	var requests, inTime, late, rejected, failed, leftOrCut float64
	for _, row := range verdict.Classes {
		requests += float64(row.Requests)
		inTime += float64(row.InTime)
		late += float64(row.Late)
		rejected += float64(row.Rejected)
		failed += float64(row.Failed)
		leftOrCut += float64(row.ClientLeft + row.ConnectionLost)
		values["service_"+row.Class] = row.ValueShare
	}
	requests = max(requests, 1)
	values["asked"], values["in_time"], values["late"], values["declined"], values["forfeited"], values["left_or_cut"] =
		requests, inTime/requests, late/requests, rejected/requests, failed/requests, leftOrCut/requests
	values["tries"] = float64(verdict.Tries) / requests
	return values
}
