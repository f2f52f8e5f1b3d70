package control

import (
	"time"

	"wheatlane/internal/rls"
)

// shareMoveCost is the penalty on moving the classes' shares.
const shareMoveCost = 0.5

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
	s.regulator = newShareModel(s.weights)
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
	s.regulator = newShareModel(s.weights)
}

func newShareModel(weights []float64) *rls.Regulator {
	config := rls.DefaultConfig()
	config.OutputsPerGroup, config.Groups, config.InputPenalty = 2, len(weights), shareMoveCost
	return rls.New(config, weights)
}
