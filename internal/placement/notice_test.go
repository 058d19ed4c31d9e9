package placement

import (
	"testing"
	"time"
)

// placedOn returns the server that a request is placed on, "" if it is refused. The request ends at once.
func placedOn(c *Chooser, now time.Time) ServerID {
	p, _ := c.Place(testQuery(1), now)
	if p == nil {
		return ""
	}
	c.RecordResult(p, success(), now)
	return p.Server
}

// respondWith places a request and ends it with a response that has r's notice.
func respondWith(t *testing.T, c *Chooser, r Result, now time.Time) Effect {
	t.Helper()
	p, refusal := c.Place(testQuery(1), now)
	if p == nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return c.RecordResult(p, &r, now)
}

// What a server says in its responses holds until its next incarnation, whatever the registry says or forgets.
func TestServerThatSaysItIsLeavingGetsNothingMore(t *testing.T) {
	a := member("a", "north")
	c := testChooser(a)
	if e := respondWith(t, c, Result{Outcome: OutcomeSuccess, Leaving: true}, start); !e.StartedLeaving {
		t.Error("the first notice is not reported")
	}
	restarted, other := a, a
	restarted.Born = a.Born.Add(time.Minute)
	other.ID = "z" // at the same address
	for _, step := range []struct {
		name    string
		members []Member
		want    ServerID
	}{
		{"at once", []Member{a}, ""},
		{"entry gone", nil, ""},
		{"the same entry again", []Member{a}, ""},
		{"another server at its address", []Member{a, other}, "z"},
		{"restarted", []Member{restarted}, "a"},
	} {
		c.SetMembership(&Membership{Members: step.members})
		if got := placedOn(c, start.Add(time.Hour)); got != step.want {
			t.Errorf("%s: placed on %q, want %q", step.name, got, step.want)
		}
	}
}

func TestLateNoticeOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	a := member("a", "north")
	c := testChooser(a)
	p, _ := c.Place(testQuery(1), start)
	a.Born = a.Born.Add(time.Minute)
	c.SetMembership(&Membership{})
	c.SetMembership(&Membership{Members: []Member{a}})
	respondWith(t, c, Result{Outcome: OutcomeShed, Backoff: time.Second}, start)
	c.RecordResult(p, &Result{Outcome: OutcomeSuccess, Leaving: true}, start)
	if got := placedOn(c, start.Add(2*time.Second)); got != "a" {
		t.Errorf("placed on %q, want the new incarnation", got)
	}
}

// The response arrives while the entry of its server is missing for a moment.
func TestNoticeIsKeptWhileTheEntryIsMissing(t *testing.T) {
	a := member("a", "north")
	c := testChooser(a)
	p, _ := c.Place(testQuery(1), start)
	c.SetMembership(&Membership{})
	c.RecordResult(p, &Result{Outcome: OutcomeSuccess, Leaving: true}, start)
	c.SetMembership(&Membership{Members: []Member{a}})
	if got := placedOn(c, start); got != "" {
		t.Errorf("placed on %q, which is leaving", got)
	}
}

func TestServerThatAsksForAPauseGetsIt(t *testing.T) {
	const pause = 1500 * time.Millisecond
	a, b := member("a", "north"), member("b", "south")
	c := testChooser(a, b)
	if e := respondWith(t, c, Result{Outcome: OutcomeShed, Backoff: pause}, start); e.Backoff != pause {
		t.Errorf("effect %+v, want the pause", e)
	}
	c.SetMembership(&Membership{Members: []Member{b, a}})
	for after := time.Duration(0); after < pause; after += 100 * time.Millisecond {
		if got := placedOn(c, start.Add(after)); got == "a" {
			t.Errorf("placed on the server %v after it asked for %v", after, pause)
		}
	}
	if got := placedOn(c, start.Add(pause)); got != "a" {
		t.Errorf("placed on %q after the pause, want the server of this region", got)
	}
}

// If all servers want a pause, the request is refused at once, until the first of them accepts requests again.
func TestRefusalNamesTheShortestPause(t *testing.T) {
	c := testChooser(member("a", "north"), member("b", "north"))
	respondWith(t, c, Result{Outcome: OutcomeShed, Backoff: 3 * time.Second}, start)
	respondWith(t, c, Result{Outcome: OutcomeShed, Backoff: 2 * time.Second}, start)
	p, refusal := c.Place(testQuery(1), start.Add(500*time.Millisecond))
	if p != nil || refusal.Reason != ReasonBackoff || refusal.RetryAfter != 1500*time.Millisecond {
		t.Errorf("placement %v, refusal %+v; want a refusal for 1.5 s", p, refusal)
	}
}

func TestAbsurdPauseIsBounded(t *testing.T) {
	c := testChooser(member("a", "north"))
	if e := respondWith(t, c, Result{Outcome: OutcomeShed, Backoff: 1 << 62}, start); e.Backoff != maxBackoff {
		t.Errorf("pause %v, want %v", e.Backoff, maxBackoff)
	}
	if got := placedOn(c, start.Add(maxBackoff)); got != "a" {
		t.Errorf("placed on %q after the longest pause", got)
	}
}

func TestNoticesOfServersThatAreGoneAreRemoved(t *testing.T) {
	c := testChooser()
	for i := range maxNotices + 10 {
		s := newServer(Member{ID: ServerID(rune(i)), Born: start})
		c.recordNotice(s, &Result{Leaving: true}, start.Add(time.Duration(i/maxNotices)*2*noticeLifetime))
	}
	if len(c.notices) > 20 {
		t.Errorf("%d notices are kept", len(c.notices))
	}
}
