package server

import (
	"testing"

	"lanewheel/admission"
	"lanewheel/internal/database"
	"lanewheel/internal/runtimelink"
)

func TestRunOutcome(t *testing.T) {
	for status, want := range map[runtimelink.Status]admission.Outcome{
		"success": admission.Succeeded, "failure": admission.Failed, "interrupted": admission.Stopped,
		"nothing": admission.NotStarted, "": admission.Failed, "other": admission.Failed,
	} {
		if got := runOutcome(status); got != want {
			t.Errorf("runOutcome(%q) = %v, want %v", status, got, want)
		}
	}
}

func TestReplyOutcome(t *testing.T) {
	for reply, want := range map[*database.Reply]admission.Outcome{
		{Status: 200}:                     admission.Succeeded,
		{Status: 503, NeverStarted: true}: admission.Rejected,
		{Status: 504, NeverStarted: true}: admission.Rejected,
		{Status: 504}:                     admission.TimedOut,
		{Status: 503}:                     admission.Failed,
		{Status: 500}:                     admission.Failed,
	} {
		if got := replyOutcome(reply); got != want {
			t.Errorf("replyOutcome(%+v) = %v, want %v", *reply, got, want)
		}
	}
}

// A call that was interrupted before it was sent cannot have been executed.
func TestInterruptedOutcome(t *testing.T) {
	if got := (&databaseCall{}).interruptedOutcome(admission.TimedOut); got != admission.Unreachable {
		t.Error("outcome of a call that was not sent:", got)
	}
	if got := (&databaseCall{sent: true}).interruptedOutcome(admission.TimedOut); got != admission.TimedOut {
		t.Error("outcome of a call that was sent:", got)
	}
}
