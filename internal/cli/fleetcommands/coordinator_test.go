package fleetcommands

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/cli"
	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

func goldenRollout() *coordination.Rollout {
	// The plan's Selector and AnalysisRequired are not set: they are not stored, as the rollout has its own fields named
	// "Of" and "Judged" in the stored form, which shadow them.
	plan := coordination.RolloutPlan{
		Name:                "r2",
		TargetRelease:       "2",
		Waves:               []coordination.Wave{{Count: 2, Fraction: 0.1, Zone: "north"}},
		Pause:               3 * time.Second,
		RollbackWavesAtOnce: 2,
		MaxAttempts:         3,
	}
	return &coordination.Rollout{
		RolloutPlan: plan,
		RequestedBy: "ann",
		Phase:       coordination.RolloutUpdating,
		Wave:        1,
		PhaseSince:  9 * time.Second,
		Analyzed:    true,
		WaveMembers: [][]coordination.Name{{"p001", "p002"}},
		WaitReason:  "a permit",
		Reason:      "slower",
	}
}

// goldenStatus returns a coordinator's status with every field set.
func goldenStatus() client.Status {
	budget := coordination.DisruptionBudget{
		Name:                   "all",
		Selector:               coordination.Selector{Zone: "north", Release: "1", Role: "instance", Upstream: "db"},
		MaxUnavailable:         3,
		MaxUnavailableFraction: 0.5,
		MinAvailableCapacity:   6,
	}
	return client.Status{
		ID:           "s1",
		Leader:       "s2",
		IsLeader:     true,
		Term:         3,
		AppliedIndex: 44,
		Coordinators: map[string]string{"s1": "127.0.0.1:7960"},
		FleetTime:    "1m0s",
		Halt:         &coordination.Halt{At: time.Second, By: "bob", Reason: "noise"},
		Rollout:      goldenRollout(),
		Budgets: []coordination.BudgetUsage{{
			Budget: budget, Members: 12, Unavailable: 1, UnavailableLimit: 3, AvailableCapacity: 22}},
		Permits: []coordination.Permit{{
			ID:             7,
			Member:         "p001",
			Incarnation:    12,
			RequestedBy:    "ann",
			Purpose:        "drain",
			Stage:          coordination.PermitGranted,
			RequestedAt:    time.Second,
			StageSince:     2 * time.Second,
			BeginTimeout:   30 * time.Second,
			TimesOvertaken: 4,
			WaitReason:     "budget all",
			Outcome:        "dropped",
		}},
		Unavailable: []coordination.Member{{
			Observation: coordination.Observation{
				Name:        "p001",
				Incarnation: 12,
				Zone:        "north",
				Release:     "1",
				Roles:       membership.RoleServer,
				Upstream:    "db",
				Capacity:    2,
				State:       coordination.MemberGone,
			},
			StateSince:      5 * time.Second,
			PermitID:        7,
			PreviousRelease: "0",
			FailedAttempts:  1,
		}},
		MemberCount: 15,
	}
}

func goldenHistory() []coordination.HistoryEntry {
	return []coordination.HistoryEntry{{
		Sequence:    9,
		At:          61500 * time.Millisecond,
		RequestedBy: "ann",
		Kind:        coordination.KindStartRollout,
		Summary:     "r2 to 2",
		Reply: coordination.Reply{
			OK: true, Reason: "begun", PermitID: 8, PermitIDs: []coordination.PermitID{8, 9}},
	}}
}

// newFakeCoordinator starts a coordinator that answers each request with the same bytes, and writes an operator's file
// that names its address. It sends the received requests to the returned channel.
func newFakeCoordinator(t *testing.T, answer []byte) (file string, requests chan string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	keys := []membership.Key{membership.Key(bytes.Repeat([]byte("k"), 32))}
	requests = make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			kind, err := client.ServerHandshake(conn, keys)
			if err == nil && kind == client.ClientConnection {
				line, _ := bufio.NewReader(conn).ReadString('\n') // the test compares the received line
				requests <- line
				_, _ = conn.Write(answer)
			}
			_ = conn.Close()
		}
	}()
	folder := t.TempDir()
	file = filepath.Join(folder, "operator.ini")
	writeFile(t, file, fmt.Sprintf("[fleet]\nname = s1\nlisten = 127.0.0.1:7946\nkey-file = keys\n"+
		"[coordinator]\nlisten = 127.0.0.1:7960\ndata-dir = log\ncoordinators = %s\n", listener.Addr()))
	writeFile(t, filepath.Join(folder, "keys"), "a2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s=\n")
	return file, requests
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenResponses checks that a coordinator's responses are decoded as before, and that the JSON output of both
// commands and the text output of the status are unchanged.
func TestGoldenResponses(t *testing.T) {
	status := goldenStatus()
	for name, want := range map[string]client.Response{
		"status":  {Status: &status},
		"history": {History: goldenHistory()},
	} {
		t.Run(name, func(t *testing.T) {
			text, err := json.Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			compareGolden(t, name+"-answer.json", append(text, '\n'))
			answer := readGolden(t, name+"-answer.json")
			var got client.Response
			if err := json.Unmarshal(answer, &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("the decoded response differs from the golden one: %+v", got)
			}
			file, requests := newFakeCoordinator(t, answer)
			arguments := cli.CoordinatorCommand{File: file, Action: cli.CoordinatorAction(name), JSON: true}
			var out bytes.Buffer
			if err := runCoordinatorCommand(arguments, &out); err != nil {
				t.Fatal(err)
			}
			<-requests
			compareGolden(t, name+"-printed.json", out.Bytes())
			if name == "history" {
				return
			}
			out.Reset()
			arguments.JSON = false
			if err := runCoordinatorCommand(arguments, &out); err != nil {
				t.Fatal(err)
			}
			compareGolden(t, name+"-printed.txt", out.Bytes())
		})
	}
}

const (
	goldenBudgetsFile = `[budget all]
role = instance
zone = north
release = 1
upstream = db
max-unavailable = 3
[budget share]
max-unavailable-fraction = 0.5
min-capacity = 6
`
	goldenPlanFile = `[release]
name = r2
target-release = 2
of-zone = north
of-release = 1
of-role = proxy
waves = 1, 25%, zone north
pause = 2s
analyzed = yes
rollback-speedup = 3
max-tries = 4
`
)

// TestGoldenRequests checks the request that each command sends to the coordinators. The idempotency key is random, so
// a placeholder replaces it.
func TestGoldenRequests(t *testing.T) {
	folder := t.TempDir()
	budgets, plan := filepath.Join(folder, "budgets.ini"), filepath.Join(folder, "plan.ini")
	writeFile(t, budgets, goldenBudgetsFile)
	writeFile(t, plan, goldenPlanFile)
	file, requests := newFakeCoordinator(t, []byte(`{"Reply":{"OK":true,"Why":"","Number":7}}`+"\n"))
	key := regexp.MustCompile(`"Key":"[0-9a-f]{16}"`)
	var printed strings.Builder
	for _, arguments := range []cli.CoordinatorCommand{
		{Action: "drain", Name: "p001"},
		{Action: "drain", Zone: "north"},
		{Action: "drain", Upstream: "db"},
		{Action: "undrain", Name: "p001"},
		{Action: "undrain", Zone: "north"},
		{Action: "forget", Name: "p001"},
		{Action: "halt", Reason: "noise"},
		{Action: "resume"},
		{Action: "back", Reason: "slower"},
		{Action: "budgets", Path: budgets},
		{Action: "release", Path: plan},
		{Action: "leave", Name: "s2"},
	} {
		arguments.File = file
		arguments.RequestedBy = "ann"
		var out bytes.Buffer
		if err := runCoordinatorCommand(arguments, &out); err != nil {
			t.Fatal(err)
		}
		request := key.ReplaceAllString(<-requests, `"Key":"16 hex digits"`)
		fmt.Fprintf(&printed, "%s: %s%s", arguments.Action, request, out.String())
	}
	compareGolden(t, "questions.txt", []byte(printed.String()))
}

// TestCommandErrors checks that a rejected command, an error of the coordinator and a command that can't be built
// return an error and print nothing.
func TestCommandErrors(t *testing.T) {
	var out bytes.Buffer
	for answer, want := range map[string]string{
		`{"Reply":{"OK":false,"Why":"nothing is halted"}}`: "nothing is halted",
		`{"Error":"the log is full"}`:                      "the log is full",
	} {
		file, _ := newFakeCoordinator(t, []byte(answer+"\n"))
		err := runCoordinatorCommand(cli.CoordinatorCommand{File: file, Action: "resume"}, &out)
		var remote client.RemoteError
		if !errors.As(err, &remote) || err.Error() != want {
			t.Errorf("%s: %v", answer, err)
		}
	}
	file, requests := newFakeCoordinator(t, nil)
	err := runCoordinatorCommand(cli.CoordinatorCommand{File: file, Action: "drain"}, &out)
	if !errors.Is(err, errNoDrainTarget) {
		t.Error(err)
	}
	missing := filepath.Join(t.TempDir(), "missing.ini")
	err = runCoordinatorCommand(cli.CoordinatorCommand{File: file, Action: "budgets", Path: missing}, &out)
	if !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	if len(requests) > 0 || out.Len() > 0 {
		t.Errorf("%d requests, printed %q", len(requests), out.String())
	}
}

// TestProgressOf checks the progress of a permit as printed while waiting for a drain.
func TestProgressOf(t *testing.T) {
	gone := &client.Status{Unavailable: []coordination.Member{
		{Observation: coordination.Observation{Name: "p001", State: coordination.MemberGone}},
		{Observation: coordination.Observation{Name: "p002", State: coordination.MemberLeaving}},
	}}
	for _, test := range []struct {
		permit coordination.Permit
		want   permitProgress
	}{
		{coordination.Permit{Member: "p003", Stage: coordination.PermitQueued}, permitProgress{text: "queued"}},
		{
			coordination.Permit{Member: "p003", Stage: coordination.PermitQueued, WaitReason: "halted"},
			permitProgress{text: "queued: halted"},
		},
		{coordination.Permit{Member: "p003", Stage: coordination.PermitGranted}, permitProgress{text: "granted"}},
		{coordination.Permit{Member: "p002", Stage: coordination.PermitBegun}, permitProgress{text: "begun"}},
		{coordination.Permit{Member: "p001", Stage: coordination.PermitGranted}, permitProgress{text: "out"}},
		{
			coordination.Permit{Member: "p001", Stage: coordination.PermitBegun},
			permitProgress{text: "out", isOut: true},
		},
	} {
		if got := progressOf(test.permit, gone); got != test.want {
			t.Errorf("%+v: %+v, want %+v", test.permit, got, test.want)
		}
	}
}
