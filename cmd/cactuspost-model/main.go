// Command cactuspost-model generates the Promela specification from the charts and
// checks it with the model checker spin. Run it from the root of the repository.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"cactuspost.example/charts"
	"cactuspost.example/internal/promela"
)

//go:generate go run . --spec ../../spec generate

func main() {
	command := &cli.Command{
		Name:  "cactuspost-model",
		Usage: "check the protocols with spin, from the charts that the code interprets",
		Flags: []cli.Flag{&cli.StringFlag{Name: "spec", Value: "spec", Usage: "directory of the specification"}},
		Commands: []*cli.Command{
			{Name: "generate", Usage: "generate the specification from the charts", Action: generate},
			{Name: "check", Usage: "check every model, and that each faulty variant fails", Flags: checkFlags(), Action: check},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func checkFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "keep", Usage: "keep the compiled checkers and their traces in this directory"},
		&cli.StringFlag{Name: "only", Usage: "check only this model or variant"},
	}
}

func generate(_ context.Context, command *cli.Command) error {
	spec := command.String("spec")
	suite, err := promela.LoadSuite(os.DirFS(spec), charts.Files)
	if err != nil {
		return err
	}
	return promela.WriteGenerated(spec, suite.Definitions)
}

func check(_ context.Context, command *cli.Command) error {
	suite, err := promela.LoadSuite(os.DirFS(command.String("spec")), charts.Files)
	if err != nil {
		return err
	}
	if err := suite.CheckGenerated(); err != nil {
		return err
	}
	searches, err := suite.Searches()
	if err != nil {
		return err
	}
	dir, remove, err := workDir(command.String("keep"))
	if err != nil {
		return err
	}
	defer remove()
	results, err := suite.Check(dir, selectSearches(searches, command.String("only")))
	if err != nil {
		return err
	}
	return promela.Report(os.Stdout, results)
}

// workDir returns the directory keep or, if it is empty, a new temporary one,
// together with a function that removes a temporary directory.
func workDir(keep string) (string, func(), error) {
	if keep != "" {
		return keep, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "cactuspost-model-")
	if err != nil {
		return "", nil, errors.WithStack(err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

func selectSearches(searches []promela.Search, only string) []promela.Search {
	if only == "" {
		return searches
	}
	var matching []promela.Search
	for _, s := range searches {
		if s.Name() == only {
			matching = append(matching, s)
		}
	}
	return matching
}
