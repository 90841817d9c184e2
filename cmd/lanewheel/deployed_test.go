package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"lanewheel/internal/standin"
)

// The deployed line alone, as the platform starts it: what it opens is what it speaks with, and nothing that is off adds a socket, a
// thread or a file. A socket of the runtime's link, one that listens, one that reports; the poller's.
func Example_deployed() {
	fmt.Println(deployed("run", "exec ", "\x00"))
	t := up()
	defer t.close()
	pid := t.cmd.Process.Pid
	open := func() []string {
		kinds := map[string]int{}
		for _, fd := range standin.Must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))) {
			to, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, fd.Name()))
			if err != nil {
				continue
			}
			if strings.HasPrefix(to, "/sys/fs/cgroup/") || to == "/dev/null" { // Go's own look at its cores, where there are such; ours is what is left
				continue
			}
			kinds[regexp.MustCompile(`[:\[].*`).ReplaceAllString(to, "")]++
		}
		var all []string
		for kind, n := range kinds {
			all = append(all, fmt.Sprint(kind, " ", n))
		}
		slices.Sort(all)
		return all
	}
	want := []string{"anon_inode 4", "pipe 3", "socket 3"}
	standin.Until("nothing but what it speaks with to be open", func() bool { return slices.Equal(open(), want) })
	fmt.Println(open())
	threads := standin.Must(os.ReadDir(fmt.Sprintf("/proc/%d/task", pid)))
	fmt.Println("threads:", len(threads) <= 9)
	maps := string(standin.Must(os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))))
	mapped := map[string]bool{}
	for _, line := range strings.Split(maps, "\n") {
		if f := strings.Fields(line); len(f) > 5 && strings.HasPrefix(f[5], "/") {
			mapped[strings.SplitN(filepath.Base(f[5]), ".", 2)[0]] = true
		}
	}
	delete(mapped, "ld-linux-x86-64")
	delete(mapped, "ld-linux-aarch64")
	fmt.Println("mapped:", len(mapped), mapped["lanewheel"], mapped["libc"])
	// Output:
	// [bin/lanewheel]
	// [anon_inode 4 pipe 3 socket 3]
	// threads: true
	// mapped: 2 true true
}
