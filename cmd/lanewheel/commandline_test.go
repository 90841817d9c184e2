package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"lanewheel/internal/fake"
)

// Example_startFails checks that a failed start logs one line with the cause and exits with a code other than 0.
//
//nolint:lll // a line of the output is long
func Example_startFails() {
	taken := fake.Must(listen("127.0.0.1:0"))
	defer func() { _ = taken.Close() }()
	good := fmt.Sprintf(`{"name":"n1","listen":%q,"runtime":"127.0.0.1:1","roster":"127.0.0.1:1","db":"127.0.0.1:1",`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":64},"settings":%s}`,
		taken.Addr(), strings.NewReplacer("IDLE", "1", "FRESH", "0").Replace(fake.Settings))
	for _, text := range []string{`{"name":`, `{}`, strings.Replace(good, `"cores":1`, `"cores":0`, 1),
		strings.Replace(good, `"cpus":2`, `"cpus":"two"`, 1), strings.Replace(good, `"settings"`, `"other"`, 1), good} {
		t := &deployment{log: &logBuffer{}, exited: make(chan struct{})}
		t.start(text)
		code, log := t.waitExit()
		log = strings.ReplaceAll(log, taken.Addr().String(), "ADDR")
		if _, after, found := strings.Cut(log, ".json:"); found {
			log = after
		}
		fmt.Println(code, strings.Count(log, "\n"), log)
	}
	// Output:
	// 1 0  cannot parse JSON: cannot parse object: cannot parse object value: cannot parse empty string; unparsed tail: \"\""
	// 1 0  name: must be a non-empty string" suppressed=6
	// 1 0 1: limits.cores: is \"0\", must be a number greater than 0"
	// 1 0 6: settings.domain.cpus: is \"two\", must not be of type string"
	// 1 0  settings: must be an object"
	// 1 0 msg="start failed" err="listen tcp ADDR: bind: address already in use"
}

// runCommand runs the program with arguments and returns its exit code, a space and all its output.
func runCommand(args ...string) string {
	cmd := exec.CommandContext(context.Background(), binaryPath, args...)
	cmd.Env = []string{"TMPDIR=" + tempDir}
	out, _ := cmd.CombinedOutput()
	return fmt.Sprintf("%d %s", cmd.ProcessState.ExitCode(), strings.ReplaceAll(string(out), tempDir+"/", ""))
}

// Example_commandLine checks the help of the program and of its sub-commands, and the diagnostics of the check
// command with the line of each fault. An unknown sub-command exits with 2, a file with faults with 1.
//
//nolint:lll // a line of the output is long
func Example_commandLine() {
	for _, args := range [][]string{{"--help"}, {"check", "--help"}, {"try", "--help"}} {
		text := runCommand(args...)
		fmt.Println(args, text[:2], strings.Contains(text, "Usage: lanewheel"))
	}
	fmt.Println(runCommand("chekc")[:1])
	write := func(name, text string) string {
		path := filepath.Join(tempDir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			panic(err)
		}
		return path
	}
	fmt.Print(runCommand("check", write("good.ini", "; a comment\n[log]\nformat = json\n")))
	fmt.Print(runCommand("check", write("bad.ini", "[log]\nformat = xml\nformt = text\n\n[lgo]\n[log]\n")))
	fmt.Print(runCommand("check", write("bad.json", `{"name":"n1",
"listen":"127.0.0.1:1","runtime":"r","db":"d","roster":7,
"limits":{"cores":-1,
"memory_mb":3},"settings":{"classes":[{"name":"view"},
{"credit":"x"}]}}`)))
	// Output:
	// [--help] 0  true
	// [check --help] 0  true
	// [try --help] 0  true
	// 2
	// 0 good.ini: good
	// 1 bad.ini:2: log.format: is "xml", must be one of json, text
	// bad.ini:3: log.formt: is not a setting of this section; must be one of format
	// bad.ini:5: lgo: is not a known section; must be one of allocator, amqp, caller NAME, callers, coordinator, fleet, log, proxy, queue NAME, role NAME, spillover, tls, tokens, upstream
	// bad.ini:6: log: must appear only once, but already appears on line 1
	// 1 bad.json:2: roster: is "7", must be a string
	// bad.json:3: limits.cores: is "-1", must be a number greater than 0
	// bad.json:3: limits.sockets: must be a whole number of 32 or more, in digits only
	// bad.json:4: settings.domain.cpus: must be a number of 1 or more
	// bad.json:5: settings.classes.1.credit: is "x", must not be of type string
}

// Example_try checks that the try command starts an instance, sends requests and prints a table that accounts for
// each request that it sent.
func Example_try() {
	text := runCommand("try", "--duration", "1s", "--rate", "100", "--mean-run-time", "1ms")
	lines := strings.Split(strings.TrimSpace(text), "\n")
	fmt.Println(text[:2], strings.Contains(text, "an instance serves at 127.0.0.1:"))
	for _, line := range lines {
		if f := strings.Fields(line); len(f) == 9 && f[0] != "op" {
			n := map[string]int{}
			for i, name := range []string{"asked", "acked", "nacked", "failed", "denied", "unanswered"} {
				n[name] = fake.Must(strconv.Atoi(f[i+1]))
			}
			fmt.Println(f[0], n["asked"] > 10, n["unanswered"], n["asked"] == n["acked"]+n["nacked"]+n["failed"]+n["denied"])
		}
	}
	fmt.Println(strings.HasPrefix(lines[len(lines)-1], "CPU of the instance: "))
	// Output:
	// 0  true
	// view true 0 true
	// pay true 0 true
	// list true 0 true
	// true
}
