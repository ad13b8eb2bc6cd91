package promela

import (
	"io/fs"
	"path"

	"github.com/pkg/errors"

	"cactuspost.example/internal/chart"
)

// Paths inside the specification's folder.
const (
	suiteFile    = "models.jsonc"
	variantsDir  = "variants"
	generatedDir = "gen"
)

// Suite is everything that one run of the checker covers.
type Suite struct {
	// Charts names the charts that the environments use.
	Charts []string `json:"charts"`
	// Models lists the models in the order of the report.
	Models []Model `json:"models"`
	// Variants lists the broken models.
	Variants []Variant `json:"-"`
	// Definitions holds the charts by name.
	Definitions map[string]*chart.Definition `json:"-"`
	// Spec is the specification's folder.
	Spec fs.FS `json:"-"`
}

// Model is one environment file at given sizes.
type Model struct {
	Name string `json:"name"`
	// Doc says what the sizes are chosen for.
	Doc string `json:"doc"`
	// File is the environment's file in the specification's folder.
	File string `json:"file"`
	// Sizes are the values of the environment's size macros.
	Sizes map[string]int `json:"sizes"`
}

// LoadSuite reads the suite of a specification folder and the charts it names.
func LoadSuite(spec, charts fs.FS) (*Suite, error) {
	suite := &Suite{Spec: spec, Definitions: map[string]*chart.Definition{}}
	if err := readJSON(spec, suiteFile, suite); err != nil {
		return nil, err
	}
	for _, name := range suite.Charts {
		def, err := chart.Load(charts, name)
		if err != nil {
			return nil, err
		}
		suite.Definitions[name] = def
	}
	variants, err := LoadVariants(spec, variantsDir)
	if err != nil {
		return nil, err
	}
	suite.Variants = variants
	return suite, nil
}

// Generated returns the text of each generated file, by its path in the
// specification's folder.
func Generated(defs map[string]*chart.Definition) map[string]string {
	files := make(map[string]string, len(defs))
	for name, def := range defs {
		files[path.Join(generatedDir, name+".pml")] = Generate(def)
	}
	return files
}

// StaleError reports a committed file that the charts no longer give.
type StaleError struct{ Path string }

// Error names the file and the remedy.
func (e *StaleError) Error() string {
	return "spec/" + e.Path + " differs from its chart; run cactuspost-model generate"
}

// CheckGenerated compares the committed files with what the charts give.
// It returns a *StaleError for the first that differs.
func (s *Suite) CheckGenerated() error {
	for _, name := range s.Charts {
		file := path.Join(generatedDir, name+".pml")
		committed, err := fs.ReadFile(s.Spec, file)
		if err != nil || string(committed) != Generate(s.Definitions[name]) {
			return errors.WithStack(&StaleError{Path: file})
		}
	}
	return nil
}

func (s *Suite) model(name string) (Model, bool) {
	for _, m := range s.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}
