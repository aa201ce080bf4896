package entry

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/token"
)

// minimalSettings is a settings file with the fields that have no default, one on
// each line. The empty last line is for one more.
const minimalSettings = `name: entry-1
centre: riga-1
packets: 127.0.0.1:0
peers: 127.0.0.1:0
control: 127.0.0.1:0
status: 127.0.0.1:0
platform: http://127.0.0.1:7000
keyfile: keys

`

type settingsCase struct {
	Name   string
	Text   string
	Change struct { // replaces a line of minimalSettings
		Line string
		At   int // from 1
	}
	Shown string // what -check prints
	Error string
}

func (c *settingsCase) text() string {
	if c.Change.At == 0 {
		return c.Text
	}
	lines := strings.Split(minimalSettings, "\n")
	lines[c.Change.At-1] = c.Change.Line
	return strings.Join(lines, "\n")
}

func TestSettings(t *testing.T) {
	var cases struct{ Cases []settingsCase }
	readCases(t, "settings.yaml", &cases)
	for _, c := range cases.Cases {
		t.Run(c.Name, func(t *testing.T) {
			s, err := parseSettings("entry.yaml", []byte(c.text()))
			if c.Error != "" {
				require.ErrorIs(t, err, ErrSettings)
				require.ErrorContains(t, err, c.Error)
				return
			}
			require.NoError(t, err)
			shown, err := s.YAML()
			require.NoError(t, err)
			require.Equal(t, c.Shown, string(shown))
			again, err := parseSettings("entry.yaml", shown)
			require.NoError(t, err)
			require.Equal(t, s, again, "the printed settings must parse to the same settings")
		})
	}
}

func TestKeyfileIsRelativeToSettings(t *testing.T) {
	s, err := parseSettings("/etc/tanagerdock/entry.yaml", []byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, "/etc/tanagerdock/keys", s.KeyFile)
}

func TestReadSettingsWithoutFile(t *testing.T) {
	_, err := ReadSettings("testdata/no such file")
	require.ErrorIs(t, err, ErrSettings)
	require.ErrorContains(t, err, "testdata/no such file")
}

func TestKeys(t *testing.T) {
	var cases struct {
		Cases []struct {
			Name, Text, Error string
			Current           uint8
		}
	}
	readCases(t, "keys.yaml", &cases)
	for _, c := range cases.Cases {
		t.Run(c.Name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "keys")
			require.NoError(t, os.WriteFile(file, []byte(c.Text), 0o600))
			keys, err := ReadKeys(file)
			if c.Error != "" {
				require.ErrorIs(t, err, ErrKeyFile)
				require.ErrorContains(t, err, c.Error)
				require.ErrorContains(t, err, file)
				require.NotContains(t, err.Error(), "0102030405", "errors must not contain secrets")
				return
			}
			require.NoError(t, err)
			sealed := keys.Seal(token.Token{Flow: 1, Issued: clock.Now()})
			require.Equal(t, c.Current, sealed[1])
			_, err = keys.Open(sealed, clock.Now())
			require.NoError(t, err)
		})
	}
}

// writeSettings writes a settings file and a key file and returns the name of the
// settings file.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	key := "1 " + hex.EncodeToString(make([]byte, 16)) + "\n"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "keys"), []byte(key), 0o600))
	file := filepath.Join(dir, "entry.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestMainWithoutRunning(t *testing.T) {
	good := writeSettings(t, minimalSettings)
	bad := writeSettings(t, strings.Replace(minimalSettings, "riga-1", "Riga", 1))
	cases := []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"check", []string{"-settings", good, "-check"}, 0, "centre: riga-1\n", ""},
		{"check of bad settings", []string{"-settings", bad, "-check"}, 1, "", "tanagerdock-entry: check: " + bad + ":2: field \"centre\""},
		{"run with bad settings", []string{"-settings", bad}, 1, "", "tanagerdock-entry: run: " + bad + ":2: field \"centre\""},
		{"version", []string{"-version"}, 0, "tanagerdock-entry ", ""},
		{"help", []string{"-help"}, 0, "", "Usage: tanagerdock-entry"},
		{"no settings", nil, 2, "", "flag -settings is missing"},
		{"unknown flag", []string{"-fast"}, 2, "", "flag provided but not defined: -fast"},
		{"argument", []string{"-settings", good, "now"}, 2, "", `argument "now" is not expected`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connect := func(string) platform.Platform {
				t.Fatal("the platform must not be called")
				return nil
			}
			var stdout, stderr bytes.Buffer
			require.Equal(t, c.code, Main(c.args, &stdout, &stderr, connect), stderr.String())
			require.Contains(t, stdout.String(), c.stdout)
			require.Contains(t, stderr.String(), c.stderr)
		})
	}
}
