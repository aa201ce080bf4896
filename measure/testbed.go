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

// Names and time-outs that the measurements share.
const (
	centre      = "measured"
	service     = "orders"
	loopback    = "127.0.0.1:0"
	callTimeout = 5 * clock.Second
	joinTimeout = 20 * time.Second
)

var tokenSecret = []byte("0123456789abcdef0123456789abcdef")

// testbed is a simulated platform with the entry daemons and other processes of a
// measurement.
type testbed struct {
	bin      string // directory of the programs
	dir      string // temporary directory of settings and keys
	keys     *token.Keys
	platform *process
	client   *platform.Client
	entries  []*process
	others   []*process // backend servers, relays and fabrics
	profile  string     // file for a CPU profile of each entry daemon, or empty
}

// binFlag defines the flag for the directory of the programs.
func binFlag(flags *flag.FlagSet) *string {
	return flags.String("bin", "bin", "`directory` of the programs")
}

// startTestbed starts a platform. The caller closes the testbed.
func startTestbed(ctx context.Context, bin string) (*testbed, error) {
	t := &testbed{bin: bin}
	var err error
	if t.keys, err = token.NewKeys(1, map[uint8][]byte{1: tokenSecret}); err != nil {
		return nil, err
	}
	if t.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return nil, errors.WithStack(err)
	}
	keyfile := fmt.Sprintf("1 %s current\n", hex.EncodeToString(tokenSecret))
	if err := os.WriteFile(t.file("keys"), []byte(keyfile), 0o600); err != nil {
		t.close()
		return nil, errors.WithStack(err)
	}
	t.platform, err = startProcess(ctx, t.program("tanagerdock-standin"), "platform", "-lag", "100")
	if err != nil {
		t.close()
		return nil, err
	}
	t.client = platform.NewClient("http://"+t.platform.ready["listen"], callTimeout)
	return t, nil
}

func (t *testbed) file(name string) string { return filepath.Join(t.dir, name) }

func (t *testbed) program(name string) string { return filepath.Join(t.bin, name) }

// entryName returns the name of the n-th instance.
func entryName(n int) string { return fmt.Sprintf("entry-%d", n) }

// addEntry starts the next entry daemon.
func (t *testbed) addEntry(ctx context.Context) (*process, error) {
	return t.startEntry(ctx, entryName(len(t.entries)+1))
}

func (t *testbed) startEntry(ctx context.Context, name string, lines ...string) (*process, error) {
	settings := fmt.Sprintf("name: %s\ncentre: %s\npackets: %s\npeers: %s\ncontrol: %s\nstatus: %s\nplatform: http://%s\nkeyfile: keys\nlog: {level: error}\n",
		name, centre, loopback, loopback, loopback, loopback, t.platform.ready["listen"])
	settings += strings.Join(lines, "")
	if err := os.WriteFile(t.file(name), []byte(settings), 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	args := []string{"-settings", t.file(name)}
	if t.profile != "" {
		args = append(args, "-profile", t.profile)
	}
	p, err := startProcess(ctx, t.program("tanagerdock-entry"), args...)
	if err != nil {
		return nil, err
	}
	t.entries = append(t.entries, p)
	return p, nil
}

// addBackend starts a backend server of the service and registers it with the platform.
func (t *testbed) addBackend(ctx context.Context, slots int) error {
	p, err := startProcess(ctx, t.program("tanagerdock-standin"), "backend", "-host", service, "-slots", fmt.Sprint(slots))
	if err != nil {
		return err
	}
	t.others = append(t.others, p)
	return t.putBackend(ctx, fmt.Sprintf("backend-%d", len(t.others)), p.ready["listen"], slots)
}

func (t *testbed) putService(ctx context.Context) error {
	o, err := record.EncodeService(record.Service{Name: service, Host: service, Queue: queueLength}, record.Schema2)
	if err != nil {
		return err
	}
	_, err = t.client.Put(ctx, o, platform.AnyRevision)
	return err
}

// queueLength is long enough that requests wait instead of being refused.
const queueLength = 10_000

func (t *testbed) putBackend(ctx context.Context, name, address string, slots int) error {
	o, err := record.EncodeBackend(record.Backend{
		Name: name, Service: service, Centre: centre, State: record.StateActive,
		Endpoints: []record.Endpoint{{Address: address, Slots: slots}},
	}, record.Schema2)
	if err != nil {
		return err
	}
	_, err = t.client.Put(ctx, o, platform.AnyRevision)
	return err
}

// waitListed waits until the platform lists an instance, and returns its record.
func (t *testbed) waitListed(ctx context.Context, name string) (record.Instance, error) {
	for deadline := time.Now().Add(joinTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		list, err := t.client.Instances(ctx, centre)
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

// close ends all processes of the testbed and removes its directory.
func (t *testbed) close() {
	for _, p := range t.entries {
		p.stop()
	}
	for _, p := range t.others {
		p.kill()
	}
	if t.platform != nil {
		t.platform.kill()
	}
	_ = os.RemoveAll(t.dir)
}
