package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// reader parses the text of one note and collects its faults.
type reader struct {
	text   []byte
	faults []Fault
}

// node is a JSON value of the note. Its key is the dotted path from the root,
// which has the empty key.
type node struct {
	reader *reader
	key    string
	value  *hujson.Value
}

// field describes a key that an object may have and how to read its value.
type field struct {
	name     string
	required bool
	read     func(node)
}

func required(name string, read func(node)) field {
	return field{name: name, required: true, read: read}
}

func optional(name string, read func(node)) field { return field{name: name, read: read} }

// parse returns the root value of the text, or false after a syntax error.
func (r *reader) parse() (node, bool) {
	value, err := hujson.Parse(r.text)
	if err != nil {
		r.faults = append(r.faults, Fault{Key: "note", Problem: err.Error(), Allowed: "JSON with comments and trailing commas"})
		return node{}, false
	}
	return node{reader: r, value: &value}, true
}

func (n node) fault(problem, allowed string) {
	n.reader.faults = append(n.reader.faults, Fault{Key: n.path(), Line: n.line(), Problem: problem, Allowed: allowed})
}

func (n node) path() string {
	if n.key == "" {
		return "note"
	}
	return n.key
}

func (n node) line() int {
	return 1 + bytes.Count(n.reader.text[:n.value.StartOffset], []byte("\n"))
}

func (n node) child(name string, value *hujson.Value) node {
	key := name
	if n.key != "" {
		key = n.key + "." + name
	}
	return node{reader: n.reader, key: key, value: value}
}

// members calls visit for each member of an object. A duplicate key is a fault,
// and so is a value that is not an object.
func (n node) members(visit func(name string, member node)) {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.fault("is not an object", "an object in braces")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		name := literalText(object.Members[i].Name)
		member := n.child(name, &object.Members[i].Value)
		if seen[name] {
			member.fault("is a duplicate key", "each key once")
			continue
		}
		seen[name] = true
		visit(name, member)
	}
}

// object reads an object with the given fields. Unknown keys and missing
// required ones are faults.
func (n node) object(fields []field) {
	seen := map[string]bool{}
	n.members(func(name string, member node) {
		seen[name] = true
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			member.fault("is not a known key", fieldNames(fields))
			return
		}
		fields[i].read(member)
	})
	if _, ok := n.value.Value.(*hujson.Object); !ok {
		return
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			n.child(f.name, n.value).fault("is missing", "this key is required")
		}
	}
}

// list calls visit for each element of an array.
func (n node) list(visit func(element node)) {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.fault("is not an array", "an array in brackets")
		return
	}
	for i := range array.Elements {
		visit(n.child(fmt.Sprint(i), &array.Elements[i]))
	}
}

// text reads a string of 1 to limit bytes, or returns "" after a fault.
func (n node) text(limit int) string {
	allowed := fmt.Sprintf("a string of 1 to %d bytes that is not blank", limit)
	if n.value.Value.Kind() != '"' {
		n.fault("is not a string", allowed)
		return ""
	}
	text := literalText(*n.value)
	if strings.TrimSpace(text) == "" || len(text) > limit {
		n.fault("is blank or too long", allowed)
		return ""
	}
	return text
}

// name reads the name of an item, a note or a pool, or returns "" after a fault.
func (n node) name() string {
	if n.value.Value.Kind() != '"' {
		n.fault("is not a string", nameRule)
		return ""
	}
	text := literalText(*n.value)
	if !isName(text) {
		n.fault(fmt.Sprintf("%q is not a valid name", text), nameRule)
		return ""
	}
	return text
}

// number reads a number within the limits, or returns zero after a fault.
func (n node) number(l limits) float64 {
	var x float64
	if n.value.Value.Kind() != '0' || json.Unmarshal(n.value.Value.(hujson.Literal), &x) != nil {
		n.fault("is not a number", l.String())
		return 0
	}
	if !l.contain(x) {
		n.fault(fmt.Sprintf("%v is out of range", x), l.String())
		return 0
	}
	return x
}

// whole reads an integer within the limits, or returns zero after a fault.
func (n node) whole(l limits) int64 {
	var x int64
	if n.value.Value.Kind() != '0' || json.Unmarshal(n.value.Value.(hujson.Literal), &x) != nil {
		n.fault("is not an integer", l.String())
		return 0
	}
	if !l.contain(float64(x)) {
		n.fault(fmt.Sprintf("%d is out of range", x), l.String())
		return 0
	}
	return x
}

func literalText(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	var text string
	if err := json.Unmarshal(literal, &text); err != nil {
		return ""
	}
	return text
}

func fieldNames(fields []field) string {
	var names []string
	for _, f := range fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}
