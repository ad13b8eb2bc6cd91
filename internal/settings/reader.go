package settings

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a settings file being read. It collects the faults.
type document struct {
	raw    []byte
	faults Faults
}

// object is a JSON object of the document with its path and line.
type object struct {
	doc     *document
	path    string
	line    int
	members map[string]*hujson.Value
	// knownKeys lists the known keys in the order in which they were read.
	knownKeys []string
}

// parseDocument parses a file and returns its top-level object. A syntax error is
// reported as a fault, and the object is then nil.
func parseDocument(raw []byte) (*document, *object) {
	doc := &document{raw: raw}
	value, err := hujson.Parse(raw)
	if err != nil {
		doc.addFault("file", syntaxLine(err), err.Error(), "JSON with comments and trailing commas")
		return doc, nil
	}
	return doc, doc.object("file", "", &value)
}

// syntaxLine extracts the line from an error message of the parser. It returns 0 if
// there is none.
func syntaxLine(err error) int {
	var line int
	if _, err := fmt.Sscanf(err.Error(), "hujson: line %d", &line); err != nil {
		return 0
	}
	return line
}

func (d *document) addFault(key string, line int, found, allowed string) {
	d.faults = append(d.faults, &Fault{Key: key, Line: line, Found: found, Allowed: allowed})
}

// sorted returns the faults sorted by line.
func (d *document) sorted() Faults {
	slices.SortStableFunc(d.faults, func(a, b *Fault) int { return a.Line - b.Line })
	return d.faults
}

func (d *document) lineOf(value *hujson.Value) int {
	return 1 + bytes.Count(d.raw[:value.StartOffset], []byte("\n"))
}

// object reads a value as an object. It reports a fault and returns nil if the value
// is not an object.
func (d *document) object(key, path string, value *hujson.Value) *object {
	found, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addFault(key, d.lineOf(value), describe(value), "an object")
		return nil
	}
	o := &object{doc: d, path: path, line: d.lineOf(value), members: map[string]*hujson.Value{}}
	for i := range found.Members {
		member := &found.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		if o.members[name] != nil {
			d.addFault(o.key(name), d.lineOf(&member.Name), "duplicate key", "each key once")
		}
		o.members[name] = &member.Value
	}
	return o
}

// describe returns the JSON type of a value. It omits the value, which may be a
// secret.
func describe(value *hujson.Value) string {
	switch value.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}

func (o *object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// has reports whether the file sets the key.
func (o *object) has(name string) bool { return o.members[name] != nil }

// take returns the value of a key, or nil, and records that the key is known.
func (o *object) take(name string) *hujson.Value {
	o.knownKeys = append(o.knownKeys, name)
	return o.members[name]
}

func (o *object) addFault(name, found, allowed string) {
	line := o.line
	if value := o.members[name]; value != nil {
		line = o.doc.lineOf(value)
	}
	o.doc.addFault(o.key(name), line, found, allowed)
}

// reportUnknownKeys reports a fault for each key that has not been read.
func (o *object) reportUnknownKeys() {
	for _, name := range slices.Sorted(maps.Keys(o.members)) {
		if slices.Contains(o.knownKeys, name) {
			continue
		}
		value := o.members[name]
		known := slices.Sorted(slices.Values(o.knownKeys))
		o.doc.addFault(o.key(name), o.doc.lineOf(value), "unknown key", strings.Join(known, ", "))
	}
}

// missing is the text of Fault.Found for a required key that is absent.
const missing = "missing"

// requiredString reads a required string.
func (o *object) requiredString(name string, r rule) string {
	if !o.has(name) {
		o.take(name)
		o.addFault(name, missing, r.allowed)
		return ""
	}
	return o.stringOr(name, "", r)
}

// stringOr reads an optional string.
func (o *object) stringOr(name, fallback string, r rule) string {
	value := o.take(name)
	if value == nil {
		return fallback
	}
	return o.doc.readString(o.key(name), value, r)
}

func (d *document) readString(key string, value *hujson.Value, r rule) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.addFault(key, d.lineOf(value), describe(value), r.allowed)
		return ""
	}
	text := literal.String()
	if r.valid(text) {
		return text
	}
	found := strconv.Quote(text)
	if r.secret {
		found = redacted
	}
	d.addFault(key, d.lineOf(value), found, r.allowed)
	return ""
}

// requiredStrings reads a required, non-empty array of strings.
func (o *object) requiredStrings(name string, r rule) []string {
	var list []string
	for i, value := range o.elements(name, "an array of at least one "+r.allowed, true) {
		list = append(list, o.doc.readString(fmt.Sprintf("%s[%d]", o.key(name), i), value, r))
	}
	return list
}

// requiredInteger reads a required integer within bounds.
func (o *object) requiredInteger(name string, lowest, highest int64) int64 {
	if !o.has(name) {
		o.take(name)
		o.addFault(name, missing, integerRange(lowest, highest))
		return 0
	}
	return o.integerOr(name, 0, lowest, highest)
}

// integerOr reads an optional integer within bounds.
func (o *object) integerOr(name string, fallback, lowest, highest int64) int64 {
	value := o.take(name)
	if value == nil {
		return fallback
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		o.addFault(name, describe(value), integerRange(lowest, highest))
		return 0
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || number < lowest || number > highest {
		o.addFault(name, string(literal), integerRange(lowest, highest))
		return 0
	}
	return number
}

func integerRange(lowest, highest int64) string {
	return fmt.Sprintf("an integer from %d to %d", lowest, highest)
}

// boolean reads an optional boolean. The default is false.
func (o *object) boolean(name string) bool {
	value := o.take(name)
	if value == nil {
		return false
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		o.addFault(name, describe(value), "true or false")
		return false
	}
	return literal.Bool()
}

// child reads an optional object. It returns nil if the object is absent or the value
// is not an object.
func (o *object) child(name string) *object {
	value := o.take(name)
	if value == nil {
		return nil
	}
	return o.doc.object(o.key(name), o.key(name), value)
}

// children reads an array of objects. Elements that are not objects are reported as
// faults and omitted.
func (o *object) children(name, allowed string, required bool) []*object {
	var list []*object
	for i, value := range o.elements(name, allowed, required) {
		key := fmt.Sprintf("%s[%d]", o.key(name), i)
		if element := o.doc.object(key, key, value); element != nil {
			list = append(list, element)
		}
	}
	return list
}

func (o *object) elements(name, allowed string, required bool) []*hujson.Value {
	value := o.take(name)
	if value == nil {
		if required {
			o.addFault(name, missing, allowed)
		}
		return nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.addFault(name, describe(value), allowed)
		return nil
	}
	if required && len(array.Elements) == 0 {
		o.addFault(name, "an empty array", allowed)
	}
	list := make([]*hujson.Value, len(array.Elements))
	for i := range array.Elements {
		list[i] = &array.Elements[i]
	}
	return list
}
