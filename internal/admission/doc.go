// Package admission decides, for the requests of one entry VM at one service, which of them go first while there is too
// little room, which one gives way, and when a refused one may return. It does no I/O and takes the time as an argument.
//
// Load it answers: more requests than the service's servers can answer in time, from kinds of different urgency and
// from client accounts of which some send many times their usual.
package admission
