package release

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"cactuspost.example/internal/structs"
)

// Apply returns the document that follows from a note, with the next revision.
// The given document is not changed; nil stands for the empty one, revision 0.
//
// A note applies only to its base: it returns a *ConflictError when the document
// has another revision. It returns a *NoteError when an added item exists, a
// changed or withdrawn one doesn't, or a quota would name a service that isn't
// there.
func Apply(doc *structs.Document, note *Note) (*structs.Document, error) {
	next := clone(doc)
	if note.Base != next.Revision {
		return nil, errors.WithStack(&ConflictError{ID: note.ID, Base: note.Base, Head: next.Revision})
	}
	next.Revision++
	faults := slices.Concat(
		change(ServiceItem, next.Services, note.Added.Services, note.Changed.Services, note.Withdrawn.Services),
		change(TeamItem, next.Teams, note.Added.Teams, note.Changed.Teams, note.Withdrawn.Teams),
	)
	faults = append(faults, checkDocument(next)...)
	if len(faults) > 0 {
		return nil, errors.WithStack(&NoteError{Faults: faults})
	}
	return next, nil
}

func clone(doc *structs.Document) *structs.Document {
	next := &structs.Document{Services: map[string]structs.Service{}, Teams: map[string]structs.Team{}}
	if doc == nil {
		return next
	}
	next.Revision = doc.Revision
	maps.Copy(next.Services, doc.Services)
	maps.Copy(next.Teams, doc.Teams)
	return next
}

// change applies one kind of items to a map of them and returns the faults.
func change[V any](kind ItemKind, present, added, changed map[string]V, withdrawn []string) []Fault {
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(added)) {
		if _, ok := present[name]; ok {
			faults = append(faults, itemFault("added", kind, name, "exists already", "a new name, or changed"))
		}
		present[name] = added[name]
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if _, ok := present[name]; !ok {
			faults = append(faults, itemFault("changed", kind, name, "does not exist", "a name that is in force, or added"))
		}
		present[name] = changed[name]
	}
	for _, name := range withdrawn {
		if _, ok := present[name]; !ok {
			faults = append(faults, itemFault("withdrawn", kind, name, "does not exist", "a name that is in force"))
		}
		delete(present, name)
	}
	return faults
}

func itemFault(part string, kind ItemKind, name, problem, allowed string) Fault {
	return Fault{Key: fmt.Sprintf("%s.%ss.%s", part, kind, name), Problem: problem, Allowed: allowed}
}

// checkDocument returns the faults between the items of a document.
func checkDocument(doc *structs.Document) []Fault {
	var faults []Fault
	for _, team := range slices.Sorted(maps.Keys(doc.Teams)) {
		for _, service := range slices.Sorted(maps.Keys(doc.Teams[team].Quotas)) {
			if _, ok := doc.Services[service]; ok {
				continue
			}
			key := fmt.Sprintf("teams.%s.quotas.%s", team, service)
			faults = append(faults, Fault{Key: key, Problem: "the service would not exist", Allowed: "a service that is in force after the note"})
		}
	}
	if len(doc.Services) > maxServices || len(doc.Teams) > maxTeams {
		allowed := fmt.Sprintf("%d services and %d teams", maxServices, maxTeams)
		faults = append(faults, Fault{Key: "note", Problem: "there would be too many services or teams", Allowed: allowed})
	}
	return faults
}

// Rebase returns the note against the given head, if none of the notes since its
// base touches one of its items. It returns a *ConflictError else, also when not
// every note since the base is given.
func Rebase(note *Note, head uint64, since []Published) (*Note, error) {
	complete := head >= note.Base && uint64(len(since)) == head-note.Base
	conflict := conflictOf(note, head, since)
	if !complete || len(conflict.Overlap) > 0 {
		return nil, errors.WithStack(conflict)
	}
	rebased := *note
	rebased.Base = head
	return &rebased, nil
}

func conflictOf(note *Note, head uint64, since []Published) *ConflictError {
	conflict := &ConflictError{ID: note.ID, Base: note.Base, Head: head}
	mine := note.Items()
	for _, p := range since {
		conflict.Since = append(conflict.Since, p.change())
		for _, item := range p.Note.Items() {
			if slices.Contains(mine, item) && !slices.Contains(conflict.Overlap, item) {
				conflict.Overlap = append(conflict.Overlap, item)
			}
		}
	}
	slices.SortFunc(conflict.Overlap, compareItems)
	return conflict
}
