package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// deepArray is an array that is nested deeper than JSON decoders accept.
var deepArray = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// oddObjects are objects of another writer, by fault. NAME and REVISION stand for those of
// the object.
var oddObjects = map[string]string{
	"nested":   `{"meta":{"name":"NAME","revision":REVISION},"spec":` + deepArray + `}`,
	"number":   `{"meta":{"name":"NAME","revision":REVISION},"spec":{"service":"desk","address":"127.0.0.1:9","zone":"here","capacity":1e300,"lifecycle":"ready"}}`,
	"capacity": `{"meta":{"name":"NAME","revision":REVISION},"spec":{"service":"desk","address":"127.0.0.1:9","zone":"here","capacity":1000000000,"lifecycle":"ready"}}`,
	"port":     `{"meta":{"name":"NAME","revision":REVISION},"spec":{"service":"desk","address":"127.0.0.1:70000","zone":"here","capacity":2,"lifecycle":"ready"}}`,
	"revision": `{"meta":{"name":"NAME","revision":-1},"spec":{}}`,
	"nameless": `{"meta":{"revision":REVISION},"spec":{}}`,
	"text":     `"NAME"`,
}

// OddFaults returns the faults of objects that PutOdd writes, sorted.
func OddFaults() []string { return slices.Sorted(maps.Keys(oddObjects)) }

// PutOdd writes an object with one of OddFaults, as a program does that doesn't keep to the
// format. It returns the store's revision.
func (s *Metastore) PutOdd(kind, name, fault string) uint64 {
	text, known := oddObjects[fault]
	if !known {
		panic(fmt.Sprintf("fault %q of objects is unknown", fault)) // a fault of the test
	}
	return s.PutRaw(kind, name, strings.ReplaceAll(text, "NAME", name))
}
