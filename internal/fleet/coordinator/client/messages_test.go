package client

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for intended changes of the protocol")

// checkGolden checks that the values are encoded as the lines of the golden file, and that the lines are decoded as the
// values. It returns the lines.
func checkGolden[T any](t *testing.T, name string, want []T) []string {
	t.Helper()
	path := filepath.Join("testdata", name)
	var written bytes.Buffer
	for _, value := range want {
		if err := json.NewEncoder(&written).Encode(value); err != nil {
			t.Fatal(err)
		}
	}
	if *update {
		if err := os.WriteFile(path, written.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(stored), "\n"), "\n")
	encoded := strings.Split(strings.TrimSuffix(written.String(), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%s has %d lines, want %d", path, len(lines), len(want))
	}
	for i, line := range lines {
		if line != encoded[i] {
			t.Errorf("%s:%d: the line is\n%s\nthe current code writes\n%s", path, i+1, line, encoded[i])
		}
		var got T
		decoder := json.NewDecoder(strings.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&got); err != nil {
			t.Fatalf("%s:%d: %v", path, i+1, err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%s:%d is decoded as\n%+v\nwant\n%+v", path, i+1, got, want[i])
		}
	}
	return lines
}

// setFields returns the names of the fields of a struct that are not zero.
func setFields(v any) (names []string) {
	value := reflect.ValueOf(v)
	for i := range value.NumField() {
		if !value.Field(i).IsZero() {
			names = append(names, value.Type().Field(i).Name)
		}
	}
	return names
}

// checkCovered checks that each field of a struct is set in at least one of the values.
func checkCovered[T any](t *testing.T, values []T) {
	t.Helper()
	covered := map[string]bool{}
	for _, value := range values {
		for _, name := range setFields(value) {
			covered[name] = true
		}
	}
	if count := reflect.TypeFor[T]().NumField(); len(covered) != count {
		t.Errorf("%T: the golden values cover %v of %d fields", *new(T), covered, count)
	}
}

// The golden files contain every request and every response as sent over a connection, one per line. The encoding must
// not change, because coordinators and programs of two versions communicate with each other. The test also checks the
// line that a client sends after the documented handshake, and the response that it decodes.
func TestMessagesGolden(t *testing.T) {
	requestLines := checkGolden(t, "questions.jsonl", goldenRequests)
	responseLines := checkGolden(t, "answers.jsonl", goldenResponses)
	checkCovered(t, goldenRequests)
	checkCovered(t, goldenResponses)
	for _, whole := range []any{
		goldenStatus, goldenCommand, *goldenRequests[3].Join, *goldenStatus.Halt, goldenStatus.Unavailable[0],
		goldenPermit, goldenReply,
	} {
		if count := reflect.TypeOf(whole).NumField(); len(setFields(whole)) != count {
			t.Errorf("%T has %d fields, set are %v", whole, count, setFields(whole))
		}
	}
	for i, request := range goldenRequests {
		answer := 2 + i%3 // the first two make the client retry or ask another coordinator
		server := newFakeCoordinator(t, func(string) string { return responseLines[answer] })
		got, err := server.client().Do(request)
		if err != nil || !reflect.DeepEqual(got, goldenResponses[answer]) {
			t.Errorf("request %d: got %+v, %v", i, got, err)
		}
		if line := <-server.requests; line != requestLines[i]+"\n" {
			t.Errorf("request %d: received %q, want %q", i, line, requestLines[i])
		}
	}
}

// A response carries ErrNoQuorum and other errors to the client.
func TestResponseErr(t *testing.T) {
	if ErrNoQuorum.Error() != "no majority of stewards" { // clients compare this text
		t.Error(ErrNoQuorum)
	}
	for _, test := range []struct{ sent, want error }{
		{ErrNoQuorum, ErrNoQuorum},
		{fmt.Errorf("%w: leadership lost", ErrNoQuorum), ErrNoQuorum},
		{errors.New("no coordinator \"s9\""), RemoteError("no coordinator \"s9\"")},
	} {
		var response Response
		response.SetErr(test.sent)
		if got := response.Err(); got != test.want { //nolint:errorlint // the exact value, not one that wraps it
			t.Errorf("%v is sent as %q and read as %v", test.sent, response.Error, got)
		}
	}
	if err := (Response{}).Err(); err != nil {
		t.Error(err)
	}
}
