package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The command asks with all its flags; the exit code tells an answer from a refusal and from a VM that is not reached.
func TestWhereAsksTheGateway(t *testing.T) {
	asked := ""
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.RequestURI()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"route":"desk","verdict":"sent","servers":1,"candidates":[{"server":"s1","chosen":true}]}`))
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	args := []string{
		"where", "--gateway", address, "--host", "desk.example", "--path", "/a b", "--object", "7", "--bytes", "10",
		"--deadline", "3s", "--account", "atlas", "--service", "old", "--tried", "s2,s3", "--method", "POST",
	}
	for _, more := range [][]string{nil, {"--json"}, {"--format", "json"}} {
		if code := run(append(args, more...)); code != exitDone {
			t.Errorf("%v: exit code %d", more, code)
		}
	}
	if want := "/where?account=atlas&bytes=10&deadline_ms=3000&host=desk.example&object=7&path=%2Fa+b&service=old&tried=s2&tried=s3"; asked != want {
		t.Errorf("asked %s, want %s", asked, want)
	}
	status = http.StatusNotFound
	if code := run(args); code != exitInput {
		t.Errorf("no route: exit code %d", code)
	}
	server.Close()
	if code := run(args); code != exitUnreachable {
		t.Errorf("not reached: exit code %d", code)
	}
	if code := run([]string{"where", "--gateway", address}); code != exitUsage {
		t.Errorf("usage: exit code %d", code)
	}
}
