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

// Run is one run as it is kept.
type Run struct {
	Setting Setting            `json:"setting"`
	Figures map[string]float64 `json:"figures"`
	Kept    bool               `json:"rules_kept"`
	Broken  []string           `json:"broken,omitempty"`
	Digest  string             `json:"digest,omitempty"`
	Version string             `json:"version"`
	Machine string             `json:"machine"`
	Form    string             `json:"form"`
	At      time.Time          `json:"at"`
	TookS   float64            `json:"took_s"`
	Share   []float64          `json:"share,omitempty"` // answered in time of those asked in each second
	Tries   []float64          `json:"tries,omitempty"`
}

// Store keeps experiments in one file.
type Store struct{ db *bbolt.DB }

// OpenStore opens or makes the file.
func OpenStore(file string) (*Store, error) {
	db, err := bbolt.Open(file, 0o644, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &Store{db}, nil
}

func (s *Store) Close() error { return s.db.Close() }

const planKey = "\x00plan" // sorts before every setting

// Begin enters an experiment. One that is there already goes on, if its plan is the same.
func (s *Store) Begin(p *Plan) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists([]byte(p.Experiment.Name))
		if err != nil {
			return err
		}
		if old := b.Get([]byte(planKey)); old != nil && string(old) != string(p.raw) {
			return fmt.Errorf("experiment %s was begun with another plan; give this one another name", p.Experiment.Name)
		}
		return b.Put([]byte(planKey), p.raw)
	})
}

// Has tells whether a run is kept.
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

// Put keeps a run; it is on disk when Put returns.
func (s *Store) Put(name string, r Run) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(name)).Put([]byte(r.Setting.String()), raw)
	})
}

// Runs lists what is kept of an experiment, in one order.
func (s *Store) Runs(name string) ([]Run, error) {
	var runs []Run
	err := s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(name))
		if b == nil {
			return fmt.Errorf("there is no experiment %q", name)
		}
		return b.ForEach(func(k, v []byte) error {
			if string(k) == planKey {
				return nil
			}
			var r Run
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("run %s: %w", k, err)
			}
			runs = append(runs, r)
			return nil
		})
	})
	return runs, err
}

// Names lists the experiments with the number of runs kept.
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

// Do runs what a plan lacks, and stops between runs when the context ends. Virtual runs go side by side, those on sockets
// one after the other: they would take each other's processors.
func Execute(ctx context.Context, s *Store, p *Plan, version string, stage day.RunOptions, say func(string, ...any)) error {
	if err := s.Begin(p); err != nil {
		return err
	}
	var todo []Setting
	all := p.Settings()
	for _, set := range all {
		if !s.Has(p.Experiment.Name, set) {
			todo = append(todo, set)
		}
	}
	say("%s: %d runs, %d of them kept already", p.Experiment.Name, len(all), len(all)-len(todo))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(1)
	if p.Experiment.Form == "virtual" {
		group.SetLimit(runtime.NumCPU())
	}
	var mu sync.Mutex
	done := 0
	for _, set := range todo {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r, err := once(ctx, p, set, stage)
			if err != nil {
				return fmt.Errorf("%s: %w", set, err)
			}
			r.Version, r.Machine, r.Form = version, machine(), p.Experiment.Form
			if err := s.Put(p.Experiment.Name, r); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			say("%4d of %d  %s  service %.3f  p99 %.0f ms  %s", done, len(todo), set, r.Figures["service"], r.Figures["first_p99_ms"], rules(r))
			return nil
		})
	}
	return group.Wait()
}

func rules(r Run) string {
	if r.Kept {
		return "rules kept"
	}
	return fmt.Sprint("BROKEN ", r.Broken)
}

func machine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

func once(ctx context.Context, p *Plan, set Setting, stage day.RunOptions) (Run, error) {
	d, err := p.Day(set)
	if err != nil {
		return Run{}, err
	}
	began := time.Now()
	r := Run{Setting: set, At: began.UTC()}
	var v judge.Verdict
	if p.Experiment.Form == "virtual" {
		out, err := fleet.Play(d, set["policy"])
		if err != nil {
			return r, err
		}
		v, r.Digest = out.Verdict, out.Digest
		r.Figures = figures(v)
		r.Figures["followers"], r.Figures["others"] = out.Followers, out.Others
		for name, b := range out.Budgets {
			r.Figures["budget_"+name] = b.Share
			r.Figures["budget_declined_"+name] = float64(b.Declined) / max(float64(b.Declined+b.Passed), 1)
		}
		r.Share, r.Tries = out.Share, out.Again
		for _, t := range d.Faults {
			if t.Kind == "crash" { // not back within the run counts as the whole of it
				s, ok := judge.RecoverySeconds(out.Share, out.Asked, t.Start.Std(), (t.Start + t.Duration).Std())
				if !ok {
					s = (d.Header.Duration - t.Start - t.Duration).Std().Seconds()
				}
				r.Figures["recovered_s"], r.Figures["recovered"] = s, map[bool]float64{true: 1}[ok]
			}
		}
		for _, c := range out.Engines {
			r.Figures["preempted"] += float64(c.Preempted)
			r.Figures["engine_refused"] += float64(c.Refused)
			r.Figures["kept_tokens"] += float64(c.KeptTokens)
			r.Figures["read_tokens"] += float64(c.ReadTokens)
		}
	} else {
		if v, err = day.Run(ctx, d, stage); err != nil {
			return r, err
		}
		r.Figures = figures(v)
	}
	r.Kept = v.Passed()
	for _, rule := range v.Rules {
		if !rule.Passed {
			r.Broken = append(r.Broken, rule.Name)
		}
	}
	r.TookS = time.Since(began).Seconds()
	return r, nil
}

// figures are those that tables and charts may show.
func figures(v judge.Verdict) map[string]float64 {
	f := map[string]float64{"service": v.ValueShare, "first_p50_ms": v.FirstTokenP50Ms, "first_p99_ms": v.FirstTokenP99Ms, "trips": v.AttemptsPerRequest, "cold_worst": v.PeakSlowStartLoad, "pinned_ms": v.MaxIdleKVCacheMs}
	var asked, inTime, late, declined, forfeited, other float64
	for _, r := range v.Classes {
		asked += float64(r.Requests)
		inTime += float64(r.InTime)
		late += float64(r.Late)
		declined += float64(r.Rejected)
		forfeited += float64(r.Failed)
		other += float64(r.ClientLeft + r.ConnectionLost)
		f["service_"+r.Class] = r.ValueShare
	}
	asked = max(asked, 1)
	f["asked"], f["in_time"], f["late"], f["declined"], f["forfeited"], f["left_or_cut"] = asked, inTime/asked, late/asked, declined/asked, forfeited/asked, other/asked
	f["tries"] = float64(v.Tries) / asked
	return f
}
