package main

import (
	"bufio"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// asCommand is the environment variable that makes the test binary run the command
// instead of the tests.
const asCommand = "TANAGERDOCK_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
	}
	os.Exit(m.Run())
}

func TestSignalsStopTheProcess(t *testing.T) {
	for _, signal := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
		c := exec.Command(os.Args[0], "backend", "-host", "orders")
		c.Env = append(os.Environ(), asCommand+"=1")
		stdout, err := c.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		t.Cleanup(func() { _ = c.Process.Kill() }) // for a failed test
		line, err := bufio.NewReader(stdout).ReadString('\n')
		require.NoError(t, err)
		require.Regexp(t, `^ready listen=127\.0\.0\.1:\d+ control=127\.0\.0\.1:\d+\n$`, line)
		require.NoError(t, c.Process.Signal(signal))
		require.NoError(t, c.Wait(), "exit code 0 after %v", signal)
	}
}
