package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"wheatlane/internal/wire"
)

const create = `CREATE RngSeed=1 ProfileData={"PeersTotal": 1, "RoundNs": 5000000, "MachineTypes": ["std"], ` +
	`"Domain": {"SizeCores": [8], "KindMemoryMb": [1000], "WidthByClass": [1]}, "Limits": {"MaxAttempts": 2}, ` +
	`"RequestClasses": [{"Name": "q", "Effect": "repeatable", "PromiseNs": 600000000, "Worth": 1}]}` + "\n"

// The adapter over pipes: a reply is flushed after every batch, and it ends when its input ends.
func TestConversationOverPipes(t *testing.T) {
	inR, inW := io.Pipe()
	outR, outW := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- run(inR, outW) }()
	replies := bufio.NewScanner(outR)
	say := func(batch string) (lines []string) {
		t.Helper()
		fmt.Fprint(inW, batch)
		for replies.Scan() {
			if replies.Text() == "OK" {
				return lines
			}
			lines = append(lines, replies.Text())
		}
		t.Fatal("the reply did not end")
		return nil
	}
	if got := say("CLOCK SimTimeNs=1\nGO\n"); len(got) != 0 {
		t.Fatalf("reply to an empty batch: %v", got)
	}
	got := say("CLOCK SimTimeNs=2\nSHEET Sheet=0 Members=1\nROW Executor=e:1 FamilyType=std Availability=on\n" +
		"SWITCH_TO Who=7\n" + create + "DISCOVERY Sheet=0 Kind=cached\nSWITCH_TO Who=4\n" + create +
		"DISCOVERY Sheet=0 Kind=cached\n" + "GO\n")
	if len(got) != 4 || got[0] != "AS Who=7" || got[2] != "AS Who=4" {
		t.Fatalf("reply to two creates: %v", got)
	}
	got = say("CLOCK SimTimeNs=3\nSWITCH_TO Who=7\nINGRESS Rid=r1 Profile=q DropDeadNs=3000000000\nGO\n")
	if !strings.Contains(strings.Join(got, "\n"), "DELIVER Rid=r1 Executor=e:1") {
		t.Fatalf("reply to a query: %v", got)
	}
	// Killed and started again within one batch: the query before is forgotten.
	got = say("CLOCK SimTimeNs=4\nSWITCH_TO Who=7\nINGRESS Rid=r2 Profile=q DropDeadNs=3000000000\nCRASH_NOW\n" +
		create + "DISCOVERY Sheet=0 Kind=cached\nGO\n")
	if strings.Contains(strings.Join(got, "\n"), "r2") {
		t.Fatalf("acted for a query from before its crash: %v", got)
	}
	inW.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestBadInputEndsInAPlainError(t *testing.T) {
	for text, part := range map[string]string{
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=9\nWAKE Mark=1\nGO\n":                                     "instance 9",
		"CLOCK SimTimeNs=1\nSWITCH_TO Who=9\nCREATE RngSeed=1 ProfileData={\"PeersTotal\":1}\nGO\n": "no classes",
		"CLOCK SimTimeNs=1\nNONSENSE\n":                                                             "unknown message",
	} {
		err := run(strings.NewReader(text), io.Discard)
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%q: got %v, want %q", text, err, part)
		}
	}
}

func TestAPanicBecomesAnInternalError(t *testing.T) {
	var out strings.Builder
	w := wire.NewWriter(&out)
	handle(nil, w, 1, nil)
	if err := w.End(); err != nil || !strings.HasPrefix(out.String(), "INTERNAL_ERROR What=") {
		t.Fatalf("got %q, %v", out.String(), err)
	}
}
