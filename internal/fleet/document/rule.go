package document

import "strings"

// anyMethod is the method of a rule that matches all methods.
const anyMethod = "*"

// RepeatFor returns the policy for a request: that of the first rule whose method
// and path prefix match, or Default.
func (r Retry) RepeatFor(method, path string) RepeatPolicy {
	for _, rule := range r.Rules {
		if rule.matches(method, path) {
			return rule.Repeat
		}
	}
	return r.Default
}

// matches reports whether the rule applies to a request. It compares whole path
// segments, so that /book does not match /bookings.
func (r RepeatRule) matches(method, path string) bool {
	if r.Method != anyMethod && r.Method != method {
		return false
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
