package server

import (
	"testing"

	"wheatlane/control"
	"wheatlane/internal/resp"
)

// Which attempts may be retried at no risk follows from what a response proves: only two words prove that
// nothing ran.
func TestStatusOf(t *testing.T) {
	for _, c := range []struct {
		word string
		want control.Status
	}{
		{"BUSY", control.AtCapacity},
		{"VOID", control.NeverSent},
		{"ERR", control.Failed},
		{"UP", control.Failed},
		{"DOWN", control.Failed},
	} {
		t.Run(c.word, func(t *testing.T) {
			answer, err := resp.ParseAnswer([][]byte{[]byte("id"), []byte(c.word)})
			if err != nil {
				t.Fatal(err)
			}
			if got := statusOf(answer.Word); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
