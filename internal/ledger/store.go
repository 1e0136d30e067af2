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

// The store holds the records of compacted segments without duplicates: attempts by backend, epoch and number,
// requests by their key.
var (
	metaBucket     = []byte("meta")
	attemptsBucket = []byte("trips")
	requestsBucket = []byte("questions")
	epochsBucket   = []byte("epochs")
	budgetsBucket  = []byte("budgets")
	upToKey        = []byte("up_to") // the last segment that is in the store
	lastSealKey    = []byte("seal")  // the last seal of that segment
)

const storeFile = "store.db"

// storeLockTimeout bounds the wait for the store while another process compacts segments into it.
const storeLockTimeout = 10 * time.Second

// attemptKey orders attempts by backend and epoch.
func attemptKey(a *Attempt) []byte {
	key := append([]byte(a.Backend), 0)
	key = append(append(key, a.Epoch...), 0)
	key = binary.BigEndian.AppendUint64(key, a.Number)
	if !a.Confirmed() { // several may have the number 0
		key = fmt.Appendf(key, "%s/%d", a.Key, a.Index)
	}
	return key
}

// budgetKey identifies a value of which only the last written one counts.
func budgetKey(b *Budget) []byte {
	return fmt.Appendf(nil, "%s\x00%s\x00%d", b.Name, b.Kind, b.Month)
}

// putRecord adds one record to an open store.
func putRecord(tx *bolt.Tx, r Record) error {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	switch {
	case r.Attempt != nil:
		bucket := tx.Bucket(attemptsBucket)
		if key := attemptKey(r.Attempt); bucket.Get(key) == nil {
			return bucket.Put(key, raw)
		}
		return nil
	case r.Request != nil:
		bucket := tx.Bucket(requestsBucket)
		if bucket.Get([]byte(r.Request.Key)) == nil {
			return bucket.Put([]byte(r.Request.Key), raw)
		}
		return nil
	case r.Epoch != nil:
		return tx.Bucket(epochsBucket).Put([]byte(r.Epoch.Name), raw)
	default:
		return tx.Bucket(budgetsBucket).Put(budgetKey(r.Budget), raw)
	}
}

// Compact adds all segments before the given one to the store, then removes them. It may be interrupted at any point:
// records in the store are not added twice, and a segment is removed only once its records are durable in the store.
// beforeStep is called before each step and may be nil; an error from it stops the compaction. A damaged segment is
// added as far as it can be read and kept under another name.
func Compact(folder string, key Key, before uint64, beforeStep func(step string) error) (
	segmentsDone, records int, err error) {
	if beforeStep == nil {
		beforeStep = func(string) error { return nil }
	}
	disk := Folder(folder)
	numbers, err := listSegments(disk)
	if err != nil || len(numbers) == 0 || numbers[0] >= before {
		return 0, 0, err
	}
	db, err := bolt.Open(filepath.Join(folder, storeFile), 0o640, &bolt.Options{Timeout: storeLockTimeout})
	if err != nil {
		return 0, 0, fmt.Errorf("%s: %w", storeFile, err)
	}
	defer db.Close()
	for _, n := range numbers {
		if n >= before {
			break
		}
		upTo, last, err := storePosition(db)
		if err != nil {
			return segmentsDone, records, err
		}
		damaged := false
		if n > upTo {
			raw, err := disk.Read(segmentName(n))
			if err != nil {
				return segmentsDone, records, err
			}
			if err := beforeStep("before fold"); err != nil {
				return segmentsDone, records, err
			}
			err = db.Update(func(tx *bolt.Tx) error {
				for _, bucket := range [][]byte{metaBucket, attemptsBucket, requestsBucket, epochsBucket, budgetsBucket} {
					if _, err := tx.CreateBucketIfNotExists(bucket); err != nil {
						return err
					}
				}
				_, after, damage, err := key.scanSegment(n, raw, last, false, func(r Record, _ Position) error {
					records++
					return putRecord(tx, r)
				})
				if err != nil {
					return err
				}
				damaged = len(damage) > 0
				meta := tx.Bucket(metaBucket)
				if err := meta.Put(upToKey, binary.BigEndian.AppendUint64(nil, n)); err != nil {
					return err
				}
				return meta.Put(lastSealKey, after[:])
			})
			if err != nil {
				return segmentsDone, records, err
			}
		}
		if err := beforeStep("before remove"); err != nil {
			return segmentsDone, records, err
		}
		if damaged {
			err = os.Rename(filepath.Join(folder, segmentName(n)), filepath.Join(folder, segmentName(n)+".damaged"))
		} else {
			err = disk.Remove(segmentName(n))
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

// storePosition returns the last segment in a store and its last seal, which is nil for an empty store.
func storePosition(db *bolt.DB) (upTo uint64, last *seal, err error) {
	err = db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			return nil
		}
		if raw := meta.Get(upToKey); len(raw) == 8 {
			upTo = binary.BigEndian.Uint64(raw)
		}
		if raw := meta.Get(lastSealKey); len(raw) == sealSize {
			last = (*seal)(bytes.Clone(raw))
		}
		return nil
	})
	return upTo, last, err
}

// readStore passes all records of the store to visit. A folder without a store has none.
func readStore(folder string, visit func(Record) error) (upTo uint64, last *seal, err error) {
	file := filepath.Join(folder, storeFile)
	if _, err := os.Stat(file); errors.Is(err, os.ErrNotExist) {
		return 0, nil, nil
	}
	db, err := bolt.Open(file, 0o640, &bolt.Options{Timeout: storeLockTimeout, ReadOnly: true})
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", file, err)
	}
	defer db.Close()
	if upTo, last, err = storePosition(db); err != nil {
		return 0, nil, err
	}
	return upTo, last, db.View(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{epochsBucket, attemptsBucket, requestsBucket, budgetsBucket} {
			bucket := tx.Bucket(name)
			if bucket == nil {
				continue
			}
			err := bucket.ForEach(func(_, raw []byte) error {
				r, err := decode(raw)
				if err != nil {
					return fmt.Errorf("%s: %s: %w", file, name, err)
				}
				return visit(r)
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// Read passes all records of a folder to visit: those of the store, then those of the segments that are not in it. An
// attempt or request may come twice where an append was repeated; a Collector counts it once. Read changes nothing,
// and may run while a dispatcher writes.
func Read(folder string, key Key, visit func(Record) error) (damage []Damage, err error) {
	// A compaction may move a segment into the store meanwhile. Segments are therefore read before the store: one
	// that is missing by then is in the store, and all is read again.
	for try := 0; ; try++ {
		damage, err = readFolder(folder, key, visit)
		if !errors.Is(err, errCompacted) || try == 5 {
			return damage, err
		}
	}
}

var errCompacted = errors.New("segments were compacted while the ledger was read")

func readFolder(folder string, key Key, visit func(Record) error) (damage []Damage, err error) {
	disk := Folder(folder)
	numbers, err := listSegments(disk)
	if err != nil {
		return nil, err
	}
	raws := map[uint64][]byte{}
	for _, n := range numbers {
		if raws[n], err = disk.Read(segmentName(n)); errors.Is(err, os.ErrNotExist) {
			return nil, errCompacted
		} else if err != nil {
			return nil, err
		}
	}
	upTo, last, err := readStore(folder, visit)
	if err != nil {
		return nil, err
	}
	numbers = slices.DeleteFunc(numbers, func(n uint64) bool { return n <= upTo })
	if len(numbers) > 0 && numbers[0] > upTo+1 {
		damage = append(damage, Damage{Position{segmentName(numbers[0]), 0}, 0, false,
			fmt.Sprintf("segment %d is missing before it", numbers[0]-1)})
	}
	_, _, damaged, err := key.scanSegments(numbers, func(n uint64) ([]byte, error) { return raws[n], nil }, last,
		func(r Record, _ Position) error { return visit(r) })
	return append(damage, damaged...), err
}
