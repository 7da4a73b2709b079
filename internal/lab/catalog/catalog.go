// Package catalog lists the metrics and the log events of the product from its
// source, for the reference pages.
package catalog

import (
	"cmp"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Event is a log event of the product.
type Event struct {
	// Attributes are the sorted attribute keys that the logging call names.
	Attributes []string
	Level      string
	Message    string
	// Package is the slash-separated directory relative to the root.
	Package string
}

// Metric is a metric instrument of the product.
type Metric struct {
	Description string
	Instrument  string
	Name        string
	Package     string
	Unit        string
}

// Catalog holds the log events and the metrics of a source tree.
type Catalog struct {
	Events  []Event
	Metrics []Metric
}

// Read returns the catalog of the source files below root, without tests,
// stand-ins, the lab and generated code.
func Read(root string) (Catalog, error) {
	var c Catalog
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		if entry.IsDir() {
			if relative != "." && isSkipped(relative) {
				return filepath.SkipDir
			}
			return nil
		}
		if !isSource(relative) {
			return nil
		}
		return c.readFile(path, filepath.ToSlash(filepath.Dir(relative)))
	})
	c.sort()
	return c, err
}

func isSkipped(directory string) bool {
	switch directory {
	case "bin", "cmd/nutmegway-lab", "docs", "internal/lab", "internal/standin", "tools":
		return true
	default:
		return strings.HasPrefix(filepath.Base(directory), ".")
	}
}

func isSource(path string) bool {
	return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.HasSuffix(path, ".pb.go")
}

func (c *Catalog) readFile(path, directory string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			c.readCall(call, directory)
		}
		return true
	})
	return nil
}

func (c *Catalog) readCall(call *ast.CallExpr, directory string) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	name := selector.Sel.Name
	if position, ok := messagePositions[name]; ok && len(call.Args) > position && isLoggerCall(selector) {
		c.addEvent(call, name, position, directory)
	}
	if strings.HasPrefix(name, "Int64") || strings.HasPrefix(name, "Float64") {
		c.addMetric(call, name, directory)
	}
}

// messagePositions maps the methods of a logger to the index of their message
// argument.
var messagePositions = map[string]int{
	"Debug":        0,
	"DebugContext": 1,
	"Error":        0,
	"ErrorContext": 1,
	"Info":         0,
	"InfoContext":  1,
	"LogAttrs":     2,
	"Warn":         0,
	"WarnContext":  1,
}

// isLoggerCall reports whether the receiver of the method is a variable or field named
// logger, regardless of letter case.
func isLoggerCall(selector *ast.SelectorExpr) bool {
	switch receiver := selector.X.(type) {
	case *ast.Ident:
		return strings.EqualFold(receiver.Name, "logger")
	case *ast.SelectorExpr:
		return strings.EqualFold(receiver.Sel.Name, "logger")
	default:
		return false
	}
}

func (c *Catalog) addEvent(call *ast.CallExpr, method string, position int, directory string) {
	message, ok := stringLiteral(call.Args[position])
	if !ok {
		return
	}
	event := Event{Level: strings.ToLower(strings.TrimSuffix(method, "Context")), Message: message, Package: directory}
	if method == "LogAttrs" {
		event.Level = levelName(call.Args[1])
	}
	for _, argument := range call.Args[position+1:] {
		if key, ok := attributeKey(argument); ok {
			event.Attributes = append(event.Attributes, key)
		}
	}
	slices.Sort(event.Attributes)
	c.Events = append(c.Events, event)
}

// levelName returns the level that an argument such as slog.LevelWarn names, or
// "any" for an argument of another form.
func levelName(argument ast.Expr) string {
	if selector, ok := argument.(*ast.SelectorExpr); ok {
		return strings.ToLower(strings.TrimPrefix(selector.Sel.Name, "Level"))
	}
	return "any"
}

// attributeKey returns the key of an argument such as slog.String("key", …). For a call
// of a function named errorAttr, the key is "error".
func attributeKey(argument ast.Expr) (string, bool) {
	call, ok := argument.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	if ident, ok := call.Fun.(*ast.Ident); ok && ident.Name == "errorAttr" {
		return "error", true
	}
	if len(call.Args) == 0 {
		return "", false
	}
	return stringLiteral(call.Args[0])
}

func (c *Catalog) addMetric(call *ast.CallExpr, instrument, directory string) {
	if len(call.Args) == 0 {
		return
	}
	name, ok := stringLiteral(call.Args[0])
	if !ok {
		return
	}
	metric := Metric{Instrument: instrument, Name: name, Package: directory}
	for _, argument := range call.Args[1:] {
		option, ok := argument.(*ast.CallExpr)
		if !ok || len(option.Args) == 0 {
			continue
		}
		value, _ := stringLiteral(option.Args[0])
		switch selectorName(option.Fun) {
		case "WithDescription":
			metric.Description = value
		case "WithUnit":
			metric.Unit = value
		}
	}
	// The caller also passes calls such as slog.Int64("key", n), which create no
	// instrument.
	if instrumentKinds[instrument] {
		c.Metrics = append(c.Metrics, metric)
	}
}

var instrumentKinds = map[string]bool{
	"Float64Counter":         true,
	"Float64Gauge":           true,
	"Float64Histogram":       true,
	"Float64ObservableGauge": true,
	"Int64Counter":           true,
	"Int64Gauge":             true,
	"Int64Histogram":         true,
	"Int64ObservableCounter": true,
	"Int64ObservableGauge":   true,
	"Int64UpDownCounter":     true,
}

func selectorName(expression ast.Expr) string {
	if selector, ok := expression.(*ast.SelectorExpr); ok {
		return selector.Sel.Name
	}
	return ""
}

func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

func (c *Catalog) sort() {
	slices.SortFunc(c.Events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Package, b.Package), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Level, b.Level), slices.Compare(a.Attributes, b.Attributes))
	})
	c.Events = slices.CompactFunc(c.Events, func(a, b Event) bool {
		return a.Package == b.Package && a.Message == b.Message && a.Level == b.Level && slices.Equal(a.Attributes, b.Attributes)
	})
	slices.SortFunc(c.Metrics, func(a, b Metric) int { return cmp.Compare(a.Name, b.Name) })
}
