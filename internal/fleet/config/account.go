package config

import "crypto/sha256"

// Digest is the SHA-256 digest of an API key. Keys themselves aren't kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Account is a client account. Its requests carry one of its keys.
type Account struct {
	Keys []Digest
	Name string
	// Priority, if not nil, goes before the priority of the route.
	Priority *int
}

// IndexAccounts prepares AccountOf and PriorityOf. It must be called before the configuration
// is shared.
func (c *Config) IndexAccounts() {
	c.byKey, c.byName = make(map[Digest]int), make(map[string]int, len(c.Accounts))
	for i, a := range c.Accounts {
		c.byName[a.Name] = i
		for _, key := range a.Keys {
			c.byKey[key] = i
		}
	}
}

// AccountOf returns the account that holds a key. The time that it takes tells nothing about
// keys, since callers can't choose digests.
func (c *Config) AccountOf(key Digest) (Account, bool) {
	i, ok := c.byKey[key]
	if !ok {
		return Account{}, false
	}
	return c.Accounts[i], true
}

// PriorityOf returns the priority of an account's requests on a route. The empty name means
// no account.
func (c *Config) PriorityOf(route Route, account string) int {
	if i, ok := c.byName[account]; ok && c.Accounts[i].Priority != nil {
		return *c.Accounts[i].Priority
	}
	return route.Priority
}
