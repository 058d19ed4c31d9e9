// Package proptest runs the property tests of a package with a fixed seed, so that CI gives the same verdict
// every run. Flags on the command line go first: -rapid.seed, -rapid.checks.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

// seed of all property tests.
const seed = "20261204"

// Main is the TestMain of a package whose property tests make checks checks each, 0 for rapid's own number.
func Main(m *testing.M, checks int) {
	flag.Parse()
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}

// set gives a flag a value unless the command line has done so.
func set(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set(name, value) // the values are constants that rapid takes
	}
}
