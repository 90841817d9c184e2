package logging

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"time"
)

// A few lines of each kind, then a count, and the next second anew.
func Example_tally() {
	var t Sampler[string]
	now := time.Unix(0, 0)
	var lines []bool
	for i := range 10 {
		lines = append(lines, t.Allow("a", now))
		if i < 2 {
			lines = append(lines, t.Allow("b", now))
		}
	}
	fmt.Println(lines)
	say := func(k string, more int) { fmt.Println(k, more) }
	t.FlushSuppressed(now.Add(time.Second), say)
	t.FlushSuppressed(now.Add(1001*time.Millisecond), say)
	fmt.Println(t.Allow("a", now.Add(2*time.Second)))
	// Output:
	// [true true true true true true false false false false false false]
	// a 6
	// true
}

// Both forms of a line have the same names.
func Example_forms() {
	defer slog.SetDefault(slog.Default())
	for _, format := range []string{"text", "json"} {
		var b bytes.Buffer
		setDefault(&b, format)
		slog.Info("end", "party", "stub", "code", "peer closed")
		_, line, _ := strings.Cut(b.String(), "level")
		fmt.Print(line)
	}
	// Output:
	// =INFO msg=end party=stub code="peer closed"
	// ":"INFO","msg":"end","party":"stub","code":"peer closed"}
}
