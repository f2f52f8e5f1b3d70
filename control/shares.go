package control

import (
	"time"

	"wheatlane/internal/rls"
)

// Settings of the fits behind the regulators. Section numbers are those of the paper named in internal/rls.
const (
	forgettingFactor     = 0.98 // section 3.2: of the least-squares fit
	maxCovarianceTrace   = 1e4  // keeps the covariance bounded without measurements
	initialFitGain       = 0.5  // section 3.2: signs of the fit's diagonals are known
	initialFitCovariance = 10.0 // before any measurement
	shareMoveCost        = 0.5  // section 3.2: price of moving the classes' shares
	limitMoveCost        = 2.0  // section 3.3: a concurrency limit moves less readily than the shares
)

// classShares are the classes' weights in the fair queues, and the regulator that moves them.
type classShares struct {
	regulator     *rls.Regulator
	weights       []float64 // by class index, 1 in sum
	intervalStart time.Duration
}

func newClassShares(classes int) classShares {
	s := classShares{}
	for range classes {
		s.weights = append(s.weights, 1/float64(classes))
	}
	s.regulator = newRegulator(2, classes, shareMoveCost, s.weights)
	return s
}

// observe takes the outputs of an interval; one that a stall has lengthened breaks the fit's sequence.
func (s *classShares) observe(outputs []float64, seen []bool, steady bool) {
	if steady {
		s.regulator.Observe(outputs, seen)
	} else {
		s.regulator.Skip(outputs)
	}
}

func (s *classShares) addClass() { s.weights = append(s.weights, 1/float64(len(s.weights)+1)) }

// restart makes the weights 1 in sum again and starts the fit anew, as what it learned was of fewer classes.
func (s *classShares) restart() {
	sum := 0.0
	for _, weight := range s.weights {
		sum += weight
	}
	for i := range s.weights {
		s.weights[i] /= sum
	}
	s.regulator = newRegulator(2, len(s.weights), shareMoveCost, s.weights)
}

func newRegulator(outputs, groups int, moveCost float64, inputs []float64) *rls.Regulator {
	return rls.New(rls.Config{
		OutputsPerGroup: outputs, Groups: groups, InputPenalty: moveCost, InitialGain: initialFitGain,
		InitialCovariance: initialFitCovariance, ForgettingFactor: forgettingFactor,
		MaxTrace: maxCovarianceTrace,
	}, inputs)
}
