package release

import (
	"fmt"
	"maps"
	"slices"

	"cactuspost.example/internal/structs"
)

// Difference is a field of an item whose value differs between two documents.
type Difference struct {
	Item ItemRef `json:"item"`
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
	old, next := cloneDocument(before), cloneDocument(after)
	return slices.Concat(
		compareKind(ServiceItem, old.Services, next.Services, serviceFields),
		compareKind(TeamItem, old.Teams, next.Teams, teamFields),
	)
}

// fieldValue is a field of an item with its value as text.
type fieldValue struct{ field, text string }

func serviceFields(s structs.Service) []fieldValue {
	return []fieldValue{
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

func teamFields(t structs.Team) []fieldValue {
	values := []fieldValue{{"max_waiting", fmt.Sprint(t.MaxWaiting)}}
	for _, service := range slices.Sorted(maps.Keys(t.Quotas)) {
		values = append(values, fieldValue{"quotas." + service, fmt.Sprint(t.Quotas[service])})
	}
	return values
}

func compareKind[V any](kind ItemKind, old, next map[string]V, values func(V) []fieldValue) []Difference {
	var differences []Difference
	names := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(next)))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		item := ItemRef{Kind: kind, Name: name}
		before, existed := old[name]
		after, exists := next[name]
		switch {
		case !existed:
			differences = append(differences, compareValues(item, nil, values(after))...)
		case !exists:
			differences = append(differences, compareValues(item, values(before), nil)...)
		default:
			differences = append(differences, compareValues(item, values(before), values(after))...)
		}
	}
	return differences
}

func compareValues(item ItemRef, before, after []fieldValue) []Difference {
	var differences []Difference
	for _, b := range before {
		d := Difference{Item: item, Field: b.field, Before: b.text, After: fieldText(after, b.field)}
		if d.Before != d.After {
			differences = append(differences, d)
		}
	}
	for _, a := range after {
		if fieldText(before, a.field) == "" {
			differences = append(differences, Difference{Item: item, Field: a.field, After: a.text})
		}
	}
	return differences
}

func fieldText(values []fieldValue, field string) string {
	i := slices.IndexFunc(values, func(v fieldValue) bool { return v.field == field })
	if i < 0 {
		return ""
	}
	return values[i].text
}
