package attemptoptions

import "testing"

func TestOptionsFollowConfig(t *testing.T) {
	t.Parallel()
	all := Config{MemoryGrants: true, Priorities: true, MaxGrantFraction: 0.5}
	for name, c := range map[string]struct {
		config  Config
		attempt Attempt
		want    Options
	}{
		"no option enabled": {Config{}, Attempt{100, 1000, true}, Options{0, MinPriority}},
		"memory rounded up": {all, Attempt{99.2, 1000, false}, Options{100, MinPriority}},
		"memory limited to fraction": {
			all, Attempt{700, 1000, false}, Options{500, MinPriority},
		},
		"memory unknown":      {all, Attempt{0, 1000, false}, Options{0, MinPriority}},
		"highest-value class": {all, Attempt{0, 1000, true}, Options{0, MaxPriority}},
		"priorities disabled": {
			Config{MemoryGrants: true, MaxGrantFraction: 1}, Attempt{5, 9, true}, Options{5, MinPriority},
		},
		"memory grants disabled": {Config{Priorities: true}, Attempt{5, 9, true}, Options{0, MaxPriority}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := c.config.For(c.attempt); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
