// Package proptest runs the property tests of a package with a fixed seed, so that every CI run gives the
// same result. Flags on the command line take precedence: -rapid.seed, -rapid.checks.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

// seed is the seed of all property tests.
const seed = "20261204"

// Main is the TestMain of a package whose property tests make checks checks each, 0 for rapid's own number.
func Main(m *testing.M, checks int) {
	flag.Parse()
	setDefault("rapid.seed", seed)
	setDefault("rapid.nofailfile", "true")
	if checks > 0 {
		setDefault("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line sets it.
func setDefault(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set(name, value) // the values are constants that rapid accepts
	}
}
