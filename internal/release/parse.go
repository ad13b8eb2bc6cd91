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
	r := &reader{text: text}
	root, ok := r.parse()
	note := &Note{}
	if ok {
		root.note(note)
	}
	if len(r.faults) > 0 {
		return nil, errors.WithStack(&NoteError{Faults: r.faults})
	}
	return note, nil
}

func (n node) note(note *Note) {
	named := &namedItems{first: map[Item]string{}}
	n.object([]field{
		required("id", func(n node) { note.ID = n.name() }),
		required("author", func(n node) { note.Author = n.text(maxAuthorBytes) }),
		required("summary", func(n node) { note.Summary = n.text(maxSummaryBytes) }),
		required("base", func(n node) { note.Base = uint64(n.whole(baseLimits)) }),
		optional("added", func(n node) { note.Added = n.items(named) }),
		optional("changed", func(n node) { note.Changed = n.items(named) }),
		optional("withdrawn", func(n node) { note.Withdrawn = n.names(named) }),
	})
	if len(named.first) == 0 && len(n.reader.faults) == 0 {
		n.fault("changes nothing", "at least one item in added, changed or withdrawn")
	}
}

// namedItems records the path at which each item first occurs in a note, to
// detect items that are listed more than once.
type namedItems struct{ first map[Item]string }

func (s *namedItems) add(kind ItemKind, name string, n node) {
	item := Item{Kind: kind, Name: name}
	if other, ok := s.first[item]; ok {
		n.fault("is listed twice in the note, first at "+other, "each item once")
		return
	}
	s.first[item] = n.path()
}

func (n node) items(named *namedItems) Items {
	items := Items{Services: map[string]structs.Service{}, Teams: map[string]structs.Team{}}
	n.object([]field{
		optional("services", func(n node) {
			n.named(ServiceItem, named, func(name string, n node) { items.Services[name] = n.service() })
		}),
		optional("teams", func(n node) {
			n.named(TeamItem, named, func(name string, n node) { items.Teams[name] = n.team() })
		}),
	})
	return items
}

// named calls read for each member of an object whose keys are names of items of
// one kind.
func (n node) named(kind ItemKind, named *namedItems, read func(name string, n node)) {
	n.members(func(name string, member node) {
		if !isName(name) {
			member.fault(fmt.Sprintf("%q is not a valid name", name), nameRule)
			return
		}
		named.add(kind, name, member)
		read(name, member)
	})
}

func (n node) names(named *namedItems) Names {
	var names Names
	n.object([]field{
		optional("services", func(n node) { names.Services = n.withdrawn(ServiceItem, named) }),
		optional("teams", func(n node) { names.Teams = n.withdrawn(TeamItem, named) }),
	})
	return names
}

func (n node) withdrawn(kind ItemKind, named *namedItems) []string {
	var names []string
	n.list(func(element node) {
		name := element.name()
		if name == "" {
			return
		}
		named.add(kind, name, element)
		names = append(names, name)
	})
	return names
}

func (n node) service() structs.Service {
	s := structs.Service{MaxTasks: DefaultMaxTasks, MaxTaskBytes: DefaultMaxTaskBytes}
	limit := n
	n.object([]field{
		required("pool", func(n node) { s.Pool = n.name() }),
		required("start_objective_ms", func(n node) { s.StartObjective = structs.Millis(n.whole(objectiveLimits)) }),
		required("target", func(n node) { s.Target = n.number(targetLimits) }),
		required("lifetime_ms", func(n node) { s.Lifetime = structs.Millis(n.whole(lifetimeLimits)) }),
		required("task_limit_ms", func(n node) {
			s.TaskLimit = structs.Millis(n.whole(taskLimitLimits))
			limit = n
		}),
		optional("max_tasks", func(n node) { s.MaxTasks = int(n.whole(maxTasksLimits)) }),
		optional("max_task_bytes", func(n node) { s.MaxTaskBytes = int(n.whole(maxTaskBytesLimits)) }),
		optional("short_reserve", func(n node) { s.ShortReserve = n.number(shortReserveLimits) }),
	})
	if s.Lifetime > 0 && s.TaskLimit > s.Lifetime {
		limit.fault(fmt.Sprintf("%d is greater than lifetime_ms", s.TaskLimit), fmt.Sprintf("up to %d ms", s.Lifetime))
	}
	return s
}

func (n node) team() structs.Team {
	t := structs.Team{Quotas: map[string]float64{}}
	n.object([]field{
		required("quotas", func(n node) {
			n.members(func(service string, weight node) { t.Quotas[service] = weight.number(quotaLimits) })
		}),
		optional("max_waiting", func(n node) { t.MaxWaiting = int(n.whole(maxWaitingLimits)) }),
	})
	return t
}
