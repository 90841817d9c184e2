package accord

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

	"lanewheel/internal/members"
)

var update = flag.Bool("update", false, "write the golden files anew; only where the stored form is meant to change")

// golden checks that a value is stored as the file has it, and that the file reads as the value.
func golden[T any](t *testing.T, name string, want T) {
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
		t.Errorf("%s: stored as\n%s\nnow written as\n%s", path, stored, text)
	}
	var got T
	d := json.NewDecoder(bytes.NewReader(stored))
	d.DisallowUnknownFields()
	if err := d.Decode(&got); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s reads as\n%+v\nwanted\n%+v", path, got, want)
	}
}

// zeros gives the paths of all fields that are zero, empty lists and maps among them.
func zeros(v reflect.Value, path string) (all []string) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return []string{path}
		}
		return zeros(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			all = append(all, zeros(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
		return all
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		if v.Kind() == reflect.Slice {
			return zeros(v.Index(0), path+"[]")
		}
		entries := v.MapRange()
		entries.Next()
		return append(zeros(entries.Key(), path+".key"), zeros(entries.Value(), path+"[]")...)
	}
	if v.IsZero() {
		return []string{path}
	}
	return nil
}

func nonZero(t *testing.T, v any) {
	t.Helper()
	if got := zeros(reflect.ValueOf(v), ""); len(got) > 0 {
		t.Errorf("fields that the golden value leaves at zero: %q", got)
	}
}

var (
	fullMatch  = Match{Zone: "a", Release: "1", Role: "instance", Below: "db"}
	fullBudget = Budget{Name: "zone-a", Of: fullMatch, Most: 2, Share: 0.25, Least: 12.5}
	fullSeen   = Seen{Name: "n1", Incarnation: 1_700_000_000_001, Zone: "a", Release: "1",
		Roles: members.RoleServer | members.RoleUpstream, Below: "db", Capacity: 1.5, Why: Leaving}
	fullPlan = Plan{Name: "r2", To: "2", Of: fullMatch, Waves: []Wave{{Count: 3, Share: 0.1, Zone: "b"}},
		Pause: 10 * time.Second, Judged: true, Faster: 2.5, Tries: 3}
)

// The log holds a command as JSON; a field whose stored name changes is lost to every log that was written before.
func TestCommandGolden(t *testing.T) {
	c := Command{
		Term: 7, At: 1500 * time.Millisecond, Key: "0123456789abcdef", By: "operator", Do: DoRelease,
		Seen: []Seen{fullSeen}, Budgets: []Budget{fullBudget}, Member: "n1", Of: 1_700_000_000_001, Group: fullMatch,
		Number: 42,
		Span:   30 * time.Second, Why: "a reason", Plan: &fullPlan, Release: "r2", Wave: 1, Good: true,
	}
	nonZero(t, c)
	golden(t, "command.json", c)
	golden(t, "command-empty.json", Command{})
}

// A snapshot holds the whole state as JSON.
func TestStateGolden(t *testing.T) {
	hidden := fullPlan
	// Danger: Of and Judged of a Release hide those of its Plan, which are not stored with a state. Here that stays
	// as it is.
	hidden.Of, hidden.Judged = Match{}, false
	s := State{
		Told: Told{History: 1000, Keys: 4096, Members: 10_000, Waiting: 9000, Passed: 50, Stuck: time.Minute},
		Now:  90 * time.Second, Term: 7, LastAt: 80 * time.Second,
		Members: map[Name]*Member{"n1": {Seen: fullSeen, Since: 70 * time.Second, Permit: 42, Before: "0", Tries: 1}},
		Budgets: []Budget{fullBudget},
		Permits: map[Number]*Permit{42: {Number: 42, Member: "n1", Of: 1_700_000_000_001, By: "operator",
			Why: "drain", Stage: Begun, Asked: 50 * time.Second,
			At: 60 * time.Second, Span: 30 * time.Second, Passed: 4, Waits: "budget zone-a: 2 of 8 out, 2 may be",
			Outcome: "back"}},
		Waiting: []Number{43, 44}, Last: 44,
		Halted: &Halt{At: 85 * time.Second, By: "operator", Why: "for the night"},
		Release: &Release{Plan: hidden, By: "operator", Phase: Judging, Wave: 1, Since: 75 * time.Second,
			Of:    [][]Name{{"n1"}, {"n2", "n3"}},
			Waits: "the verdict on wave 2", Judged: true, Why: "slower"},
		Keys: map[string]Reply{"0123456789abcdef": {OK: true, Why: "it has one: queued", Number: 42,
			Numbers: []Number{42, 43}}}, KeyRing: []string{"0123456789abcdef"},
		History: []Entry{{Nth: 3, Now: 50 * time.Second, By: "operator", Do: DoDrain, What: "zone=a",
			Reply: Reply{OK: true, Why: "a reason", Number: 42, Numbers: []Number{42, 43}}}},
		Nth: 3,
		Over: []Permit{{Number: 41, Member: "n0", Of: 1_700_000_000_000, By: "r1", Why: "release", Stage: Ended,
			Asked: 10 * time.Second, At: 40 * time.Second,
			Span: 30 * time.Second, Passed: 1, Waits: "halted", Outcome: "back"}},
	}
	filled, release := s, *s.Release
	release.Plan, filled.Release = fullPlan, &release
	nonZero(t, filled)
	golden(t, "state.json", s)
	golden(t, "state-empty.json", *New(Usual()))
}

// What is shown of a budget by a status.
func TestUseGolden(t *testing.T) {
	u := Use{Budget: fullBudget, Of: 8, Out: 1, Limit: 2, Up: 10.5}
	nonZero(t, u)
	golden(t, "use.json", u)
}

// The words and numbers by which commands, states and roles are stored.
func TestStoredValues(t *testing.T) {
	for _, x := range []struct {
		got  any
		want string
	}{
		{[]Reason{Up, Cold, Joining, Doubted, Leaving, Gone}, `["","cold","joining","suspect","leaving","gone"]`},
		{[]Stage{Queued, Granted, Begun, Ended}, `["queued","granted","begun","ended"]`},
		{[]Phase{Going, Judging, Backing, Done, Undone}, `["going","judging","going back","done","back"]`},
		{[]Do{DoSee, DoBudgets, DoAsk, DoBegin, DoDrop, DoForget, DoHalt, DoResume, DoRelease, DoBack, DoVerdict,
			DoTick, DoDrain, DoUndrain},
			`["see","budgets","ask","begin","drop","forget","halt","resume","release","back","verdict","tick","drain","undrain"]`},
		{map[string]members.Roles{"instance": members.RoleServer, "relay": members.RoleProxy, "steward": members.RoleCoordinator,
			"below": members.RoleUpstream},
			`{"below":8,"instance":1,"relay":2,"steward":4}`},
		{members.Incarnation(1_700_000_000_001), `1700000000001`},
		{map[Number]Name{42: "n1"}, `{"42":"n1"}`},
	} {
		b, err := json.Marshal(x.got)
		if err != nil || string(b) != x.want {
			t.Errorf("%s, wanted %s (%v)", b, x.want, err)
		}
	}
	// Why a permit was asked for decides what becomes of it, and is stored as a word.
	if r := (&Release{Phase: Going}); r.why() != "release" {
		t.Error(r.why())
	}
	if r := (&Release{Phase: Backing}); r.why() != "back" {
		t.Error(r.why())
	}
	f := open(1, []string{"a"}, one)
	f.do(Command{Do: DoAsk, Member: "n0"})
	if got := fmt.Sprint(f.Permits[1].Why, " ", f.Permits[1].Span); got != "drain 30s" {
		t.Error(got)
	}
}
