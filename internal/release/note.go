// Package release changes and follows the configuration by release notes.
//
// A release note is a JSON document with comments that says what is added,
// changed and withdrawn against a base revision. Parse reads and checks it,
// Apply makes the next document from it, and both are pure. Publish commits a
// note to the platform's table, at most once, whatever happens to the answers;
// Watcher follows the table and puts each higher revision in force. Their
// decisions are the pure types Proposal and Revision, which follow the charts
// proposal and revision.
package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"cactuspost.example/internal/structs"
)

// Note is a release note. Added and changed items are given whole, so that a
// note can be read without the document that it was written against.
type Note struct {
	// ID is the author's own name for the note; a note is applied at most once.
	ID      string `json:"id"`
	Author  string `json:"author"`
	Summary string `json:"summary"`
	// Base is the revision that the author saw; zero before the first note.
	Base      uint64 `json:"base"`
	Added     Items  `json:"added"`
	Changed   Items  `json:"changed"`
	Withdrawn Names  `json:"withdrawn"`
}

// Items are parts of a document.
type Items struct {
	Services map[string]structs.Service `json:"services,omitempty"`
	Teams    map[string]structs.Team    `json:"teams,omitempty"`
}

// Names name parts of a document.
type Names struct {
	Services []string `json:"services,omitempty"`
	Teams    []string `json:"teams,omitempty"`
}

// ItemKind tells services and teams apart.
type ItemKind string

// The kinds of items.
const (
	ServiceItem ItemKind = "service"
	TeamItem    ItemKind = "team"
)

// Item names one part of a document.
type Item struct {
	Kind ItemKind `json:"kind"`
	Name string   `json:"name"`
}

// String returns kind and name, such as "service recession".
func (i Item) String() string { return string(i.Kind) + " " + i.Name }

// Items returns every item that the note names, sorted.
func (n *Note) Items() []Item {
	items := slices.Concat(n.Added.items(), n.Changed.items(), n.Withdrawn.items())
	slices.SortFunc(items, compareItems)
	return items
}

// Digest identifies the note's content, without comments and layout.
func (n *Note) Digest() string {
	raw, err := json.Marshal(n)
	if err != nil {
		// A note holds only numbers and text, and Parse admits no number that
		// JSON can't hold.
		panic(err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func (i Items) items() []Item {
	var items []Item
	for name := range i.Services {
		items = append(items, Item{Kind: ServiceItem, Name: name})
	}
	for name := range i.Teams {
		items = append(items, Item{Kind: TeamItem, Name: name})
	}
	return items
}

func (n Names) items() []Item {
	var items []Item
	for _, name := range n.Services {
		items = append(items, Item{Kind: ServiceItem, Name: name})
	}
	for _, name := range n.Teams {
		items = append(items, Item{Kind: TeamItem, Name: name})
	}
	return items
}

func compareItems(a, b Item) int {
	if a.Kind != b.Kind {
		return slices.Compare([]ItemKind{a.Kind}, []ItemKind{b.Kind})
	}
	return slices.Compare([]string{a.Name}, []string{b.Name})
}
