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

// Suite holds the models, variants and charts of a specification.
type Suite struct {
	// Charts names the charts that the models use.
	Charts []string `json:"charts"`
	// Models lists the models in the order of the printed results.
	Models []Model `json:"models"`
	// Variants lists the deliberately broken models.
	Variants []Variant `json:"-"`
	// Definitions holds the parsed charts by name.
	Definitions map[string]*chart.Definition `json:"-"`
	// Spec is the specification's folder.
	Spec fs.FS `json:"-"`
}

// Model is a hand-written Promela file with values for its size macros.
type Model struct {
	Name string `json:"name"`
	// Doc describes the scenario that the sizes give.
	Doc string `json:"doc"`
	// File is the path of the Promela file in the specification's folder.
	File string `json:"file"`
	// Sizes holds the values of the size macros by name.
	Sizes map[string]int `json:"sizes"`
}

// LoadSuite reads models.jsonc, the variants and the charts of a specification.
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

// Generated returns the contents of the generated files by their path in the
// specification's folder.
func Generated(defs map[string]*chart.Definition) map[string]string {
	files := make(map[string]string, len(defs))
	for name, def := range defs {
		files[path.Join(generatedDir, name+".pml")] = Generate(def)
	}
	return files
}

// StaleFileError reports a generated file that does not match its chart.
type StaleFileError struct{ Path string }

// Error returns the file and how to regenerate it.
func (e *StaleFileError) Error() string {
	return "spec/" + e.Path + " does not match its chart; run cactuspost-model generate"
}

// CheckGenerated compares the generated files in the specification's folder with
// the charts. It returns a *StaleFileError for the first file that is missing or
// differs.
func (s *Suite) CheckGenerated() error {
	for _, name := range s.Charts {
		file := path.Join(generatedDir, name+".pml")
		committed, err := fs.ReadFile(s.Spec, file)
		if err != nil || string(committed) != Generate(s.Definitions[name]) {
			return errors.WithStack(&StaleFileError{Path: file})
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
