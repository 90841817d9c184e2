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

// Example_deployed starts the program with the command line of the deploy file, without an operator's file, as the
// platform does. It checks that features that are off add no socket, thread or file. The three sockets are the
// runtime link, the listener and the socket of the registry reports; the other descriptors belong to the poller.
func Example_deployed() {
	fmt.Println(deployFileWords("run", "exec ", "\x00"))
	t := deployReady()
	defer t.close()
	pid := t.cmd.Process.Pid
	// A descriptor that the parent of the test process left open without close-on-exec is inherited by every program
	// that the tests start, under the same number. It is not counted as the program's.
	inheritedFiles := map[string]string{}
	for _, fd := range fake.Must(os.ReadDir("/proc/self/fd")) {
		n, _ := strconv.Atoi(fd.Name())
		flags, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(n), syscall.F_GETFD, 0)
		inherited := n > 2 && errno == 0 && flags&syscall.FD_CLOEXEC == 0
		if to, err := os.Readlink("/proc/self/fd/" + fd.Name()); err == nil && inherited {
			inheritedFiles[fd.Name()] = to
		}
	}
	open := func() []string {
		kinds := map[string]int{}
		for _, fd := range fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))) {
			to, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, fd.Name()))
			if err != nil || inheritedFiles[fd.Name()] == to {
				continue
			}
			// The Go runtime keeps the CPU limit files of its cgroup open, where they exist. They are not counted.
			if strings.HasPrefix(to, "/sys/fs/cgroup/") || to == "/dev/null" {
				continue
			}
			kinds[regexp.MustCompile(`[:\[].*`).ReplaceAllString(to, "")]++
		}
		var counts []string
		for kind, n := range kinds {
			counts = append(counts, fmt.Sprint(kind, " ", n))
		}
		slices.Sort(counts)
		return counts
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

// Example_deployedPackages checks that the deploy file lists exactly the packages of this module that the program
// links, except admission, which makes the decisions.
func Example_deployedPackages() {
	var linked []string
	listed := fake.Must(exec.CommandContext(context.Background(), "go", "list", "-deps", ".").Output())
	for _, path := range strings.Fields(string(listed)) {
		if folder, inModule := strings.CutPrefix(path, "lanewheel/"); inModule && folder != "admission" {
			linked = append(linked, strconv.Quote(folder))
		}
	}
	var deployed []string
	for _, word := range deployFileWords("node", "[", "]") {
		deployed = append(deployed, strings.TrimSuffix(word, ","))
	}
	slices.Sort(linked)
	slices.Sort(deployed)
	fmt.Println(len(linked) > 20, slices.Equal(linked, deployed))
	// Output:
	// true true
}
