package spillover_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/request/spillover"
)

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		home, b, c int // requests at six slots; -1 is no server
		reason     spillover.Reason
		share      float64
	}{
		"idle":                              {0, 0, 0, spillover.ReasonRoom, 0},
		"last free slot":                    {5, 0, 0, spillover.ReasonRoom, 0},
		"a short wait":                      {7, 0, 0, spillover.ReasonNoGain, 0},
		"part of the requests leaves":       {11, 0, 0, spillover.ReasonFull, 0.5},
		"all leave":                         {17, 0, 0, spillover.ReasonFull, 1},
		"the other zones are as full":       {17, 17, 17, spillover.ReasonNoGain, 0},
		"the other zones are a little less": {17, 15, 15, spillover.ReasonNoGain, 0},
		"one of the other zones has room":   {17, 17, 2, spillover.ReasonFull, 1},
		"no server at home":                 {-1, 0, 0, spillover.ReasonGone, 1},
		"no server anywhere":                {-1, -1, -1, spillover.ReasonGone, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var zones []spillover.Zone
			for zone, requests := range map[string]int{"a": c.home, "b": c.b, "c": c.c} {
				if requests >= 0 {
					zones = append(zones, spillover.Zone{Name: zone, Requests: requests, Slots: 6})
				}
			}
			d := spillover.Decide("a", zones)
			is.Equal(d.Reason, c.reason)
			is.Equal(d.Share, c.share)
			went := map[string]int{}
			for n := range 1000 {
				went[d.Choose(float64(n)/1000)]++
			}
			is.Equal(went["a"], 1000-int(1000*c.share))
			if c.b == c.c {
				is.True(went["b"]-went["c"] <= 1 && went["c"]-went["b"] <= 1) // no herd to one zone
			} else {
				is.Equal(went["b"], 0)
			}
		})
	}
}
