package lifecycle

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
	operatorConfig, err := LoadOperatorConfig(path)
	if err != nil {
		panic(err)
	}
	reload := &reloader{configPath: config, operatorPath: path, operatorConfig: operatorConfig, pause: func() {}}
	printResult := func(result reloadResult) {
		fmt.Println(len(result.operatorConfig.File.Callers.Roles), strings.ReplaceAll(fmt.Sprint(result.err), dir+"/", ""))
	}
	printResult(reload.read())
	write("op.ini", whole[:len(whole)/2])
	reload.pause = func() { write("op.ini", whole) }
	printResult(reload.read())
	reload.pause = func() {}
	write("op.ini", whole+"[log]\nformat = json\n")
	result := reload.read()
	fmt.Println(strings.ReplaceAll(fmt.Sprint(reload.apply(result)), dir+"/", ""))
	// Output:
	// 2 <nil>
	// 1 op.ini: or a file it names, is being written
	// op.ini: log.format: is "json", was "text" at the start, and changes with the next one only
}
