// Package script reads the data files of data-driven tests, and checks the errors that
// they expect.
//
// A data file is a YAML list with one entry per test case. Unknown fields are errors:
// otherwise a misspelt field could turn a case into one that checks nothing.
//
// # Usage
//
//	var cases []openCase
//	script.Read(t, "testdata/open.yaml", &cases)
package script

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Read decodes a YAML file into cases, a pointer to a slice. It fails the test if the file
// can't be read or contains a field that the slice's elements don't have.
func Read(t testing.TB, path string, cases any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read cases: %v", err)
	}
	if err := yaml.UnmarshalWithOptions(data, cases, yaml.Strict()); err != nil {
		t.Fatalf("read cases of %s: %v", path, err)
	}
}
