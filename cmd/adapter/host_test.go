package main

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"wheatlane/internal/wire"
)

// create is the message that creates an instance with the single class q.
const create = `CREATE RngSeed=1 ProfileData={"PeersTotal": 1, "RoundNs": 5000000, "MachineTypes": ["std"], ` +
	`"Domain": {"SizeCores": [8], "KindMemoryMb": [1000], "WidthByClass": [1]}, "Limits": {"MaxAttempts": 2}, ` +
	`"RequestClasses": [{"Name": "q", "Effect": "repeatable", "PromiseNs": 600000000, "Worth": 1}]}` + "\n"

// The simulator waits for the reply to a batch before it sends the next one: each reply is flushed, and the adapter
// ends with its input.
func TestRepliesOverPipes(t *testing.T) {
	inR, inW := io.Pipe()
	outR, outW := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- run(inR, outW) }()
	replies := bufio.NewScanner(outR)
	exchange := func(batch string) (lines []string) {
		t.Helper()
		if _, err := io.WriteString(inW, batch); err != nil {
			t.Fatal(err)
		}
		for replies.Scan() {
			if replies.Text() == "OK" {
				return lines
			}
			lines = append(lines, replies.Text())
		}
		t.Fatal("the reply did not end")
		return nil
	}
	if got := exchange("CLOCK SimTimeNs=1\nGO\n"); len(got) != 0 {
		t.Fatalf("reply to an empty batch: got %v, want no lines", got)
	}
	got := exchange("CLOCK SimTimeNs=2\nSHEET Sheet=0 Members=1\nROW Executor=e:1 FamilyType=std Availability=on\n" +
		"SWITCH_TO Who=7\n" + create + "DISCOVERY Sheet=0 Kind=cached\n" +
		"SWITCH_TO Who=4\n" + create + "DISCOVERY Sheet=0 Kind=cached\nGO\n")
	if len(got) != 4 || got[0] != "AS Who=7" || got[2] != "AS Who=4" {
		t.Fatalf("reply to two creates: got %v, want 2 lines of instance 7, then 2 of instance 4", got)
	}
	got = exchange("CLOCK SimTimeNs=3\nSWITCH_TO Who=7\nINGRESS Rid=r1 Profile=q DropDeadNs=3000000000\nGO\n")
	if !strings.Contains(strings.Join(got, "\n"), "DELIVER Rid=r1 Executor=e:1") {
		t.Fatalf("reply to a request: got %v, want a delivery of r1 to e:1", got)
	}
	// An instance that crashes and is recreated within one batch does not handle the request before the crash.
	got = exchange("CLOCK SimTimeNs=4\nSWITCH_TO Who=7\nINGRESS Rid=r2 Profile=q DropDeadNs=3000000000\nCRASH_NOW\n" +
		create + "DISCOVERY Sheet=0 Kind=cached\nGO\n")
	if strings.Contains(strings.Join(got, "\n"), "r2") {
		t.Fatalf("handled a request from before the crash: %v", got)
	}
	if err := inW.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestInvalidInputIsReportedAsError(t *testing.T) {
	const header = "CLOCK SimTimeNs=1\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown instance": {header + "SWITCH_TO Who=9\nWAKE Mark=1\nGO\n", "instance 9"},
		"no classes": {
			header + "SWITCH_TO Who=9\nCREATE RngSeed=1 ProfileData={\"PeersTotal\":1}\nGO\n", "no request classes",
		},
		"unknown message": {header + "NONSENSE\n", "unknown message"},
	} {
		t.Run(name, func(t *testing.T) {
			err := run(strings.NewReader(c.text), io.Discard)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want it to contain %q", err, c.want)
			}
		})
	}
}

func TestPanicBecomesInternalError(t *testing.T) {
	var out strings.Builder
	writer := wire.NewWriter(&out)
	handleEvents(nil, writer, 1, nil)
	if err := writer.EndReply(); err != nil || !strings.HasPrefix(out.String(), "INTERNAL_ERROR What=") {
		t.Fatalf("got reply %q, error %v; want INTERNAL_ERROR", out.String(), err)
	}
}
