package steering

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// hostile are malformed texts that every reader of files has to reject without a crash.
var hostile = []string{
	"", "{", "null", "[]", `""`, "{}", "\xff", "{\"a\":\"\xff\"}",
	strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 50_000),
	strings.Repeat(" ", maxFileBytes+1),
	`{"service": "a", "service": "a"}`, `{"service": 1e999}`, `{"\u0073ervice": "a"}`,
	`{"operations": [{"expected_bytes": 9223372036854775808}]}`,
	`{"shift_cap": {"share": NaN}}`, `{"drains": [{"start": "0000-01-01T00:00:00Z"}]}`,
	"/*", "// [[[[[[", `{"a": "\"`, "{\"a\": // \u2028\n1}",
}

// seedFiles adds the shipped files that match a pattern, and the hostile texts.
func seedFiles(f *testing.F, pattern string) {
	files, err := filepath.Glob(filepath.Join("../../examples", pattern))
	if err != nil || len(files) == 0 {
		f.Fatalf("no seeds at %s: %v", pattern, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	for _, text := range hostile {
		f.Add([]byte(text))
	}
}

// checkReport requires that each fault has a valid position and names what is allowed.
func checkReport(t *testing.T, report *Report, text []byte) {
	t.Helper()
	lines := 1 + bytes.Count(text, []byte("\n"))
	for _, f := range report.Faults {
		if f.Line < 1 || f.Line > lines || f.Column < 1 || f.Found == "" || f.Allowed == "" {
			t.Errorf("fault %+v in a file of %d lines", f, lines)
		}
	}
}

// fuzzPlatform is the platform that fuzzed services are checked against.
func fuzzPlatform(t *testing.T) *Platform {
	var content platformFile
	report := &Report{}
	text, err := os.ReadFile("../../examples/sohar/platform.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	bindFile("platform.jsonc", text, &content, report)
	return content.platform()
}

func FuzzSteeringFile(f *testing.F) {
	seedFiles(f, "sohar/*/*.steering.jsonc")
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, report := &Tree{}, &Report{}
		tree.loadService("x.steering.jsonc", text, report)
		platform := fuzzPlatform(t)
		tree.checkAgainst(platform, report)
		checkReport(t, report, text)
		if !report.OK() || len(tree.services) == 0 {
			return
		}
		c := tree.Configuration()
		c.Platform = *platform
		roundTrip(t, c)
	})
}

func FuzzPlatformFile(f *testing.F) {
	seedFiles(f, "*/platform.jsonc")
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, report := &Tree{}, &Report{}
		tree.loadPlatform("platform.jsonc", text, report)
		tree.check(report)
		checkReport(t, report, text)
		if report.OK() && tree.platform != nil {
			roundTrip(t, tree.Configuration())
		}
	})
}

// roundTrip requires that a configuration without faults can be encoded and decoded.
func roundTrip(t *testing.T, c *Configuration) {
	t.Helper()
	encoded, err := Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	before, errBefore := ContentDigest(c)
	after, errAfter := ContentDigest(again)
	if before != after || errBefore != nil || errAfter != nil {
		t.Fatalf("digest %v became %v", before, after)
	}
}

func FuzzSettings(f *testing.F) {
	seedFiles(f, "*/settings/*.jsonc")
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := parseSettings("settings.jsonc", text)
		if err != nil {
			faults, ok := err.(*FaultsError)
			if !ok {
				t.Fatal(err)
			}
			checkReport(t, &Report{Faults: faults.Faults}, text)
			return
		}
		if _, err := parseSettings("again.jsonc", []byte(settings.Text())); err != nil {
			t.Errorf("the printed settings are rejected: %v", err)
		}
	})
}

// exampleState returns the state of a shipped example and a delta on top of it.
func exampleState(f *testing.F) (*state, *delta) {
	tree, report := LoadTree([]string{"../../examples/sohar"})
	if err := report.Err(); err != nil {
		f.Fatal(err)
	}
	c := tree.Configuration()
	c.Revision, c.Publication = 1, publication{1, 0, "0123456789abcdef"}.id()
	s, err := newState(c)
	if err != nil {
		f.Fatal(err)
	}
	service := c.Services[0]
	service.Floor.Share = 0.25
	d := &delta{Revision: 2, Publication: "2.1.0123456789abcdef", Parent: c.Publication, Services: []Service{service}}
	next, err := s.withChanges(d)
	if err != nil {
		f.Fatal(err)
	}
	d.Digest = next.digests.combined()
	return s, d
}

// addJSON adds the text of a value, and the hostile texts.
func addJSON(f *testing.F, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)/2])
	f.Add(append([]byte(`{"revision":1,"revision":2,`), text[1:]...))
	for _, text := range hostile {
		f.Add([]byte(text))
	}
}

// requireEncodingError requires that an error is an *EncodingError.
func requireEncodingError(t *testing.T, err error) {
	t.Helper()
	if err != nil && !isEncodingError(err) {
		t.Errorf("got %T %v", err, err)
	}
}

func FuzzConfigurationValue(f *testing.F) {
	s, _ := exampleState(f)
	addJSON(f, s.configuration)
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Decode(compressor.EncodeAll(text, []byte(magicConfiguration)))
		requireEncodingError(t, err)
		if err == nil {
			roundTrip(t, c)
		}
	})
}

func FuzzDeltaValue(f *testing.F) {
	s, d := exampleState(f)
	addJSON(f, d)
	f.Fuzz(func(t *testing.T, text []byte) {
		encoded := compressor.EncodeAll(text, []byte(magicDelta))
		d, err := decodeDelta(encoded)
		requireEncodingError(t, err)
		if err != nil {
			return
		}
		next, err := s.apply(d, encoded)
		requireEncodingError(t, err)
		if err == nil && next.configuration.Revision != s.configuration.Revision+1 {
			t.Errorf("revision %d", next.configuration.Revision)
		}
	})
}

func FuzzSnapshotValue(f *testing.F) {
	s, _ := exampleState(f)
	addJSON(f, &snapshot{s.configuration, s.changedIn, s.digests.combined()})
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := decodeSnapshot(compressor.EncodeAll(text, []byte(magicSnapshot)))
		requireEncodingError(t, err)
	})
}

func FuzzHeadValue(f *testing.F) {
	s, d := exampleState(f)
	addJSON(f, &head{
		Format: headFormat, Revision: 2, Publication: d.Publication,
		Snapshot: snapshotRef{s.configuration.Publication, 1},
		Deltas:   []PublicationID{d.Publication}, Inline: [][]byte{{1}},
	})
	f.Fuzz(func(t *testing.T, text []byte) {
		h, err := decodeHead(text)
		requireEncodingError(t, err)
		if err == nil && len(h.keys()) > deltasOfSnapshot+maxChunks+1 {
			t.Errorf("%d keys", len(h.keys()))
		}
	})
}

// FuzzOffer offers raw bytes, as a peer or a corrupted value of the store may contain them.
func FuzzOffer(f *testing.F) {
	s, d := exampleState(f)
	full, err := s.encodeFull()
	if err != nil {
		f.Fatal(err)
	}
	encoded, err := encodeDelta(d)
	if err != nil {
		f.Fatal(err)
	}
	list, err := encode(magicDeltas, &deltaList{Deltas: [][]byte{encoded}})
	if err != nil {
		f.Fatal(err)
	}
	bomb := compressor.EncodeAll(make([]byte, 2*maxDeltaBytes), []byte(magicDelta))
	for _, seed := range [][]byte{full, encoded, list, bomb, full[:len(full)/2], list[:10], nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		follower := NewFollower(FollowerOptions{})
		follower.inForce.Store(s)
		err := follower.Offer(t.Context(), data)
		if follower.Revision() < s.configuration.Revision {
			t.Fatal("revision went back")
		}
		if _, lower := err.(*NotHigherError); !lower {
			requireEncodingError(t, err)
		}
	})
}
