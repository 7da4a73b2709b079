package segment_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/rollout/segment"
	"github.com/nutmegway/nutmegway/internal/rollout/stream"
)

var streamName = stream.Name{Service: "reviewer", Trainer: "../a trainer"}

func contents(from, to int64) []stream.Content {
	var list []stream.Content
	for p := from; p < to; p++ {
		list = append(list, stream.Content{Line: fmt.Appendf(nil, "line %d\n", p), Position: p})
	}
	return list
}

// replay returns the positions that a new Store replays from the data folder,
// as after a restart of the process.
func replay(t *testing.T, folder string) []int64 {
	t.Helper()
	var positions []int64
	err := (&segment.Store{Path: folder}).Replay(streamName, func(c stream.Content) {
		if string(c.Line) != fmt.Sprintf("line %d\n", c.Position) {
			t.Fatalf("position %d holds %q, want %q", c.Position, c.Line, fmt.Sprintf("line %d\n", c.Position))
		}
		positions = append(positions, c.Position)
	})
	if err != nil {
		t.Fatal(err)
	}
	return positions
}

// streamFiles returns the paths of the segment files below the data folder.
func streamFiles(t *testing.T, folder string) []string {
	t.Helper()
	list, err := filepath.Glob(filepath.Join(folder, "streams", "*", "*.segment"))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestReplayAfterCrash(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	store := &segment.Store{Path: folder}
	is.NoErr(store.Append(streamName, contents(0, 3)))
	is.NoErr(store.Append(streamName, contents(3, 5)))
	// The store isn't closed, as if the process had been killed.
	is.Equal(replay(t, folder), []int64{0, 1, 2, 3, 4})
}

func TestTornRecordIsDropped(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr((&segment.Store{Path: folder}).Append(streamName, contents(0, 3)))
	path := streamFiles(t, folder)[0]
	info, err := os.Stat(path)
	is.NoErr(err)
	is.NoErr(os.Truncate(path, info.Size()-2))
	is.Equal(replay(t, folder), []int64{0, 1})
	// A new process appends to a new file.
	is.NoErr((&segment.Store{Path: folder}).Append(streamName, contents(2, 4)))
	is.Equal(replay(t, folder), []int64{0, 1, 2, 3})
}

func TestCorruptRecordIsNotReplayed(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr((&segment.Store{Path: folder}).Append(streamName, contents(0, 3)))
	path := streamFiles(t, folder)[0]
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-3] ^= 1
	is.NoErr(os.WriteFile(path, data, 0o600))
	is.Equal(replay(t, folder), []int64{0, 1})
}

func TestTrimDeletesFilesBelowPosition(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	store := &segment.Store{RotateBytes: 1, Path: folder}
	for p := range int64(6) {
		is.NoErr(store.Append(streamName, contents(p, p+1)))
	}
	is.NoErr(store.Trim(streamName, 4))
	is.Equal(replay(t, folder), []int64{4, 5})
	is.NoErr(store.Append(streamName, contents(6, 7)))
	is.Equal(replay(t, folder), []int64{4, 5, 6})
}
