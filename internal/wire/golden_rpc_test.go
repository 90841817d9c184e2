package wire

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/goldentest"
)

// clientHeard is what a client stub's connection is told.
type clientHeard struct {
	n       uint32
	outcome Outcome
	goAway  bool
	ended   string
}

// stubHeard is what a server's connection to a client stub is told.
type stubHeard struct {
	n         uint32
	ask       *Ask
	interrupt bool
	check     bool
	deep      bool
	fault     string
}

func readByStub(b []byte) (all []stubHeard) {
	l := hears()
	l.net.Tokens.Store(true)
	l.net.Passed.Store(true)
	s := l.Stub()
	s.OnOp = func(n uint32, a Ask) { all = append(all, stubHeard{n: n, ask: &a}) }
	s.OnInterrupt = func(n uint32) { all = append(all, stubHeard{n: n, interrupt: true}) }
	s.OnCheck = func(n uint32, deep bool) { all = append(all, stubHeard{n: n, check: true, deep: deep}) }
	s.OnFault = func(code string) { all = append(all, stubHeard{fault: code}) }
	s.read(b)
	return all
}

func readByClient(b []byte) (all []clientHeard) {
	c := &Client{Link: hears()}
	c.parse = c.message
	c.fault = func(code string) { all = append(all, clientHeard{ended: code}) }
	c.OnAnswer = func(n uint32, a Outcome) { all = append(all, clientHeard{n: n, outcome: a}) }
	c.OnGoAway = func() { all = append(all, clientHeard{goAway: true}) }
	c.read(b)
	return all
}

func goldenAsk() Ask {
	return Ask{ID: "0123456789abcdef", Class: "view", Tenant: "acme", Resource: "k1", SentUnixMilli: 1764576000123, Caller: 4,
		Timeout: 480 * time.Millisecond, HasTimeout: true, WorkHint: 12500 * time.Microsecond, MemoryKB: 24.5, Rank: 0.625,
		Token: "abc.def", Hops: 1, NewIDPerAttempt: true, Body: []byte{0xff, 0xc1}}
}

// goldenLongAsk has a text and a body past the short forms of their heads.
func goldenLongAsk() Ask {
	a := goldenAsk()
	a.Token, a.Body = strings.Repeat("t", 40), bytes.Repeat([]byte("b"), 300)
	return a
}

// goldenLeastAsk has nothing that may be left out.
func goldenLeastAsk() Ask {
	return Ask{ID: "0123456789abcdef", Class: "view", NewIDPerAttempt: true, Body: []byte{}}
}

// What a client stub says: our own client writes the stored bytes, and the server reads them as what was meant.
func TestGoldenFromClients(t *testing.T) {
	file := goldentest.Open(t, "testdata/rpc_from_client.golden")
	long, least, whole := goldenLongAsk(), goldenLeastAsk(), goldenAsk()
	written := func(write func(*Client)) []byte {
		c := &Client{Link: hears()}
		write(c)
		return c.out
	}
	for _, tc := range []struct {
		name  string
		write func(*Client) // nil: our client never says it
		want  stubHeard
	}{
		{"request", func(c *Client) { c.Ask(7, whole) }, stubHeard{n: 7, ask: &whole}},
		{"request-long", func(c *Client) { c.Ask(1<<32-1, long) }, stubHeard{n: 1<<32 - 1, ask: &long}},
		{"request-least", func(c *Client) { c.Ask(1, least) }, stubHeard{n: 1, ask: &least}},
		{"interrupt", func(c *Client) { c.Interrupt(7) }, stubHeard{n: 7, interrupt: true}},
		{"check", nil, stubHeard{n: 8, check: true}},
		{"check-deep", nil, stubHeard{n: 9, check: true, deep: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.write != nil {
				file.Check(tc.name, written(tc.write))
			}
			if got := readByStub(file.Bytes(tc.name)); !reflect.DeepEqual(got, []stubHeard{tc.want}) {
				t.Errorf("read as %+v, want %+v", got, tc.want)
			}
		})
	}
}

// What a server says to client stubs: it writes the stored bytes, and our own client reads them as what was meant.
func TestGoldenToClients(t *testing.T) {
	file := goldentest.Open(t, "testdata/rpc_to_client.golden")
	with := With{LoadReport: 0.25, RetryAfter: 1500 * time.Millisecond, NoFailover: true, Reason: "type"}
	bare := With{LoadReport: -1}
	none, short, long := []byte{}, []byte{0, 255}, bytes.Repeat([]byte("r"), 300)
	for _, tc := range []struct {
		name  string
		write func(*Stub)
		want  clientHeard
	}{
		{"result", func(s *Stub) { s.Answer(7, short, with) },
			clientHeard{n: 7, outcome: Outcome{With: with, Result: short}}},
		{"result-long", func(s *Stub) { s.Answer(1<<32-1, long, bare) },
			clientHeard{n: 1<<32 - 1, outcome: Outcome{With: bare, Result: long}}},
		{"busy", func(s *Stub) { s.Refuse(8, with) },
			clientHeard{n: 8, outcome: Outcome{Error: "Busy", With: with, Result: none}}},
		{"failed", func(s *Stub) { s.Failed(9, with) },
			clientHeard{n: 9, outcome: Outcome{Error: "Failed", With: with, Result: none}}},
		{"denied", func(s *Stub) { s.Denied(10, with) },
			clientHeard{n: 10, outcome: Outcome{Error: "Denied", With: with, Result: none}}},
		{"check-good", func(s *Stub) { s.Checked(11, true, with) },
			clientHeard{n: 11, outcome: Outcome{With: with, Result: none}}},
		{"check-bad", func(s *Stub) { s.Checked(12, false, bare) },
			clientHeard{n: 12, outcome: Outcome{With: bare, Result: none}}},
		{"goaway", func(s *Stub) { s.GoAway() }, clientHeard{goAway: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := hears()
			tc.write(l.Stub())
			file.Check(tc.name, l.out)
			if got := readByClient(file.Bytes(tc.name)); !reflect.DeepEqual(got, []clientHeard{tc.want}) {
				t.Errorf("read as %+v, want %+v", got, tc.want)
			}
		})
	}
}
