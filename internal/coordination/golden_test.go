package coordination

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for an intended change of the stored form")

// checkGolden checks that a value encodes to the contents of the golden file and that the file decodes to the value.
func checkGolden[T any](t *testing.T, name string, want T) {
	t.Helper()
	path := filepath.Join("testdata", name)
	text, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	if *update {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, stored) {
		t.Errorf("%s contains\n%s\nbut the value encodes to\n%s", path, stored, text)
	}
	var got T
	decoder := json.NewDecoder(bytes.NewReader(stored))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s decodes to\n%+v\nwant\n%+v", path, got, want)
	}
}

// zeroFields returns the paths of all fields that are zero, including empty slices and maps.
func zeroFields(v reflect.Value, path string) (paths []string) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return []string{path}
		}
		return zeroFields(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			paths = append(paths, zeroFields(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
		return paths
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		if v.Kind() == reflect.Slice {
			return zeroFields(v.Index(0), path+"[]")
		}
		entries := v.MapRange()
		entries.Next()
		return append(zeroFields(entries.Key(), path+".key"), zeroFields(entries.Value(), path+"[]")...)
	}
	if v.IsZero() {
		return []string{path}
	}
	return nil
}

// checkNoZeroFields checks that a golden value sets every field, so that the golden file covers every stored name.
func checkNoZeroFields(t *testing.T, v any) {
	t.Helper()
	if got := zeroFields(reflect.ValueOf(v), ""); len(got) > 0 {
		t.Errorf("fields that are zero in the golden value: %q", got)
	}
}

var (
	fullSelector = Selector{Zone: "a", Release: "1", Role: "instance", Upstream: "db"}
	fullBudget   = DisruptionBudget{
		Name:                   "zone-a",
		Selector:               fullSelector,
		MaxUnavailable:         2,
		MaxUnavailableFraction: 0.25,
		MinAvailableCapacity:   12.5,
	}
	fullObservation = Observation{
		Name:        "n1",
		Incarnation: 1_700_000_000_001,
		Zone:        "a",
		Release:     "1",
		Roles:       membership.RoleServer | membership.RoleUpstream,
		Upstream:    "db",
		Capacity:    1.5,
		State:       MemberLeaving,
	}
	fullPlan = RolloutPlan{
		Name:                "r2",
		TargetRelease:       "2",
		Selector:            fullSelector,
		Waves:               []Wave{{Count: 3, Fraction: 0.1, Zone: "b"}},
		Pause:               10 * time.Second,
		AnalysisRequired:    true,
		RollbackWavesAtOnce: 2.5,
		MaxAttempts:         3,
	}
	fullPermit = Permit{
		ID:             42,
		Member:         "n1",
		Incarnation:    1_700_000_000_001,
		RequestedBy:    "operator",
		Purpose:        "drain",
		Stage:          PermitBegun,
		RequestedAt:    50 * time.Second,
		StageSince:     60 * time.Second,
		BeginTimeout:   30 * time.Second,
		TimesOvertaken: 4,
		WaitReason:     "budget zone-a: 2 of 8 out, 2 may be",
		Outcome:        "back",
	}
	fullEndedPermit = Permit{
		ID:             41,
		Member:         "n0",
		Incarnation:    1_700_000_000_000,
		RequestedBy:    "r1",
		Purpose:        "release",
		Stage:          PermitEnded,
		RequestedAt:    10 * time.Second,
		StageSince:     40 * time.Second,
		BeginTimeout:   30 * time.Second,
		TimesOvertaken: 1,
		WaitReason:     "halted",
		Outcome:        "back",
	}
)

// Commands are stored in the log as JSON. If the stored name of a field changes, the field is lost from every log that
// was written before.
func TestCommandGolden(t *testing.T) {
	command := Command{
		Term:           7,
		LeaderTime:     1500 * time.Millisecond,
		IdempotencyKey: "0123456789abcdef",
		RequestedBy:    "operator",
		Kind:           KindStartRollout,
		Observations:   []Observation{fullObservation},
		Budgets:        []DisruptionBudget{fullBudget},
		Member:         "n1",
		Incarnation:    1_700_000_000_001,
		Selector:       fullSelector,
		PermitID:       42,
		BeginTimeout:   30 * time.Second,
		Reason:         "a reason",
		Plan:           &fullPlan,
		RolloutName:    "r2",
		Wave:           1,
		Healthy:        true,
	}
	checkNoZeroFields(t, command)
	checkGolden(t, "command.json", command)
	checkGolden(t, "command-empty.json", Command{})
}

// goldenState returns a state in which only the two fields of the rollout's plan that are not stored are zero.
func goldenState() State {
	storedPlan := fullPlan
	// The fields of Rollout stored as "Of" and "Judged" hide these two fields of the plan. Rollout documents this fault.
	storedPlan.Selector = Selector{}
	storedPlan.AnalysisRequired = false
	reply := Reply{OK: true, Reason: "a reason", PermitID: 42, PermitIDs: []PermitID{42, 43}}
	keptReply := reply
	keptReply.Reason = "it has one: queued"
	return State{
		Config: Config{
			MaxHistory:         1000,
			MaxIdempotencyKeys: 4096,
			MaxMembers:         10_000,
			MaxQueuedPermits:   9000,
			MaxOvertakes:       50,
			StalledAfter:       time.Minute,
		},
		Now:            90 * time.Second,
		Term:           7,
		LastLeaderTime: 80 * time.Second,
		Members: map[Name]*Member{"n1": {
			Observation:     fullObservation,
			StateSince:      70 * time.Second,
			PermitID:        42,
			PreviousRelease: "0",
			FailedAttempts:  1,
		}},
		Budgets:      []DisruptionBudget{fullBudget},
		Permits:      map[PermitID]*Permit{42: &fullPermit},
		PermitQueue:  []PermitID{43, 44},
		LastPermitID: 44,
		Halt:         &Halt{At: 85 * time.Second, By: "operator", Reason: "for the night"},
		Rollout: &Rollout{
			RolloutPlan: storedPlan,
			RequestedBy: "operator",
			Phase:       RolloutAnalyzing,
			Wave:        1,
			PhaseSince:  75 * time.Second,
			WaveMembers: [][]Name{{"n1"}, {"n2", "n3"}},
			WaitReason:  "the verdict on wave 2",
			Analyzed:    true,
			Reason:      "slower",
		},
		Replies:    map[string]Reply{"0123456789abcdef": keptReply},
		ReplyOrder: []string{"0123456789abcdef"},
		History: []HistoryEntry{{
			Sequence:    3,
			At:          50 * time.Second,
			RequestedBy: "operator",
			Kind:        KindDrain,
			Summary:     "zone=a",
			Reply:       reply,
		}},
		Sequence:     3,
		EndedPermits: []Permit{fullEndedPermit},
	}
}

// A snapshot contains the whole state as JSON.
func TestStateGolden(t *testing.T) {
	state := goldenState()
	complete := state
	rollout := *state.Rollout
	rollout.RolloutPlan = fullPlan
	complete.Rollout = &rollout
	checkNoZeroFields(t, complete)
	checkGolden(t, "state.json", state)
	checkGolden(t, "state-empty.json", *NewState(DefaultConfig()))
}

// The status shows the usage of a budget as JSON.
func TestUsageGolden(t *testing.T) {
	usage := BudgetUsage{
		Budget:            fullBudget,
		Members:           8,
		Unavailable:       1,
		UnavailableLimit:  2,
		AvailableCapacity: 10.5,
	}
	checkNoZeroFields(t, usage)
	checkGolden(t, "use.json", usage)
}

// The stored values of enumerations, roles, incarnations and permit IDs must not change.
func TestStoredValues(t *testing.T) {
	for _, stored := range []struct {
		value any
		want  string
	}{
		{
			[]MemberState{MemberUp, MemberWarmingUp, MemberJoining, MemberSuspect, MemberLeaving, MemberGone},
			`["","cold","joining","suspect","leaving","gone"]`,
		},
		{
			[]PermitStage{PermitQueued, PermitGranted, PermitBegun, PermitEnded},
			`["queued","granted","begun","ended"]`,
		},
		{
			[]PermitPurpose{PurposeDrain, PurposeRollout, PurposeRollback},
			`["drain","release","back"]`,
		},
		{
			[]RolloutPhase{
				RolloutUpdating, RolloutAnalyzing, RolloutRollingBack, RolloutCompleted, RolloutRolledBack},
			`["going","judging","going back","done","back"]`,
		},
		{
			[]Kind{
				KindObserve, KindSetBudgets, KindRequestPermit, KindBeginPermit, KindCancelPermit,
				KindForgetMember, KindHalt, KindResume, KindStartRollout, KindRollBack, KindCanaryVerdict,
				KindTick, KindDrain, KindCancelDrain},
			`["see","budgets","ask","begin","drop","forget","halt","resume","release","back","verdict","tick",` +
				`"drain","undrain"]`,
		},
		{
			map[string]membership.Roles{
				"instance": membership.RoleServer,
				"relay":    membership.RoleProxy,
				"steward":  membership.RoleCoordinator,
				"below":    membership.RoleUpstream,
			},
			`{"below":8,"instance":1,"relay":2,"steward":4}`,
		},
		{membership.Incarnation(1_700_000_000_001), `1700000000001`},
		{map[PermitID]Name{42: "n1"}, `{"42":"n1"}`},
	} {
		text, err := json.Marshal(stored.value)
		if err != nil || string(text) != stored.want {
			t.Errorf("encodes to %s, want %s (%v)", text, stored.want, err)
		}
	}
}

// The purpose determines how a permit is handled and is stored as text. The purposes that rollouts use, and the
// defaults of a request that sets no purpose and no timeout, must not change.
func TestStoredPurpose(t *testing.T) {
	if got := (&Rollout{Phase: RolloutUpdating}).permitPurpose(); got != "release" {
		t.Error(got)
	}
	if got := (&Rollout{Phase: RolloutRollingBack}).permitPurpose(); got != "back" {
		t.Error(got)
	}
	f := newFleet(1, []string{"a"}, oneAtATime)
	f.request("n0")
	if got := fmt.Sprint(f.Permits[1].Purpose, " ", f.Permits[1].BeginTimeout); got != "drain 30s" {
		t.Error(got)
	}
}
