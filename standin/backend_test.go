package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

// waitTimeout is the time limit for conditions that must hold in the end.
const waitTimeout = time.Minute

func startBackend(t *testing.T, s BackendSettings) *Backend {
	t.Helper()
	s.Listen, s.Host = "127.0.0.1:0", "orders"
	b, err := StartBackend(s)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	return b
}

// newClient returns an HTTP client that shares no connections with other clients.
func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// post sends a request and returns the response and its complete body.
func post(ctx context.Context, c *http.Client, b *Backend, host, body string, headers map[string]string) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address()+"/", strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Host = host
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := c.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

type backendCase struct {
	Name     string            `yaml:"name"`
	Fault    string            `yaml:"fault"`
	Host     string            `yaml:"host"` // orders by default
	Body     string            `yaml:"body"`
	Pad      int               `yaml:"pad"` // the body describes work with an id of this length
	Headers  map[string]string `yaml:"headers"`
	Status   int               `yaml:"status"`
	Whole    bool              `yaml:"whole"`  // the answer is complete
	Echo     bool              `yaml:"echo"`   // the answer is the body
	Broken   bool              `yaml:"broken"` // the request fails without a complete answer
	NotRun   bool              `yaml:"notrun"`
	Draining bool              `yaml:"draining"`
	Runs     int               `yaml:"runs"`
	Finished int               `yaml:"finished"`
	Once     bool              `yaml:"once"`
}

func TestBackend(t *testing.T) {
	var cases []backendCase
	script.Read(t, "testdata/backend.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			if c.Host == "" {
				c.Host = "orders"
			}
			if c.Pad > 0 {
				c.Body = "work=0 answer=1 id=" + strings.Repeat("x", c.Pad) + "\n"
			}
			b := startBackend(t, BackendSettings{})
			setFaults(t, b, c.Fault)
			response, answer, err := post(context.Background(), newClient(t), b, c.Host, c.Body, c.Headers)
			checkLedger(t, c, b)
			if c.Broken {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.Status, response.StatusCode)
			require.Equal(t, c.NotRun, response.Header.Get(headerNotRun) == "true")
			require.Equal(t, c.Draining, response.Header.Get(headerDraining) == "true")
			if c.Echo {
				require.Equal(t, c.Body, string(answer))
			}
			if c.Whole {
				w, isWork := ParseWork([]byte(c.Body))
				require.True(t, isWork)
				host, _, _ := strings.Cut(c.Host, ":")
				require.True(t, CheckAnswer(w, host, []byte(c.Body), answer))
			}
		})
	}
}

func setFaults(t *testing.T, b *Backend, faults string) {
	t.Helper()
	if faults != "" {
		status, answer := callHandler(b.Control(), http.MethodPut, "/fault", faults)
		require.Equal(t, http.StatusOK, status, answer)
	}
}

func checkLedger(t *testing.T, c backendCase, b *Backend) {
	t.Helper()
	if c.Runs == 0 {
		require.Empty(t, b.Ledger())
		return
	}
	host, _, _ := strings.Cut(c.Host, ":")
	require.Equal(t, []LedgerEntry{{ID: "a", Service: host, Once: c.Once, Runs: c.Runs, Finished: c.Finished}}, b.Ledger())
}

// Callers check answers byte by byte, so the format must not change.
func TestAnswerFormat(t *testing.T) {
	body := []byte("work=5 answer=60 id=a1\nrest")
	w, isWork := ParseWork(body)
	require.True(t, isWork)
	require.Equal(t, Work{RunTime: 5, MinAnswerSize: 60, ID: "a1"}, w)
	answer := BuildAnswer(w, "orders", body)
	require.Len(t, answer, 60)
	line := "service=orders id=a1 sum=bc3a3711da2a8ece\n"
	require.Equal(t, line, string(answer[:len(line)]))
	for i := len(line); i < len(answer); i++ {
		require.Equal(t, int((uint64(i)*131+xxhash.Sum64String("a1"))%251), int(answer[i]))
	}
	require.False(t, CheckAnswer(w, "gallery", body, answer))
	require.False(t, CheckAnswer(w, "orders", body, answer[:59]))
}

type healthCase struct {
	Fault  string `yaml:"fault"`
	Status int    `yaml:"status"`
	Health Health `yaml:"health"`
}

func TestHealth(t *testing.T) {
	b := startBackend(t, BackendSettings{})
	var cases []healthCase
	script.Read(t, "testdata/health.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		setFaults(t, b, c.Fault)
		status, answer := callHandler(b.requestHandler(), http.MethodGet, "/health", "")
		require.Equal(t, c.Status, status, c.Fault)
		var h Health
		require.NoError(t, json.Unmarshal([]byte(answer), &h))
		require.Equal(t, c.Health, h, c.Fault)
	}
}

func getLoad(t *testing.T, b *Backend) Load {
	_, answer := callHandler(b.requestHandler(), http.MethodGet, "/load", "")
	var l Load
	require.NoError(t, json.Unmarshal([]byte(answer), &l))
	return l
}

// waitUntil waits for a condition that must hold in the end.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "condition did not hold in time")
	}
}

func TestSlotsAndCancellation(t *testing.T) {
	b := startBackend(t, BackendSettings{Slots: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	long, short := make(chan error, 1), make(chan error, 1)
	go func() {
		_, _, err := post(ctx, newClient(t), b, "orders", "work=600000 answer=1 id=long\n", nil)
		long <- err
	}()
	waitUntil(t, func() bool { return getLoad(t, b) == Load{Slots: 1, Busy: 1} })
	go func() {
		_, _, err := post(context.Background(), newClient(t), b, "orders", "work=0 answer=1 id=short\n", nil)
		short <- err
	}()
	waitUntil(t, func() bool { return getLoad(t, b) == Load{Slots: 1, Busy: 1, Queued: 1} })
	setFaults(t, b, `{"lie":"fine"}`)
	require.Equal(t, Load{Slots: 1}, getLoad(t, b))
	require.Len(t, b.Ledger(), 1)
	cancel()
	require.ErrorIs(t, <-long, context.Canceled)
	require.NoError(t, <-short)
	waitUntil(t, func() bool { return getLoad(t, b) == Load{Slots: 1} })
	require.Equal(t, []LedgerEntry{
		{ID: "long", Service: "orders", Runs: 1},
		{ID: "short", Service: "orders", Runs: 1, Finished: 1},
	}, b.Ledger())
}

func TestScaledRunTime(t *testing.T) {
	b := startBackend(t, BackendSettings{Speed: 2, WarmupTime: clock.Hour, WarmupSlowdown: 3})
	require.Equal(t, clock.Millis(150), b.scaledRunTime(100))
	setFaults(t, b, `{"slow":10}`)
	require.Equal(t, clock.Millis(1500), b.scaledRunTime(100))
	b.startedAt -= clock.Hour
	require.Equal(t, clock.Millis(500), b.scaledRunTime(100))
}

func TestSilentOpenConnections(t *testing.T) {
	b := startBackend(t, BackendSettings{})
	old := newClient(t)
	_, _, err := post(context.Background(), old, b, "orders", "before", nil)
	require.NoError(t, err)
	setFaults(t, b, `{"silent":"open"}`)
	setFaults(t, b, `{}`) // connections that are silent stay silent
	requireSilent(t, old, b)
	_, answer, err := post(context.Background(), newClient(t), b, "orders", "after", nil)
	require.NoError(t, err)
	require.Equal(t, "after", string(answer))
}

// A request that is queued when its connection becomes silent still runs, and its
// answer never arrives.
func TestSilenceDuringRequest(t *testing.T) {
	b := startBackend(t, BackendSettings{Slots: 1})
	blockerCtx, cancelBlocker := context.WithCancel(context.Background())
	defer cancelBlocker()
	queuedCtx, cancelQueued := context.WithCancel(context.Background())
	defer cancelQueued()
	blockerErr, queuedErr := make(chan error, 1), make(chan error, 1)
	go func() {
		_, _, err := post(blockerCtx, newClient(t), b, "orders", "work=600000 answer=1 id=hold\n", nil)
		blockerErr <- err
	}()
	waitUntil(t, func() bool { return getLoad(t, b).Busy == 1 })
	go func() {
		_, _, err := post(queuedCtx, newClient(t), b, "orders", "work=0 answer=1 id=work\n", nil)
		queuedErr <- err
	}()
	waitUntil(t, func() bool { return getLoad(t, b).Queued == 1 })
	setFaults(t, b, `{"silent":"open"}`)
	cancelBlocker()
	require.ErrorIs(t, <-blockerErr, context.Canceled)
	waitUntil(t, func() bool { return b.Counts()["finished"] == 1 })
	cancelQueued()
	require.ErrorIs(t, <-queuedErr, context.Canceled)
	require.Contains(t, b.Ledger(), LedgerEntry{ID: "work", Service: "orders", Runs: 1, Finished: 1})
}

func TestAllConnectionsSilent(t *testing.T) {
	b := startBackend(t, BackendSettings{})
	setFaults(t, b, `{"silent":"all"}`)
	requireSilent(t, newClient(t), b)
	require.Empty(t, b.Counts())
}

func requireSilent(t *testing.T, c *http.Client, b *Backend) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), (20 * clock.Millisecond).Duration())
	defer cancel()
	_, _, err := post(ctx, c, b, "orders", "work=0 answer=1 id=a\n", nil)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Empty(t, b.Ledger())
}

func TestDownFaultRefusesConnections(t *testing.T) {
	b := startBackend(t, BackendSettings{})
	address := b.Address()
	setFaults(t, b, `{"down":true}`)
	_, err := net.Dial("tcp", address)
	require.Error(t, err)
	setFaults(t, b, `{}`)
	_, _, err = post(context.Background(), newClient(t), b, "orders", "hello", nil)
	require.NoError(t, err)
	require.Equal(t, address, b.Address())
}

func TestConnectionLimit(t *testing.T) {
	b := startBackend(t, BackendSettings{MaxConnections: 1})
	first := newClient(t)
	_, _, err := post(context.Background(), first, b, "orders", "hello", nil)
	require.NoError(t, err)
	_, _, err = post(context.Background(), newClient(t), b, "orders", "hello", nil)
	require.Error(t, err)
	first.CloseIdleConnections()
	waitUntil(t, func() bool {
		_, _, err := post(context.Background(), newClient(t), b, "orders", "hello", nil)
		return err == nil
	})
}
