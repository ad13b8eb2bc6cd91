package chart

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const doorChart = `{
  // This chart is used only by tests.
  "name": "door", "doc": "A door.", "initial": "closed", "final": ["gone"],
  "events": {"push": "", "remove": ""},
  "states": {
    "closed": {"on": {"push": [{"if": "unlocked", "to": "open", "do": ["count"]}, {"to": "closed"}], "remove": [{"to": "gone"}]}},
    "open": {"on": {"remove": [{"to": "gone", "do": ["count"]}]}, "ignore": ["push"]},
    "gone": {"ignore": ["push", "remove"]},
  },
}`

type doorContext struct {
	unlocked bool
	count    int
}

func doorBindings() Bindings[*doorContext] {
	return Bindings[*doorContext]{
		Guards:  map[string]func(*doorContext) bool{"unlocked": func(d *doorContext) bool { return d.unlocked }},
		Actions: map[string]func(*doorContext){"count": func(d *doorContext) { d.count++ }},
	}
}

func TestFireTakesFirstAlternativeWithTrueGuard(t *testing.T) {
	is := is.New(t)
	def, err := Parse("door", []byte(doorChart))
	is.NoErr(err)
	m, err := Bind(def, doorBindings())
	is.NoErr(err)
	var events struct {
		Push   Event `chart:"push"`
		Remove Event `chart:"remove"`
	}
	m.MustBindNames(&events)
	c := &doorContext{}
	s := m.Initial()
	is.True(m.Fire(&s, events.Push, c))
	is.Equal(m.StateName(s), "closed")
	c.unlocked = true
	m.Fire(&s, events.Push, c)
	is.Equal(m.StateName(s), "open")
	is.True(!m.Fire(&s, events.Push, c)) // ignored
	m.Fire(&s, events.Remove, c)
	is.True(m.Final(s))
	is.Equal(c.count, 2)
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unhandled pair":     {`"ignore": ["push"]`, `"ignore": []`, `neither handles nor ignores event "push"`},
		"unknown next state": {`"to": "open"`, `"to": "ajar"`, `"ajar" is not a state`},
		"unknown event":      {`"ignore": ["push", "remove"]`, `"ignore": ["push", "remove", "kick"]`, `unknown event "kick"`},
		"unreachable state":  {`"to": "open", "do"`, `"to": "gone", "do"`, `"open" is unreachable`},
		"final with exits":   {`"final": ["gone"]`, `"final": ["open"]`, `final state "open" has transitions`},
		"guarded last":       {`, {"to": "closed"}`, ``, `last alternative has a guard`},
		"handled and ignored": {`"on": {"remove": [{"to": "gone", "do": ["count"]}]}, "ignore": ["push"]`,
			`"on": {"remove": [{"to": "gone", "do": ["count"]}]}, "ignore": ["push", "remove"]`, `both handles and ignores`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(doorChart, c.old)) // the text to replace is in the chart
			_, err := Parse("door", []byte(strings.Replace(doorChart, c.old, c.new, 1)))
			var fault *DefinitionError
			is.True(errors.As(err, &fault))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func TestBindRejectsMismatchedNames(t *testing.T) {
	is := is.New(t)
	def, err := Parse("door", []byte(doorChart))
	is.NoErr(err)
	b := doorBindings()
	b.Actions["paint"] = func(*doorContext) {}
	delete(b.Guards, "unlocked")
	_, err = Bind(def, b)
	var fault *BindingError
	is.True(errors.As(err, &fault))
	is.Equal(fault.Missing, []string{"unlocked"})
	is.Equal(fault.Unused, []string{"paint"})
}
