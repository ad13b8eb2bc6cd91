package release

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"cactuspost.example/internal/structs"
)

// Apply applies a note to a document and returns the resulting document, which
// has the next revision. It doesn't modify the given document; nil is the empty
// document of revision 0.
//
// A note applies only to its base: Apply returns a *ConflictError if the
// document has another revision. It returns a *NoteError if an added item
// already exists, if a changed or withdrawn one doesn't, if a quota refers to a
// service that the resulting document lacks, or if that document has too many
// services or teams.
func Apply(doc *structs.Document, note *Note) (*structs.Document, error) {
	next := cloneDocument(doc)
	if note.Base != next.Revision {
		return nil, errors.WithStack(&ConflictError{ID: note.ID, Base: note.Base, Head: next.Revision})
	}
	next.Revision++
	faults := slices.Concat(
		applyChanges(ServiceItem, next.Services, note.Added.Services, note.Changed.Services, note.Withdrawn.Services),
		applyChanges(TeamItem, next.Teams, note.Added.Teams, note.Changed.Teams, note.Withdrawn.Teams),
	)
	faults = append(faults, validateDocument(next)...)
	if len(faults) > 0 {
		return nil, errors.WithStack(&NoteError{Faults: faults})
	}
	return next, nil
}

func cloneDocument(doc *structs.Document) *structs.Document {
	next := &structs.Document{Services: map[string]structs.Service{}, Teams: map[string]structs.Team{}}
	if doc == nil {
		return next
	}
	next.Revision = doc.Revision
	maps.Copy(next.Services, doc.Services)
	maps.Copy(next.Teams, doc.Teams)
	return next
}

// applyChanges applies the changes to items of one kind to current, in place,
// and returns the faults.
func applyChanges[V any](kind ItemKind, current, added, changed map[string]V, withdrawn []string) []Fault {
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(added)) {
		if _, ok := current[name]; ok {
			faults = append(faults, itemFault("added", kind, name, "already exists", "a name that is not in use, or list the item under changed"))
		}
		current[name] = added[name]
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if _, ok := current[name]; !ok {
			faults = append(faults, itemFault("changed", kind, name, "does not exist", "a name that is in force, or list the item under added"))
		}
		current[name] = changed[name]
	}
	for _, name := range withdrawn {
		if _, ok := current[name]; !ok {
			faults = append(faults, itemFault("withdrawn", kind, name, "does not exist", "a name that is in force"))
		}
		delete(current, name)
	}
	return faults
}

func itemFault(section string, kind ItemKind, name, problem, allowed string) Fault {
	return Fault{Key: fmt.Sprintf("%s.%ss.%s", section, kind, name), Problem: problem, Allowed: allowed}
}

// validateDocument checks the references between the items of a document and
// their number.
func validateDocument(doc *structs.Document) []Fault {
	var faults []Fault
	for _, team := range slices.Sorted(maps.Keys(doc.Teams)) {
		for _, service := range slices.Sorted(maps.Keys(doc.Teams[team].Quotas)) {
			if _, ok := doc.Services[service]; ok {
				continue
			}
			key := fmt.Sprintf("teams.%s.quotas.%s", team, service)
			faults = append(faults, Fault{Key: key, Problem: "the service does not exist once the note is applied", Allowed: "a service that the note adds or that stays in force"})
		}
	}
	if len(doc.Services) > maxServices || len(doc.Teams) > maxTeams {
		allowed := fmt.Sprintf("up to %d services and %d teams", maxServices, maxTeams)
		faults = append(faults, Fault{Key: "note", Problem: "leads to too many services or teams", Allowed: allowed})
	}
	return faults
}

// Rebase returns a copy of the note whose base is head, the revision in force.
// It returns a *ConflictError if a note published since the original base
// touches one of its items, or if since doesn't hold all the notes in between.
func Rebase(note *Note, head uint64, since []PublishedNote) (*Note, error) {
	complete := head >= note.Base && uint64(len(since)) == head-note.Base
	conflict := newConflictError(note, head, since)
	if !complete || len(conflict.Overlap) > 0 {
		return nil, errors.WithStack(conflict)
	}
	rebased := *note
	rebased.Base = head
	return &rebased, nil
}

func newConflictError(note *Note, head uint64, since []PublishedNote) *ConflictError {
	conflict := &ConflictError{ID: note.ID, Base: note.Base, Head: head}
	noteItems := note.ItemRefs()
	for _, p := range since {
		conflict.Since = append(conflict.Since, p.summary())
		for _, item := range p.Note.ItemRefs() {
			if slices.Contains(noteItems, item) && !slices.Contains(conflict.Overlap, item) {
				conflict.Overlap = append(conflict.Overlap, item)
			}
		}
	}
	slices.SortFunc(conflict.Overlap, compareItemRefs)
	return conflict
}
