// Package inifile reads INI files and collects all mistakes with their line numbers, so
// that one run reports all of them.
package inifile

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Mistake is an invalid line, section, key or value of a file.
type Mistake struct {
	// Allowed describes what would be valid.
	Allowed string
	File    string
	Found   string
	Key     string
	Line    int
	Section string
}

// String returns the mistake as one line of text.
func (m Mistake) String() string {
	where := fmt.Sprintf("%s:%d", m.File, m.Line)
	name := m.Section
	if m.Key != "" {
		name = m.Section + "." + m.Key
	}
	return fmt.Sprintf("%s: %s: found %q, allowed: %s", where, name, m.Found, m.Allowed)
}

// Reader provides typed access to the values of a file. An invalid value is recorded as a
// mistake. The methods with a fallback return it if the value is missing or invalid.
type Reader struct {
	file      *ini.File
	requested map[string]bool
	lines     map[string]int
	mistakes  []Mistake
	name      string
}

// New returns a reader of text. Mistakes give name as the name of the file.
func New(name string, text []byte) *Reader {
	r := &Reader{file: ini.Empty(), requested: map[string]bool{}, lines: map[string]int{}, name: name}
	if !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0 {
		r.addMistake("", "", "bytes that are not text", "UTF-8 text without NUL")
		return r
	}
	options := ini.LoadOptions{
		// No section name contains a NUL, so no section inherits keys from another.
		ChildSectionDelimiter:   "\x00",
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: true,
	}
	file, err := ini.LoadSources(options, r.indexLines(text))
	if err != nil {
		r.addMistake("", "", err.Error(), "sections and key = value lines")
		return r
	}
	r.file = file
	return r
}

// Mistakes returns the mistakes found so far, sorted by line. Sections and keys that no
// call has requested count as mistakes.
func (r *Reader) Mistakes() []Mistake {
	all := slices.Clone(r.mistakes)
	for id, line := range r.lines {
		section, key := splitID(id)
		if !r.requested[id] && key != "" {
			all = append(all, Mistake{File: r.name, Line: line, Section: section, Key: key, Found: key, Allowed: "a key that the reference lists"})
		}
		if key == "" && !r.requested[id] {
			all = append(all, Mistake{File: r.name, Line: line, Section: section, Found: section, Allowed: "a section that the reference lists"})
		}
	}
	slices.SortFunc(all, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return all
}

// Sections returns the sorted names of the sections of the form [prefix "name"].
func (r *Reader) Sections(prefix string) []string {
	var names []string
	for _, section := range r.file.SectionStrings() {
		rest, ok := strings.CutPrefix(section, prefix+" ")
		if ok {
			names = append(names, strings.Trim(rest, `"`))
		}
	}
	slices.Sort(names)
	return names
}

// Keys returns the sorted keys of a section.
func (r *Reader) Keys(section string) []string {
	r.requested[id(section, "")] = true
	s, err := r.file.GetSection(section)
	if err != nil {
		return nil
	}
	keys := s.KeyStrings()
	slices.Sort(keys)
	return keys
}

// RequestedKeys returns the sorted names, as section.key, of all keys that were
// requested, whether or not the file has them.
func (r *Reader) RequestedKeys() []string {
	var names []string
	for name := range r.requested {
		if section, key := splitID(name); key != "" {
			names = append(names, section+"."+key)
		}
	}
	slices.Sort(names)
	return names
}

// Line returns the line number of a key, or of a section's title if key is empty. It
// returns zero if the file does not have it.
func (r *Reader) Line(section, key string) int { return r.lines[id(section, key)] }

// SectionName returns the section title of the form [prefix "name"].
func SectionName(prefix, name string) string {
	return prefix + ` "` + name + `"`
}

// Reject records a mistake in the value of a key.
func (r *Reader) Reject(section, key, found, allowed string) {
	r.addMistake(section, key, found, allowed)
}

// Text returns the value of the key, or fallback if the key is missing.
func (r *Reader) Text(section, key, fallback string) string {
	value, ok := r.lookup(section, key)
	if !ok {
		return fallback
	}
	return value
}

// Required returns the value and records a mistake if it is missing or empty.
func (r *Reader) Required(section, key, allowed string) string {
	value, _ := r.lookup(section, key)
	if value == "" {
		r.addMistake(section, key, "", allowed)
	}
	return value
}

// Choice returns the value, which must be one of options.
func (r *Reader) Choice(section, key, fallback string, options ...string) string {
	value, ok := r.lookup(section, key)
	if !ok {
		return fallback
	}
	if !slices.Contains(options, value) {
		r.addMistake(section, key, value, "one of "+strings.Join(options, ", "))
		return fallback
	}
	return value
}

// Bool returns the value, which must be true or false.
func (r *Reader) Bool(section, key string, fallback bool) bool {
	return r.Choice(section, key, strconv.FormatBool(fallback), "false", "true") == "true"
}

// Int returns the value, which must lie between low and high.
func (r *Reader) Int(section, key string, fallback, low, high int) int {
	value, ok := r.lookup(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		r.addMistake(section, key, value, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// Float returns the value, which must lie between low and high.
func (r *Reader) Float(section, key string, fallback, low, high float64) float64 {
	value, ok := r.lookup(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= low && n <= high) {
		r.addMistake(section, key, value, fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return n
}

// Duration returns the value, which must lie between low and high.
func (r *Reader) Duration(section, key string, fallback, low, high time.Duration) time.Duration {
	value, ok := r.lookup(section, key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		r.addMistake(section, key, value, fmt.Sprintf("a duration from %s to %s", low, high))
		return fallback
	}
	return d
}

// Address returns the value, which must be an IP address with a port. An empty
// value is allowed unless required is set.
func (r *Reader) Address(section, key string, required bool) string {
	value, _ := r.lookup(section, key)
	if value == "" && !required {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.addMistake(section, key, value, "an IP address and port, such as 192.0.2.1:7000")
		return ""
	}
	return value
}

// Addresses returns the value, a comma-separated list of IP addresses with
// ports.
func (r *Reader) Addresses(section, key string) []string {
	value, _ := r.lookup(section, key)
	var addresses []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if _, err := netip.ParseAddrPort(part); err != nil {
			r.addMistake(section, key, value, "IP addresses and ports, separated by commas")
			return nil
		}
		addresses = append(addresses, part)
	}
	return addresses
}

func (r *Reader) lookup(section, key string) (string, bool) {
	r.requested[id(section, "")] = true
	r.requested[id(section, key)] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return s.Key(key).Value(), true
}

func (r *Reader) addMistake(section, key, found, allowed string) {
	line := r.lines[id(section, key)]
	if line == 0 {
		line = r.lines[id(section, "")]
	}
	if line == 0 {
		line = 1
	}
	r.mistakes = append(r.mistakes, Mistake{File: r.name, Line: line, Section: section, Key: key, Found: truncate(found), Allowed: allowed})
}

// indexLines records the line number of each section and key, which the INI library does
// not report. It also records malformed lines and repeated sections and keys as mistakes.
// It returns the text with malformed lines and repeated keys replaced by empty lines.
func (r *Reader) indexLines(text []byte) []byte {
	section := ini.DefaultSection
	number := 0
	var clean bytes.Buffer
	for line := range strings.Lines(strings.TrimPrefix(string(text), "\ufeff")) {
		number++
		line = strings.TrimSpace(line)
		allowed := ""
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, allowed = parseTitle(line)
			if allowed == "" {
				r.recordLine(section, "", number)
			}
		default:
			if allowed = checkKeyLine(line); allowed == "" && !r.recordLine(section, keyName(line), number) {
				line = ""
			}
		}
		if allowed == "" {
			clean.WriteString(line)
		} else {
			r.mistakes = append(r.mistakes, Mistake{File: r.name, Line: number, Section: section, Found: truncate(line), Allowed: allowed})
		}
		clean.WriteByte('\n')
	}
	return clean.Bytes()
}

// parseTitle returns the name in a section's title. For a malformed title, it returns the
// default section, to which the keys below are then assigned, and a text that says what is
// allowed.
func parseTitle(line string) (name, allowed string) {
	name, rest, ok := strings.Cut(line[1:], "]")
	if !ok || rest != "" || name == "" || name != strings.TrimSpace(name) || strings.ContainsAny(name, "[") {
		return ini.DefaultSection, "a title such as [service] without anything after it"
	}
	return name, ""
}

// checkKeyLine returns what is allowed if line is not a valid key with a value, else "".
// Quotes with which the INI library continues a value on the next line are not allowed.
func checkKeyLine(line string) string {
	end := strings.IndexAny(line, delimiters)
	if end < 1 {
		return "key = value"
	}
	value := strings.TrimSpace(line[end+1:])
	if strings.ContainsAny(line[:1], "\"`") || strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		return "a key and a value without these quotes"
	}
	if strings.IndexFunc(value, unicode.IsControl) >= 0 {
		return "a value without control characters"
	}
	return ""
}

func keyName(line string) string {
	return strings.TrimSpace(line[:strings.IndexAny(line, delimiters)])
}

// maxFoundRunes bounds how many characters of a value a mistake quotes.
const maxFoundRunes = 80

// delimiters are the characters that can separate a key from its value.
const delimiters = "=:"

// truncate shortens text to maxFoundRunes characters.
func truncate(text string) string {
	runes := []rune(text)
	if len(runes) <= maxFoundRunes {
		return text
	}
	return string(runes[:maxFoundRunes]) + "..."
}

// recordLine records the line number of a section or key. If it was recorded before, it
// keeps the first line, adds a mistake and returns false.
func (r *Reader) recordLine(section, key string, number int) bool {
	name := id(section, key)
	if first, ok := r.lines[name]; ok {
		allowed := fmt.Sprintf("once; it stands on line %d", first)
		r.mistakes = append(r.mistakes, Mistake{File: r.name, Line: number, Section: section, Key: key, Found: cmp.Or(key, section), Allowed: allowed})
		return false
	}
	r.lines[name] = number
	return true
}

const idSeparator = "\x00"

func id(section, key string) string { return section + idSeparator + key }

func splitID(name string) (section, key string) {
	section, key, _ = strings.Cut(name, idSeparator)
	return section, key
}
