package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const look = 5 * time.Second

// rig drives a machine through time, under traffic that is drawn from a seed.
type rig struct {
	m    *Machine
	rng  *rand.Rand
	now  time.Duration
	said []string
}

func newRig(cfg Config, seed uint64) *rig {
	return &rig{m: New(cfg, "v1"), rng: rand.New(rand.NewPCG(seed, 0))}
}

func (r *rig) apply(ev Event) {
	for _, a := range r.m.Apply(r.now, ev) {
		switch a := a.(type) {
		case Apply:
			r.said = append(r.said, "apply "+string(a.Version))
		case Note:
			r.said = append(r.said, string(a.Version)+" "+string(a.What))
		}
	}
}

// traffic lets looks go by with so many requests a second, of which a part ends badly.
func (r *rig) traffic(looks int, rate, bad float64) {
	for range looks {
		r.now += look
		c := map[string]Counts{}
		for class, part := range map[string]float64{"lookup": 0.8, "report": 0.2} {
			n := int(rate * part * look.Seconds())
			x := Counts{Ended: float64(n)}
			for range n {
				if r.rng.Float64() < bad {
					x.Bad++
				}
			}
			c[class] = x
		}
		r.apply(Saw{Classes: c, Took: look})
	}
}

func (r *rig) want(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, r.said); diff != "" {
		t.Fatal(diff)
	}
	r.said = nil
}

func TestKeptAndRolledBack(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*rig)
		want []string
	}{
		{"no harm", func(r *rig) { r.traffic(24, 100, 0.02) }, []string{"v2 tried", "apply v2", "v2 kept"}},
		{"harm", func(r *rig) { r.traffic(24, 100, 0.2) }, []string{"v2 tried", "apply v2", "v2 rolled_back", "apply v1"}},
		{"too thin to tell", func(r *rig) { r.traffic(180, 0.3, 0.02) }, []string{"v2 tried", "apply v2", "v2 kept_unproven"}},
		{"a busier hour is no harm", func(r *rig) { r.traffic(24, 150, 0.06) }, []string{"v2 tried", "apply v2", "v2 kept"}},
		{"withdrawn", func(r *rig) { r.apply(Offer{"v1"}) }, []string{"v2 tried", "apply v2", "v2 withdrawn", "apply v1"}},
		{"a second one waits, and a third takes its place", func(r *rig) {
			r.apply(Offer{"v3"})
			r.apply(Offer{"v4"})
			r.traffic(24, 100, 0.02)
		}, []string{"v2 tried", "apply v2", "v3 waits", "v4 waits", "v2 kept", "v4 tried", "apply v4"}},
		{"the same again changes nothing", func(r *rig) { r.apply(Offer{"v2"}) }, []string{"v2 tried", "apply v2"}},
		{"a bad one repeated", func(r *rig) {
			r.traffic(24, 100, 0.3)
			r.apply(Offer{"v2"})
			r.now += time.Hour
			r.apply(Offer{"v2"})
			r.traffic(24, 100, 0.3)
			r.now += time.Hour
			r.apply(Offer{"v2"})
		}, []string{"v2 tried", "apply v2", "v2 rolled_back", "apply v1", "v2 refused", "v2 tried", "apply v2", "v2 rolled_back", "apply v1", "v2 refused"}},
		{"it can't be put in force", func(r *rig) { r.apply(Invalid{"v2", "no disk"}) }, []string{"v2 tried", "apply v2", "v2 refused"}},
		{"the target of a rollback has become invalid", func(r *rig) {
			r.traffic(24, 100, 0.3)
			r.apply(Invalid{"v1", "its folder is gone"})
			if r.m.InForce() != "v2" {
				r.said = append(r.said, "in force is "+string(r.m.InForce()))
			}
		}, []string{"v2 tried", "apply v2", "v2 rolled_back", "apply v1", "v1 refused"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(Standard(), 1)
			r.traffic(60, 100, 0.02)
			r.apply(Offer{"v2"})
			c.do(r)
			r.want(t, c.want...)
		})
	}
}

// Whoever offers ever new ones is told to wait.
func TestFlapping(t *testing.T) {
	r := newRig(Standard(), 1)
	r.traffic(60, 100, 0.02)
	for i := range 8 {
		r.apply(Offer{Version(fmt.Sprint("a", i))})
		r.apply(Offer{"v1"})
	}
	refused := 0
	for _, s := range r.said {
		if strings.HasSuffix(s, "refused") {
			refused++
		}
	}
	if refused != 8-Standard().MostTries {
		t.Fatalf("%d refused: %q", refused, r.said)
	}
	r.said = nil
	r.now += Standard().Calm
	r.apply(Offer{"a9"})
	r.want(t, "a9 tried", "apply a9")
}

// Of trials that do no harm, no more are rolled back than is stated; harm is found, the larger the sooner.
func TestFalseAlarmsAndPower(t *testing.T) {
	trial := func(seed uint64, bad float64) (rolled bool, after time.Duration) {
		r := newRig(Standard(), seed)
		r.traffic(30, 50, 0.05)
		r.apply(Offer{"v2"})
		began := r.now
		for r.m.Trial() != "" {
			r.traffic(1, 50, bad)
		}
		return r.m.Good() == "v1", r.now - began
	}
	const trials = 300
	false_ := 0
	for seed := range uint64(trials) {
		if rolled, _ := trial(seed, 0.05); rolled {
			false_++
		}
	}
	if most := Standard().Alpha * trials; float64(false_) > most {
		t.Errorf("%d of %d calm trials were rolled back, %v may be", false_, trials, most)
	}
	last := time.Hour
	for _, harm := range []float64{0.10, 0.30} {
		found, sum := 0, time.Duration(0)
		for seed := range uint64(50) {
			if rolled, after := trial(seed, 0.05+harm); rolled {
				found, sum = found+1, sum+after
			}
		}
		if found < 48 || sum/50 >= last {
			t.Errorf("harm of %v: %d of 50 found, after %v, a smaller one after %v", harm, found, sum/50, last)
		}
		last = sum / 50
	}
}

// Whatever happens: what is in force is the good one or the one on trial, each Apply says which, and no banned one is
// tried.
func TestWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Standard()
		cfg.MostTries = 100
		r := newRig(cfg, 1)
		force, banned := Version("v1"), map[Version]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			var ev Event
			v := Version(fmt.Sprint("v", rapid.IntRange(1, 4).Draw(t, "version")))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				ev = Saw{Took: look, Classes: map[string]Counts{"lookup": {Ended: 400, Bad: float64(rapid.IntRange(0, 300).Draw(t, "bad"))}}}
			case 2:
				ev = Offer{v}
			case 3:
				ev = Invalid{v, "why"}
			}
			r.now += look
			was := force
			for _, a := range r.m.Apply(r.now, ev) {
				switch a := a.(type) {
				case Apply:
					if r.now < banned[a.Version] && a.Version != r.m.Good() {
						t.Fatalf("%s is tried, and banned until %v", a.Version, banned[a.Version])
					}
					force = a.Version
				case Note:
					if a.What == RolledBack {
						banned[a.Version] = r.now + cfg.Ban
					}
				}
			}
			if in, ok := ev.(Invalid); ok && in.Version == was {
				force = r.m.InForce() // whoever carries it out is left with the one before
			}
			if force != r.m.InForce() {
				t.Fatalf("in force is %s, should be %s", force, r.m.InForce())
			}
		}
	})
}
