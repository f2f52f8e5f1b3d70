// Package docs_test checks that the pages name what the code has.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	root          = ".."
	decisionsPage = "design/decisions.md"
	glossaryPage  = "glossary.md"
)

// symbols are the names that a package declares: types, functions, constants and variables, and `Type.Member` for
// methods and fields.
type symbols map[string]bool

// parsePackage returns what the package of a folder declares outside of its tests; nil if it has no Go files.
func parsePackage(t *testing.T, folder string) symbols {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var declared symbols
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if declared == nil {
			declared = symbols{}
		}
		for _, declaration := range file.Decls {
			declared.add(declaration)
		}
	}
	return declared
}

func (s symbols) add(declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		s[receiverPrefix(declaration)+declaration.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			s.addSpec(spec)
		}
	}
}

func (s symbols) addSpec(spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s[name.Name] = true
		}
	case *ast.TypeSpec:
		s[spec.Name.Name] = true
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					s[spec.Name.Name+"."+name.Name] = true
				}
			}
		}
	}
}

// receiverPrefix is `Type.` for a method and empty for a function.
func receiverPrefix(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	receiver := f.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// packagesByFolder are all packages of the module.
func packagesByFolder(t *testing.T) map[string]symbols {
	t.Helper()
	packages := map[string]symbols{}
	for _, top := range []string{"control", "internal", "cmd", "measure"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(name string, entry os.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			folder, err := filepath.Rel(root, name)
			if err != nil {
				return err
			}
			if declared := parsePackage(t, folder); declared != nil {
				packages[filepath.ToSlash(folder)] = declared
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}

// codeReference is a package, or a name in one: `control/slowstart`, `control/slowstart.Policy.Allows`,
// `control.Class`. A package without a slash may be named by the last element of its folder.
var codeReference = regexp.MustCompile("`([a-z][a-z0-9]*(?:/[a-z0-9]+)*)((?:\\.[A-Za-z][A-Za-z0-9]*){0,2})`")

// names reports whether a package, or a name in it, exists.
func names(packages map[string]symbols, folder, symbol string) bool {
	symbol = strings.TrimPrefix(symbol, ".")
	for known, declared := range packages {
		matches := known == folder || !strings.Contains(folder, "/") && path.Base(known) == folder
		if matches && (symbol == "" || declared[symbol]) {
			return true
		}
	}
	return false
}

// lastCells are the last cells of the rows of a page's tables, without headings and rules.
func lastCells(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var cells []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| ---") {
			continue
		}
		parts := strings.Split(strings.Trim(line, "|"), " | ")
		cells = append(cells, strings.TrimSpace(parts[len(parts)-1]))
	}
	return cells
}

func TestPagesNameWhatTheCodeHas(t *testing.T) {
	t.Parallel()
	packages := packagesByFolder(t)
	for _, page := range []string{decisionsPage, glossaryPage} {
		t.Run(page, func(t *testing.T) {
			t.Parallel()
			checked := 0
			for _, cell := range lastCells(t, page) {
				for _, reference := range codeReference.FindAllStringSubmatch(cell, -1) {
					checked++
					if !names(packages, reference[1], reference[2]) {
						t.Errorf("the code has no %s%s", reference[1], reference[2])
					}
				}
			}
			if checked == 0 {
				t.Error("the page names nothing")
			}
		})
	}
}

var policyList = regexp.MustCompile(`(?m)^policy = \[(.*)\]$`)

// Each file that decides is named on the page of decisions.
func TestDecisionsPageNamesEachPolicyFile(t *testing.T) {
	t.Parallel()
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(decisionsPage)
	if err != nil {
		t.Fatal(err)
	}
	list := policyList.FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file has no list of policy files")
	}
	for quoted := range strings.SplitSeq(string(list[1]), ",") {
		file := strings.Trim(strings.TrimSpace(quoted), `"`)
		if _, err := os.Stat(filepath.Join(root, file)); err != nil {
			t.Errorf("policy file %s: %v", file, err)
		}
		if !strings.Contains(string(page), "`"+file+"`") {
			t.Errorf("the page does not name %s", file)
		}
	}
}
