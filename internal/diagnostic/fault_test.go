package diagnostic

import (
	"fmt"
	"strings"
)

func Example() {
	at, twice := JSONLines([]byte("{\"a\":1,\n \"b\":[{\"c\":2},\n  {\"c\":3,\"c\":4}],\n\n \"d\":{}}"))
	fmt.Println(at["a"], at["b.0.c"], at["b.1.c"], at["d"], twice)
	at, _ = JSONLines([]byte(strings.Repeat("[", 100)))
	fmt.Println(len(at) < 50)
	fmt.Println(List{{File: "f", Line: 3, Name: "a.b", Value: strings.Repeat("x", 70), Want: "wants less"}, {}})
	fmt.Println(List(nil).Err())
	// Output:
	// 1 2 3 5 [b.1.c]
	// true
	// f:3: a.b: is "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"..., wants less (and 1 more)
	// <nil>
}
