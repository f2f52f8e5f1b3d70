package server

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// docs/design/crossings.md must match the code: the tests that it names exist, and it gives the source of each constant
// of the server and the reducer, as these constants apply to all deployments.
func TestRaceTableMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/crossings.md")
	if err != nil {
		t.Fatal(err)
	}
	constantDirs := slices.Concat(packageDirs(t, "."), packageDirs(t, "../broker"))
	testDirs := slices.Concat(constantDirs, packageDirs(t, "../../control"),
		[]string{"../config", "../handover", "../../cmd/wheatlane"})
	functions := map[string]bool{}
	for _, dir := range testDirs {
		for path, file := range parseDir(t, dir) {
			for _, name := range functionNames(file) {
				functions[name] = true
			}
			if strings.HasSuffix(path, "_test.go") || !slices.Contains(constantDirs, dir) {
				continue
			}
			for _, name := range constantNames(file) {
				if !strings.Contains(string(page), "`"+name+"`") {
					t.Errorf("%s: constant %s has no source in the table", path, name)
				}
			}
		}
	}
	for _, name := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1) {
		if !functions[name[1]] {
			t.Errorf("the table names test %s, which does not exist", name[1])
		}
	}
}

// packageDirs returns the directories of a package and of the packages below it.
func packageDirs(t *testing.T, root string) []string {
	t.Helper()
	entries, err := os.ReadDir(root)
	if err != nil {
		t.Fatal(err)
	}
	dirs := []string{root}
	for _, entry := range entries {
		if entry.IsDir() && entry.Name() != "testdata" {
			dirs = append(dirs, filepath.Join(root, entry.Name()))
		}
	}
	return dirs
}

// parseDir parses the Go files of a directory and returns them by path.
func parseDir(t *testing.T, dir string) map[string]*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("list Go files in %s: got %d files, error %v", dir, len(paths), err)
	}
	files := map[string]*ast.File{}
	for _, path := range paths {
		if files[path], err = parser.ParseFile(token.NewFileSet(), path, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func functionNames(file *ast.File) (names []string) {
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok {
			names = append(names, f.Name.Name)
		}
	}
	return names
}

// constantNames returns the names of a file's constants, except for members of an enumeration and texts of several
// words.
func constantNames(file *ast.File) (names []string) {
	for _, d := range file.Decls {
		decl, ok := d.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			continue
		}
		for _, spec := range decl.Specs {
			v := spec.(*ast.ValueSpec)
			if v.Type != nil || len(v.Values) == 0 { // a member of an enumeration
				continue
			}
			for i, name := range v.Names {
				if !isMultiWordText(v.Values[i]) {
					names = append(names, name.Name)
				}
			}
		}
	}
	return names
}

// isMultiWordText reports whether a constant's value is a text of several words.
func isMultiWordText(value ast.Expr) bool {
	literal, ok := value.(*ast.BasicLit)
	return ok && literal.Kind == token.STRING && strings.Contains(literal.Value, " ")
}
