package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

var errCrash = errors.New("the machine stops here")

// memory is a disk that forgets what was not synced: at its step number crash it stops, and of what was not synced by then
// keep decides how much survives.
type memory struct {
	files   map[string]*memoryFile
	synced  map[string]bool // names that are durable
	steps   int
	crash   int // 0: never
	full    int // bytes that still fit; -1: any number
	noSync  bool
	stopped bool
}

type memoryFile struct {
	m       *memory
	data    []byte
	durable []byte
}

func newMemory() *memory {
	return &memory{files: map[string]*memoryFile{}, synced: map[string]bool{}, full: -1}
}

func (m *memory) step() error {
	m.steps++
	if m.stopped || m.steps == m.crash {
		m.stopped = true
		return errCrash
	}
	return nil
}

func (m *memory) List() ([]string, error) {
	var names []string
	for n := range m.files {
		names = append(names, n)
	}
	return names, nil
}
func (m *memory) Read(name string) ([]byte, error) { return bytes.Clone(m.files[name].data), nil }
func (m *memory) Open(name string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	if m.files[name] == nil {
		m.files[name] = &memoryFile{m: m}
	}
	return m.files[name], nil
}
func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	delete(m.synced, name)
	return nil
}
func (m *memory) Sync() error {
	if err := m.step(); err != nil {
		return err
	}
	for n := range m.files {
		m.synced[n] = true
	}
	return nil
}
func (f *memoryFile) Write(p []byte) (int, error) {
	err := f.m.step()
	if f.m.full >= 0 && len(p) > f.m.full {
		f.data = append(f.data, p[:f.m.full]...)
		n := f.m.full
		f.m.full = 0
		return n, errors.New("no space left on the device")
	}
	if f.m.full >= 0 {
		f.m.full -= len(p)
	}
	f.data = append(f.data, p...)
	return len(p), err
}
func (f *memoryFile) Truncate(n int64) error {
	f.data = f.data[:min(n, int64(len(f.data)))]
	return f.m.step()
}
func (f *memoryFile) Sync() error {
	if err := f.m.step(); err != nil {
		return err
	}
	if f.m.noSync {
		return errors.New("input/output error")
	}
	f.durable = bytes.Clone(f.data)
	return nil
}
func (f *memoryFile) Close() error { return nil }

// restart is the disk after the crash, where a share of what was not synced is there all the same.
func (m *memory) restart(share float64) *memory {
	after := newMemory()
	for n, f := range m.files {
		if !m.synced[n] && share == 0 {
			continue
		}
		data := bytes.Clone(f.durable)
		if len(f.data) > len(f.durable) {
			data = append(data, f.data[len(f.durable):][:int(share*float64(len(f.data)-len(f.durable)))]...)
		}
		after.files[n] = &memoryFile{m: after, data: data, durable: bytes.Clone(data)}
		after.synced[n] = true
	}
	return after
}

func line(n int) Record {
	return Record{UnixMilli: int64(n), Attempt: &Attempt{Backend: "b", Epoch: "d.1", Number: uint64(n), Key: fmt.Sprintf("d.1/%d", n), Phase: "whole", Class: "g", PrefillTokens: n, Outcome: "answered"}}
}

func numbers(t *testing.T, disk Disk) (got []int, j *Journal) {
	t.Helper()
	j, err := OpenJournal(disk, key, func(r Record, _ Place) error { got = append(got, int(r.Attempt.Number)); return nil })
	if err != nil {
		t.Fatal(err)
	}
	return got, j
}

var key = NewKey([]byte("a secret of sixteen"))

// A machine that stops at any step of a start, an append or a rotation, with none, half or all of what was not synced: every
// record that was called durable is there, in order, none that was never written, and writing goes on.
func TestTheJournalOutlivesACrashAtEveryStep(t *testing.T) {
	crashed := 0
	for at := 1; ; at++ {
		ended := false
		for _, share := range []float64{0, 0.5, 0.93, 1} {
			m := newMemory()
			m.crash = at
			durable, n := 0, 0
			j, err := OpenJournal(m, key, func(Record, Place) error { return nil })
			for err == nil && n < 12 {
				if n == 6 {
					j.size = segment // a rotation
				}
				if err = j.Append(line(n+1), line(n+2)); err == nil {
					durable = n + 2
				}
				n += 2
			}
			if err == nil {
				ended = true
				break
			}
			crashed++
			got, j := numbers(t, m.restart(share))
			if len(got) < durable || len(got) > n {
				t.Fatalf("stopped at step %d with %.0f%% kept: %v, of %d that were durable and %d that were written", at, 100*share, got, durable, n)
			}
			for i, k := range got {
				if k != i+1 {
					t.Fatalf("stopped at step %d: %v", at, got)
				}
			}
			for _, d := range j.Damage {
				if !d.Torn {
					t.Fatalf("stopped at step %d: %v", at, d)
				}
			}
			if err := j.Append(line(len(got) + 1)); err != nil {
				t.Fatal(err)
			}
			if _, damage, err := Verify(j.disk, key, nil); err != nil || len(damage) > 0 {
				t.Fatalf("after a crash at step %d and another append: %v, %v", at, damage, err)
			}
		}
		if ended {
			break
		}
	}
	if crashed < 60 {
		t.Errorf("%d crashes only", crashed)
	}
}

// Any one byte that is changed, and any cut in the middle, shows, and what stands behind it is still read.
func TestEveryChangedByteShows(t *testing.T) {
	m := newMemory()
	_, j := numbers(t, m)
	for n := range 5 {
		if err := j.Append(line(n + 1)); err != nil {
			t.Fatal(err)
		}
	}
	whole := bytes.Clone(m.files[name(1)].data)
	for i := range whole {
		raw := bytes.Clone(whole)
		raw[i] ^= 0x41
		bad := newMemory()
		bad.files[name(1)] = &memoryFile{m: bad, data: raw}
		records, damage, err := Verify(bad, key, nil)
		if err != nil || len(damage) == 0 {
			t.Fatalf("byte %d was changed, and nothing shows: %v", i, err)
		}
		if records < 3 {
			t.Fatalf("byte %d was changed, and %d of 5 records are read", i, records)
		}
	}
	other := newMemory()
	other.files[name(1)] = &memoryFile{m: other, data: whole}
	if records, damage, _ := Verify(other, NewKey([]byte("another secret, also long")), nil); records != 0 || len(damage) == 0 {
		t.Errorf("with another key %d records are read", records)
	}
}

func TestAMissingSegmentShows(t *testing.T) {
	m := newMemory()
	_, j := numbers(t, m)
	for n := range 6 {
		if n%2 == 0 {
			j.size = segment
		}
		if err := j.Append(line(n + 1)); err != nil {
			t.Fatal(err)
		}
	}
	delete(m.files, name(2))
	if _, damage, err := Verify(m, key, nil); err != nil || len(damage) == 0 {
		t.Errorf("%v, %v", damage, err)
	}
}

// A full disk, and one that fails to sync: the append says so, nothing half is left, and later ones stand.
func TestAFullOrFailingDisk(t *testing.T) {
	m := newMemory()
	_, j := numbers(t, m)
	if err := j.Append(line(1)); err != nil {
		t.Fatal(err)
	}
	m.full = 30
	if err := j.Append(line(2)); err == nil {
		t.Fatal("written to a full disk")
	}
	m.full = -1
	m.noSync = true
	if err := j.Append(line(2)); err == nil {
		t.Fatal("durable on a disk that does not sync")
	}
	m.noSync = false
	if err := j.Append(line(2)); err != nil {
		t.Fatal(err)
	}
	got, _ := numbers(t, m)
	if _, damage, err := Verify(m, key, nil); err != nil || len(damage) > 0 || !slices.Equal(got, []int{1, 2}) {
		t.Errorf("%v, %v, %v", got, damage, err)
	}
}

// Compaction cut off at every step, and done anew: each record is counted once.
func TestCompactionCutOffAtEveryStep(t *testing.T) {
	for stop := 1; stop <= 8; stop++ {
		dir := t.TempDir()
		j, err := OpenJournal(Folder(dir), key, func(Record, Place) error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		for n := range 8 {
			if n%2 == 0 {
				j.size = segment
			}
			if err := j.Append(line(n+1), line(n+1)); err != nil { // an append that was repeated
				t.Fatal(err)
			}
		}
		steps := 0
		_, _, err = Compact(dir, key, j.Number(), func(string) error {
			if steps++; steps == stop {
				return errCrash
			}
			return nil
		})
		if stop <= 6 && !errors.Is(err, errCrash) {
			t.Fatalf("step %d was not reached: %v", stop, err)
		}
		for range 2 {
			s := NewCollector()
			damage, err := Read(dir, key, s.Add)
			if err != nil || len(damage) > 0 {
				t.Fatalf("stopped at %d: %v, %v", stop, damage, err)
			}
			if c := s.BackendTotals()["b"]; c.Attempts != 8 || c.PrefillTokens != 36 {
				t.Fatalf("stopped at %d: %+v", stop, c)
			}
			if _, _, err := Compact(dir, key, j.Number(), nil); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestADamagedSegmentIsFoldedInAndKept(t *testing.T) {
	dir := t.TempDir()
	j, err := OpenJournal(Folder(dir), key, func(Record, Place) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	j.Append(line(1))
	j.Append(line(2))
	j.size = segment
	j.Append(line(3))
	file := filepath.Join(dir, name(1))
	raw, _ := os.ReadFile(file)
	raw[headSize+10] ^= 1
	os.WriteFile(file, raw, 0o600)
	if _, _, err := Compact(dir, key, j.Number(), nil); err != nil {
		t.Fatal(err)
	}
	s := NewCollector()
	if _, err := Read(dir, key, s.Add); err != nil || s.BackendTotals()["b"].PrefillTokens != 5 {
		t.Errorf("%+v, %v", s.BackendTotals(), err)
	}
	if _, err := os.Stat(file + ".damaged"); err != nil {
		t.Error(err)
	}
}

func TestABookIsWrittenByOneAndItsClockNeverGoesBack(t *testing.T) {
	dir, log := t.TempDir(), slog.New(slog.NewTextHandler(io.Discard, nil))
	b, err := Open(dir, key, log, func(Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	go b.Run()
	if _, err := Open(dir, key, log, func(Record) error { return nil }); !errors.Is(err, ErrTaken) {
		t.Errorf("a second one: %v", err)
	}
	far := time.Now().Add(time.Hour).UnixMilli()
	done := make(chan struct{})
	b.Write(Record{UnixMilli: far, Epoch: &Epoch{Name: "a"}}, nil)
	b.Write(Record{UnixMilli: 5, Epoch: &Epoch{Name: "b"}}, func() { close(done) })
	<-done
	b.Close()
	var at []int64
	b, err = Open(dir, key, log, func(r Record) error { at = append(at, r.UnixMilli); return nil })
	if err != nil || !slices.Equal(at, []int64{far, far}) || b.State().Backward < 3_000_000 {
		t.Errorf("%v, %v, %+v", err, at, b.State())
	}
	go b.Run()
	b.Close()
}

func FuzzDecode(f *testing.F) {
	for _, r := range []Record{line(7), {Request: &Request{Key: "k", Class: "g", Outcome: "left"}}, {Epoch: &Epoch{Name: "e"}}, {Budget: &Budget{Name: "n", Kind: "lent", Tokens: 3}}} {
		raw, err := encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := decode(raw)
		if err != nil {
			return
		}
		again, err := encode(r)
		if err != nil {
			return // longer in its plain form than a record may be
		}
		if _, err := decode(again); err != nil {
			t.Fatalf("%x is read, and its own form %x is not: %v", raw, again, err)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, group := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(group), func(b *testing.B) {
			j, err := OpenJournal(Folder(b.TempDir()), key, func(Record, Place) error { return nil })
			if err != nil {
				b.Fatal(err)
			}
			records := make([]Record, group)
			for i := range records {
				records[i] = line(i + 1)
			}
			for b.Loop() {
				if err := j.Append(records...); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(group)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkRecovery opens a ledger of so many records: from its segments, and once they are folded into the store.
func BenchmarkRecovery(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 1_000_000} {
		dir := b.TempDir()
		j, err := OpenJournal(Folder(dir), key, func(Record, Place) error { return nil })
		if err != nil {
			b.Fatal(err)
		}
		for i := 0; i < size; i += 1000 {
			var records []Record
			for n := range 1000 {
				records = append(records, line(i+n+1))
			}
			if err := j.Append(records...); err != nil {
				b.Fatal(err)
			}
		}
		read := func(b *testing.B) {
			for b.Loop() {
				n := 0
				if _, err := Read(dir, key, func(Record) error { n++; return nil }); err != nil || n != size {
					b.Fatal(n, err)
				}
			}
		}
		b.Run(fmt.Sprintf("segments/%d", size), read)
		j.begin(j.number + 1)
		if _, _, err := Compact(dir, key, j.number, nil); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("store/%d", size), read)
	}
}

// BenchmarkBook writes at a stated rate and tells how long a record waits until it is durable.
func BenchmarkBook(b *testing.B) {
	for _, perS := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(perS), func(b *testing.B) {
			book, err := Open(b.TempDir(), key, slog.New(slog.NewTextHandler(io.Discard, nil)), func(Record) error { return nil })
			if err != nil {
				b.Fatal(err)
			}
			go book.Run()
			waits := make(chan time.Duration, b.N)
			begin := time.Now()
			for i := range b.N {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(perS))))
				at := time.Now()
				book.Write(line(i+1), func() { waits <- time.Since(at) })
			}
			book.Close()
			close(waits)
			var all []time.Duration
			for w := range waits {
				all = append(all, w)
			}
			slices.Sort(all)
			b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// BenchmarkWrite is what one record costs the loop.
func BenchmarkWrite(b *testing.B) {
	book, err := Open(b.TempDir(), key, slog.New(slog.NewTextHandler(io.Discard, nil)), func(Record) error { return nil })
	if err != nil {
		b.Fatal(err)
	}
	go book.Run()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		book.Write(line(i+1), nil)
	}
	book.Close()
}

// Verify reads all of a folder's segments and tells how many records are whole and what is damaged.
func Verify(disk Disk, key Key, each func(Record, Place) error) (records int, damage []Damage, err error) {
	numbers, err := segments(disk)
	if err != nil {
		return 0, nil, err
	}
	_, _, damage, err = key.walk(numbers, func(n uint64) ([]byte, error) { return disk.Read(name(n)) }, nil, func(r Record, p Place) error {
		records++
		if each != nil {
			return each(r, p)
		}
		return nil
	})
	return records, damage, err
}
