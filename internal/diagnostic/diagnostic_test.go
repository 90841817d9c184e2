package diagnostic

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func Example() {
	lines, duplicates := JSONLines([]byte("{\"a\":1,\n \"b\":[{\"c\":2},\n  {\"c\":3,\"c\":4}],\n\n \"d\":{}}"))
	fmt.Println(lines["a"], lines["b.0.c"], lines["b.1.c"], lines["d"], duplicates)
	lines, _ = JSONLines([]byte(strings.Repeat("[", 100)))
	fmt.Println(len(lines) < 50)
	fmt.Println(List{{File: "f", Line: 3, Name: "a.b", Value: strings.Repeat("x", 70), Want: "must be less"}, {}})
	fmt.Println(List(nil).Err())
	// Output:
	// 1 2 3 5 [b.1.c]
	// true
	// f:3: a.b: is "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"..., must be less (and 1 more)
	// <nil>
}

func TestDiagnosticError(t *testing.T) {
	for want, diagnostic := range map[string]Diagnostic{
		`f: can't be read`:                 {File: "f", Want: "can't be read"},
		`f:2: must be a section`:           {File: "f", Line: 2, Want: "must be a section"},
		`f:2: a: must be a number`:         {File: "f", Line: 2, Name: "a", Want: "must be a number"},
		`f: a: is "x\"", must be a number`: {File: "f", Name: "a", Value: `x"`, Want: "must be a number"},
	} {
		if got := diagnostic.Error(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// Err sorts a list by line and keeps the order of diagnostics on the same line.
func TestListErr(t *testing.T) {
	err := List{{Line: 3, Name: "c"}, {Line: 1, Name: "a"}, {Line: 1, Name: "b"}}.Err()
	var list List
	if !errors.As(fmt.Errorf("check: %w", err), &list) || len(list) != 3 {
		t.Fatalf("%v is not a List of 3 diagnostics", err)
	}
	for i, want := range []string{"a", "b", "c"} {
		if list[i].Name != want {
			t.Errorf("diagnostic %d is %s, want %s", i, list[i].Name, want)
		}
	}
}

// For a malformed text, JSONLines returns only the lines up to the error.
func TestJSONLinesMalformed(t *testing.T) {
	for text, want := range map[string]string{
		``:                          `map[]`,
		`{"a":1,` + "\n" + `"b" 2}`: `map[:1 a:1 b:2]`,
		`{"a":[1` + "\n" + `}`:      `map[:1 a:1 a.0:1]`,
		"\n\n7":                     `map[:3]`,
	} {
		lines, duplicates := JSONLines([]byte(text))
		if got := fmt.Sprint(lines); got != want || duplicates != nil {
			t.Errorf("%q: got %s with duplicates %v, want %s", text, got, duplicates, want)
		}
	}
}
