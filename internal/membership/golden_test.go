package membership

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"lanewheel/internal/goldentest"
)

// goldenFile holds the names and numbers that processes of different versions share, in messages, on status sockets and
// in operators' files.
const goldenFile = "shared.json"

// sharedValues holds all names of each enumeration in the order of their values, and the encoded form of an identity.
type sharedValues struct {
	Roles       map[string]uint8 `json:"roles"`
	States      []string         `json:"states"`
	LocalHealth []string         `json:"standing"`
	Reasons     []string         `json:"reasons"`
	ID          string           `json:"id"`
	Fingerprint uint64           `json:"mark"`   // of the identity
	Digest      uint64           `json:"digest"` // of a view with two members
}

func currentSharedValues() sharedValues {
	values := sharedValues{Roles: map[string]uint8{}}
	for _, role := range []Roles{RoleServer, RoleProxy, RoleCoordinator, RoleUpstream} {
		values.Roles[role.String()] = uint8(role)
	}
	for _, state := range []State{StateJoining, StateWarming, StateUp, StateSuspect, StateLeaving, StateGone,
		StateFenced} {
		values.States = append(values.States, state.String())
	}
	for _, health := range []LocalHealth{LocalLearning, LocalHealthy, LocalDegraded, LocalIsolated, LocalUnanswered,
		LocalResumed, LocalFenced} {
		values.LocalHealth = append(values.LocalHealth, health.String())
	}
	for _, reason := range []Reason{ReasonDiscovered, ReasonReady, ReasonWarmedUp, ReasonUnreachable, ReasonSilent,
		ReasonFlapping, ReasonRecovered, ReasonDraining, ReasonLeft, ReasonTimedOut, ReasonSuperseded} {
		values.Reasons = append(values.Reasons, reason.String())
	}
	id := ID{Name: "blue", BootID: 0x0123456789abcdef}
	values.ID, values.Fingerprint = id.String(), Fingerprint(id)
	table := NewTable(Descriptor{Name: "self", BootID: 1}, DefaultConfig(), 0)
	table.HandleAlive(Descriptor{Name: "blue", BootID: id.BootID}, 0)
	table.HandleAlive(Descriptor{Name: "green", BootID: 2}, 0)
	values.Digest = table.View().Digest()
	return values
}

// The values that other processes and operators' files depend on must not change between versions.
func TestGoldenShared(t *testing.T) {
	current := currentSharedValues()
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
		States:      []string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"},
		LocalHealth: []string{"young", "sound", "thin", "cut-off", "unheard", "woken", "fenced"},
		Reasons: []string{"claimed", "ready", "warmed", "unreached", "mute", "flapping", "returned",
			"said", "left", "given-up", "superseded"},
		ID: "blue@0123456789abcdef", Fingerprint: 10703471849183513418, Digest: 9472487049747876169}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("stored values are\n%+v\nwant\n%+v", decoded, want)
	}
	if id, ok := ParseID(decoded.ID); !ok || id != (ID{Name: "blue", BootID: 0x0123456789abcdef}) {
		t.Errorf("%q is parsed as %v, ok %v", decoded.ID, id, ok)
	}
	if roles, unknown := ParseRoles([]string{"instance", "relay", "steward",
		"below"}); unknown != "" || roles != 15 || roles.String() != "instance+relay+steward+below" {
		t.Errorf("the roles are parsed as %v (%d), unknown role %q", roles, roles, unknown)
	}
}
