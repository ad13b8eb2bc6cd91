package promela

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

const door = `{
  "name": "door", "doc": "A door.", "initial": "closed", "final": ["gone"],
  "events": {"push": "", "remove": ""},
  "states": {
    "closed": {"on": {
      "push": [{"if": "unlocked", "to": "open", "do": ["count", "ring"]}, {"if": "weak", "to": "gone"}, {"to": "closed"}],
      "remove": [{"to": "gone"}]}},
    "open": {"on": {"remove": [{"to": "gone"}]}, "ignore": ["push"]},
    "gone": {"ignore": ["push", "remove"]},
  },
}`

const doorPush = `inline door_on_push(self) {
  if
  :: door_state[self] == door_closed ->
    if
    :: door_if_unlocked(self) ->
      door_do_count(self);
      door_do_ring(self);
      door_state[self] = door_open
    :: else ->
      if
      :: door_if_weak(self) ->
        door_state[self] = door_gone
      :: else ->
        door_state[self] = door_closed
      fi
    fi
  :: else -> skip
  fi
}
`

func parseDoor(is *is.I) *chart.Definition {
	def, err := chart.Parse("door", []byte(door))
	is.NoErr(err)
	return def
}

func TestGenerateKeepsOrderOfGuardsAndActions(t *testing.T) {
	is := is.New(t)
	text := Generate(parseDoor(is))
	is.True(strings.Contains(text, doorPush))
	is.True(strings.Contains(text, "#define door_closed 0\n#define door_gone 1\n#define door_open 2\n"))
	is.True(strings.Contains(text, "#define door_is_final(state) ((state) == door_gone)"))
	is.Equal(text, Generate(parseDoor(is))) // the same text on every run
}

func TestVariantEditsACopy(t *testing.T) {
	is := is.New(t)
	def := parseDoor(is)
	before := Generate(def)
	v := Variant{Name: "stuck", Charts: []ChartEdit{{Chart: "door", State: "open", Event: "remove"}}}
	edited, err := v.Apply(map[string]*chart.Definition{"door": def})
	is.NoErr(err)
	is.Equal(Generate(def), before)
	is.True(!strings.Contains(Generate(edited["door"]), "door_state[self] == door_open"))
}

func TestVariantRejectsUnknownNames(t *testing.T) {
	for name, edit := range map[string]ChartEdit{
		"chart":      {Chart: "gate", State: "open", Event: "push"},
		"state":      {Chart: "door", State: "ajar", Event: "push"},
		"event":      {Chart: "door", State: "open", Event: "kick"},
		"next state": {Chart: "door", State: "open", Event: "push", Transitions: []chart.Transition{{To: "ajar"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := Variant{Name: "wrong", Charts: []ChartEdit{edit}}
			_, err := v.Apply(map[string]*chart.Definition{"door": parseDoor(is)})
			var editErr *EditError
			is.True(errors.As(err, &editErr))
		})
	}
}

const passedOutput = "State-vector 228 byte, depth reached 73, errors: 0\n     5439 states, stored\n"

func TestParseOutput(t *testing.T) {
	model := Search{Model: Model{Name: "m"}}
	variant := Search{Model: Model{Name: "m"}, Variant: &Variant{Name: "v", Property: "one_answer"}}
	violation := "pan:1: assertion violated ( !(answered_failed[j])|| !(one_answer)) (at depth 59)\n"
	cases := map[string]struct {
		search   Search
		output   string
		violated string
		good     bool
	}{
		"passed":                {model, passedOutput, "", true},
		"truncated":             {model, "error: max search depth too small\n" + passedOutput, "", false},
		"out of memory":         {model, "Warning: Search not completed\n" + passedOutput, "", false},
		"violated":              {model, violation + strings.Replace(passedOutput, "errors: 0", "errors: 1", 1), "one_answer", false},
		"unnamed error":         {model, "pan:1: invalid end state (at depth 3)\n" + passedOutput, "invalid end state (at depth 3)", false},
		"caught":                {variant, violation + passedOutput, "one_answer", true},
		"not caught":            {variant, passedOutput, "", false},
		"another property":      {variant, strings.Replace(violation, "one_answer", "answer_is_whole", 1) + passedOutput, "answer_is_whole", false},
		"errors without a name": {model, strings.Replace(passedOutput, "errors: 0", "errors: 2", 1), "unnamed", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, err := parseOutput(c.search, c.output)
			is.NoErr(err)
			is.Equal(result.States, 5439)
			is.Equal(result.Depth, 73)
			is.Equal(result.Violated, c.violated)
			is.Equal(result.Passed(), c.good)
		})
	}
}

func TestParseOutputRejectsMissingReport(t *testing.T) {
	_, err := parseOutput(Search{}, "Segmentation fault")
	var reportErr *ReportError
	is.New(t).True(errors.As(err, &reportErr))
}

func TestReportFailsIfAnySearchFails(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	exhaustive := Result{Search: Search{Model: Model{Name: "whole"}}, Exhaustive: true}
	truncated := Result{Search: Search{Model: Model{Name: "cut"}}}
	is.NoErr(Report(&out, []Result{exhaustive}))
	var verdictErr *VerdictError
	is.True(errors.As(Report(&out, []Result{exhaustive, truncated}), &verdictErr))
	is.Equal(verdictErr.Searches, []string{"cut"})
	is.True(strings.Contains(out.String(), "NOT EXHAUSTIVE"))
}

func TestGeneratedFilesMatchCharts(t *testing.T) {
	is := is.New(t)
	suite, err := LoadSuite(os.DirFS("../../spec"), charts.Files)
	is.NoErr(err)
	is.NoErr(suite.CheckGenerated())
	searches, err := suite.Searches()
	is.NoErr(err)
	for _, s := range searches {
		if s.Variant != nil {
			_, err := s.Variant.Apply(suite.Definitions)
			is.NoErr(err)
		}
	}
}

func TestCheckGeneratedReportsStaleFile(t *testing.T) {
	is := is.New(t)
	suite := &Suite{
		Charts:      []string{"door"},
		Definitions: map[string]*chart.Definition{"door": parseDoor(is)},
		Spec:        fstest.MapFS{"gen/door.pml": {Data: []byte("old")}},
	}
	var stale *StaleFileError
	is.True(errors.As(suite.CheckGenerated(), &stale))
}
