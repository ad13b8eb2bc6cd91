// Package release manages the configuration: it publishes changes, which are
// written as release notes, and tracks the revision in force at an instance.
//
// A release note is a JSON document with comments that lists the items added,
// changed and withdrawn relative to a base revision. Parse decodes and
// validates a note and Apply computes the next document from it; both are pure
// functions. Publish commits a note to the platform's table at most once, even
// when answers of the table are lost. Watcher polls the table and puts each
// higher revision in force. Their decisions are made by the pure types Proposal
// and RevisionTracker, which run the state charts proposal and revision.
package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"cactuspost.example/internal/structs"
)

// Note is a release note. Added and changed items are complete definitions, not
// patches, so that a note can be read without the document that it changes.
type Note struct {
	// ID is chosen by the author and unique: a second note with the same id is
	// not applied.
	ID      string `json:"id"`
	Author  string `json:"author"`
	Summary string `json:"summary"`
	// Base is the revision that the note was written against; zero before the
	// first note.
	Base      uint64    `json:"base"`
	Added     ItemSet   `json:"added"`
	Changed   ItemSet   `json:"changed"`
	Withdrawn ItemNames `json:"withdrawn"`
}

// ItemSet holds the definitions of services and teams, by name.
type ItemSet struct {
	Services map[string]structs.Service `json:"services,omitempty"`
	Teams    map[string]structs.Team    `json:"teams,omitempty"`
}

// ItemNames lists the services and teams that a note withdraws.
type ItemNames struct {
	Services []string `json:"services,omitempty"`
	Teams    []string `json:"teams,omitempty"`
}

// ItemKind is the kind of an item of the configuration.
type ItemKind string

// The kinds of items.
const (
	ServiceItem ItemKind = "service"
	TeamItem    ItemKind = "team"
)

// ItemRef identifies a service or a team of the configuration.
type ItemRef struct {
	Kind ItemKind `json:"kind"`
	Name string   `json:"name"`
}

// String returns the kind and the name, such as "service recession".
func (r ItemRef) String() string { return string(r.Kind) + " " + r.Name }

// ItemRefs returns every item that the note adds, changes or withdraws, sorted
// by kind and name.
func (n *Note) ItemRefs() []ItemRef {
	refs := slices.Concat(n.Added.refs(), n.Changed.refs(), n.Withdrawn.refs())
	slices.SortFunc(refs, compareItemRefs)
	return refs
}

// Digest returns the SHA-256 of the note's content in hexadecimal. Comments and
// layout of the source text don't affect it.
func (n *Note) Digest() string {
	raw, err := json.Marshal(n)
	if err != nil {
		// Can't happen: a note holds only strings and numbers, and Parse rejects
		// NaN and infinity, the numbers that JSON can't represent.
		panic(err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func (s ItemSet) refs() []ItemRef {
	var refs []ItemRef
	for name := range s.Services {
		refs = append(refs, ItemRef{Kind: ServiceItem, Name: name})
	}
	for name := range s.Teams {
		refs = append(refs, ItemRef{Kind: TeamItem, Name: name})
	}
	return refs
}

func (n ItemNames) refs() []ItemRef {
	var refs []ItemRef
	for _, name := range n.Services {
		refs = append(refs, ItemRef{Kind: ServiceItem, Name: name})
	}
	for _, name := range n.Teams {
		refs = append(refs, ItemRef{Kind: TeamItem, Name: name})
	}
	return refs
}

func compareItemRefs(a, b ItemRef) int {
	if a.Kind != b.Kind {
		return slices.Compare([]ItemKind{a.Kind}, []ItemKind{b.Kind})
	}
	return slices.Compare([]string{a.Name}, []string{b.Name})
}
