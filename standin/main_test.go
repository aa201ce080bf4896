package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/program"
	"github.com/tanagerdock/tanagerdock/internal/script"
)

type usageCase struct {
	Args   []string `yaml:"args"`
	Code   int      `yaml:"code"`
	Stdout string   `yaml:"stdout"`
	Stderr string   `yaml:"stderr"`
}

func TestUsage(t *testing.T) {
	var cases []usageCase
	script.Read(t, "testdata/usage.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		t.Run(fmt.Sprint(c.Args), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // a stand-in that starts by mistake stops at once
			var stdout, stderr bytes.Buffer
			require.Equal(t, c.Code, Main(ctx, c.Args, &stdout, &stderr))
			require.Contains(t, stdout.String(), c.Stdout)
			require.Contains(t, stderr.String(), c.Stderr)
			require.NotContains(t, stdout.String(), "ready")
		})
	}
}

func TestVerbsRunUntilCancelled(t *testing.T) {
	for _, args := range [][]string{{"platform"}, {"backend", "-host", "orders"}, {"fabric"}} {
		t.Run(args[0], func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			reader, writer := io.Pipe()
			var stderr bytes.Buffer
			code := make(chan int)
			go func() { code <- Main(ctx, args, writer, &stderr) }()
			line, err := bufio.NewReader(reader).ReadString('\n')
			require.NoError(t, err)
			var listen, control string
			_, err = fmt.Sscanf(line, "ready listen=%s control=%s\n", &listen, &control)
			require.NoError(t, err)
			response, err := http.Get("http://" + control + "/fault")
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
			cancel()
			require.Equal(t, program.ExitSuccess, <-code)
			require.Empty(t, stderr.String())
			_, err = http.Get("http://" + control + "/fault")
			require.Error(t, err)
		})
	}
}
