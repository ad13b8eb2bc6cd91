package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// noteParser parses the text of one note and collects its faults.
type noteParser struct {
	text   []byte
	faults []Fault
}

// node is a JSON value of the note. Its key is the dotted path from the root,
// which has the empty key.
type node struct {
	parser *noteParser
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
func (p *noteParser) parse() (node, bool) {
	value, err := hujson.Parse(p.text)
	if err != nil {
		p.faults = append(p.faults, Fault{Key: "note", Problem: err.Error(), Allowed: "JSON with comments and trailing commas"})
		return node{}, false
	}
	return node{parser: p, value: &value}, true
}

func (n node) addFault(problem, allowed string) {
	n.parser.faults = append(n.parser.faults, Fault{Key: n.path(), Line: n.line(), Problem: problem, Allowed: allowed})
}

func (n node) path() string {
	if n.key == "" {
		return "note"
	}
	return n.key
}

func (n node) line() int {
	return 1 + bytes.Count(n.parser.text[:n.value.StartOffset], []byte("\n"))
}

func (n node) child(name string, value *hujson.Value) node {
	key := name
	if n.key != "" {
		key = n.key + "." + name
	}
	return node{parser: n.parser, key: key, value: value}
}

// eachMember calls visit for each member of an object. A duplicate key is a
// fault, and so is a value that is not an object.
func (n node) eachMember(visit func(name string, member node)) {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.addFault("is not an object", "an object in braces")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		name := decodeString(object.Members[i].Name)
		member := n.child(name, &object.Members[i].Value)
		if seen[name] {
			member.addFault("is a duplicate key", "each key once")
			continue
		}
		seen[name] = true
		visit(name, member)
	}
}

// readObject reads an object with the given fields. Unknown keys and missing
// required ones are faults.
func (n node) readObject(fields []field) {
	seen := map[string]bool{}
	n.eachMember(func(name string, member node) {
		seen[name] = true
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			member.addFault("is not a known key", fieldNames(fields))
			return
		}
		fields[i].read(member)
	})
	if _, ok := n.value.Value.(*hujson.Object); !ok {
		return
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			n.child(f.name, n.value).addFault("is missing", "this key is required")
		}
	}
}

// eachElement calls visit for each element of an array.
func (n node) eachElement(visit func(element node)) {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.addFault("is not an array", "an array in brackets")
		return
	}
	for i := range array.Elements {
		visit(n.child(fmt.Sprint(i), &array.Elements[i]))
	}
}

// readText reads a string of 1 to limit bytes, or returns "" after a fault.
func (n node) readText(limit int) string {
	allowed := fmt.Sprintf("a string of 1 to %d bytes that is not blank", limit)
	if n.value.Value.Kind() != '"' {
		n.addFault("is not a string", allowed)
		return ""
	}
	text := decodeString(*n.value)
	if strings.TrimSpace(text) == "" || len(text) > limit {
		n.addFault("is blank or too long", allowed)
		return ""
	}
	return text
}

// readName reads the name of an item or a pool or the id of a note, or returns
// "" after a fault.
func (n node) readName() string {
	if n.value.Value.Kind() != '"' {
		n.addFault("is not a string", nameRule)
		return ""
	}
	text := decodeString(*n.value)
	if !isValidName(text) {
		n.addFault(fmt.Sprintf("%q is not a valid name", text), nameRule)
		return ""
	}
	return text
}

// readNumber reads a number within the range, or returns zero after a fault.
func (n node) readNumber(r numberRange) float64 {
	var x float64
	if n.value.Value.Kind() != '0' || json.Unmarshal(n.value.Value.(hujson.Literal), &x) != nil {
		n.addFault("is not a number", r.String())
		return 0
	}
	if !r.contains(x) {
		n.addFault(fmt.Sprintf("%v is out of range", x), r.String())
		return 0
	}
	return x
}

// readInteger reads an integer within the range, or returns zero after a fault.
func (n node) readInteger(r numberRange) int64 {
	var x int64
	if n.value.Value.Kind() != '0' || json.Unmarshal(n.value.Value.(hujson.Literal), &x) != nil {
		n.addFault("is not an integer", r.String())
		return 0
	}
	if !r.contains(float64(x)) {
		n.addFault(fmt.Sprintf("%d is out of range", x), r.String())
		return 0
	}
	return x
}

func decodeString(v hujson.Value) string {
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
