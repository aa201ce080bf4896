package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/internal/script"
)

// callHandler calls a handler and returns the status and body of its response.
func callHandler(handler http.Handler, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	data, _ := io.ReadAll(w.Body) // a buffer in memory: never fails
	return w.Code, strings.TrimSpace(string(data))
}

type faultCase struct {
	Standin string `yaml:"standin"`
	Body    string `yaml:"body"`
	Names   string `yaml:"names"`
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	handlers := map[string]http.Handler{
		"platform": NewPlatform(PlatformSettings{}),
		"backend":  startBackend(t, BackendSettings{}).Control(),
		"fabric":   startFabric(t, FabricSettings{}).Control(),
	}
	var cases []faultCase
	script.Read(t, "testdata/faults.yaml", &cases)
	require.NotEmpty(t, cases)
	for _, c := range cases {
		status, answer := callHandler(handlers[c.Standin], http.MethodPut, "/fault", c.Body)
		require.Equal(t, http.StatusBadRequest, status, c.Body)
		require.Contains(t, answer, c.Names)
	}
	for name, h := range handlers {
		status, answer := callHandler(h, http.MethodGet, "/fault", "")
		require.Equal(t, http.StatusOK, status, name)
		require.Equal(t, "{}", answer, name)
	}
}

func TestFaultsAreReplacedAsAWhole(t *testing.T) {
	p := NewPlatform(PlatformSettings{})
	_, answer := callHandler(p, http.MethodPut, "/fault", `{"slow":5,"cut":["entry-1"]}`)
	require.Equal(t, `{"slow":5,"cut":["entry-1"]}`, answer)
	_, answer = callHandler(p, http.MethodPut, "/fault", `{"stale":true}`)
	require.Equal(t, `{"stale":true}`, answer)
}

func TestCallsAreCounted(t *testing.T) {
	p := NewPlatform(PlatformSettings{})
	callHandler(p, http.MethodGet, "/v1/objects/service", "")
	callHandler(p, http.MethodGet, "/v1/objects/service", "")
	callHandler(p, http.MethodGet, "/v1/watch?since=9&wait=0&kinds=service", "")
	_, answer := callHandler(p, http.MethodGet, "/calls", "")
	require.JSONEq(t, `{"list":2,"watch":1}`, answer)
}
