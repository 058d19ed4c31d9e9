package demo

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSpike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, err := loadDeployment("sohar")
		if err != nil {
			t.Fatal(err)
		}
		opts := Options{Deployment: "sohar", Duration: 5 * time.Second}.withDefaults()
		w, err := startWorld(context.Background(), opts, d, newMemory())
		if err != nil {
			t.Fatal(err)
		}
		tallies := w.load(context.Background(), nil)
		w.stop()
		time.Sleep(time.Second) // what is under way on the wires arrives
		s := w.summarize(tallies)
		t.Logf("%+v", s)
	})
}
