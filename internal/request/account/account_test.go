package account_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/account"
)

func newConfig(keys map[string]string) *config.Config {
	c := &config.Config{}
	for key, name := range keys {
		c.Accounts = append(c.Accounts, config.Account{Keys: []config.Digest{config.DigestOf(key)}, Name: name})
	}
	c.IndexAccounts()
	return c
}

func TestFind(t *testing.T) {
	bounds := account.Bounds{Refuse: 3 * time.Second, Serve: 4 * time.Second}
	c := newConfig(map[string]string{"k": "a"})
	cases := map[string]struct {
		bounds account.Bounds
		config *config.Config
		age    account.Age
		key    string
		want   kind.Kind
	}{
		"in force":                       {bounds, c, account.Age{Known: true, Value: 4 * time.Second}, "k", ""},
		"copy too old":                   {bounds, c, account.Age{Known: true, Value: 4*time.Second + 1}, "k", kind.Unavailable},
		"age unknown":                    {bounds, c, account.Age{}, "k", kind.Unavailable},
		"unknown key":                    {bounds, c, account.Age{Known: true, Value: 3 * time.Second}, "x", kind.Unauthorized},
		"unknown key may be newer":       {bounds, c, account.Age{Known: true, Value: 3*time.Second + 1}, "x", kind.Unavailable},
		"no configuration":               {bounds, nil, account.Age{Known: true}, "k", kind.Unavailable},
		"no bound":                       {account.Bounds{Refuse: time.Second}, c, account.Age{Known: true, Value: time.Hour}, "k", ""},
		"no bound, unknown key":          {account.Bounds{Refuse: time.Second}, c, account.Age{Known: true, Value: time.Hour}, "x", kind.Unavailable},
		"empty key of the configuration": {bounds, newConfig(map[string]string{"": "a"}), account.Age{Known: true}, "x", kind.Unauthorized},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, err := tc.bounds.Find(tc.config, tc.age, config.DigestOf(tc.key))
			if tc.want == "" {
				is.NoErr(err)
				is.Equal(a.Name, "a")
				return
			}
			is.Equal(kind.Of(err).Kind, tc.want)
			is.Equal(kind.Of(err).Ran, kind.RanNo)
			is.True(tc.want == kind.Unauthorized || kind.Of(err).RetryAfter > 0)
		})
	}
}

// TestGrantEnds checks a grant after events between the arrival of its request and the sending.
func TestGrantEnds(t *testing.T) {
	const serve = 4 * time.Second
	type state struct {
		config *config.Config
		now    boottime.Instant
		asOf   boottime.Instant
	}
	cases := map[string]struct {
		change func(*state)
		expiry time.Duration
		want   kind.Kind
	}{
		"nothing":                    {func(*state) {}, 0, ""},
		"key taken away":             {func(s *state) { s.config = newConfig(map[string]string{"other": "a"}) }, 0, kind.Unauthorized},
		"key of another account":     {func(s *state) { s.config = newConfig(map[string]string{"k": "b"}) }, 0, kind.Unavailable},
		"accounts gone":              {func(s *state) { s.config = newConfig(nil) }, 0, kind.Unavailable},
		"stood still":                {func(s *state) { s.now = s.now.Add(serve + 1) }, 0, kind.Unavailable},
		"stood still, copy renewed":  {func(s *state) { s.now, s.asOf = s.now.Add(serve+1), s.now.Add(serve) }, 0, ""},
		"sender's copy old":          {func(s *state) { s.now, s.asOf = s.now.Add(time.Second+1), s.now.Add(time.Second) }, time.Second, kind.Unavailable},
		"sender's copy young enough": {func(s *state) { s.now = s.now.Add(time.Second) }, time.Second, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := boottime.Instant(time.Hour)
			s := &state{config: newConfig(map[string]string{"k": "a"}), now: start, asOf: start}
			gate := &account.Gate{
				Age:    func() account.Age { return account.Age{Known: true, Value: s.now.Sub(s.asOf)} },
				Bounds: account.Bounds{Refuse: serve, Serve: serve}, Config: func() *config.Config { return s.config },
				Logger: slog.New(slog.DiscardHandler), Now: func() boottime.Instant { return s.now },
			}
			grant, err := gate.Authenticate("k")
			is.NoErr(err)
			if c.expiry > 0 {
				grant = gate.Adopt(account.Grant{Account: "a", Expires: start.Add(c.expiry), Key: grant.Key})
			}
			c.change(s)
			if err := grant.Check(); c.want == "" {
				is.NoErr(err)
			} else {
				is.Equal(kind.Of(err).Kind, c.want)
			}
		})
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	keys := make(map[string]string)
	for n := range 200 {
		keys[string(rune('a'+n))+"-0123456789abcdef0123456789abcdef"] = string(rune('a' + n))
	}
	c := newConfig(keys)
	gate := &account.Gate{
		Age:    func() account.Age { boottime.Now(); return account.Age{Known: true} },
		Bounds: account.Bounds{Refuse: time.Second, Serve: time.Second}, Config: func() *config.Config { return c },
		Logger: slog.New(slog.DiscardHandler),
	}
	b.ReportAllocs()
	for b.Loop() {
		grant, err := gate.Authenticate("b-0123456789abcdef0123456789abcdef")
		if err != nil || grant.Check() != nil {
			b.Fatal(err)
		}
	}
}
