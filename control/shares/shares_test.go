package shares

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

// identityPredictor predicts that each class's outputs equal its share.
type identityPredictor struct{}

func (identityPredictor) Predict(class int, shares []float64) Output {
	return Output{InverseLatency: shares[class], Throughput: shares[class]}
}

func TestOptimizePrefersClassWithHighestUtility(t *testing.T) {
	t.Parallel()
	light := Class{PriorityWeight: 1, ArrivalRate: 10}
	heavy := Class{PriorityWeight: 8, LateWeight: 0.4, ArrivalRate: 10}
	idle := heavy
	idle.ArrivalRate = 0
	for _, c := range []struct {
		name    string
		classes []Class
		largest int // index of the class that gets nearly all
	}{
		{"eight times the weight", []Class{light, heavy}, 1},
		{"only class with traffic", []Class{light, idle}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got := optimize(DefaultConfig(), identityPredictor{}, c.classes, 100)
			if sum := got[0] + got[1]; math.Abs(sum-1) > 1e-6 {
				t.Errorf("shares %v sum to %v", got, sum)
			}
			if got[c.largest] < 0.8 {
				t.Errorf("shares %v, want class %d to have at least 0.8", got, c.largest)
			}
		})
	}
}

// interval returns an interval in which both classes have answers. The outputs of the first equal the share.
func interval(share float64) []Class {
	return []Class{
		{Output: Output{share, share}, Answers: 10, ArrivalRate: 10, PriorityWeight: 5},
		{Output: Output{1, 1}, Answers: 10, ArrivalRate: 10, PriorityWeight: 1, LateWeight: 1},
	}
}

func newRegulator() Regulator { return New(DefaultConfig(), Equal(2)) }

func TestSharesStayWithinBounds(t *testing.T) {
	t.Parallel()
	r := newRegulator()
	before := slices.Clone(r.shares)
	for range 50 {
		r.CloseInterval(interval(float64(r.Share(0))), true)
		if sum := float64(r.Share(0) + r.Share(1)); math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares sum to %v", sum)
		}
		for class := range r.shares { // shares are scaled after the bound is applied
			if share := r.Share(class); share < 0.05/(1+0.05) || share > 1 {
				t.Fatalf("share %v of class %d", share, class)
			}
		}
	}
	if reflect.DeepEqual(before, r.shares) {
		t.Errorf("shares %v did not change", r.shares)
	}
}

func TestIrregularIntervalChangesNeitherModelNorShares(t *testing.T) {
	t.Parallel()
	r := newRegulator()
	r.CloseInterval(interval(0.5), true)
	r.CloseInterval(interval(0.6), true)
	model, before := r.Coefficients(), slices.Clone(r.shares)
	r.CloseInterval(interval(0.1), false)
	if !reflect.DeepEqual(model, r.Coefficients()) || !reflect.DeepEqual(before, r.shares) {
		t.Error("an irregular interval changed the model or the shares")
	}
	r.CloseInterval(interval(0.2), true)
	if reflect.DeepEqual(model, r.Coefficients()) {
		t.Error("the next regular interval did not change the model")
	}
}

func TestIntervalWithoutAnswersLeavesSharesUnchanged(t *testing.T) {
	t.Parallel()
	r := newRegulator()
	classes := interval(0.5)
	classes[0].Answers, classes[1].Answers = 0, 0
	before := slices.Clone(r.shares)
	r.CloseInterval(classes, true)
	if !reflect.DeepEqual(before, r.shares) {
		t.Errorf("shares %v, want %v", r.shares, before)
	}
}

func TestAddedClassGetsEqualShare(t *testing.T) {
	t.Parallel()
	r := newRegulator()
	r.MoveClasses([]int{0, 1, -1, -1})
	// 1/2, 1/2, 1/3 and 1/4, scaled to sum to 1.
	for class, want := range []float64{6.0 / 19, 6.0 / 19, 4.0 / 19, 3.0 / 19} {
		if got := float64(r.Share(class)); math.Abs(got-want) > 1e-9 {
			t.Errorf("share %v of class %d, want %v", got, class, want)
		}
	}
	r.CloseInterval(slices.Concat(interval(0.5), interval(0.5)), true) // the model has four classes now
}
