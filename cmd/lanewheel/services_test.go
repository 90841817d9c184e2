package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"lanewheel/internal/fake"
)

// Several services below by told addresses, one call at a time each: calls go to both; the third waits until one is over; one that is refused
// goes to the other service, as nothing of it was sent; and a call that is given up counts until its time below is over.
func Example_services() {
	// The program that has this linked stands beside.
	if out, err := exec.Command("go", "build", "-o", filepath.Join(tempDir, "lanewheel-fleet"), "../lanewheel-fleet").CombinedOutput(); err != nil {
		panic(string(out))
	}
	a, b := fake.NewDatabase(), fake.NewDatabase()
	defer a.Listener.Close()
	defer b.Listener.Close()
	operatorPath = filepath.Join(tempDir, "services.ini")
	defer func() { operatorPath = "" }()
	text := fmt.Sprintf("[upstream]\naddresses = %s, %s\nmax-concurrency = 1\ncall-timeout = 700ms\n", a.Addr(), b.Addr())
	if err := os.WriteFile(operatorPath, []byte(text), 0o600); err != nil {
		panic(err)
	}
	t := deployReady(`"dep-share":8,`, `"dep-share":800,`)
	defer t.close()
	s := t.client()
	ask := func(n int) {
		s.Send(fake.NewRequest(n, "pay", fake.RequestID(n), nil))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(n), "", fmt.Sprint("ask", n))
	}
	ask(1)
	ask(2)
	first, second := a.NextCall(), b.NextCall()
	fmt.Println(first.Text != second.Text)
	ask(3)
	fmt.Println(len(a.Calls), len(b.Calls))
	second.Reply("200 OK", "", "rows")
	fmt.Println(t.runtime.NextCommand()[:4])
	third := b.NextCall()
	fmt.Println(third.Text)
	third.Reply("200 OK", "", "rows")
	t.runtime.NextCommand()

	// The first one's time below runs out; nothing more goes there before that, and then it does.
	b.Listener.Close()
	ask(4)
	fmt.Println(len(a.Calls))
	fmt.Println(a.NextCall().Text)
	fmt.Println(len(t.database.Calls))
	// Output:
	// true
	// 0 0
	// give
	// POST /v1/exec for 3 timed true body "ask3"
	// 0
	// POST /v1/exec for 4 timed true body "ask4"
	// 0
}
