// Package wire reads and writes the line protocol between a bench and the
// instances of the decision module. It holds no decision.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"wheatlane/control"
	"wheatlane/internal/config"
	"wheatlane/internal/gossip"
)

// Create asks for a new instance.
type Create struct {
	Seed     uint64
	Settings control.Settings
}

// Item is one event of a batch for one instance. Exactly one of Create,
// Crash and Event is set.
type Item struct {
	Who    int
	Create *Create
	Crash  bool
	Event  control.Event
}

// Batch is what happened at one time.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Reader reads batches.
type Reader struct {
	in     *bufio.Reader
	line   int
	sheets map[int64][]control.Engine
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), sheets: map[int64][]control.Engine{}}
}

func (r *Reader) next() (string, error) {
	s, err := r.in.ReadString('\n')
	if err != nil {
		if err == io.EOF && s != "" {
			return "", r.errorf("the last line has no end: %.60q", s)
		}
		return "", err
	}
	r.line++
	return strings.TrimSuffix(s, "\n"), nil
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %w", r.line, fmt.Errorf(format, args...))
}

// Read returns the next batch, or io.EOF when the input ends between batches.
func (r *Reader) Read() (Batch, error) {
	var b Batch
	line, err := r.next()
	if err != nil {
		return b, err
	}
	name, f, err := parse(line)
	if err == nil && name != "CLOCK" {
		err = fmt.Errorf("expected CLOCK, got %.60q", line)
	}
	if err == nil {
		b.Now = f.duration("SimTimeNs", true)
		err = f.err
	}
	if err != nil {
		return b, r.errorf("%w", err)
	}
	who := -1
	for {
		line, err := r.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = r.errorf("the input ends inside a batch, GO is missing")
			}
			return b, err
		}
		name, f, err := parse(line)
		if err != nil {
			return b, r.errorf("%w", err)
		}
		it := Item{Who: who}
		switch name {
		case "GO":
			return b, nil
		case "SWITCH_TO":
			who = int(f.integer("Who", true))
		case "SHEET":
			if err := r.sheet(f); err != nil {
				return b, err
			}
		default:
			it.Create, it.Crash, it.Event, err = r.event(name, f)
			if err == nil && who < 0 {
				err = fmt.Errorf("%s comes before any SWITCH_TO", name)
			}
			if err != nil {
				return b, r.errorf("%w", err)
			}
			if it.Create != nil || it.Crash || it.Event != nil {
				b.Items = append(b.Items, it)
			}
		}
		if f.err != nil {
			return b, r.errorf("%s: %w", name, f.err)
		}
	}
}

func (r *Reader) sheet(f *fields) error {
	n := f.integer("Members", true)
	number := f.integer("Sheet", false)
	if f.err != nil {
		return r.errorf("SHEET: %w", f.err)
	}
	var rows []control.Engine
	for range n {
		line, err := r.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = r.errorf("the input ends inside a SHEET")
			}
			return err
		}
		name, f, err := parse(line)
		if err != nil {
			return r.errorf("%w", err)
		}
		if name != "ROW" {
			return r.errorf("expected ROW, got %.60q", line)
		}
		state, ok := states[f.text("Availability")]
		if !ok {
			return r.errorf("ROW: unknown Availability %q", f.text("Availability"))
		}
		rows = append(rows, control.Engine{ID: f.required("Executor"), Zone: f.text("FailureDomain"),
			Kind: f.text("FamilyType"), Cell: int(f.integer("UnitGroup", false)), State: state,
			StartedAt: f.duration("StartedAtNs", false)})
		if f.err != nil {
			return r.errorf("ROW: %w", f.err)
		}
	}
	r.sheets[number] = rows
	return nil
}

var states = map[string]control.EngineState{"on": control.Ready, "fading": control.Draining, "off": control.Removed}

var statuses = map[string]control.Status{"completed": control.OK, "errored": control.Failed,
	"saturated": control.AtCapacity, "overdue": control.TimedOut, "refused_conn": control.ConnectFailed,
	"severed": control.ConnectionReset, "recalled": control.Cancelled, "superseded": control.NeverSent}

func status(f *fields) control.Status {
	s, ok := statuses[f.text("Reason")]
	if !ok {
		f.fail("unknown Reason %q", f.text("Reason"))
	}
	return s
}

func (r *Reader) event(name string, f *fields) (*Create, bool, control.Event, error) {
	switch name {
	case "CREATE":
		s, err := config.DecodeSettings([]byte(f.text("ProfileData")))
		if err != nil {
			return nil, false, nil, fmt.Errorf("CREATE: %w", err)
		}
		return &Create{Seed: f.unsigned("RngSeed", false), Settings: s.Control}, false, nil, nil
	case "CRASH_NOW":
		return nil, true, nil, nil
	case "DISCOVERY":
		kind := f.text("Kind")
		if kind == "failed" {
			return nil, false, control.EndpointUpdate{Kind: control.EndpointPollFailed}, nil
		}
		number := f.integer("Sheet", false)
		rows, ok := r.sheets[number]
		if !ok {
			return nil, false, nil, fmt.Errorf("DISCOVERY: no SHEET %d came before", number)
		}
		switch kind {
		case "delta":
			return nil, false, control.EndpointUpdate{Kind: control.EndpointDelta, Engines: rows}, nil
		case "full", "cached":
			return nil, false, control.EndpointUpdate{Kind: control.EndpointSnapshot, Engines: rows}, nil
		}
		return nil, false, nil, fmt.Errorf("DISCOVERY: unknown Kind %q", kind)
	case "INGRESS":
		tenant := f.text("Project")
		if tenant == "0" {
			tenant = ""
		}
		return nil, false, control.RequestReceived{Request: control.Request{ID: f.required("Rid"), Class: f.required("Profile"),
			Tenant: tenant, OrderKey: f.text("Key"), DataSet: int(f.number("TableGroup")),
			Deadline: f.duration("DropDeadNs", true), EstimatedWork: f.duration("PlanCostNs", false),
			EstimatedMemoryMB: f.number("RamMb")}}, nil
	case "CANCELLED_BY_CLIENT":
		return nil, false, control.ClientDisconnected{RequestID: f.required("Rid")}, nil
	case "FLOWING":
		return nil, false, control.ResponseStarted{RequestID: f.required("Rid")}, nil
	case "UPDATE_OF":
		return nil, false, control.AttemptProgress{RequestID: f.required("Rid"), Number: int(f.integer("RoundNo", false)),
			Engine: f.text("Executor"), Kind: control.ProgressKind(f.integer("Topic", true)),
			Value: f.number("Value")}, nil
	case "NEIGHBOUR_SAYS":
		text, err := hex.DecodeString(f.text("Octets"))
		if err != nil {
			return nil, false, nil, fmt.Errorf("NEIGHBOUR_SAYS: Octets: %w", err)
		}
		reports, err := gossip.Parse(text)
		if err != nil { // whatever it is, no gateway of ours said it
			return nil, false, nil, nil
		}
		return nil, false, control.GossipReceived{Broker: int(f.integer("SrcPeer", false)), Reports: reports}, nil
	case "CHECK_RESULT":
		return nil, false, control.ProbeResult{Engine: f.required("Executor"), Status: status(f),
			Duration: f.duration("WaitTimeNs", false), Report: f.row("Telemetry")}, nil
	case "ANSWER":
		a := control.AttemptEnded{RequestID: f.required("Rid"), Number: int(f.integer("RoundNo", false)),
			Engine: f.text("Executor"), Status: status(f), Duration: f.duration("WaitTimeNs", false),
			RequestClosed: f.text("Last") == "1", Report: f.row("Telemetry")}
		if told := f.integer("Stats", false); told > 0 {
			a.Work = time.Duration(told/4096) * time.Millisecond
			a.MemoryMB = float64(told%4096) * 4
		}
		return nil, false, a, nil
	case "WAKE":
		return nil, false, control.TimerFired{Token: f.unsigned("Mark", false)}, nil
	}
	return nil, false, nil, fmt.Errorf("unknown message %.60q", name)
}

// textFields extend to the end of their line.
var textFields = map[string]bool{"ProfileData": true, "What": true}

type fields struct {
	pairs [][2]string
	err   error
}

// parse splits a line into its name and its fields.
func parse(line string) (string, *fields, error) {
	name, rest, _ := strings.Cut(line, " ")
	f := &fields{pairs: make([][2]string, 0, 12)}
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || strings.Contains(key, " ") {
			return name, f, fmt.Errorf("%s: not a name=value pair: %.60q", name, rest)
		}
		value := after
		rest = ""
		if !textFields[key] {
			value, rest, _ = strings.Cut(after, " ")
		}
		f.pairs = append(f.pairs, [2]string{key, value})
	}
	return name, f, nil
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

func (f *fields) text(key string) string {
	for _, p := range f.pairs {
		if p[0] == key {
			return p[1]
		}
	}
	return ""
}

func (f *fields) required(key string) string {
	s := f.text(key)
	if s == "" {
		f.fail("%s is missing", key)
	}
	return s
}

func (f *fields) integer(key string, required bool) int64 {
	s := f.text(key)
	if s == "" {
		if required {
			f.fail("%s is missing", key)
		}
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail("%s is not a whole number: %.40q", key, s)
	}
	return v
}

func (f *fields) unsigned(key string, required bool) uint64 {
	s := f.text(key)
	if s == "" {
		if required {
			f.fail("%s is missing", key)
		}
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail("%s is not a whole number: %.40q", key, s)
	}
	return v
}

func (f *fields) duration(key string, required bool) time.Duration {
	return time.Duration(f.integer(key, required))
}

func (f *fields) number(key string) float64 {
	s := f.text(key)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		f.fail("%s is not a number: %.40q", key, s)
	}
	return v
}

func (f *fields) row(key string) []float64 {
	s := f.text(key)
	if s == "" || s == "-" {
		return nil
	}
	var out []float64
	for part := range strings.SplitSeq(s, ",") {
		v, err := strconv.ParseFloat(part, 64)
		if err != nil {
			f.fail("%s is not a row of numbers: %.40q", key, s)
			return nil
		}
		out = append(out, v)
	}
	return out
}

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<20)} }

// As names the instance whose actions follow.
func (w *Writer) As(who int) { fmt.Fprintf(w.out, "AS Who=%d\n", who) }

// InternalError says that an instance's decision code failed.
func (w *Writer) InternalError(text string) {
	fmt.Fprintf(w.out, "INTERNAL_ERROR What=%s\n", oneLine(text))
}

// End closes the reply and flushes it.
func (w *Writer) End() error {
	w.out.WriteString("OK\n")
	return w.out.Flush()
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// Action writes one action.
func (w *Writer) Action(a control.Action) {
	switch a := a.(type) {
	case control.SendAttempt:
		w.write("DELIVER Rid=", a.RequestID, " Executor=", a.Engine)
		w.positive(" CapNs=", int64(a.Timeout))
	case control.Reject:
		w.write("SHED Rid=", a.RequestID)
		w.positive(" RetryInNs=", int64(a.RetryAfter))
	case control.Fail:
		w.write("REPORT_FAILURE Rid=", a.RequestID)
	case control.CancelAttempt:
		w.write("ABORT_ATTEMPT Rid=", a.RequestID, " RoundNo=", strconv.Itoa(a.Number))
	case control.SetAttemptOptions:
		w.write("EQUIP Rid=", a.RequestID, " AllotMb=", strconv.FormatFloat(a.GrantMB, 'f', -1, 64),
			" Priority=", strconv.Itoa(a.Priority))
	case control.SetTimer:
		w.write("TIMER AfterNs=", strconv.FormatInt(int64(a.After), 10), " Mark=", strconv.FormatUint(a.Token, 10))
	case control.ProbeLoad:
		w.write("SAMPLE Executor=", a.Engine)
	case control.SendGossip:
		w.write("SHARE Dest=", strconv.Itoa(a.Broker), " Octets=", hex.EncodeToString(gossip.Append(nil, a.Reports)))
	case control.WatchEndpoints:
		w.write("TRACK Enable=1")
	case control.Log:
		w.write("NOTE_DOWN What=", oneLine(a.Text))
	default:
		panic(fmt.Sprintf("wire: unknown action %T", a))
	}
	w.out.WriteByte('\n')
}

func (w *Writer) write(parts ...string) {
	for _, p := range parts {
		w.out.WriteString(p)
	}
}

func (w *Writer) positive(name string, v int64) {
	if v > 0 {
		w.write(name, strconv.FormatInt(v, 10))
	}
}
