package life

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// A file that is cut off behind a whole line reads as one that says less: what changes between two readings is not taken,
// nor is what holds from the next start only.
func Example_beingWritten() {
	dir, err := os.MkdirTemp("", "life")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			panic(err)
		}
		return path
	}
	config := write("config.json", `{"name":"n","listen":"l","runtime":"r","db":"d","roster":"o","limits":{"cores":1,"memory_mb":1,"sockets":64},`+
		`"settings":{"classes":[{"name":"view"}],"domain":{"cpus":1}}}`)
	const whole = "[role a]\ntypes = view\nmay = read\n[role b]\ntypes = view\nmay = read\n"
	path := write("op.ini", whole)
	with, err := Operate(path)
	if err != nil {
		panic(err)
	}
	k := &keeper{path: config, operated: path, with: with, pause: func() {}}
	say := func(r reread) {
		fmt.Println(len(r.with.File.Callers.Roles), strings.ReplaceAll(fmt.Sprint(r.err), dir+"/", ""))
	}
	say(k.read())
	write("op.ini", whole[:len(whole)/2])
	k.pause = func() { write("op.ini", whole) }
	say(k.read())
	k.pause = func() {}
	write("op.ini", whole+"[log]\nformat = json\n")
	r := k.read()
	fmt.Println(strings.ReplaceAll(fmt.Sprint(k.carryOut(r)), dir+"/", ""))
	// Output:
	// 2 <nil>
	// 1 op.ini: or a file it names, is being written
	// op.ini: log.format: is "json", was "text" at the start, and changes with the next one only
}
