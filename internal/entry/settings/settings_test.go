package settings_test

import (
	"fmt"
	"testing"

	"github.com/nutmegway/nutmegway/internal/entry/settings"
)

func ExampleParse() {
	_, mistakes := settings.Parse("entry.ini", []byte(`[node]
id = entry-1
availability-zone = waco-a
region = texas
deployment = brazos
[listen]
caller = 192.0.2.1
admin = 192.0.2.1:7002
peer = 192.0.2.1:7001
[platform]
host-list = http://192.0.2.9:8080
key-value = 192.0.2.7:2379
weight-store = http://192.0.2.9:8081
[shutdown]
grace = never
`))
	for _, mistake := range mistakes {
		fmt.Println(mistake)
	}
	// Output:
	// entry.ini:7: listen.caller: found "192.0.2.1", allowed: an IP address and port, such as 192.0.2.1:7000
	// entry.ini:15: shutdown.grace: found "never", allowed: a duration from 1s to 1h0m0s
}

// FuzzParse searches for text that makes Parse panic or that it accepts without an id or
// an address for callers.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[node]\nid = a\n"))
	f.Add([]byte("[listen]\ncaller = 192.0.2.1:1\ncaller = 192.0.2.1:2\n"))
	f.Add([]byte("\xff\x00[="))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, mistakes := settings.Parse("fuzz.ini", text)
		if len(mistakes) == 0 && (s.Listen.Caller == "" || s.Node.ID == "") {
			t.Errorf("accepted without a caller address or an id: %+v", s)
		}
	})
}
