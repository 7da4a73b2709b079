package intake

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// TestStalledHoldersEndFirst guards against ending callers that move, or requests that run, for
// the memory that stalled ones hold.
func TestStalledHoldersEndFirst(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	now := start.Add(2 * stallTime)
	l := &ledger{total: 64 << 20}
	add := func(p phase, held int64, moved time.Time) *holder {
		h := &holder{}
		_, ok := l.admit(h, start, held, 0)
		is.True(ok)
		h.begin(moved, p)
		return h
	}
	large := add(receiving, 8<<20, start)
	small := add(receiving, 1<<20, start)
	unread := add(sending, 512<<10, start)
	add(receiving, 16<<20, now)
	add(running, 16<<20, start)
	for _, want := range []*holder{large, small, unread} {
		got := l.stalled(now, nil)
		is.True(got == want)
		got.ended = true
	}
	is.True(l.stalled(now, nil) == nil)
}

// TestHoldersWaitForThoseThatMayGiveBack guards against ending a request that waits for memory
// while another one may give its own back, and against requests that wait for each other.
func TestHoldersWaitForThoseThatMayGiveBack(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	now := start.Add(3 * stallTime)
	l := &ledger{total: 64 << 20}
	var waiting [2]*holder
	for i := range waiting {
		waiting[i] = &holder{waiting: true}
		_, ok := l.admit(waiting[i], start, 16<<20, 0)
		is.True(ok)
		waiting[i].begin(start.Add(time.Duration(i)), receiving)
	}
	runs := &holder{}
	_, ok := l.admit(runs, start, 16<<20, 0)
	is.True(ok)
	runs.begin(start, running)
	is.True(l.stalled(now, nil) == nil)
	l.remove(runs)
	is.True(l.stalled(now, nil) == waiting[1])
}

// TestSmallHoldersUseTheReserve checks that a large request finds all but the reserve also
// beside many small ones.
func TestSmallHoldersUseTheReserve(t *testing.T) {
	is := is.New(t)
	l := &ledger{total: 64 << 20}
	for range 50 {
		is.True(l.take(&holder{}, 32<<10))
	}
	large := &holder{}
	is.True(l.take(large, l.room(large)))
}

// TestTrickleIsNoProgress guards against holders that send a byte now and then.
func TestTrickleIsNoProgress(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	h := &holder{held: 1 << 20, moved: start}
	h.move(start.Add(time.Second), 1)
	is.Equal(h.moved, start)
	h.move(start.Add(time.Second), 1<<16)
	is.Equal(h.moved, start.Add(time.Second))
}

// TestReserveIsForSmallHolders checks that ordinary requests find memory when large ones have
// taken all they may, and that a single one may take all but the reserve.
func TestReserveIsForSmallHolders(t *testing.T) {
	is := is.New(t)
	l := &ledger{total: 8 << 20}
	large, small := &holder{}, &holder{}
	is.True(l.take(large, l.room(large)))
	is.True(!l.take(large, 1))
	is.True(l.take(small, smallBytes))
	is.True(!l.take(small, 1))
	l.remove(large)
	l.remove(small)
	is.Equal(l.used, int64(0))
}

// TestLongestIdleConnectionMakesRoom checks that a new connection ends the longest idle one of
// its group and is refused while all others run.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	l := &ledger{}
	first, second, other := &holder{group: 1}, &holder{group: 1}, &holder{group: 2}
	for i, h := range []*holder{other, first, second} {
		end, ok := l.admit(h, start.Add(time.Duration(i)), 1, 2)
		is.True(ok)
		is.True(end == nil)
	}
	third := &holder{group: 1}
	end, ok := l.admit(third, start.Add(time.Second), 1, 2)
	is.True(ok)
	is.True(end == first)
	second.begin(start, running)
	third.begin(start, running)
	_, ok = l.admit(&holder{group: 1}, start.Add(time.Minute), 1, 2)
	is.True(!ok)
}

func TestReadAll(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, firstBytes, firstBytes + 1, wholeBytes + 1} {
		body := bytes.Repeat([]byte("x"), size)
		for _, declared := range []int64{-1, int64(size)} {
			got, err := ReadAll(nil, iotest.HalfReader(bytes.NewReader(body)), declared, wholeBytes*2)
			is.NoErr(err)
			is.True(bytes.Equal(got, body))
		}
		got, err := ReadAll(nil, bytes.NewReader(body), -1, int64(size)-1)
		is.NoErr(err)
		is.Equal(len(got), size) // one byte more than the limit
	}
	_, err := ReadAll(nil, io.MultiReader(bytes.NewReader([]byte("x")), iotest.ErrReader(errTest)), 4, 8)
	is.True(errors.Is(err, errTest))
}

var errTest = errors.New("test")
