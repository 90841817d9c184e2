package rights

import "testing"

// The reasons that are spoken, in answers, logs and listings.
func TestGoldenReasons(t *testing.T) {
	for reason, want := range map[Reason]string{NoIdentity: "no-identity", Unmapped: "unmapped", WrongTenant: "tenant",
		WrongType: "type",
		NoWrites:  "write", NoReads: "read"} {
		if string(reason) != want {
			t.Errorf("%q, want %q", reason, want)
		}
	}
}
