package engine

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"wheatlane/internal/resp"
)

// Commands and statuses of the engine protocol.
const (
	commandQuery       = "want"
	commandCancel      = "never_mind"
	commandSetPriority = "hurry"
	commandFetchPage   = "turn"
	commandRelease     = "shut"
	commandLiveness    = "there"
	commandLoad        = "busy"

	statusOK    = "OK"
	statusRows  = "ROWS"
	statusErr   = "ERR"
	statusBusy  = "BUSY"
	statusAlive = "UP"

	noFields = "-"
)

// commandWordCount is the number of words of each command, its name included.
var commandWordCount = map[string]int{
	commandQuery: 4, commandCancel: 2, commandSetPriority: 3, commandFetchPage: 3, commandRelease: 2,
	commandLiveness: 2, commandLoad: 2,
}

var errUnknownCommand = errors.New("engine: unknown command")

// processCommands executes the complete commands at the start of buf and returns the number of bytes that it consumed.
func (s *Server) processCommands(c *brokerConn, buf []byte) (used int, err error) {
	for {
		parts, n, err := resp.Parse(buf[used:])
		if err != nil || n == 0 {
			return used, err
		}
		used += n
		words := make([]string, 0, len(parts))
		for _, p := range parts {
			words = append(words, string(p))
		}
		if err := s.execute(c, words); err != nil {
			return used, err
		}
	}
}

// execute executes one command. It returns errUnknownCommand for an unknown command or a wrong number of words.
func (s *Server) execute(c *brokerConn, words []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notifyWorker()
	if len(words) < 2 || len(words) != commandWordCount[words[0]] {
		return errUnknownCommand
	}
	id := words[1]
	switch words[0] {
	case commandQuery:
		s.startQuery(c, id, words[2], words[3])
	case commandCancel:
		if s.owners[id] == c && s.model.Cancel(s.now(), id) {
			s.endAttempt(id)
		}
	case commandSetPriority: // ignored: the emulated engine has no priorities
	case commandFetchPage:
		s.sendPage(c, id, words[2])
	case commandRelease:
		delete(s.results, id)
	case commandLiveness:
		s.send(c, id, statusAlive, noFields, "")
	case commandLoad:
		s.send(c, id, statusAlive, s.loadReport(), "")
	}
	return nil
}

// sendPage sends the page of a result with the given number. s.mu must be held.
func (s *Server) sendPage(c *brokerConn, requestID, number string) {
	pages := s.results[requestID].pages
	if page, err := strconv.Atoi(number); err != nil || page < 0 || page >= len(pages) {
		s.send(c, requestID, statusErr, noFields, "no such page")
	} else {
		s.send(c, requestID, statusRows, "sheet="+number, pages[page])
	}
}

// loadReport returns the fields of the response to a load probe. s.mu must be held.
func (s *Server) loadReport() string {
	jobs, threads := s.model.Running()
	queued := max(0, jobs-s.cfg.MaxQueries/2)
	busy := threads / s.cfg.Cores
	return fmt.Sprintf("l=queue:%d;x1:%.3f;x0:%.3f", queued, min(1, busy), min(1, busy/2))
}

// startQuery submits a query to the model, and answers it unless it was admitted. s.mu must be held.
func (s *Server) startQuery(c *brokerConn, id, fields, statement string) {
	values := parseFields(fields)
	className, key := values["sort"], values["op"]
	s.observer.AttemptReceived(Attempt{
		Engine: s.ID, RequestID: id, Class: className, IdempotencyKey: key, Statement: statement,
		Timeout: parseMilliseconds(values["patience"]), ReceivedAt: time.Now(),
	})
	defer func() {
		if s.owners[id] == nil { // answered already
			s.observer.AttemptEnded(s.ID, id, time.Now())
		}
	}()
	class := s.classes[className]
	if class == nil {
		s.send(c, id, statusErr, noFields, "no such class")
		return
	}
	job := Job{RequestID: id, Class: class, IdempotencyKey: key, DataSet: dataSetOf(statement)}
	switch s.model.Submit(s.now(), job) {
	case AtCapacity:
		s.send(c, id, statusBusy, noFields, "")
	case Duplicate:
		s.sendResult(c, id, class, 0)
	case Admitted:
		s.owners[id] = c
	}
}

// parseMilliseconds parses a duration in milliseconds. It returns 0 for text that is not an integer.
func parseMilliseconds(text string) time.Duration {
	ms, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// parseFields parses comma-separated NAME=VALUE pairs.
func parseFields(text string) map[string]string {
	values := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		values[name] = value
	}
	return values
}

// dataSetOf returns the number of the data set in a statement's schema, such as 17 in sales_17.orders, or 0 if there
// is none.
func dataSetOf(statement string) int {
	_, after, _ := strings.Cut(statement, "_")
	digits, _, _ := strings.Cut(after, ".")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return n
}
