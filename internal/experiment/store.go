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

	"sloetrestle/internal/day"
	"sloetrestle/internal/fleet"
	"sloetrestle/internal/judge"
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
	OnTimeShare     []float64          `json:"share,omitempty"` // share answered in time of the requests submitted in each second
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

// Execute runs the settings of a plan that have no stored run, and stops between runs when the context ends. Virtual runs go
// in parallel. Runs on sockets go one at a time, since they would compete for the processors.
func Execute(ctx context.Context, s *Store, p *Plan, version string, stage day.Stage, logf func(string, ...any)) error {
	if err := s.Begin(p); err != nil {
		return err
	}
	var missing []Setting
	all := p.Settings()
	for _, setting := range all {
		if !s.Has(p.Experiment.Name, setting) {
			missing = append(missing, setting)
		}
	}
	logf("%s: %d runs, %d of them kept already", p.Experiment.Name, len(all), len(all)-len(missing))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(1)
	if p.Experiment.Form == "virtual" {
		group.SetLimit(runtime.NumCPU())
	}
	var mu sync.Mutex
	done := 0
	for _, setting := range missing {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r, err := runOnce(ctx, p, setting, stage)
			if err != nil {
				return fmt.Errorf("%s: %w", setting, err)
			}
			r.Version, r.Machine, r.Form = version, machineDescription(), p.Experiment.Form
			if err := s.Put(p.Experiment.Name, r); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			logf("%4d of %d  %s  service %.3f  p99 %.0f ms  %s", done, len(missing), setting, r.Figures["service"], r.Figures["first_p99_ms"], rulesText(r))
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

func runOnce(ctx context.Context, p *Plan, setting Setting, stage day.Stage) (Run, error) {
	d, err := p.Scenario(setting)
	if err != nil {
		return Run{}, err
	}
	startedAt := time.Now()
	r := Run{Setting: setting, StartedAt: startedAt.UTC()}
	var verdict judge.Verdict
	if p.Experiment.Form == "virtual" {
		out, err := fleet.Play(d, setting["policy"])
		if err != nil {
			return r, err
		}
		verdict, r.Digest = out.Verdict, out.Digest
		r.Figures = figures(verdict)
		r.Figures["followers"], r.Figures["others"] = out.Followers, out.Others
		for name, b := range out.Budgets {
			r.Figures["budget_"+name] = b.MonthlyShare
			r.Figures["budget_declined_"+name] = float64(b.Rejected) / max(float64(b.Rejected+b.Admitted), 1)
		}
		r.OnTimeShare, r.Tries = out.OnTimeShare, out.TriesPerSecond
		for _, t := range d.Troubles {
			if t.Kind == "crash" { // no recovery within the run counts as the whole rest of it
				seconds, ok := judge.Recovered(out.OnTimeShare, out.Submitted, t.At.Std(), (t.At + t.Length).Std())
				if !ok {
					seconds = (d.Head.Length - t.At - t.Length).Std().Seconds()
				}
				r.Figures["recovered_s"], r.Figures["recovered"] = seconds, map[bool]float64{true: 1}[ok]
			}
		}
		for _, c := range out.Engines {
			r.Figures["preempted"] += float64(c.Preempted)
			r.Figures["engine_refused"] += float64(c.Refused)
			r.Figures["kept_tokens"] += float64(c.KeptTokens)
			r.Figures["read_tokens"] += float64(c.ReadTokens)
		}
	} else {
		if verdict, err = day.Play(ctx, d, stage); err != nil {
			return r, err
		}
		r.Figures = figures(verdict)
	}
	r.RulesKept = verdict.Kept()
	for _, rule := range verdict.Rules {
		if !rule.Kept {
			r.BrokenRules = append(r.BrokenRules, rule.Name)
		}
	}
	r.DurationSeconds = time.Since(startedAt).Seconds()
	return r, nil
}

// figures returns the figures of a verdict that tables and charts can show.
func figures(verdict judge.Verdict) map[string]float64 {
	values := map[string]float64{"service": verdict.Service, "first_p50_ms": verdict.FirstP50, "first_p99_ms": verdict.FirstP99, "trips": verdict.Trips, "cold_worst": verdict.ColdWorst, "pinned_ms": verdict.PinWorst}
	var requests, inTime, late, rejected, failed, leftOrCut float64
	for _, r := range verdict.Rows {
		requests += float64(r.Asked)
		inTime += float64(r.InTime)
		late += float64(r.Late)
		rejected += float64(r.Declined)
		failed += float64(r.Forfeited)
		leftOrCut += float64(r.Quit + r.Cut)
		values["service_"+r.Grade] = r.Service
	}
	requests = max(requests, 1)
	values["asked"], values["in_time"], values["late"], values["declined"], values["forfeited"], values["left_or_cut"] = requests, inTime/requests, late/requests, rejected/requests, failed/requests, leftOrCut/requests
	values["tries"] = float64(verdict.Tries) / requests
	return values
}
