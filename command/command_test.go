package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/standin"
)

// varyingOutput lists the parts of the output that differ between runs, and what the
// expected files have instead.
var varyingOutput = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`http://127\.0\.0\.1:[0-9]+`), "$PLATFORM"},
	{regexp.MustCompile(`"write": "[A-Z0-9]+"`), `"write": "ID"`},
	{regexp.MustCompile(`tanagerdock (\(devel\)|v[0-9][^ \n]*|unknown)`), "tanagerdock VERSION"},
}

// TestCases runs each folder of testdata/cases. The file cmd contains the command lines,
// which share one platform, and the file expected their output and exit codes. The other
// files are their input.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("testdata/cases/*")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) { runCase(t, folder) })
	}
}

// newMetastore returns a metadata store with the reports in the file reports.json of a
// case, if there is one.
func newMetastore(t *testing.T, folder string) *standin.Metastore {
	m := standin.NewMetastore(1)
	data, err := os.ReadFile(filepath.Join(folder, "reports.json"))
	if os.IsNotExist(err) {
		return m
	}
	require.NoError(t, err)
	var all map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(data, &all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		m.Put("reports", name, all[name])
	}
	return m
}

func runCase(t *testing.T, folder string) {
	commands, err := os.ReadFile(filepath.Join(folder, "cmd"))
	require.NoError(t, err)
	expected, err := os.ReadFile(filepath.Join(folder, "expected"))
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle("/", standin.NewPlatform(standin.PlatformSettings{}))
	mux.Handle("/tanagerdock/", newMetastore(t, folder))
	server := httptest.NewServer(mux)
	defer server.Close()
	t.Setenv(platformVariable, server.URL)
	t.Chdir(folder)
	var out bytes.Buffer
	for _, line := range strings.Split(strings.TrimSpace(string(commands)), "\n") {
		fmt.Fprintf(&out, "$ %s\n", line)
		streams := Streams{In: strings.NewReader("input"), Out: &out, Err: &out}
		code := Main(context.Background(), strings.Fields(line)[1:], streams)
		fmt.Fprintf(&out, "exit %d\n", code)
	}
	got := out.String()
	for _, v := range varyingOutput {
		got = v.pattern.ReplaceAllString(got, v.replacement)
	}
	require.Equal(t, string(expected), got)
}
