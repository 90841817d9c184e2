package simulator

import (
	"fmt"
	"os"
	"strings"
)

const boot = `["boot",3,12345678901234567890,{"classes":[{"name":"view","credit":1.0,"promise-s":1.0,"give-up-s":3.0,` +
	`"late-share":0,"repeat":"deduplicated","dedup-window-s":5.0}],"domain":{"cpus":2,"memory-kb":1000,"key-kb":5,` +
	`"run-mem-factor":4,"signal":"tokens","halt":"drop","meters":["runnable"],"unknown":[1]},"tick-s":0.002,"later":{}}]`

const order = `["order",3,"addf482b5d3a91c4","view",0.625,1,null,17,8.65,0.012,24.5,0.00185,"x",null]`

// A short stream: an instance starts, a request makes an upstream call and is duplicated, its run ends, and
// the instance drains and ends.
func Example_stream() {
	in := strings.Join([]string{
		`["tick",5.5]`, boot, `["flush"]`,
		`["tick",6.0]`, order, `["flush"]`,
		`["tick",6.1]`, `["blocked",3,"addf482b5d3a91c4"]`, `["flush"]`,
		`["tick",6.2]`, `["call-done",3,"addf482b5d3a91c4",0,0.1]`,
		`["order",3,"bbbf482b5d3a91c4","view",0.625,0,0,17,0,null,24.5,0.002,null,"addf482b5d3a91c4"]`, `["flush"]`,
		`["tick",6.3]`, `["ended",3,"addf482b5d3a91c4",0.3,0]`, `["ended",3,"bbbf482b5d3a91c4",0.1,0]`,
		`["timeout-fired",3,"1",{"runnable":1}]`, `["flush"]`,
		`["tick",6.4]`, `["terminate-soon",3,9.5]`, `["flush"]`,
		`["tick",6.5]`, `["power-off",3]`, `["flush"]`, ""}, "\n")
	fmt.Println(Serve(strings.NewReader(in), os.Stdout))
	// Output:
	// ["mark-health",3,true,true]
	// ["hint-out",3,10.000000]
	// ["eor"]
	// ["store-key",3,"addf482b5d3a91c4",5.002150]
	// ["serve",3,"addf482b5d3a91c4"]
	// ["hint-out",3,9.850000]
	// ["arm",3,6.050000,"1"]
	// ["eor"]
	// ["call",3,"addf482b5d3a91c4",8.646000]
	// ["arm",3,6.150000,"2"]
	// ["eor"]
	// ["attach",3,"bbbf482b5d3a91c4"]
	// ["arm",3,6.250000,"3"]
	// ["eor"]
	// ["hint-out",3,5.250000]
	// ["arm",3,6.350000,"4"]
	// ["eor"]
	// ["print",3,"well -\u003e leaving: held 0, running 0"]
	// ["mark-health",3,false,true]
	// ["hint-out",3,0.000000]
	// ["arm",3,6.450000,"5"]
	// ["eor"]
	// ["eor"]
	// <nil>
}

// Each error states what is wrong in which line, and nothing of the reply to its batch is written.
func Example_errors() {
	for _, batch := range []string{
		`{"tick":1}`,
		`["tick",1`,
		"[\"tick\",\"\xff\"]",
		`["flush"]`,
		`["tick",-1]`,
		`["tick"]`,
		`["tick",1]` + "\n" + `["surprise",3]`,
		`["tick",1]` + "\n" + order,
		`["tick",1]` + "\n" + boot + "\n" + `["order",3,"addf482b5d3a91c4","view",0.6,1,null,17,8.65,0.01,"big",0.001]`,
		`["tick",1]` + "\n" + boot + "\n" + `["order",3,"xyz","view",0.6,1,null,17,8.65,0.01,24.5,0.001]`,
		`["tick",1]` + "\n" + boot + "\n" + `["ended",3,"addf482b5d3a91c4",0.3,77]`,
		`["tick",1]` + "\n" + boot + "\n" + `["aborted",3]`,
		`["tick",1]` + "\n" + boot + "\n" + `["timeout-fired",3,"1",{"runnable":"many"}]`,
		`["tick",1]` + "\n" + `["boot",3,1,{"domain":{"cpus":"two"}}]`,
		`["tick",1]` + "\n" + `["boot",3,1,{"domain":{"cpus":2},"classes":[]}]`,
		`["tick",1]` + "\n" + boot,
		`["tick",2]` + "\n" + `["flush"]` + "\n" + `["tick",1]`,
	} {
		fmt.Println(Serve(strings.NewReader(batch+"\n"), os.Stdout))
	}
	// Output:
	// line 1: message is not an array that starts with a name
	// line 1: malformed JSON: cannot parse JSON: cannot parse array: unexpected end of array; unparsed tail: ""
	// line 1: message is not UTF-8
	// line 1: flush: not allowed outside a batch
	// line 1: tick: clock-s: must be a duration of 0 or more
	// line 1: tick: has 0 values, must have 1 to 1
	// line 2: surprise: who: instance 3 is not running
	// line 2: order: who: instance 3 is not running
	// line 3: order: kb: must be a number
	// line 3: order: tid: must be 16 hex digits
	// line 3: ended: how: must be an outcome code
	// line 3: aborted: has 1 values, must have 2 to 2
	// line 3: timeout-fired: health-info.runnable: must be a number
	// line 2: boot: boot-info: [domain cpus]: must not be of type string
	// line 2: boot: boot-info: classes: must be a non-empty list
	// line 3: input ends inside a batch
	// ["eor"]
	// line 3: tick: clock-s: must not be before the previous tick
}
