package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lanewheel/internal/fake"
)

// The deployed line alone, as the platform starts it: what it opens is what it speaks with, and nothing that is off
// adds a socket, a thread or a file. A socket of the runtime's link, one that listens, one that reports; the
// poller's.
func Example_deployed() {
	fmt.Println(deployWords("run", "exec ", "\x00"))
	t := deployReady()
	defer t.close()
	pid := t.cmd.Process.Pid
	// A file that whoever runs the tests left open goes through them to every program they start, under its
	// number; that one is not the program's.
	given := map[string]string{}
	for _, fd := range fake.Must(os.ReadDir("/proc/self/fd")) {
		n, _ := strconv.Atoi(fd.Name())
		flags, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(n), syscall.F_GETFD, 0)
		inherited := n > 2 && errno == 0 && flags&syscall.FD_CLOEXEC == 0
		if to, err := os.Readlink("/proc/self/fd/" + fd.Name()); err == nil && inherited {
			given[fd.Name()] = to
		}
	}
	open := func() []string {
		kinds := map[string]int{}
		for _, fd := range fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))) {
			to, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, fd.Name()))
			if err != nil || given[fd.Name()] == to {
				continue
			}
			// Go's own look at its cores, where there are such; ours is what is left.
			if strings.HasPrefix(to, "/sys/fs/cgroup/") || to == "/dev/null" {
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
	want := []string{"anon_inode 4", "pipe 2", "socket 3"}
	last := open()
	for end := time.Now().Add(fake.WaitTimeout); !slices.Equal(last, want) && time.Now().Before(end); last = open() {
		time.Sleep(time.Millisecond)
	}
	fmt.Println(last)
	threads := fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/task", pid)))
	fmt.Println("threads:", len(threads) <= 9)
	maps := string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))))
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
	// [anon_inode 4 pipe 2 socket 3]
	// threads: true
	// mapped: 2 true true
}

// The deploy file's list of what the instance is made of names all that it links, less the decisions, and nothing
// else.
func Example_nodeList() {
	var linked []string
	listed := fake.Must(exec.CommandContext(context.Background(), "go", "list", "-deps", ".").Output())
	for _, path := range strings.Fields(string(listed)) {
		if folder, ours := strings.CutPrefix(path, "lanewheel/"); ours && folder != "admission" {
			linked = append(linked, strconv.Quote(folder))
		}
	}
	var named []string
	for _, word := range deployWords("node", "[", "]") {
		named = append(named, strings.TrimSuffix(word, ","))
	}
	slices.Sort(linked)
	slices.Sort(named)
	fmt.Println(len(linked) > 20, slices.Equal(linked, named))
	// Output:
	// true true
}
