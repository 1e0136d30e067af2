package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// The store has what closed segments said, each thing once: trips by box, epoch and number, questions by their key.
var (
	inMeta      = []byte("meta")
	inTrips     = []byte("trips")
	inQuestions = []byte("questions")
	inEpochs    = []byte("epochs")
	inBudgets   = []byte("budgets")
	atUpTo      = []byte("up_to") // the last segment that is in the store
	atSeal      = []byte("seal")  // its last seal
)

const storeFile = "store.db"

// lockTime is how long somebody waits for the store while another folds segments into it.
const lockTime = 10 * time.Second

// tripKey orders trips by box and epoch.
func tripKey(t *Attempt) []byte {
	k := append([]byte(t.Backend), 0)
	k = append(append(k, t.Epoch...), 0)
	k = binary.BigEndian.AppendUint64(k, t.Number)
	if !t.Confirmed() { // several may have no number
		k = fmt.Appendf(k, "%s/%d", t.Key, t.Index)
	}
	return k
}

// budgetKey has one value for each state that counts: the last one written.
func budgetKey(b *Budget) []byte {
	return fmt.Appendf(nil, "%s\x00%s\x00%d", b.Name, b.Kind, b.Month)
}

// put folds one record into an open store.
func put(tx *bolt.Tx, r Record) error {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	switch {
	case r.Attempt != nil:
		b := tx.Bucket(inTrips)
		if key := tripKey(r.Attempt); b.Get(key) == nil {
			return b.Put(key, raw)
		}
		return nil
	case r.Request != nil:
		b := tx.Bucket(inQuestions)
		if b.Get([]byte(r.Request.Key)) == nil {
			return b.Put([]byte(r.Request.Key), raw)
		}
		return nil
	case r.Epoch != nil:
		return tx.Bucket(inEpochs).Put([]byte(r.Epoch.Name), raw)
	default:
		return tx.Bucket(inBudgets).Put(budgetKey(r.Budget), raw)
	}
}

// Compact folds all segments before the given one into the store, then removes them. It may be cut off anywhere: what is in
// the store is not taken in twice, and a segment is removed only when its records are durable there. at is called between
// the steps; an error from it stops. A damaged segment is folded in and kept under another name.
func Compact(folder string, key Key, before uint64, at func(step string) error) (segmentsDone, records int, err error) {
	if at == nil {
		at = func(string) error { return nil }
	}
	disk := Folder(folder)
	numbers, err := segments(disk)
	if err != nil || len(numbers) == 0 || numbers[0] >= before {
		return 0, 0, err
	}
	db, err := bolt.Open(filepath.Join(folder, storeFile), 0o640, &bolt.Options{Timeout: lockTime})
	if err != nil {
		return 0, 0, fmt.Errorf("%s: %w", storeFile, err)
	}
	defer db.Close()
	for _, n := range numbers {
		if n >= before {
			break
		}
		upTo, last, err := position(db)
		if err != nil {
			return segmentsDone, records, err
		}
		damaged := false
		if n > upTo {
			raw, err := disk.Read(name(n))
			if err != nil {
				return segmentsDone, records, err
			}
			if err := at("before fold"); err != nil {
				return segmentsDone, records, err
			}
			err = db.Update(func(tx *bolt.Tx) error {
				for _, b := range [][]byte{inMeta, inTrips, inQuestions, inEpochs, inBudgets} {
					if _, err := tx.CreateBucketIfNotExists(b); err != nil {
						return err
					}
				}
				_, after, hurt, err := key.scan(n, raw, last, false, func(r Record, _ Place) error { records++; return put(tx, r) })
				if err != nil {
					return err
				}
				damaged = len(hurt) > 0
				meta := tx.Bucket(inMeta)
				if err := meta.Put(atUpTo, binary.BigEndian.AppendUint64(nil, n)); err != nil {
					return err
				}
				return meta.Put(atSeal, after[:])
			})
			if err != nil {
				return segmentsDone, records, err
			}
		}
		if err := at("before remove"); err != nil {
			return segmentsDone, records, err
		}
		if damaged {
			err = os.Rename(filepath.Join(folder, name(n)), filepath.Join(folder, name(n)+".damaged"))
		} else {
			err = disk.Remove(name(n))
		}
		if err != nil {
			return segmentsDone, records, err
		}
		if err := disk.Sync(); err != nil {
			return segmentsDone, records, err
		}
		segmentsDone++
	}
	return segmentsDone, records, nil
}

// position is how far a store has come; nil: it is empty.
func position(db *bolt.DB) (upTo uint64, last *seal, err error) {
	err = db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(inMeta)
		if meta == nil {
			return nil
		}
		if raw := meta.Get(atUpTo); len(raw) == 8 {
			upTo = binary.BigEndian.Uint64(raw)
		}
		if raw := meta.Get(atSeal); len(raw) == sealSize {
			last = (*seal)(bytes.Clone(raw))
		}
		return nil
	})
	return upTo, last, err
}

// stored hands on all that the store has; a folder without one has nothing in it.
func stored(folder string, each func(Record) error) (upTo uint64, last *seal, err error) {
	file := filepath.Join(folder, storeFile)
	if _, err := os.Stat(file); errors.Is(err, os.ErrNotExist) {
		return 0, nil, nil
	}
	db, err := bolt.Open(file, 0o640, &bolt.Options{Timeout: lockTime, ReadOnly: true})
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", file, err)
	}
	defer db.Close()
	if upTo, last, err = position(db); err != nil {
		return 0, nil, err
	}
	return upTo, last, db.View(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{inEpochs, inTrips, inQuestions, inBudgets} {
			bucket := tx.Bucket(b)
			if bucket == nil {
				continue
			}
			err := bucket.ForEach(func(_, raw []byte) error {
				r, err := decode(raw)
				if err != nil {
					return fmt.Errorf("%s: %s: %w", file, b, err)
				}
				return each(r)
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// Read hands on all records of a folder: the store's, then those of the segments that are not in it. A trip or question may
// come twice where an append was repeated; Bill counts it once. It changes nothing, and may be called while a dispatcher writes.
func Read(folder string, key Key, each func(Record) error) (damage []Damage, err error) {
	// A segment may be folded in between the two: the list is taken first, and what is gone by then is in the store.
	for try := 0; ; try++ {
		damage, err = read(folder, key, each)
		if !errors.Is(err, errMoved) || try == 5 {
			return damage, err
		}
	}
}

var errMoved = errors.New("segments were folded in meanwhile")

func read(folder string, key Key, each func(Record) error) (damage []Damage, err error) {
	disk := Folder(folder)
	numbers, err := segments(disk)
	if err != nil {
		return nil, err
	}
	raws := map[uint64][]byte{}
	for _, n := range numbers {
		if raws[n], err = disk.Read(name(n)); errors.Is(err, os.ErrNotExist) {
			return nil, errMoved
		} else if err != nil {
			return nil, err
		}
	}
	upTo, last, err := stored(folder, each)
	if err != nil {
		return nil, err
	}
	numbers = slices.DeleteFunc(numbers, func(n uint64) bool { return n <= upTo })
	if len(numbers) > 0 && numbers[0] > upTo+1 {
		damage = append(damage, Damage{Place{name(numbers[0]), 0}, 0, false, fmt.Sprintf("segment %d is missing before it", numbers[0]-1)})
	}
	_, _, hurt, err := key.walk(numbers, func(n uint64) ([]byte, error) { return raws[n], nil }, last, func(r Record, _ Place) error { return each(r) })
	return append(damage, hurt...), err
}
