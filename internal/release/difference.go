package release

import (
	"fmt"
	"maps"
	"slices"

	"cactuspost.example/internal/structs"
)

// Difference is a field of an item whose value differs between two documents.
type Difference struct {
	Item Item `json:"item"`
	// Field is the key of the value in a note, or empty for the whole item.
	Field string `json:"field,omitempty"`
	// Before and After are the values as text; empty if the document lacks the
	// field.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	subject := d.Item.String()
	if d.Field != "" {
		subject += ", " + d.Field
	}
	switch {
	case d.Before == "":
		return "+ " + subject + ": " + d.After
	case d.After == "":
		return "- " + subject + ": " + d.Before
	}
	return "~ " + subject + ": " + d.Before + " -> " + d.After
}

// Compare returns the differences between two documents: services, then teams,
// each sorted by name.
func Compare(before, after *structs.Document) []Difference {
	old, next := clone(before), clone(after)
	return slices.Concat(
		compareKind(ServiceItem, old.Services, next.Services, serviceValues),
		compareKind(TeamItem, old.Teams, next.Teams, teamValues),
	)
}

// value is a field of an item with its value as text.
type value struct{ field, text string }

func serviceValues(s structs.Service) []value {
	return []value{
		{"pool", s.Pool},
		{"start_objective_ms", fmt.Sprint(s.StartObjective)},
		{"target", fmt.Sprint(s.Target)},
		{"lifetime_ms", fmt.Sprint(s.Lifetime)},
		{"task_limit_ms", fmt.Sprint(s.TaskLimit)},
		{"max_tasks", fmt.Sprint(s.MaxTasks)},
		{"max_task_bytes", fmt.Sprint(s.MaxTaskBytes)},
		{"short_reserve", fmt.Sprint(s.ShortReserve)},
	}
}

func teamValues(t structs.Team) []value {
	values := []value{{"max_waiting", fmt.Sprint(t.MaxWaiting)}}
	for _, service := range slices.Sorted(maps.Keys(t.Quotas)) {
		values = append(values, value{"quotas." + service, fmt.Sprint(t.Quotas[service])})
	}
	return values
}

func compareKind[V any](kind ItemKind, old, next map[string]V, values func(V) []value) []Difference {
	var differences []Difference
	names := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(next)))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		item := Item{Kind: kind, Name: name}
		before, had := old[name]
		after, has := next[name]
		switch {
		case !had:
			differences = append(differences, compareValues(item, nil, values(after))...)
		case !has:
			differences = append(differences, compareValues(item, values(before), nil)...)
		default:
			differences = append(differences, compareValues(item, values(before), values(after))...)
		}
	}
	return differences
}

func compareValues(item Item, before, after []value) []Difference {
	var differences []Difference
	for _, b := range before {
		d := Difference{Item: item, Field: b.field, Before: b.text, After: textOf(after, b.field)}
		if d.Before != d.After {
			differences = append(differences, d)
		}
	}
	for _, a := range after {
		if textOf(before, a.field) == "" {
			differences = append(differences, Difference{Item: item, Field: a.field, After: a.text})
		}
	}
	return differences
}

func textOf(values []value, field string) string {
	i := slices.IndexFunc(values, func(v value) bool { return v.field == field })
	if i < 0 {
		return ""
	}
	return values[i].text
}
