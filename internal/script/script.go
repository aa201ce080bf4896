// Package script reads the data files that scripted tests run from.
//
// A data file is a YAML list with one entry a case. Fields that the test does
// not know are errors, so that a misspelt field cannot turn a case into one that
// checks nothing.
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

// Read decodes a YAML file into cases, a pointer to a slice, and fails the test
// when the file cannot be read or holds a field that cases lack.
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
