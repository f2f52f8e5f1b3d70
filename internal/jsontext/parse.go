package jsontext

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	// MaxTextBytes limits the length of a text that Parse accepts; a list of thousands of engines is shorter.
	MaxTextBytes = 4 << 20

	maxDepth      = 64             // nested objects and arrays; a configuration has eight levels
	byteOrderMark = "\xef\xbb\xbf" // of UTF-8
	separators    = " \t\r\n,:"    // bytes that may occur between two tokens
)

// SyntaxError reports a text that is not exactly one JSON value, or exceeds a limit of Parse.
type SyntaxError struct {
	Position Position
	Reason   string
}

// Error returns the line, the column and the reason.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%d:%d: %s", e.Position.Line, e.Position.Column, e.Reason)
}

// Parse parses a text that holds exactly one JSON value. It also returns the members whose key occurs earlier in the
// same object; the tree does not contain them. Each error is a *SyntaxError.
func Parse(text []byte) (root *Node, duplicates []Member, err error) {
	start := Position{Line: 1, Column: 1}
	switch {
	case len(text) > MaxTextBytes:
		return nil, nil, &SyntaxError{
			start,
			fmt.Sprintf("text must have at most %d bytes, got %d", MaxTextBytes, len(text)),
		}
	case bytes.HasPrefix(text, []byte(byteOrderMark)):
		return nil, nil, &SyntaxError{start, "unexpected byte order mark before the JSON value"}
	}
	p := &parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	p.decoder.UseNumber()
	root, err = p.value(0)
	if err != nil {
		return nil, p.duplicates, err
	}
	offset := p.nextOffset()
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, p.duplicates, &SyntaxError{p.position(offset), "unexpected text after the JSON value"}
	}
	return root, p.duplicates, nil
}

// parser builds the tree from the tokens of encoding/json.
type parser struct {
	text       []byte
	decoder    *json.Decoder
	duplicates []Member
	lines      lineCounter
}

// lineCounter maps offsets to positions. It scans a text only once if the offsets ascend.
type lineCounter struct {
	scanned   int // offset up to which lines are counted
	line      int // number of line ends before scanned
	lineStart int // offset at which the last line starts
}

func (c *lineCounter) position(text []byte, offset int) Position {
	if offset < c.scanned {
		*c = lineCounter{}
	}
	for ; c.scanned < offset && c.scanned < len(text); c.scanned++ {
		if text[c.scanned] == '\n' {
			c.line++
			c.lineStart = c.scanned + 1
		}
	}
	return Position{Line: c.line + 1, Column: offset - c.lineStart + 1}
}

func (p *parser) position(offset int) Position { return p.lines.position(p.text, offset) }

// nextOffset returns the offset of the next token.
func (p *parser) nextOffset() int {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.text) && strings.IndexByte(separators, p.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// syntaxError converts an error of the decoder about the token at an offset.
func (p *parser) syntaxError(offset int, err error) error {
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		return &SyntaxError{p.position(max(offset, int(syntax.Offset)-1)), syntax.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &SyntaxError{p.position(len(p.text)), "JSON text is truncated"}
	}
	return &SyntaxError{p.position(offset), err.Error()}
}

// value parses the next value, which depth objects and arrays enclose.
func (p *parser) value(depth int) (*Node, error) {
	offset := p.nextOffset()
	token, err := p.decoder.Token()
	if err != nil {
		return nil, p.syntaxError(offset, err)
	}
	n := &Node{Position: p.position(offset)}
	switch token := token.(type) {
	case json.Delim:
		return n, p.container(n, token, depth)
	case json.Number:
		return n, n.setNumber(token)
	case string:
		n.Kind, n.Text = String, token
	case bool:
		n.Kind, n.Bool = Bool, token
	default:
		n.Kind = Null
	}
	return n, nil
}

func (n *Node) setNumber(literal json.Number) (err error) {
	n.Kind, n.Text = Number, literal.String()
	if n.Number, err = strconv.ParseFloat(n.Text, 64); err != nil {
		return &SyntaxError{n.Position, n.Text + " is out of range of a 64-bit float"}
	}
	return nil
}

// container parses an object or array whose opening delimiter has been read.
func (p *parser) container(n *Node, open json.Delim, depth int) error {
	if depth >= maxDepth {
		return &SyntaxError{
			n.Position,
			fmt.Sprintf("objects and lists are nested more than %d levels deep", maxDepth),
		}
	}
	parseContent := p.array
	n.Kind = Array
	if open == '{' {
		parseContent = p.object
		n.Kind = Object
	}
	if err := parseContent(n, depth+1); err != nil {
		return err
	}
	offset := p.nextOffset()
	if _, err := p.decoder.Token(); err != nil { // the closing delimiter
		return p.syntaxError(offset, err)
	}
	return nil
}

func (p *parser) object(n *Node, depth int) error {
	seen := map[string]bool{}
	for p.decoder.More() {
		offset := p.nextOffset()
		token, err := p.decoder.Token()
		if err != nil {
			return p.syntaxError(offset, err)
		}
		member := Member{Key: fmt.Sprint(token), Position: p.position(offset)}
		if member.Value, err = p.value(depth); err != nil {
			return err
		}
		if seen[member.Key] {
			p.duplicates = append(p.duplicates, member)
			continue
		}
		seen[member.Key] = true
		n.Members = append(n.Members, member)
	}
	return nil
}

func (p *parser) array(n *Node, depth int) error {
	for p.decoder.More() {
		item, err := p.value(depth)
		if err != nil {
			return err
		}
		n.Items = append(n.Items, item)
	}
	return nil
}
