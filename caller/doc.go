// Package caller is the caller's side of azureflow: it asks which entry VM to use, caches the answer,
// sends requests, fails over to another entry VM and says truthfully what became of each request.
//
// A non-idempotent request is never sent blindly a second time: each further sending names the entry
// VMs used before, and the next one only sends it after they promised that they did not and will not.
package caller
