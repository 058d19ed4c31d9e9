// Package caller is the client library of azureflow: it looks up which entry VM to use, caches the
// result, sends requests, fails over to another entry VM and reports the actual outcome of each request.
//
// A non-idempotent request is never retried blindly: each further attempt lists the entry VMs used
// before, and the next entry VM forwards the request only after all of them have promised that they
// have not forwarded it and will not.
package caller
