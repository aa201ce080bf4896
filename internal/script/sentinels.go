package script

import (
	"errors"
	"strings"
	"testing"
)

// Sentinels maps the names by which data files refer to expected errors to those errors.
type Sentinels map[string]error

// Check fails the test unless err matches the sentinel called name and its message contains
// text. With an empty name, it fails the test if err is not nil.
func (s Sentinels) Check(t testing.TB, err error, name, text string) {
	t.Helper()
	want, known := s[name]
	switch {
	case name == "" && err != nil:
		t.Fatalf("error %q, none is expected", err)
	case name == "":
	case !known:
		t.Fatalf("data file asks for error %q, which has no sentinel", name)
	case !errors.Is(err, want):
		t.Fatalf("error %v, expected one that matches %q", err, want)
	case !strings.Contains(err.Error(), text):
		t.Fatalf("error %q does not contain %q", err, text)
	}
}

// CheckAny fails the test unless err matches one of the sentinels.
func (s Sentinels) CheckAny(t testing.TB, err error) {
	t.Helper()
	for _, want := range s {
		if errors.Is(err, want) {
			return
		}
	}
	t.Fatalf("error %v matches no sentinel", err)
}
