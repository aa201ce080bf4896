package caller

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerdock/tanagerdock/clock"
	"github.com/tanagerdock/tanagerdock/packet"
	"github.com/tanagerdock/tanagerdock/token"
)

var update = flag.Bool("update", false, "rewrite the expected lines of the scripts")

// TestScripts runs one engine through each script of testdata. Lines that start with a
// time in ms are events; the indented lines below are the actions that the engine must
// return, with their time, and at the end the counters that aren't 0.
//
//	0 open
//	5 < opened nonce=N1 token=1/a/10        a packet; token=flow/owner/issued
//	5 start 1 size=2500 once deadline=5000  a request
//	5 cancel 1
//	900 run                                 ticks until that time
//	900 close
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			got := newPlayer(t).play(string(data))
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(data), got)
		})
	}
}

// player runs one script and writes it again with the actions that were returned.
type player struct {
	t        *testing.T
	engine   *Engine
	counters Counters
	now      clock.Millis
	nonces   map[string]uint64
	out      strings.Builder
}

func newPlayer(t *testing.T) *player {
	p := &player{t: t, nonces: make(map[string]uint64)}
	p.engine = New(Settings{Service: "orders", Seed: 1, Counters: &p.counters})
	return p
}

func (p *player) play(script string) string {
	for _, line := range strings.Split(strings.TrimRight(script, "\n"), "\n") {
		if strings.HasPrefix(line, " ") {
			continue
		}
		words := strings.Fields(line)
		event := len(words) > 1 && words[0] != "#"
		if event {
			p.advanceTo(words[0])
		}
		p.out.WriteString(line + "\n")
		if event {
			p.step(words)
		}
	}
	p.writeCounters()
	return p.out.String()
}

// writeCounters writes the counters that aren't 0.
func (p *player) writeCounters() {
	p.out.WriteString("  counters")
	for _, field := range strings.Fields(strings.Trim(fmt.Sprintf("%+v", p.counters), "{}")) {
		if !strings.HasSuffix(field, ":0") {
			p.out.WriteString(" " + field)
		}
	}
	p.out.WriteString("\n")
}

// advanceTo advances the clock to the given time, with a Tick every TickPeriod.
func (p *player) advanceTo(until string) {
	at, err := strconv.Atoi(until)
	require.NoError(p.t, err)
	for clock.Millis(at) > p.now {
		p.now = (p.now/TickPeriod + 1) * TickPeriod
		if p.now >= clock.Millis(at) {
			p.now = clock.Millis(at)
		}
		if p.now%TickPeriod == 0 {
			p.handle(Tick{})
		}
	}
}

func (p *player) step(words []string) {
	switch words[1] {
	case "open":
		p.handle(OpenRequested{})
	case "<":
		p.handle(PacketReceived{Packet: p.packet(words[2], words[3:])})
	case "start":
		p.handle(RequestStarted{CallID: p.number(words[2]), Request: p.request(words[3:])})
	case "cancel":
		p.handle(RequestCancelled{CallID: p.number(words[2])})
	case "close":
		p.handle(CloseRequested{})
	case "run":
	default:
		require.Fail(p.t, "unknown step", "%q", words)
	}
}

func (p *player) number(s string) uint64 {
	if n, ok := p.nonces[s]; ok {
		return n
	}
	n, err := strconv.ParseUint(s, 10, 64)
	require.NoError(p.t, err)
	return n
}

func (p *player) request(words []string) Request {
	var r Request
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		switch key {
		case "once":
			r.Once = true
		case "size":
			r.Body = make([]byte, p.number(value))
		case "deadline":
			r.Deadline = clock.Millis(p.number(value))
		case "class":
			r.Class = packet.Class(p.number(value))
		default:
			require.Fail(p.t, "unknown word", w)
		}
	}
	return r
}

var (
	kinds   = map[string]packet.Kind{}
	reasons = map[string]packet.Reason{}
)

func init() {
	for k := packet.KindOpen; k <= packet.KindClose; k++ {
		kinds[k.String()] = k
	}
	for r := packet.ReasonNone; r <= packet.ReasonMemory; r++ {
		reasons[r.String()] = r
	}
}

func (p *player) packet(kind string, words []string) packet.Packet {
	k := packet.Packet{Version: packet.Version, Kind: kinds[kind]}
	require.NotZero(p.t, k.Kind, kind)
	size, fill := packet.MaxPayload, "x"
	for _, w := range words {
		key, value, _ := strings.Cut(w, "=")
		switch key {
		case "token":
			k.Token = p.token(value)
		case "request":
			k.Request = p.number(value)
		case "nonce":
			k.Nonce = p.number(value)
		case "next":
			k.Next = uint32(p.number(value))
		case "mask":
			mask, err := strconv.ParseUint(value, 2, 64)
			require.NoError(p.t, err)
			k.Mask = mask
		case "part":
			part, count, _ := strings.Cut(value, "/")
			k.Part, k.Count = uint32(p.number(part)), uint32(p.number(count))
		case "status":
			k.Status = uint16(p.number(value))
		case "reason":
			k.Reason = reasons[value]
		case "size":
			size = int(p.number(value))
		case "fill":
			fill = value
		default:
			require.Fail(p.t, "unknown word", w)
		}
	}
	if k.Kind == packet.KindAnswer {
		k.Payload = []byte(strings.Repeat(fill, size))
	}
	require.NoError(p.t, k.Check())
	return k
}

var testKeys, _ = token.NewKeys(1, map[uint8][]byte{1: make([]byte, 16)})

// token parses flow/owner/issued. The owner is a letter, followed by the incarnation if
// that isn't 0.
func (p *player) token(s string) []byte {
	if s == "bad" {
		return []byte("bad")
	}
	f := strings.Split(s, "/")
	require.Len(p.t, f, 3, s)
	o := token.Token{Flow: p.number(f[0]), Owner: uint64(f[1][0]), Issued: clock.Millis(p.number(f[2]))}
	if len(f[1]) > 1 {
		o.Incarnation = p.number(f[1][1:])
	}
	return testKeys.Seal(o)
}

func (p *player) handle(e Event) {
	for _, a := range p.engine.Handle(p.now, e) {
		fmt.Fprintf(&p.out, "  %d %s\n", p.now, p.action(a))
	}
}

func (p *player) action(a Action) string {
	switch a := a.(type) {
	case SendPacket:
		_, err := packet.Encode(a.Packet)
		require.NoError(p.t, err)
		a.Packet.Version = packet.Version
		require.NoError(p.t, a.Packet.Check())
		return "> " + p.describe(a.Packet)
	case RequestEnded:
		if a.Err != nil {
			require.True(p.t, errors.Is(a.Err, ErrNotRun) != errors.Is(a.Err, ErrOutcomeUnknown))
			return fmt.Sprintf("ended %d: %v", a.CallID, a.Err)
		}
		return fmt.Sprintf("ended %d: status=%d body=%s", a.CallID, a.Answer.Status, runLengths(a.Answer.Body))
	case OpenFailed:
		require.ErrorIs(p.t, a.Err, ErrRefused)
		return fmt.Sprintf("failed: %v", a.Err)
	case FlowOpened:
		return fmt.Sprintf("opened flow %d", a.FlowID)
	case FlowForgotten:
		return fmt.Sprintf("forgotten flow %d", a.FlowID)
	}
	require.Fail(p.t, "unknown action", "%T", a)
	return ""
}

// runLengths formats a body as the lengths of its runs of equal bytes.
func runLengths(body []byte) string {
	var b strings.Builder
	for i := 0; i < len(body); {
		j := i
		for j < len(body) && body[j] == body[i] {
			j++
		}
		fmt.Fprintf(&b, "%d%c", j-i, body[i])
		i = j
	}
	return b.String()
}

func (p *player) describe(k packet.Packet) string {
	words := []string{k.Kind.String()}
	add := func(format string, args ...any) { words = append(words, fmt.Sprintf(format, args...)) }
	if t, err := token.Peek(k.Token); err == nil {
		add("token=%d/%s/%d", t.Flow, ownerName(t), t.Issued)
	}
	if k.Request != 0 {
		add("request=%d", k.Request)
	}
	if k.Count != 0 {
		add("part=%d/%d size=%d deadline=%d", k.Part, k.Count, len(k.Payload), k.Deadline)
	}
	if k.Once {
		add("once")
	}
	if k.Attempt != 0 {
		add("attempt=%d", k.Attempt)
	}
	if k.Class != 0 {
		add("class=%s", k.Class)
	}
	if k.Nonce != 0 {
		add("nonce=%s", p.nonceName(k))
	}
	if k.Kind == packet.KindGot {
		add("next=%d mask=%b", k.Next, k.Mask)
	}
	return strings.Join(words, " ")
}

func ownerName(t token.Token) string {
	if t.Incarnation == 0 {
		return string(rune(t.Owner))
	}
	return fmt.Sprintf("%c%d", rune(t.Owner), t.Incarnation)
}

// nonceName returns N1, N2 and so on for the nonces of Open, in order of appearance.
func (p *player) nonceName(k packet.Packet) string {
	if k.Kind != packet.KindOpen {
		return strconv.FormatUint(k.Nonce, 10)
	}
	for name, nonce := range p.nonces {
		if nonce == k.Nonce {
			return name
		}
	}
	name := fmt.Sprintf("N%d", len(p.nonces)+1)
	p.nonces[name] = k.Nonce
	return name
}
