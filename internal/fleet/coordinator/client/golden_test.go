package client

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

var update = flag.Bool("update", false, "write the golden files anew; only where the spoken form is meant to change")

var (
	match  = coordination.Selector{Zone: "a", Release: "1", Role: "instance", Upstream: "db"}
	budget = coordination.DisruptionBudget{Name: "zone-a", Selector: match, MaxUnavailable: 2, MaxUnavailableFraction: 0.25, MinAvailableCapacity: 12.5}
	seen   = coordination.Observation{Name: "n1", Incarnation: 1_700_000_000_001, Zone: "a", Release: "1", Roles: membership.RoleServer,
		Upstream: "db", Capacity: 1.5, State: coordination.MemberLeaving}
	permit = coordination.Permit{ID: 42, Member: "n1", Incarnation: 1_700_000_000_001, RequestedBy: "operator", Purpose: "drain",
		Stage: coordination.PermitBegun, RequestedAt: 50 * time.Second, StageSince: 60 * time.Second,
		BeginTimeout: 30 * time.Second, Overtakes: 4, WaitReason: "halted", Outcome: "back"}
	reply = coordination.Reply{OK: true, Reason: "a reason", PermitID: 42, PermitIDs: []coordination.PermitID{42, 43}}
	plan  = coordination.RolloutPlan{Name: "r2", TargetRelease: "2", Selector: match, Waves: []coordination.Wave{{Count: 3, Fraction: 0.1, Zone: "b"}},
		Pause: 10 * time.Second, AnalysisRequired: true, RollbackWavesAtOnce: 2.5, MaxAttempts: 3}

	questions = []Request{
		{Command: &coordination.Command{Term: 7, LeaderTime: 1500 * time.Millisecond, IdempotencyKey: "0123456789abcdef", RequestedBy: "operator",
			Kind: coordination.KindStartRollout, Observations: []coordination.Observation{seen},
			Budgets: []coordination.DisruptionBudget{budget}, Member: "n1", Incarnation: 1_700_000_000_001, Selector: match, PermitID: 42,
			BeginTimeout: 30 * time.Second, Reason: "a reason", Plan: &plan,
			RolloutName: "r2", Wave: 1, Healthy: true}},
		{Status: true},
		{History: true},
		{Join: &JoinRequest{ID: "s1.0a1b2c3d", Addr: "127.0.0.1:7400"}},
		{RemoveCoordinator: "s1"},
	}
	answers = []Response{
		{Error: "no majority of stewards"},
		{Leader: "127.0.0.1:7401"},
		{Reply: &reply},
		{Status: &Status{
			ID: "s0.0a1b2c3d", Leader: "127.0.0.1:7400", IsLeader: true, Term: 7, AppliedIndex: 99,
			Coordinators: map[string]string{"s0.0a1b2c3d": "127.0.0.1:7400"}, FleetTime: "1m30s",
			Halt: &coordination.Halt{At: 85 * time.Second, By: "operator", Reason: "for the night"},
			// Of and Judged of a Release hide those of its Plan, which are not spoken.
			Rollout: &coordination.Rollout{RolloutPlan: coordination.RolloutPlan{Name: "r2", TargetRelease: "2", Waves: plan.Waves, Pause: plan.Pause,
				RollbackWavesAtOnce: 2.5, MaxAttempts: 3}, RequestedBy: "operator", Phase: coordination.RolloutAnalyzing,
				Wave: 1, PhaseSince: 75 * time.Second, WaveMembers: [][]coordination.Name{{"n1"}, {"n2"}}, WaitReason: "the verdict on wave 2",
				Analyzed: true, Reason: "slower"},
			Budgets:     []coordination.BudgetUsage{{Budget: budget, Members: 8, Unavailable: 1, UnavailableLimit: 2, AvailableCapacity: 10.5}},
			Permits:     []coordination.Permit{permit},
			Unavailable: []coordination.Member{{Observation: seen, StateSince: 70 * time.Second, PermitID: 42, PreviousRelease: "0", FailedAttempts: 1}},
			MemberCount: 9,
		}},
		{History: []coordination.HistoryEntry{{Sequence: 3, At: 50 * time.Second, RequestedBy: "operator", Kind: coordination.KindDrain, Summary: "zone=a",
			Reply: reply}}, EndedPermits: []coordination.Permit{permit}},
	}
)

// golden gives the lines of a file, after checking that the values are written as these lines and the lines read as
// the values.
func golden[T any](t *testing.T, name string, want []T) []string {
	t.Helper()
	path := filepath.Join("testdata", name)
	var b bytes.Buffer
	for _, x := range want {
		if err := json.NewEncoder(&b).Encode(x); err != nil {
			t.Fatal(err)
		}
	}
	if *update {
		if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(stored), "\n"), "\n")
	now := strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%s has %d lines, wanted %d", path, len(lines), len(want))
	}
	for i, line := range lines {
		if line != now[i] {
			t.Errorf("%s:%d: spoken as\n%s\nnow written as\n%s", path, i+1, line, now[i])
		}
		var got T
		d := json.NewDecoder(strings.NewReader(line))
		d.DisallowUnknownFields()
		if err := d.Decode(&got); err != nil {
			t.Fatalf("%s:%d: %v", path, i+1, err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%s:%d reads as\n%+v\nwanted\n%+v", path, i+1, got, want[i])
		}
	}
	return lines
}

// set gives the fields of a struct that are not zero.
func set(v any) (names []string) {
	x := reflect.ValueOf(v)
	for i := range x.NumField() {
		if !x.Field(i).IsZero() {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}

// Every question and every answer as it goes over a connection, a line each. Stewards and programs of two releases
// speak with each other.
func TestMessagesGolden(t *testing.T) {
	asked := golden(t, "questions.jsonl", questions)
	said := golden(t, "answers.jsonl", answers)
	// No field of theirs is without a line; the status is shown whole.
	covered := map[string]bool{}
	for _, q := range questions {
		for _, name := range set(q) {
			covered[name] = true
		}
	}
	if n := reflect.TypeFor[Request]().NumField(); len(covered) != n {
		t.Errorf("questions cover %v of %d fields", covered, n)
	}
	clear(covered)
	for _, a := range answers {
		for _, name := range set(a) {
			covered[name] = true
		}
	}
	if n := reflect.TypeFor[Response]().NumField(); len(covered) != n {
		t.Errorf("answers cover %v of %d fields", covered, n)
	}
	for _, x := range []any{*answers[3].Status, *questions[0].Command, *questions[3].Join, *answers[3].Status.Halt,
		answers[3].Status.Unavailable[0], permit, reply} {
		if n := reflect.TypeOf(x).NumField(); len(set(x)) != n {
			t.Errorf("%T has %d fields, shown are %v", x, n, set(x))
		}
	}

	// A client's own words, behind a proof by the documented steps, and what it takes from an answer.
	key := membership.Key("0123456789abcdef0123456789abcdef")
	for i, q := range questions {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		heard := make(chan string, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				heard <- err.Error()
				return
			}
			defer c.Close()
			kind, err := oldListener(c, key)
			if err != nil || kind != 'o' {
				heard <- fmt.Sprint(string(kind), err)
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			heard <- line
			_, _ = io.WriteString(c, said[2+i%3]+"\n") // the first two answers would have it ask elsewhere
		}()
		got, err := Client{Coordinators: []string{l.Addr().String()}, Keys: []membership.Key{key},
			Timeout: 5 * time.Second}.Do(q)
		if err != nil || !reflect.DeepEqual(got, answers[2+i%3]) {
			t.Errorf("question %d: answered %+v %v", i, got, err)
		}
		if line := <-heard; line != asked[i]+"\n" {
			t.Errorf("question %d: heard %q, wanted %q", i, line, asked[i])
		}
		l.Close()
	}
}

// oldListener proves the key as a steward does, written out: 16 bytes of each side's, the kind, and HMAC-SHA256 over
// a side's letter, the listener's bytes,
// the dialer's bytes and the kind.
func oldListener(c net.Conn, key []byte) (kind byte, err error) {
	own := []byte("listener's bytes")
	theirs := make([]byte, 16)
	if _, err := io.ReadFull(c, theirs); err != nil {
		return 0, err
	}
	if _, err := c.Write(own); err != nil {
		return 0, err
	}
	said := make([]byte, 33)
	if _, err := io.ReadFull(c, said); err != nil {
		return 0, err
	}
	if !hmac.Equal(said[1:], mac(key, "d"+string(own)+string(theirs)+string(said[:1]))) {
		return 0, fmt.Errorf("a proof by other steps")
	}
	_, err = c.Write(mac(key, "l"+string(own)+string(theirs)+string(said[:1])))
	return said[0], err
}

func mac(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// The proof of both sides, and the letters that it begins with.
func TestProofGolden(t *testing.T) {
	key := membership.Key("0123456789abcdef0123456789abcdef")
	const want = "d2b5fc6ec5591b99529923fc42469d4f235c0081d186a6f9249ec08b2bbd9c2f"
	if got := hex.EncodeToString(handshakeMAC(key, 'd', []byte("listener's bytesdialer's bytes..o"))); got != want {
		t.Errorf("%s, wanted %s", got, want)
	}
	if PeerConnection != 'r' || ClientConnection != 'o' {
		t.Error(PeerConnection, ClientConnection)
	}
	for _, kind := range []byte{PeerConnection, ClientConnection} {
		here, there := net.Pipe()
		done := make(chan error, 1)
		go func() {
			got, err := ServerHandshake(here, []membership.Key{membership.Key("another key of as many bytes...."), key})
			if err == nil && got != kind {
				err = fmt.Errorf("taken for %q", got)
			}
			done <- err
		}()
		own, theirs := []byte("dialer's bytes.."), make([]byte, 16)
		if _, err := there.Write(own); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(there, theirs); err != nil {
			t.Fatal(err)
		}
		both := string(theirs) + string(own) + string(kind)
		if _, err := there.Write(append([]byte{kind}, mac(key, "d"+both)...)); err != nil {
			t.Fatal(err)
		}
		back := make([]byte, 32)
		if _, err := io.ReadFull(there, back); err != nil || !hmac.Equal(back, mac(key, "l"+both)) {
			t.Error("a proof by other steps", err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		there.Close()
		here.Close()
	}
	if ErrNoQuorum.Error() != "no majority of stewards" { // a client decides by it
		t.Error(ErrNoQuorum)
	}
}
