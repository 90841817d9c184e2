package authz

import "testing"

// The reasons that are spoken, in answers, logs and listings.
func TestGoldenReasons(t *testing.T) {
	for reason, want := range map[Denial]string{noIdentity: "no-identity", unmapped: "unmapped", wrongTenant: "tenant",
		wrongClass:    "type",
		noWriteAccess: "write", noReadAccess: "read"} {
		if string(reason) != want {
			t.Errorf("%q, want %q", reason, want)
		}
	}
}
