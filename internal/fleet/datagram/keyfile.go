package datagram

import (
	"encoding/hex"
	"os"
	"strings"
	"sync"
	"time"
)

// statInterval is the minimum interval between checks of the file for changes.
const statInterval = time.Second

// KeyFile is a file of keys in hexadecimal, one per line. The first key seals;
// all of them open. The file is reloaded when its modification time changes. Path
// is set before Load.
type KeyFile struct {
	Path string

	mu        sync.Mutex
	checkedAt time.Time
	keys      []Key
	modTime   time.Time
}

// Load reads and parses the file.
func (f *KeyFile) Load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read()
}

// Keys returns the current keys. If a changed file cannot be loaded, the previous
// keys remain in use.
func (f *KeyFile) Keys() []Key {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checkedAt) < statInterval {
		return f.keys
	}
	f.checkedAt = time.Now()
	info, err := os.Stat(f.Path)
	if err == nil && !info.ModTime().Equal(f.modTime) {
		_ = f.read()
	}
	return f.keys
}

func (f *KeyFile) read() error {
	info, err := os.Stat(f.Path)
	if err != nil {
		return classError.Wrap(err)
	}
	text, err := os.ReadFile(f.Path)
	if err != nil {
		return classError.Wrap(err)
	}
	keys, err := ParseKeys(string(text))
	if err != nil {
		return err
	}
	f.keys, f.modTime, f.checkedAt = keys, info.ModTime(), time.Now()
	return nil
}

// ParseKeys parses keys in hexadecimal, one per line.
func ParseKeys(text string) ([]Key, error) {
	var keys []Key
	for line := range strings.FieldsSeq(text) {
		secret, err := hex.DecodeString(line)
		if err != nil {
			return nil, classError.New("key %d is not hexadecimal", len(keys)+1)
		}
		key, err := NewKey(secret)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, classError.New("found no key, want at least one")
	}
	return keys, nil
}
