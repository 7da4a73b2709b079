// Package segment stores the contents of streams in files of checksummed
// records under a host's data folder. After a crash the complete records can be
// replayed. A record that the crash has torn is dropped, with any records after
// it in the same file.
package segment

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/nutmegway/nutmegway/internal/rollout/stream"
)

var classError = errs.Class("segment")

const (
	// DefaultRotateBytes is the default of Store.RotateBytes.
	DefaultRotateBytes = 8 << 20
	// recordHeaderBytes is the length of a record's header: the length of its
	// content, the position, and the checksum of position and content.
	recordHeaderBytes = 4 + 8 + 8
	// maxContentBytes is the largest content that replay accepts. A header with a
	// greater length is treated as corrupt.
	maxContentBytes = 16 << 20
	fileSuffix      = ".segment"
	dirMode         = 0o700
	fileMode        = 0o600
)

// Store stores the contents of all streams of a host. The fields are set before
// the first call.
type Store struct {
	// RotateBytes is the size in bytes at which a file is full: the next batch
	// goes to a new file. Zero means DefaultRotateBytes.
	RotateBytes int64
	// Path is the data folder.
	Path string

	mu      sync.Mutex
	streams map[stream.Name]*streamFiles
}

type streamFiles struct {
	// files is ordered from the oldest to the newest.
	files []*segmentFile
	// active is the file that records are appended to, the last of files. It is
	// nil until the first append of this process.
	active *os.File
}

// segmentFile is a file of records. Its size is known only if this process has
// created it.
type segmentFile struct {
	// highest is the highest position in the file.
	highest int64
	path    string
	size    int64
}

// Append stores contents as one batch and returns once they are synced to disk.
// After an error the caller must not rely on any of them. Append then truncates
// the file to remove them; if that fails too, Replay may still return some.
func (s *Store) Append(name stream.Name, contents []stream.Content) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sf, err := s.openStream(name)
	if err != nil {
		return err
	}
	last, err := s.currentFile(name, sf, contents)
	if err != nil {
		return err
	}
	var buffer []byte
	for _, content := range contents {
		buffer = appendRecord(buffer, content)
	}
	if err := writeAndSync(sf.active, buffer); err != nil {
		// Remove a partly written batch. Otherwise replay would stop there and
		// miss the records that are appended after it.
		return errs.Combine(classError.Wrap(err), classError.Wrap(sf.active.Truncate(last.size)), s.seekToEnd(sf, last))
	}
	last.size += int64(len(buffer))
	for _, content := range contents {
		last.highest = max(last.highest, content.Position)
	}
	return nil
}

func (*Store) seekToEnd(sf *streamFiles, last *segmentFile) error {
	_, err := sf.active.Seek(last.size, io.SeekStart)
	return classError.Wrap(err)
}

func writeAndSync(file *os.File, buffer []byte) error {
	if _, err := file.Write(buffer); err != nil {
		return err
	}
	return file.Sync()
}

func appendRecord(buffer []byte, content stream.Content) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(content.Line)))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(content.Position))
	buffer = binary.LittleEndian.AppendUint64(buffer, checksum(content))
	return append(buffer, content.Line...)
}

func checksum(content stream.Content) uint64 {
	return xxh3.HashSeed(content.Line, uint64(content.Position))
}

// currentFile returns the file to which contents are appended. It creates a new
// one if this process has none or the active one has reached RotateBytes.
func (s *Store) currentFile(name stream.Name, sf *streamFiles, contents []stream.Content) (*segmentFile, error) {
	limit := s.RotateBytes
	if limit == 0 {
		limit = DefaultRotateBytes
	}
	if sf.active != nil && sf.files[len(sf.files)-1].size < limit {
		return sf.files[len(sf.files)-1], nil
	}
	if sf.active != nil {
		if err := sf.active.Close(); err != nil {
			return nil, classError.Wrap(err)
		}
		sf.active = nil
	}
	var first int64
	if len(contents) > 0 {
		first = contents[0].Position
	}
	opened, err := createFile(s.streamDir(name), first)
	if err != nil {
		return nil, err
	}
	sf.active = opened
	sf.files = append(sf.files, &segmentFile{highest: first, path: opened.Name()})
	return sf.files[len(sf.files)-1], nil
}

// createFile creates a file for contents from position first on. If files for
// that position exist, it uses the next free number in the file name.
func createFile(dir string, first int64) (*os.File, error) {
	for number := 0; ; number++ {
		path := filepath.Join(dir, fmt.Sprintf("%020d-%06d%s", first, number, fileSuffix))
		opened, err := os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
		if !errors.Is(err, os.ErrExist) {
			return opened, classError.Wrap(err)
		}
	}
}

// streamDir returns the directory of a stream. Its name is a hash, since the
// names of services and trainers may contain any character.
func (s *Store) streamDir(name stream.Name) string {
	return filepath.Join(s.Path, "streams", strconv.FormatUint(xxh3.HashString(name.String()), 16))
}

// openStream returns the files of a stream. It lists and reads them from disk on
// the first call.
func (s *Store) openStream(name stream.Name) (*streamFiles, error) {
	if sf, ok := s.streams[name]; ok {
		return sf, nil
	}
	dir := s.streamDir(name)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, classError.Wrap(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, classError.Wrap(err)
	}
	sf := &streamFiles{}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), fileSuffix) {
			continue
		}
		found := &segmentFile{path: filepath.Join(dir, entry.Name())}
		if err := found.read(func(content stream.Content) { found.highest = max(found.highest, content.Position) }); err != nil {
			return nil, err
		}
		sf.files = append(sf.files, found)
	}
	if s.streams == nil {
		s.streams = make(map[stream.Name]*streamFiles)
	}
	s.streams[name] = sf
	return sf, nil
}

// read calls each with the records of the file, in order. It stops without an
// error before the first record that is torn or corrupt.
func (f *segmentFile) read(each func(stream.Content)) error {
	opened, err := os.Open(f.path)
	if err != nil {
		return classError.Wrap(err)
	}
	defer opened.Close() //nolint:errcheck // The file was only read.
	reader := bufio.NewReader(opened)
	for {
		content, err := readRecord(reader)
		if errors.Is(err, errTorn) || errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return classError.Wrap(err)
		}
		each(content)
	}
}

var errTorn = errors.New("record is torn or corrupt")

func readRecord(reader io.Reader) (stream.Content, error) {
	var header [recordHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return stream.Content{}, tornIfTruncated(err)
	}
	length := binary.LittleEndian.Uint32(header[0:4])
	content := stream.Content{Position: int64(binary.LittleEndian.Uint64(header[4:12]))}
	if length > maxContentBytes {
		return stream.Content{}, errTorn
	}
	content.Line = make([]byte, length)
	if _, err := io.ReadFull(reader, content.Line); err != nil {
		return stream.Content{}, tornIfTruncated(err)
	}
	if checksum(content) != binary.LittleEndian.Uint64(header[12:20]) {
		return stream.Content{}, errTorn
	}
	return content, nil
}

// tornIfTruncated returns errTorn for a record that the end of the file cuts off,
// and any other error unchanged.
func tornIfTruncated(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}

// Replay calls each with every record of the stream, from the oldest file to
// the newest. It skips the rest of a file after a torn or corrupt record.
func (s *Store) Replay(name stream.Name, each func(stream.Content)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sf, err := s.openStream(name)
	if err != nil {
		return err
	}
	for _, file := range sf.files {
		if err := file.read(each); err != nil {
			return err
		}
	}
	return nil
}

// Trim deletes the files that hold only positions below position, except the
// active one. It does nothing for a stream that this process has neither
// appended to nor replayed.
func (s *Store) Trim(name stream.Name, position int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sf, ok := s.streams[name]
	if !ok {
		return nil
	}
	var group errs.Group
	last := len(sf.files) - 1
	sf.files = slices.DeleteFunc(sf.files, func(old *segmentFile) bool {
		if old.highest >= position || sf.active != nil && old == sf.files[last] {
			return false
		}
		group.Add(os.Remove(old.path))
		return true
	})
	return classError.Wrap(group.Err())
}
