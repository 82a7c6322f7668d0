package simwire

import (
	"fmt"
	"strings"
	"testing"
)

// One of a thousand gateways, the coordinator of a zone, accepts a list of a thousand hosts as a whole and as changes, gets a pick request
// from each of the other gateways, and answers each.
func TestServeLargeFleet(t *testing.T) {
	const largeFleetSize = 1024
	var in, out strings.Builder
	list := func(kind, version int, state int) {
		fmt.Fprintf(&in, "peers_known gateway/0 %d %d %d\n", kind, version, largeFleetSize)
		for i := range largeFleetSize {
			fmt.Fprintf(&in, "m %d a box %d %d 1 -\n", 1+i, i, state)
		}
	}
	fmt.Fprintf(&in, "round 1000000\nopen_instance gateway/0 5 %s\n", strings.Replace(testSettings, `"balancers":2`, fmt.Sprintf(`"balancers":%d`, largeFleetSize), 1))
	list(1, 1, 1)
	list(2, 2, 2)
	list(2, 3, 1)
	for i := 1; i < largeFleetSize; i++ {
		fmt.Fprintf(&in, "whisper gateway/0 %d %s\n", i, "00000000"+"00"+"30"+"3c22"+"0000")
	}
	in.WriteString("end\n")
	if err := Serve(strings.NewReader(in.String()), &out); err != nil {
		t.Fatal(err)
	}
	for i := 1; i < largeFleetSize; i++ {
		if n := strings.Count(out.String(), fmt.Sprintf("announce gateway/0 %d ", i)); n != 1 {
			t.Fatalf("gateway %d got %d pick responses", i, n)
		}
	}
	if strings.Contains(out.String(), " 0000000000") {
		t.Error("a pick response names no host")
	}
}
