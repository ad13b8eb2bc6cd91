package promela

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"cactuspost.example/internal/chart"
)

// Limits of one search.
const (
	// searchMemoryMB limits the memory of one checker process.
	searchMemoryMB = 900
	// searchDepth limits the length of one path, in steps.
	searchDepth = 100_000
	// searchParallel is the number of searches that run concurrently.
	searchParallel = 4
)

// mainFile is the file passed to spin. It defines the sizes and includes the
// model.
const mainFile = "main.pml"

// Search is one run of the checker, on a model or on a variant of it.
type Search struct {
	Model Model
	// Variant is nil in a search of the model itself.
	Variant *Variant
}

// Name returns the name of the variant, or of the model if there is none.
func (s Search) Name() string {
	if s.Variant != nil {
		return s.Variant.Name
	}
	return s.Model.Name
}

// Sizes returns the model's size macros with the variant's replacements.
func (s Search) Sizes() map[string]int {
	sizes := map[string]int{}
	for name, value := range s.Model.Sizes {
		sizes[name] = value
	}
	if s.Variant != nil {
		for name, value := range s.Variant.Sizes {
			sizes[name] = value
		}
	}
	return sizes
}

// Result is the outcome of one search.
type Result struct {
	Search Search
	// States is the number of distinct states visited.
	States int
	// Depth is the length of the longest path, in steps.
	Depth int
	// Exhaustive is false if a limit ended the search early.
	Exhaustive bool
	// Violated names the property that the first error violates. It is empty if
	// no error was found.
	Violated string
}

// Passed reports whether the search had the expected result: a model must be
// searched exhaustively without error, and a variant must violate the property
// that it names.
func (r Result) Passed() bool {
	if r.Search.Variant != nil {
		return r.Violated == r.Search.Variant.Property
	}
	return r.Violated == "" && r.Exhaustive
}

// Searches returns a search for each model, followed by one for each variant.
// It returns an *EditError if a variant names an unknown model.
func (s *Suite) Searches() ([]Search, error) {
	var searches []Search
	for _, m := range s.Models {
		searches = append(searches, Search{Model: m})
	}
	for i := range s.Variants {
		v := &s.Variants[i]
		m, ok := s.model(v.Model)
		if !ok {
			return nil, v.editError("no model %q", v.Model)
		}
		searches = append(searches, Search{Model: m, Variant: v})
	}
	return searches, nil
}

// ToolError reports that spin, the compiler or the checker failed.
type ToolError struct {
	Tool   string
	Search string
	Output string
	cause  error
}

// Error returns the tool, the search and the tool's output.
func (e *ToolError) Error() string {
	return fmt.Sprintf("%s failed on %s: %v\n%s", e.Tool, e.Search, e.cause, e.Output)
}

// Unwrap returns the cause.
func (e *ToolError) Unwrap() error { return e.cause }

// ReportError reports that the checker ended without printing its results.
type ReportError struct {
	Search string
	Output string
}

// Error returns the search and the checker's output.
func (e *ReportError) Error() string {
	return "the checker printed no results for " + e.Search + ":\n" + e.Output
}

// Check runs the searches, at most searchParallel at a time, each in its own
// folder below dir. It returns the results in the order of the searches.
func (s *Suite) Check(dir string, searches []Search) ([]Result, error) {
	results := make([]Result, len(searches))
	errs := make([]error, len(searches))
	indices := make(chan int)
	var workers sync.WaitGroup
	for range searchParallel {
		workers.Go(func() {
			for i := range indices {
				folder := filepath.Join(dir, searches[i].Name())
				results[i], errs[i] = s.run(folder, searches[i])
			}
		})
	}
	for i := range searches {
		indices <- i
	}
	close(indices)
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

func (s *Suite) run(dir string, search Search) (Result, error) {
	if err := s.write(dir, search); err != nil {
		return Result{}, err
	}
	tools := [][]string{
		{"spin", "-a", mainFile},
		{"gcc", optimizationFlag(search), "-w", "-DSAFETY", "-DMEMLIM=" + strconv.Itoa(searchMemoryMB), "-o", "pan", "pan.c"},
		{"./pan", "-m" + strconv.Itoa(searchDepth)},
	}
	var output []byte
	for _, tool := range tools {
		command := exec.Command(tool[0], tool[1:]...)
		command.Dir = dir
		var err error
		output, err = command.CombinedOutput()
		if err != nil {
			return Result{}, errors.WithStack(&ToolError{Tool: tool[0], Search: search.Name(), Output: string(output), cause: err})
		}
	}
	return parseOutput(search, string(output))
}

// optimizationFlag returns the optimisation level for the compiler. The search of
// a model is exhaustive and takes longer than the compilation; that of a variant
// ends at the first error, so that compilation would dominate.
func optimizationFlag(search Search) string {
	if search.Variant != nil {
		return "-O0"
	}
	return "-O1"
}

// write writes the generated charts, the hand-written files and the main file
// to dir.
func (s *Suite) write(dir string, search Search) error {
	defs := s.Definitions
	if search.Variant != nil {
		edited, err := search.Variant.Apply(defs)
		if err != nil {
			return err
		}
		defs = edited
	}
	files, err := s.environmentFiles()
	if err != nil {
		return err
	}
	for name, text := range Generated(defs) {
		files[name] = text
	}
	files[mainFile] = mainSource(search)
	return writeFiles(dir, files)
}

// environmentFiles returns the hand-written files by path.
func (s *Suite) environmentFiles() (map[string]string, error) {
	files := map[string]string{}
	for _, pattern := range []string{"*.pml", "dispatch/*.pml"} {
		paths, err := fs.Glob(s.Spec, pattern)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		for _, path := range paths {
			text, err := fs.ReadFile(s.Spec, path)
			if err != nil {
				return nil, errors.WithStack(&FileError{Path: path, cause: err})
			}
			files[path] = string(text)
		}
	}
	return files, nil
}

// WriteGenerated writes the generated charts to the specification's folder.
func WriteGenerated(spec string, defs map[string]*chart.Definition) error {
	return writeFiles(spec, Generated(defs))
}

func writeFiles(dir string, files map[string]string) error {
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return errors.WithStack(&FileError{Path: path, cause: err})
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return errors.WithStack(&FileError{Path: path, cause: err})
		}
	}
	return nil
}

func mainSource(search Search) string {
	var lines []string
	for name, value := range search.Sizes() {
		lines = append(lines, fmt.Sprintf("#define %s %d", name, value))
	}
	if search.Variant != nil {
		lines = append(lines, "#define PROPERTY "+search.Variant.Property)
		for heading, body := range search.Variant.Define {
			lines = append(lines, fmt.Sprintf("#define %s %s", heading, body))
		}
	}
	sort.Strings(lines)
	lines = append(lines, fmt.Sprintf("#include %q", search.Model.File))
	return strings.Join(lines, "\n") + "\n"
}

var (
	statesPattern    = regexp.MustCompile(`(?m)^\s*(\d+) states, stored`)
	depthPattern     = regexp.MustCompile(`depth reached (\d+), errors: (\d+)`)
	propertyPattern  = regexp.MustCompile(`assertion violated .*\|\|\s*!\(?(\w+)\)?\)`)
	errorPattern     = regexp.MustCompile(`(?m)^pan:\d+: (.*)$`)
	incompletePhrase = "Search not completed"
	truncatedPhrase  = "max search depth too small"
)

// parseOutput parses the results that the checker prints.
func parseOutput(search Search, output string) (Result, error) {
	states := statesPattern.FindStringSubmatch(output)
	depth := depthPattern.FindStringSubmatch(output)
	if states == nil || depth == nil {
		return Result{}, errors.WithStack(&ReportError{Search: search.Name(), Output: output})
	}
	result := Result{Search: search, Violated: violated(output)}
	result.States, _ = strconv.Atoi(states[1])
	result.Depth, _ = strconv.Atoi(depth[1])
	result.Exhaustive = !strings.Contains(output, incompletePhrase) && !strings.Contains(output, truncatedPhrase)
	if depth[2] != "0" && result.Violated == "" {
		result.Violated = "unnamed"
	}
	return result, nil
}

// violated returns the name of the violated property, the checker's message for
// an error that names no property, or an empty string if there is no error.
func violated(output string) string {
	if m := propertyPattern.FindStringSubmatch(output); m != nil {
		return m[1]
	}
	for _, m := range errorPattern.FindAllStringSubmatch(output, -1) {
		if !strings.Contains(m[1], truncatedPhrase) {
			return m[1]
		}
	}
	return ""
}
