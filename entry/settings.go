package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/instance"
	"github.com/tanagerdock/tanagerdock/record"
)

// ErrSettings reports an unreadable or invalid settings file.
var ErrSettings = errors.New("settings are not usable")

// Settings is the content of the settings file of an entry daemon.
type Settings struct {
	Name           string  `yaml:"name"`     // of the instance; unique among all instances
	Centre         string  `yaml:"centre"`   // name of its data centre
	Size           float64 `yaml:"size"`     // capacity relative to other instances; default 1
	PacketAddress  string  `yaml:"packets"`  // IP address and UDP port for callers; port 0 selects a free port
	PeerAddress    string  `yaml:"peers"`    // IP address and UDP port for other instances; port 0 selects a free port
	ControlAddress string  `yaml:"control"`  // IP address and TCP port for other instances; port 0 selects a free port
	StatusAddress  string  `yaml:"status"`   // IP address and TCP port for /metrics and /health; port 0 selects a free port
	PlatformURL    string  `yaml:"platform"` // URL of the platform
	// Neighbours are peer addresses of other instances of the data centre, through
	// which the instance finds the others while the platform does not answer.
	Neighbours  []string    `yaml:"neighbours,omitempty"`
	KeyFile     string      `yaml:"keyfile"` // file of token keys; relative to the settings file
	Log         LogSettings `yaml:"log"`
	MemoryLimit int64       `yaml:"memory"`           // bytes of request and answer bodies held in memory; default 256 MiB
	MaxFlows    int         `yaml:"flows"`            // flows held in memory; default 500000
	Policy      string      `yaml:"policy,omitempty"` // learnt; random and outstanding are for comparison in measurements; default learnt
}

// LogSettings selects the format and the lowest level of the log.
type LogSettings struct {
	Format string `yaml:"format"` // text or json; default text
	Level  string `yaml:"level"`  // debug, info, warn or error; default info
}

// Values of LogSettings.Format.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Values of LogSettings.Level.
const (
	LevelDebug = "debug"
	LevelInfo  = "info"
	LevelWarn  = "warn"
	LevelError = "error"
)

// policies maps values of Settings.Policy to the policies that assign requests to
// endpoints.
var policies = map[string]instance.Policy{
	"": instance.LearnedCapacity{}, "learnt": instance.LearnedCapacity{},
	"random": instance.WeightedRandom{}, "outstanding": instance.LeastOutstanding{},
}

// Bounds of fields of Settings.
const (
	minSize        = 0.001
	maxSize        = 1000
	minMemoryLimit = 1 << 20 // bytes
	maxMemoryLimit = 1 << 40 // bytes
	maxFlowLimit   = 100_000_000
)

// ReadSettings reads a settings file, fills in the defaults and validates the
// fields. Errors state the file, line, field and value.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrapf(ErrSettings, "%v", err)
	}
	return parseSettings(file, data)
}

func parseSettings(file string, data []byte) (Settings, error) {
	s := Settings{
		Size:        1,
		Log:         LogSettings{Format: FormatText, Level: LevelInfo},
		MemoryLimit: instance.DefaultMemoryLimit,
		MaxFlows:    instance.DefaultMaxFlows,
	}
	d := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := d.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, locateYAMLError(file, data, err)
	}
	if err := d.Decode(&Settings{}); !errors.Is(err, io.EOF) {
		return Settings{}, errors.Wrapf(ErrSettings, "%s: holds more than one document", file)
	}
	if f := s.check(); f != nil {
		return Settings{}, f.toError(file, data)
	}
	if !filepath.IsAbs(s.KeyFile) {
		s.KeyFile = filepath.Join(filepath.Dir(file), s.KeyFile)
	}
	return s, nil
}

// YAML encodes the settings in the format of a settings file.
func (s Settings) YAML() ([]byte, error) {
	data, err := yaml.Marshal(s)
	return data, errors.Wrap(err, "encode settings")
}

// locateYAMLError converts an error of the YAML library to one that states the
// file, line, field and value.
func locateYAMLError(file string, data []byte, err error) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) || yamlErr.GetToken() == nil {
		return errors.Wrapf(ErrSettings, "%s: %v", file, err)
	}
	line, message := yamlErr.GetToken().Position.Line, yamlErr.GetMessage()
	field, value, found := strings.Cut(lineText(data, line), ":")
	if !found {
		return errors.Wrapf(ErrSettings, "%s:%d: %s", file, line, message)
	}
	return errors.Wrapf(ErrSettings, "%s:%d: field %q: value %q: %s",
		file, line, strings.TrimSpace(field), strings.TrimSpace(value), message)
}

func lineText(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	return lines[line-1]
}

// invalidField is a field of Settings whose value is not allowed.
type invalidField struct {
	field string // dotted path in the file
	value any
	want  string // description of the allowed values
}

// toError returns an ErrSettings with the line of the field in the file.
func (f *invalidField) toError(file string, data []byte) error {
	line := fieldLine(data, f.field)
	if line == 0 {
		return errors.Wrapf(ErrSettings, "%s: field %q is missing: it must be %s", file, f.field, f.want)
	}
	return errors.Wrapf(ErrSettings, "%s:%d: field %q: value %#v is not %s", file, line, f.field, f.value, f.want)
}

// fieldLine returns the line of a field in a settings file, or 0 when the file
// does not contain the field.
func fieldLine(data []byte, field string) int {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return 0
	}
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(file)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func (s *Settings) check() *invalidField {
	checks := []func() *invalidField{s.checkIdentity, s.checkAddresses, s.checkFiles, s.checkLog, s.checkLimits}
	for _, check := range checks {
		if f := check(); f != nil {
			return f
		}
	}
	return nil
}

func (s *Settings) checkIdentity() *invalidField {
	const nameFormat = "1 to 63 of a-z, 0-9, dot and dash"
	switch {
	case record.CheckName(s.Name) != nil:
		return &invalidField{"name", s.Name, nameFormat}
	case record.CheckName(s.Centre) != nil:
		return &invalidField{"centre", s.Centre, nameFormat}
	case !(s.Size >= minSize && s.Size <= maxSize):
		return &invalidField{"size", s.Size, fmt.Sprintf("within %v to %v", minSize, maxSize)}
	}
	return nil
}

func (s *Settings) checkAddresses() *invalidField {
	published := []struct{ field, address string }{
		{"packets", s.PacketAddress}, {"peers", s.PeerAddress}, {"control", s.ControlAddress},
	}
	for _, a := range published {
		parsed, err := netip.ParseAddrPort(a.address)
		if err != nil || parsed.Addr().IsUnspecified() {
			return &invalidField{a.field, a.address, "an IP address that others can reach, with a port"}
		}
	}
	if _, err := netip.ParseAddrPort(s.StatusAddress); err != nil {
		return &invalidField{"status", s.StatusAddress, "an IP address with a port"}
	}
	for _, n := range s.Neighbours {
		if a, err := netip.ParseAddrPort(n); err != nil || a.Port() == 0 {
			return &invalidField{"neighbours", n, "an IP address with a port"}
		}
	}
	return nil
}

func (s *Settings) checkFiles() *invalidField {
	u, err := url.Parse(s.PlatformURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return &invalidField{"platform", s.PlatformURL, "a URL with http or https and a host"}
	}
	if s.KeyFile == "" {
		return &invalidField{"keyfile", s.KeyFile, "the name of a file"}
	}
	return nil
}

func (s *Settings) checkLog() *invalidField {
	switch s.Log.Format {
	case FormatText, FormatJSON:
	default:
		return &invalidField{"log.format", s.Log.Format, "one of text, json"}
	}
	switch s.Log.Level {
	case LevelDebug, LevelInfo, LevelWarn, LevelError:
	default:
		return &invalidField{"log.level", s.Log.Level, "one of debug, info, warn, error"}
	}
	return nil
}

func (s *Settings) checkLimits() *invalidField {
	switch {
	case policies[s.Policy] == nil:
		return &invalidField{"policy", s.Policy, "one of learnt, random, outstanding"}
	case s.MemoryLimit < minMemoryLimit || s.MemoryLimit > maxMemoryLimit:
		return &invalidField{"memory", s.MemoryLimit, fmt.Sprintf("within %d to %d bytes", minMemoryLimit, maxMemoryLimit)}
	case s.MaxFlows < 1 || s.MaxFlows > maxFlowLimit:
		return &invalidField{"flows", s.MaxFlows, fmt.Sprintf("within 1 to %d", maxFlowLimit)}
	}
	return nil
}

// neighbourAddresses returns Neighbours parsed. check must have accepted them.
func (s *Settings) neighbourAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, n := range s.Neighbours {
		if a, err := netip.ParseAddrPort(n); err == nil {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
