package measure

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/platform"
	"github.com/tanagerdock/tanagerdock/record"
	"github.com/tanagerdock/tanagerdock/token"
)

// Names used by every measurement.
const (
	centre      = "measured"
	service     = "orders"
	loopback    = "127.0.0.1:0"
	callTimeout = 5 * clock.Second
	joinTimeout = 20 * time.Second
)

var tokenSecret = []byte("0123456789abcdef0123456789abcdef")

// testbed is a platform and the entry daemons beside it.
type testbed struct {
	bin      string // directory of the programs
	dir      string // settings and keys
	keys     *token.Keys
	platform *process
	client   *platform.Client
	entries  []*process
	others   []*process
	profile  string // file for a CPU profile of each entry daemon, or empty
}

// binFlag declares the flag for the directory of the programs.
func binFlag(flags *flag.FlagSet) *string {
	return flags.String("bin", "bin", "`directory` of the programs")
}

// startTestbed starts a platform. The caller closes the stage.
func startTestbed(ctx context.Context, bin string) (*testbed, error) {
	s := &testbed{bin: bin}
	var err error
	if s.keys, err = token.NewKeys(1, map[uint8][]byte{1: tokenSecret}); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return nil, errors.WithStack(err)
	}
	keyfile := fmt.Sprintf("1 %s current\n", hex.EncodeToString(tokenSecret))
	if err := os.WriteFile(s.file("keys"), []byte(keyfile), 0o600); err != nil {
		s.close()
		return nil, errors.WithStack(err)
	}
	s.platform, err = startProcess(ctx, s.program("tanagerdock-standin"), "platform", "-lag", "100")
	if err != nil {
		s.close()
		return nil, err
	}
	s.client = platform.NewClient("http://"+s.platform.ready["listen"], callTimeout)
	return s, nil
}

func (s *testbed) file(name string) string { return filepath.Join(s.dir, name) }

func (s *testbed) program(name string) string { return filepath.Join(s.bin, name) }

// entryName returns the name of the n-th instance.
func entryName(n int) string { return fmt.Sprintf("entry-%d", n) }

// addEntry starts the next entry daemon.
func (s *testbed) addEntry(ctx context.Context) (*process, error) {
	return s.startEntry(ctx, entryName(len(s.entries)+1))
}

func (s *testbed) startEntry(ctx context.Context, name string, lines ...string) (*process, error) {
	settings := fmt.Sprintf("name: %s\ncentre: %s\npackets: %s\npeers: %s\ncontrol: %s\nstatus: %s\nplatform: http://%s\nkeyfile: keys\nlog: {level: error}\n",
		name, centre, loopback, loopback, loopback, loopback, s.platform.ready["listen"])
	settings += strings.Join(lines, "")
	if err := os.WriteFile(s.file(name), []byte(settings), 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	args := []string{"-settings", s.file(name)}
	if s.profile != "" {
		args = append(args, "-profile", s.profile)
	}
	p, err := startProcess(ctx, s.program("tanagerdock-entry"), args...)
	if err != nil {
		return nil, err
	}
	s.entries = append(s.entries, p)
	return p, nil
}

// addBackend starts a backend server of the service and writes its record.
func (s *testbed) addBackend(ctx context.Context, slots int) error {
	p, err := startProcess(ctx, s.program("tanagerdock-standin"), "backend", "-host", service, "-slots", fmt.Sprint(slots))
	if err != nil {
		return err
	}
	s.others = append(s.others, p)
	return s.putBackend(ctx, fmt.Sprintf("backend-%d", len(s.others)), p.ready["listen"], slots)
}

func (s *testbed) putService(ctx context.Context) error {
	o, err := record.EncodeService(record.Service{Name: service, Host: service, Queue: queueLength}, record.Schema2)
	if err != nil {
		return err
	}
	_, err = s.client.Put(ctx, o, platform.AnyRevision)
	return err
}

// queueLength lets work wait rather than be refused while costs are measured.
const queueLength = 10_000

func (s *testbed) putBackend(ctx context.Context, name, address string, slots int) error {
	o, err := record.EncodeBackend(record.Backend{
		Name: name, Service: service, Centre: centre, State: record.StateActive,
		Endpoints: []record.Endpoint{{Address: address, Slots: slots}},
	}, record.Schema2)
	if err != nil {
		return err
	}
	_, err = s.client.Put(ctx, o, platform.AnyRevision)
	return err
}

// waitListed waits until the platform lists an instance and returns it.
func (s *testbed) waitListed(ctx context.Context, name string) (record.Instance, error) {
	for deadline := time.Now().Add(joinTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		list, err := s.client.Instances(ctx, centre)
		if err != nil {
			continue
		}
		for _, i := range list {
			if i.Name == name {
				return i, nil
			}
		}
	}
	return record.Instance{}, errors.Errorf("instance %q was not listed within %v", name, joinTimeout)
}

// close ends what the stage started.
func (s *testbed) close() {
	for _, p := range s.entries {
		p.stop()
	}
	for _, p := range s.others {
		p.kill()
	}
	if s.platform != nil {
		s.platform.kill()
	}
	_ = os.RemoveAll(s.dir)
}
