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

// Disk is the folder of a journal. Tests replace it by one that loses unsynced data.
type Disk interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Open(name string) (File, error) // to append; creates a missing file
	Remove(name string) error
	Sync() error // the folder's entries
}

// File is a segment opened for appending.
type File interface {
	Write(p []byte) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Folder is a Disk in the file system.
type Folder string

// List returns the names in the folder.
func (f Folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Read returns the content of a file.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(f), name)) }

// Remove removes a file.
func (f Folder) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

// Open opens a file to append to it and creates a missing one.
func (f Folder) Open(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(f), name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
}

// Sync makes the folder's entries durable.
func (f Folder) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// A segment is a header followed by records. The header is the magic, the version, the segment's number and the seal
// of the last record before it. A record is its length, its bytes and its seal. A seal is a keyed hash of the
// previous seal and the record, so a record is checked with the bytes right before it: records behind a damaged one
// are still readable, and damage in the middle is told from a torn end.
const (
	segmentMagic    = "SLTL"
	segmentVersion  = 1
	sealSize        = 16
	headerSize      = 4 + 4 + 8 + sealSize
	frameSize       = 4 + sealSize // of a record beside its own bytes
	maxSegmentBytes = 16 << 20     // the next segment starts after that
)

type seal [sealSize]byte

// Key is the secret that seals records. The fixed default key reveals accidental damage only, not forgery.
type Key [32]byte

// NewKey derives a key from any secret.
func NewKey(secret []byte) (k Key) {
	blake3.DeriveKey(k[:], "sloetrestle ledger record seal v1", secret)
	return k
}

func (k *Key) seal(previous []byte, raw []byte) (s seal) {
	h := blake3.New(sealSize, k[:])
	h.Write(previous)
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(raw)))
	h.Write(length[:])
	h.Write(raw)
	h.Sum(s[:0])
	return s
}

func segmentName(number uint64) string { return fmt.Sprintf("%012d.seg", number) }

// parseSegmentName returns the number of a segment's name, or false for another name.
func parseSegmentName(name string) (uint64, bool) {
	var n uint64
	if _, err := fmt.Sscanf(name, "%012d.seg", &n); err != nil || len(name) != 16 {
		return 0, false
	}
	return n, true
}

func segmentHeader(number uint64, last seal) []byte {
	raw := append([]byte(segmentMagic), 0, 0, 0, segmentVersion)
	raw = binary.BigEndian.AppendUint64(raw, number)
	return append(raw, last[:]...)
}

// Position is the position of a record.
type Position struct {
	Segment string
	Offset  int64 // bytes
}

// Damage is a range of bytes that holds no valid record.
type Damage struct {
	Position
	Bytes int64
	Torn  bool // an interrupted append at the end of the last segment, which was never reported durable
	Text  string
}

// String returns the position, length and cause of the damage.
func (d Damage) String() string {
	return fmt.Sprintf("%s at byte %d: %d bytes: %s", d.Segment, d.Offset, d.Bytes, d.Text)
}

// scanSegment passes each valid record of a segment to visit. last is the seal that its header must hold, nil where
// that is unknown; final marks the last segment, whose end may be torn. It returns the end of the valid records and
// the last seal.
func (k *Key) scanSegment(n uint64, raw []byte, last *seal, final bool, visit func(Record, Position) error) (
	end int64, after seal, damage []Damage, err error) {
	file := segmentName(n)
	addDamage := func(from, to int64, torn bool, format string, args ...any) {
		damage = append(damage, Damage{Position{file, from}, to - from, torn, fmt.Sprintf(format, args...)})
	}
	size := int64(len(raw))
	if size < headerSize {
		if final {
			addDamage(0, size, true, "its head was never written whole")
		} else {
			addDamage(0, size, false, "its head is cut off")
		}
		return 0, seal{}, damage, nil
	}
	if string(raw[:4]) != segmentMagic || binary.BigEndian.Uint32(raw[4:]) != segmentVersion ||
		binary.BigEndian.Uint64(raw[8:]) != n {
		addDamage(0, headerSize, false, "its head is no head of segment %d, version %d", n, segmentVersion)
	}
	copy(after[:], raw[headerSize-sealSize:headerSize])
	if last != nil && after != *last {
		addDamage(headerSize-sealSize, headerSize, false,
			"it does not follow the segment before it: records are missing between them, or changed")
	}
	offset := int64(headerSize)
	for offset < size {
		r, next, cause := k.readRecord(raw, offset)
		if cause == nil {
			if err := visit(r, Position{file, offset}); err != nil {
				return offset, after, damage, err
			}
			offset = next
			copy(after[:], raw[offset-sealSize:offset])
			continue
		}
		// Search for the next valid record.
		to := offset + 1
		for ; to < size; to++ {
			if _, _, err := k.readRecord(raw, to); err == nil {
				break
			}
		}
		if to >= size {
			if final {
				addDamage(offset, size, true, "the end of an append that was cut off: %v", cause)
			} else {
				addDamage(offset, size, false, "%v", cause)
			}
			return offset, after, damage, nil
		}
		addDamage(offset, to, false, "%v", cause)
		offset = to
	}
	return offset, after, damage, nil
}

// readRecord reads the record at an offset and checks its seal against the one right before it.
func (k *Key) readRecord(raw []byte, offset int64) (r Record, next int64, err error) {
	rest := int64(len(raw)) - offset
	if rest < frameSize {
		return r, 0, fmt.Errorf("%d bytes are too few for a record", rest)
	}
	length := int64(binary.BigEndian.Uint32(raw[offset:]))
	if length == 0 || length > maxRecordBytes {
		return r, 0, fmt.Errorf("a record of %d bytes makes no sense", length)
	}
	if rest < length+frameSize {
		return r, 0, fmt.Errorf("a record of %d bytes ends after %d", length, rest-4)
	}
	body := raw[offset+4 : offset+4+length]
	if s := k.seal(raw[offset-sealSize:offset], body); string(s[:]) !=
		string(raw[offset+4+length:offset+4+length+sealSize]) {
		return r, 0, errors.New("its seal does not fit: it was changed, or sealed with another key")
	}
	r, err = decode(body)
	return r, offset + frameSize + length, err
}

// Journal appends records to segments. Only one process may have it open.
type Journal struct {
	disk   Disk
	key    Key
	number uint64
	file   File
	size   int64
	last   seal
	dirty  bool // bytes behind size must be cut off before the next append
	Damage []Damage
}

// scanSegments passes each valid record of the segments to visit, in order. last is the seal that the first segment
// must follow, nil where that is unknown. It returns the end of the valid records in the last segment, and the last
// seal.
func (k *Key) scanSegments(numbers []uint64, read func(n uint64) ([]byte, error), last *seal,
	visit func(Record, Position) error) (end int64, after *seal, damage []Damage, err error) {
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			damage = append(damage, Damage{Position{segmentName(n), 0}, 0, false,
				fmt.Sprintf("segment %d is missing before it", n-1)})
		}
		raw, err := read(n)
		if err != nil {
			return end, last, damage, err
		}
		to, seal, damaged, err := k.scanSegment(n, raw, last, i == len(numbers)-1, visit)
		if err != nil {
			return end, last, damage, err
		}
		damage, end = append(damage, damaged...), to
		if last == nil || to > 0 { // an incomplete header has no seal
			last = &seal
		}
	}
	return end, last, damage, nil
}

// OpenJournal passes the records of all segments to visit, cuts off a torn end and prepares to append behind it. Other
// damage is reported in Damage and left as it is, so that the records around it stay readable.
func OpenJournal(disk Disk, key Key, visit func(Record, Position) error) (*Journal, error) {
	j := &Journal{disk: disk, key: key}
	numbers, err := listSegments(disk)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		return j, j.startSegment(1)
	}
	end, last, damage, err := key.scanSegments(numbers, func(n uint64) ([]byte, error) {
		return disk.Read(segmentName(n))
	}, nil, visit)
	if err != nil {
		return nil, err
	}
	j.number, j.size, j.last, j.Damage = numbers[len(numbers)-1], end, *last, damage
	if j.size < headerSize { // its header was never completely written
		if err := disk.Remove(segmentName(j.number)); err != nil {
			return nil, err
		}
		return j, j.startSegment(j.number)
	}
	if j.file, err = disk.Open(segmentName(j.number)); err != nil {
		return nil, err
	}
	if err := j.file.Truncate(j.size); err != nil {
		return nil, err
	}
	return j, j.file.Sync()
}

// listSegments returns the numbers of a folder's segments in order.
func listSegments(disk Disk) ([]uint64, error) {
	names, err := disk.List()
	var numbers []uint64
	for _, name := range names {
		if n, ok := parseSegmentName(name); ok && strings.HasSuffix(name, ".seg") {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, err
}

// startSegment creates a segment and switches to it.
func (j *Journal) startSegment(n uint64) error {
	file, err := j.disk.Open(segmentName(n))
	if err != nil {
		return err
	}
	_, err = file.Write(segmentHeader(n, j.last))
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = j.disk.Sync()
	}
	if err != nil {
		file.Close()
		j.disk.Remove(segmentName(n))
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.number, j.size, j.dirty = file, n, headerSize, false
	return nil
}

// Append writes records in one write and returns when they are durable. After an error none of them counts as
// written, and the next append starts where this one did.
func (j *Journal) Append(records ...Record) error {
	if j.dirty {
		// After a failed sync it is unknown what the disk holds of the file: it is truncated, and a new segment
		// started.
		if err := j.file.Truncate(j.size); err != nil {
			return err
		}
		if err := j.file.Sync(); err != nil {
			return err
		}
	}
	if j.dirty || j.size >= maxSegmentBytes {
		if err := j.startSegment(j.number + 1); err != nil {
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
	j.dirty = true
	if _, err := j.file.Write(out); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.dirty = false
	j.size, j.last = j.size+int64(len(out)), last
	return nil
}

// SegmentNumber returns the number of the segment that is appended to.
func (j *Journal) SegmentNumber() uint64 { return j.number }

// Close closes the segment that is appended to.
func (j *Journal) Close() error { return j.file.Close() }

// LastSegment returns the number of the segment that is appended to, or 0 if there is none.
func LastSegment(folder string) (uint64, error) {
	numbers, err := listSegments(Folder(folder))
	if err != nil || len(numbers) == 0 {
		return 0, err
	}
	return numbers[len(numbers)-1], nil
}
