package release

import (
	"fmt"

	"github.com/pkg/errors"

	"cactuspost.example/internal/structs"
)

// Parse decodes a note and validates everything that does not depend on the
// document in force. It returns a *NoteError that lists every fault found.
func Parse(text []byte) (*Note, error) {
	if len(text) > MaxNoteBytes {
		fault := Fault{Key: "note", Problem: "is too large", Allowed: fmt.Sprintf("up to %d bytes", MaxNoteBytes)}
		return nil, errors.WithStack(&NoteError{Faults: []Fault{fault}})
	}
	p := &noteParser{text: text}
	root, ok := p.parse()
	note := &Note{}
	if ok {
		root.readNote(note)
	}
	if len(p.faults) > 0 {
		return nil, errors.WithStack(&NoteError{Faults: p.faults})
	}
	return note, nil
}

func (n node) readNote(note *Note) {
	seen := &seenItems{firstPath: map[ItemRef]string{}}
	n.readObject([]field{
		required("id", func(n node) { note.ID = n.readName() }),
		required("author", func(n node) { note.Author = n.readText(maxAuthorBytes) }),
		required("summary", func(n node) { note.Summary = n.readText(maxSummaryBytes) }),
		required("base", func(n node) { note.Base = uint64(n.readInteger(baseRange)) }),
		optional("added", func(n node) { note.Added = n.readItems(seen) }),
		optional("changed", func(n node) { note.Changed = n.readItems(seen) }),
		optional("withdrawn", func(n node) { note.Withdrawn = n.readWithdrawn(seen) }),
	})
	if len(seen.firstPath) == 0 && len(n.parser.faults) == 0 {
		n.addFault("changes nothing", "at least one item in added, changed or withdrawn")
	}
}

// seenItems records the path at which each item first occurs in a note, to
// detect items that are listed more than once.
type seenItems struct{ firstPath map[ItemRef]string }

func (s *seenItems) add(kind ItemKind, name string, n node) {
	item := ItemRef{Kind: kind, Name: name}
	if first, ok := s.firstPath[item]; ok {
		n.addFault("is listed twice in the note, first at "+first, "each item once")
		return
	}
	s.firstPath[item] = n.path()
}

func (n node) readItems(seen *seenItems) ItemSet {
	items := ItemSet{Services: map[string]structs.Service{}, Teams: map[string]structs.Team{}}
	n.readObject([]field{
		optional("services", func(n node) {
			n.readNamedItems(ServiceItem, seen, func(name string, n node) { items.Services[name] = n.readService() })
		}),
		optional("teams", func(n node) {
			n.readNamedItems(TeamItem, seen, func(name string, n node) { items.Teams[name] = n.readTeam() })
		}),
	})
	return items
}

// readNamedItems calls read for each member of an object whose keys are the
// names of items of one kind.
func (n node) readNamedItems(kind ItemKind, seen *seenItems, read func(name string, n node)) {
	n.eachMember(func(name string, member node) {
		if !isValidName(name) {
			member.addFault(fmt.Sprintf("%q is not a valid name", name), nameRule)
			return
		}
		seen.add(kind, name, member)
		read(name, member)
	})
}

func (n node) readWithdrawn(seen *seenItems) ItemNames {
	var names ItemNames
	n.readObject([]field{
		optional("services", func(n node) { names.Services = n.readNames(ServiceItem, seen) }),
		optional("teams", func(n node) { names.Teams = n.readNames(TeamItem, seen) }),
	})
	return names
}

func (n node) readNames(kind ItemKind, seen *seenItems) []string {
	var names []string
	n.eachElement(func(element node) {
		name := element.readName()
		if name == "" {
			return
		}
		seen.add(kind, name, element)
		names = append(names, name)
	})
	return names
}

func (n node) readService() structs.Service {
	s := structs.Service{MaxTasks: DefaultMaxTasks, MaxTaskBytes: DefaultMaxTaskBytes}
	taskLimitNode := n
	n.readObject([]field{
		required("pool", func(n node) { s.Pool = n.readName() }),
		required("start_objective_ms", func(n node) { s.StartObjective = structs.Millis(n.readInteger(objectiveRange)) }),
		required("target", func(n node) { s.Target = n.readNumber(targetRange) }),
		required("lifetime_ms", func(n node) { s.Lifetime = structs.Millis(n.readInteger(lifetimeRange)) }),
		required("task_limit_ms", func(n node) {
			s.TaskLimit = structs.Millis(n.readInteger(taskLimitRange))
			taskLimitNode = n
		}),
		optional("max_tasks", func(n node) { s.MaxTasks = int(n.readInteger(maxTasksRange)) }),
		optional("max_task_bytes", func(n node) { s.MaxTaskBytes = int(n.readInteger(maxTaskBytesRange)) }),
		optional("short_reserve", func(n node) { s.ShortReserve = n.readNumber(shortReserveRange) }),
	})
	if s.Lifetime > 0 && s.TaskLimit > s.Lifetime {
		taskLimitNode.addFault(fmt.Sprintf("%d is greater than lifetime_ms", s.TaskLimit), fmt.Sprintf("up to %d ms", s.Lifetime))
	}
	return s
}

func (n node) readTeam() structs.Team {
	t := structs.Team{Quotas: map[string]float64{}}
	n.readObject([]field{
		required("quotas", func(n node) {
			n.eachMember(func(service string, weight node) { t.Quotas[service] = weight.readNumber(quotaRange) })
		}),
		optional("max_waiting", func(n node) { t.MaxWaiting = int(n.readInteger(maxWaitingRange)) }),
	})
	return t
}
