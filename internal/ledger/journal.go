package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"lukechampine.com/blake3"
)

// Disk is the folder that a journal stands in. Tests put one in its place that forgets what was not synced.
type Disk interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Open(name string) (File, error) // to write on at its end; made where it is missing
	Remove(name string) error
	Sync() error // of the names in the folder
}

// File is one segment that is written to.
type File interface {
	Write(p []byte) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Folder is a Disk of the system.
type Folder string

func (f Folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(f), name)) }
func (f Folder) Remove(name string) error         { return os.Remove(filepath.Join(string(f), name)) }
func (f Folder) Open(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(f), name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
}
func (f Folder) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// A segment is a head, then records. The head is the magic, the version, the segment's number and the seal of the last
// record before it; a record is its length, its bytes and its seal. A seal is a keyed hash of the seal before it and
// the record, so the bytes ahead of a record are all that is needed to check it: what stands behind a damaged one can
// still be read, and told from a torn end.
const (
	magic     = "SLTL"
	version   = 1
	sealSize  = 16
	headSize  = 4 + 4 + 8 + sealSize
	frameSize = 4 + sealSize
	segment   = 16 << 20 // bytes, after which the next one is begun
)

type seal [sealSize]byte

// Key seals records. Without an own one, a fixed key shows accidents only, not forgery.
type Key [32]byte

// NewKey makes one of any secret.
func NewKey(secret []byte) (k Key) {
	blake3.DeriveKey(k[:], "sloetrestle ledger record seal v1", secret)
	return k
}

func (k *Key) seal(before []byte, raw []byte) (s seal) {
	h := blake3.New(sealSize, k[:])
	h.Write(before)
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(raw)))
	h.Write(n[:])
	h.Write(raw)
	h.Sum(s[:0])
	return s
}

func name(number uint64) string { return fmt.Sprintf("%012d.seg", number) }

// number is that of a segment's name; false: it is none.
func number(name string) (uint64, bool) {
	var n uint64
	if _, err := fmt.Sscanf(name, "%012d.seg", &n); err != nil || len(name) != 16 {
		return 0, false
	}
	return n, true
}

func head(number uint64, last seal) []byte {
	raw := append([]byte(magic), 0, 0, 0, version)
	raw = binary.BigEndian.AppendUint64(raw, number)
	return append(raw, last[:]...)
}

// Place is where a record stands.
type Place struct {
	Segment string
	Offset  int64
}

// Damage is bytes that are no records.
type Damage struct {
	Place
	Bytes int64
	Torn  bool // the end of the last segment: an append that was cut off, of which nobody was told that it stands
	Text  string
}

func (d Damage) String() string {
	return fmt.Sprintf("%s at byte %d: %d bytes: %s", d.Segment, d.Offset, d.Bytes, d.Text)
}

// scan reads a segment and hands on each record that is whole. last is the seal that should stand in its head.
func (k *Key) scan(n uint64, raw []byte, last *seal, final bool, each func(Record, Place) error) (end int64, after seal, damage []Damage, err error) {
	file := name(n)
	hurt := func(at, to int64, torn bool, format string, args ...any) {
		damage = append(damage, Damage{Place{file, at}, to - at, torn, fmt.Sprintf(format, args...)})
	}
	size := int64(len(raw))
	if size < headSize {
		if final {
			hurt(0, size, true, "its head was never written whole")
		} else {
			hurt(0, size, false, "its head is cut off")
		}
		return 0, seal{}, damage, nil
	}
	if string(raw[:4]) != magic || binary.BigEndian.Uint32(raw[4:]) != version || binary.BigEndian.Uint64(raw[8:]) != n {
		hurt(0, headSize, false, "its head is no head of segment %d, version %d", n, version)
	}
	copy(after[:], raw[headSize-sealSize:headSize])
	if last != nil && after != *last {
		hurt(headSize-sealSize, headSize, false, "it does not follow the segment before it: records are missing between them, or changed")
	}
	at := int64(headSize)
	for at < size {
		r, next, why := k.read(raw, at)
		if why == nil {
			if err := each(r, Place{file, at}); err != nil {
				return at, after, damage, err
			}
			at = next
			copy(after[:], raw[at-sealSize:at])
			continue
		}
		// Is there a whole record behind it?
		to := at + 1
		for ; to < size; to++ {
			if _, _, err := k.read(raw, to); err == nil {
				break
			}
		}
		if to >= size {
			if final {
				hurt(at, size, true, "the end of an append that was cut off: %v", why)
			} else {
				hurt(at, size, false, "%v", why)
			}
			return at, after, damage, nil
		}
		hurt(at, to, false, "%v", why)
		at = to
	}
	return at, after, damage, nil
}

// read reads the record at a place; its seal is checked with that ahead of it.
func (k *Key) read(raw []byte, at int64) (r Record, next int64, err error) {
	left := int64(len(raw)) - at
	if left < frameSize {
		return r, 0, fmt.Errorf("%d bytes are too few for a record", left)
	}
	n := int64(binary.BigEndian.Uint32(raw[at:]))
	if n == 0 || n > mostRecord {
		return r, 0, fmt.Errorf("a record of %d bytes makes no sense", n)
	}
	if left < n+frameSize {
		return r, 0, fmt.Errorf("a record of %d bytes ends after %d", n, left-4)
	}
	body := raw[at+4 : at+4+n]
	if s := k.seal(raw[at-sealSize:at], body); string(s[:]) != string(raw[at+4+n:at+4+n+sealSize]) {
		return r, 0, errors.New("its seal does not fit: it was changed, or sealed with another key")
	}
	r, err = decode(body)
	return r, at + frameSize + n, err
}

// Journal is written by one process.
type Journal struct {
	disk   Disk
	key    Key
	number uint64
	file   File
	size   int64
	last   seal
	hurt   bool // what stands in the file behind size is to be cut off before the next append
	Damage []Damage
}

// walk reads segments in turn and hands on each record. last is the seal that the first should follow, nil where nothing is
// known of that. It tells how far the last of them is whole, with its seal.
func (k *Key) walk(numbers []uint64, read func(n uint64) ([]byte, error), last *seal, each func(Record, Place) error) (end int64, after *seal, damage []Damage, err error) {
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			damage = append(damage, Damage{Place{name(n), 0}, 0, false, fmt.Sprintf("segment %d is missing before it", n-1)})
		}
		raw, err := read(n)
		if err != nil {
			return end, last, damage, err
		}
		to, seal, hurt, err := k.scan(n, raw, last, i == len(numbers)-1, each)
		if err != nil {
			return end, last, damage, err
		}
		damage, end = append(damage, hurt...), to
		if last == nil || to > 0 { // a head that was never written whole says nothing
			last = &seal
		}
	}
	return end, last, damage, nil
}

// OpenJournal reads all segments, hands on each record, cuts off a torn end and goes on behind it. Damage elsewhere is told
// and left as it is: what can be read is read.
func OpenJournal(disk Disk, key Key, each func(Record, Place) error) (*Journal, error) {
	j := &Journal{disk: disk, key: key}
	numbers, err := segments(disk)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		return j, j.begin(1)
	}
	end, last, damage, err := key.walk(numbers, func(n uint64) ([]byte, error) { return disk.Read(name(n)) }, nil, each)
	if err != nil {
		return nil, err
	}
	j.number, j.size, j.last, j.Damage = numbers[len(numbers)-1], end, *last, damage
	if j.size < headSize { // its head was never written whole
		if err := disk.Remove(name(j.number)); err != nil {
			return nil, err
		}
		return j, j.begin(j.number)
	}
	if j.file, err = disk.Open(name(j.number)); err != nil {
		return nil, err
	}
	if err := j.file.Truncate(j.size); err != nil {
		return nil, err
	}
	return j, j.file.Sync()
}

func segments(disk Disk) ([]uint64, error) {
	names, err := disk.List()
	var numbers []uint64
	for _, s := range names {
		if n, ok := number(s); ok && strings.HasSuffix(s, ".seg") {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, err
}

// begin makes a segment.
func (j *Journal) begin(n uint64) error {
	f, err := j.disk.Open(name(n))
	if err != nil {
		return err
	}
	_, err = f.Write(head(n, j.last))
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.disk.Sync()
	}
	if err != nil {
		f.Close()
		j.disk.Remove(name(n))
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.number, j.size, j.hurt = f, n, headSize, false
	return nil
}

// Append writes records in one go and returns when they are durable; after an error none of them counts as written, and
// the next append begins where this one did.
func (j *Journal) Append(records ...Record) error {
	if j.hurt {
		// After a failed sync nobody knows what of the file is on the disk: it is cut and left, and a new one begun.
		if err := j.file.Truncate(j.size); err != nil {
			return err
		}
		if err := j.file.Sync(); err != nil {
			return err
		}
	}
	if j.hurt || j.size >= segment {
		if err := j.begin(j.number + 1); err != nil {
			return err
		}
	}
	var out []byte
	last := j.last
	for _, r := range records {
		raw, err := encode(r)
		if err != nil {
			return err
		}
		last = j.key.seal(last[:], raw)
		out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
		out = append(append(out, raw...), last[:]...)
	}
	j.hurt = true
	if _, err := j.file.Write(out); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.hurt = false
	j.size, j.last = j.size+int64(len(out)), last
	return nil
}

// Number is that of the segment that is written to.
func (j *Journal) Number() uint64 { return j.number }

// Close ends writing.
func (j *Journal) Close() error { return j.file.Close() }

// Last is the number of the segment that is written to.
func LastSegment(folder string) (uint64, error) {
	numbers, err := segments(Folder(folder))
	if err != nil || len(numbers) == 0 {
		return 0, err
	}
	return numbers[len(numbers)-1], nil
}
