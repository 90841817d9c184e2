package simulator

import (
	"bytes"
	"os"
	"regexp"
	"testing"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/goldentest"
)

// The complete output of a session whose input has every kind of line. The texts of print actions are for
// people and are not compared, so their wording may change.
func TestGoldenSession(t *testing.T) {
	in, err := os.ReadFile("testdata/session.in")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"boot", "order", "timeout-fired", "blocked", "ended", "call-done", "terminate-soon",
		"aborted", "power-off"} {
		if !bytes.Contains(in, []byte(`["`+name+`",3`)) {
			t.Errorf("the session has no line %s", name)
		}
	}
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	printed := regexp.MustCompile(`(?m)^(\["print",\d+,)".*"\]$`)
	goldentest.CheckText(t, "testdata/session.out", printed.ReplaceAll(out.Bytes(), []byte(`$1"TEXT"]`)))
}

// The output line of each action of an instance.
func TestGoldenActions(t *testing.T) {
	s := newSimulation()
	in := newInstance(s, 3)
	const id = admission.RequestID("addf482b5d3a91c4")
	in.Start(id, nil, nil)
	in.Coalesce(id, nil)
	in.Stop(id)
	in.Fail(id)
	in.Reject(id, 1500*time.Millisecond, true)
	in.Reject(id, 0, false)
	in.Call(id, 2500*time.Millisecond, nil)
	in.SkipCall(id)
	in.KeepRecord(id, 5*time.Second)
	in.DropRecord(id)
	in.SetHealth(admission.Health{Healthy: true})
	in.SetHealth(admission.Health{FromState: true})
	in.PublishLoad(0.25)
	in.SetIdleTimeout(30 * time.Second)
	in.LogTransition(admission.Transition{To: admission.StateDraining, Queued: 1, Running: 2})
	in.WakeAt(6*time.Second, nil)
	out := s.reply.finish()
	// The golden file does not contain the wording of the transition.
	transition := []byte(`["print",3,"well -\u003e leaving: held 1, running 2"]`)
	if bytes.Count(out, transition) != 1 {
		t.Errorf("the reply is %s, want one line %s in it", out, transition)
	}
	goldentest.CheckText(t, "testdata/actions.out", bytes.Replace(out, transition, []byte(`["print",3,"text"]`), 1))
}
