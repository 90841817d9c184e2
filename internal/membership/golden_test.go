package membership

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"lanewheel/internal/goldentest"
)

// goldenFile contains the names and numbers that must be the same in all versions: those in messages, on status
// sockets and in operators' files.
const goldenFile = "shared.json"

// sharedValues contains the names of all enumeration values, the text of an identity in messages, and digests.
type sharedValues struct {
	Roles    map[string]uint8 `json:"roles"`
	States   []string         `json:"states"`
	Standing []string         `json:"standing"`
	Reasons  []string         `json:"reasons"`
	ID       string           `json:"id"`
	Mark     uint64           `json:"mark"`   // fingerprint of the identity
	Digest   uint64           `json:"digest"` // digest of a view of two members
}

func currentShared() sharedValues {
	s := sharedValues{Roles: map[string]uint8{}}
	for _, r := range []Roles{RoleServer, RoleProxy, RoleCoordinator, RoleUpstream} {
		s.Roles[r.String()] = uint8(r)
	}
	for _, x := range []State{StateJoining, StateWarming, StateUp, StateSuspect, StateLeaving, StateGone, StateFenced} {
		s.States = append(s.States, x.String())
	}
	for _, x := range []LocalHealth{LocalLearning, LocalHealthy, LocalDegraded, LocalIsolated, LocalUnanswered,
		LocalResumed, LocalFenced} {
		s.Standing = append(s.Standing, x.String())
	}
	for _, x := range []Reason{ReasonDiscovered, ReasonReady, ReasonWarmedUp, ReasonUnreachable, ReasonSilent,
		ReasonFlapping, ReasonRecovered, ReasonDraining, ReasonLeft, ReasonTimedOut, ReasonSuperseded} {
		s.Reasons = append(s.Reasons, x.String())
	}
	id := ID{Name: "blue", BootID: 0x0123456789abcdef}
	s.ID, s.Mark = id.String(), Fingerprint(id)
	table := NewTable(Descriptor{Name: "self", BootID: 1}, DefaultConfig(), 0)
	table.HandleAlive(Descriptor{Name: "blue", BootID: id.BootID}, 0)
	table.HandleAlive(Descriptor{Name: "green", BootID: 2}, 0)
	s.Digest = table.View().Digest()
	return s
}

// The names and numbers that other processes and operators' files depend on are the same as in the previous version.
func TestGoldenShared(t *testing.T) {
	current := currentShared()
	text, err := json.MarshalIndent(current, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	path := filepath.Join("testdata", goldenFile)
	goldentest.CheckText(t, path, text)
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var decoded sharedValues
	if err := json.Unmarshal(stored, &decoded); err != nil {
		t.Fatal(err)
	}
	want := sharedValues{Roles: map[string]uint8{"instance": 1, "relay": 2, "steward": 4, "below": 8},
		States:   []string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"},
		Standing: []string{"young", "sound", "thin", "cut-off", "unheard", "woken", "fenced"},
		Reasons: []string{"claimed", "ready", "warmed", "unreached", "mute", "flapping", "returned",
			"said", "left", "given-up", "superseded"},
		ID: "blue@0123456789abcdef", Mark: 10703471849183513418, Digest: 9472487049747876169}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("stored values are\n%+v\nwant\n%+v", decoded, want)
	}
	if id, ok := ParseID(decoded.ID); !ok || id != (ID{Name: "blue", BootID: 0x0123456789abcdef}) {
		t.Errorf("ParseID(%q) returned %v, %v", decoded.ID, id, ok)
	}
	if r, unknown := ParseRoles([]string{"instance", "relay", "steward",
		"below"}); unknown != "" || r != 15 || r.String() != "instance+relay+steward+below" {
		t.Errorf("ParseRoles returned %v (%d), unknown %q", r, r, unknown)
	}
}
