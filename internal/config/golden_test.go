package config

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/setuptest"
)

var update = flag.Bool("update", false, "write the golden files anew from what the code reads")

// listGolden lists one of the golden files as its kind, which its name tells.
func listGolden(t *testing.T, l *listing, path string, text []byte) {
	t.Helper()
	name := filepath.Base(path)
	path = "etc/" + name // so that the golden listings name no other folder
	switch {
	case strings.HasPrefix(name, "drill-"):
		d, err := ParseDrill(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listDrill(l, &d)
	case strings.HasPrefix(name, "agreed-budgets"):
		all, err := ParseBudgets(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listBudgets(l, all)
	case strings.HasPrefix(name, "agreed-plan"):
		p, err := ParseRollout(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listRollout(l, &p)
	default:
		f, err := Parse(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listFile(l, &f)
	}
}

// compare compares a listing with the one beside its file, or with -update writes that.
func compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := strings.Split(string(setuptest.Must(os.ReadFile(path))), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("%s:%d: reads as\n%s\nwant\n%s", path, i+1, line, want[min(i, len(want)-1)])
		}
	}
	if strings.Count(got, "\n")+1 != len(want) {
		t.Fatalf("%s: %d lines, want %d", path, strings.Count(got, "\n")+1, len(want))
	}
}

// The files that were shipped, and files that say everything there is, are read as they always were: each setting
// by its name.
func TestGoldenFiles(t *testing.T) {
	files := setuptest.Must(filepath.Glob("testdata/golden/*.ini"))
	if len(files) < 25 {
		t.Fatalf("%d golden files", len(files))
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var l listing
			listGolden(t, &l, path, setuptest.Must(os.ReadFile(path)))
			compare(t, strings.TrimSuffix(path, ".ini")+".golden", l.String())
		})
	}
}

// Without a file, and with an empty one, what holds is as it always was.
func TestGoldenDefaults(t *testing.T) {
	var l listing
	f := setuptest.Must(Load(""))
	listFile(&l, &f)
	compare(t, "testdata/golden/without-file.golden", l.String())
	l.Reset()
	f = setuptest.Must(Parse("etc/empty.ini", nil))
	listFile(&l, &f)
	compare(t, "testdata/golden/empty-file.golden", l.String())
}

// Values that are set in place of a script's.
func TestGoldenSet(t *testing.T) {
	text := setuptest.Must(os.ReadFile("testdata/golden/drill-release-bad.ini"))
	d := setuptest.Must(ParseDrill("etc/x", text, "bad-release.slow=1", "bad-release.crashes-after=8s", "drill.for=60s",
		"relaying.way=random"))
	if d.BadRelease.RunTimeFactor != 1 || d.BadRelease.CrashAfter != 8*time.Second || d.LoadDuration != time.Minute ||
		fmt.Sprint(d.ProxySettings) != "[{policy random}]" {
		t.Fatalf("%+v", d)
	}
}

// A file of cluster keys: one a line in base64, the one to write with first.
func TestGoldenClusterKeys(t *testing.T) {
	text := setuptest.Must(os.ReadFile("testdata/golden/cluster-keys.txt"))
	keys := setuptest.Must(ParseClusterKeys("cluster-keys", text))
	var want [3][]byte
	for i, size := range []int{16, 24, 32} {
		for n := range size {
			want[i] = append(want[i], byte(i*32+n))
		}
	}
	if len(keys) != 3 {
		t.Fatalf("%d keys", len(keys))
	}
	for i, key := range keys {
		if string(key) != string(want[i]) {
			t.Errorf("key %d: %x, want %x", i, key, want[i])
		}
	}
}
