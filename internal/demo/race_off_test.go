//go:build !race

package demo

// raceEnabled says that the race detector is on.
const raceEnabled = false
