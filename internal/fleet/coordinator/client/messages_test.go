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

var update = flag.Bool("update", false, "write the golden files anew; only where the spoken form is meant to change")

// golden returns the lines of a file, after checking that the values are written as these lines and the lines read as
// the values.
func golden[T any](t *testing.T, name string, want []T) []string {
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
	now := strings.Split(strings.TrimSuffix(written.String(), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%s has %d lines, want %d", path, len(lines), len(want))
	}
	for i, line := range lines {
		if line != now[i] {
			t.Errorf("%s:%d: spoken as\n%s\nnow written as\n%s", path, i+1, line, now[i])
		}
		var got T
		decoder := json.NewDecoder(strings.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&got); err != nil {
			t.Fatalf("%s:%d: %v", path, i+1, err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%s:%d reads as\n%+v\nwant\n%+v", path, i+1, got, want[i])
		}
	}
	return lines
}

// setFields names the fields of a struct that are not zero.
func setFields(v any) (names []string) {
	value := reflect.ValueOf(v)
	for i := range value.NumField() {
		if !value.Field(i).IsZero() {
			names = append(names, value.Type().Field(i).Name)
		}
	}
	return names
}

// checkCovered checks that each field of a struct is set in one of the values.
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

// Every request and every response as it goes over a connection, a line each: coordinators and programs of two
// versions speak with each other. What a client sends behind the documented handshake, and what it takes from an
// answer.
func TestMessagesGolden(t *testing.T) {
	requestLines := golden(t, "questions.jsonl", goldenRequests)
	responseLines := golden(t, "answers.jsonl", goldenResponses)
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
		answer := 2 + i%3 // the first two would have the client ask elsewhere
		server := newFakeCoordinator(t, func(string) string { return responseLines[answer] })
		got, err := server.client().Do(request)
		if err != nil || !reflect.DeepEqual(got, goldenResponses[answer]) {
			t.Errorf("request %d: response %+v %v", i, got, err)
		}
		if line := <-server.requests; line != requestLines[i]+"\n" {
			t.Errorf("request %d: received %q, want %q", i, line, requestLines[i])
		}
	}
}

// Errors over the wire and back.
func TestResponseErr(t *testing.T) {
	if ErrNoQuorum.Error() != "no majority of stewards" { // a client decides by it
		t.Error(ErrNoQuorum)
	}
	for _, test := range []struct{ sent, want error }{
		{ErrNoQuorum, ErrNoQuorum},
		{fmt.Errorf("%w: leadership lost", ErrNoQuorum), ErrNoQuorum},
		{errors.New("no coordinator \"s9\""), RemoteError("no coordinator \"s9\"")},
	} {
		var response Response
		response.SetErr(test.sent)
		if got := response.Err(); got != test.want { //nolint:errorlint // the very value, not one that wraps it
			t.Errorf("%v told as %q, read as %v", test.sent, response.Error, got)
		}
	}
	if err := (Response{}).Err(); err != nil {
		t.Error(err)
	}
}
