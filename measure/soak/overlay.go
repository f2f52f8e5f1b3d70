package main

import (
	"context"
	_ "embed" // for the shim files
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// The shim files, which the build adds to packages of the standard library.
var (
	//go:embed shim/syscall.go.txt
	syscallShim string
	//go:embed shim/time.go.txt
	timeShim string
)

// edit inserts text after the first line that equals after.
type edit struct{ after, insert string }

// patch is a list of edits to one file of the standard library.
type patch struct {
	file  string // relative to the folder of library sources
	edits []edit
}

// transferEdit fails or shortens the transfer of a read or write. The verbs are the fault names for sockets and files.
const transferEdit = `	if p, err = injectTransfer(faultKind(fd, "%s", "file%s"), p); err != nil {
		return -1, err
	}`

// callEdit fails a system call. The verbs are the fault name of the call and its result values ahead of the error.
const callEdit = `	if errno, failed := injectFault("%s"); failed {
		return %serrno
	}`

var patches = []patch{
	{"time/time.go", []edit{{
		"	sec, nsec, mono := runtimeNow()", "	sec, nsec = steppedWall(sec, nsec, mono)",
	}}},
	{"syscall/syscall_unix.go", []edit{
		{"func Read(fd int, p []byte) (n int, err error) {", fmt.Sprintf(transferEdit, "read", "read")},
		{"func Write(fd int, p []byte) (n int, err error) {", fmt.Sprintf(transferEdit, "write", "write")},
		{"func Connect(fd int, sa Sockaddr) (err error) {", fmt.Sprintf(callEdit, "connect", "")},
		{"func Socket(domain, typ, proto int) (fd int, err error) {", fmt.Sprintf(callEdit, "socket", "-1, ")},
	}},
	{"syscall/syscall_linux.go", []edit{
		{"func Accept4(fd int, flags int) (nfd int, sa Sockaddr, err error) {", fmt.Sprintf(callEdit, "accept", "-1, nil, ")},
		{"func Open(path string, mode int, perm uint32) (fd int, err error) {", fmt.Sprintf(callEdit, "open", "-1, ")},
		{"func Rename(oldpath string, newpath string) (err error) {", fmt.Sprintf(callEdit, "rename", "")},
	}},
}

const pointerShim = `package syscall

import "unsafe"

func faultPointer(ts *Timespec) unsafe.Pointer { return unsafe.Pointer(ts) }
`

// buildShimmed builds the program of a package with the shims and returns its path. It derives the patched files from
// the installed standard library and writes them to dir.
func buildShimmed(ctx context.Context, dir, pkg string) (program string, err error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("run go env GOROOT: %w", err)
	}
	sources := filepath.Join(strings.TrimSpace(string(out)), "src")
	replace := map[string]string{}
	add := func(name, text string) error {
		path := filepath.Join(dir, strings.ReplaceAll(name, "/", "_"))
		replace[filepath.Join(sources, name)] = path
		return os.WriteFile(path, []byte(text), 0o600)
	}
	for _, p := range patches {
		text, err := p.apply(sources)
		if err != nil {
			return "", err
		}
		if err := add(p.file, text); err != nil {
			return "", err
		}
	}
	for name, text := range map[string]string{
		"syscall/zz_faults.go": syscallShim, "syscall/zz_pointer.go": pointerShim, "time/zz_steps.go": timeShim,
	} {
		if err := add(name, text); err != nil {
			return "", err
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlayPath := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayPath, overlay, 0o600); err != nil {
		return "", err
	}
	program = filepath.Join(dir, "wheatlane-shimmed")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlayPath, "-o", program, pkg)
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build with shims: %w\n%s", err, out)
	}
	return program, nil
}

// apply returns the text of the file with the edits. It fails if the file lacks the line of an edit.
func (p *patch) apply(sources string) (string, error) {
	content, err := os.ReadFile(filepath.Join(sources, p.file))
	if err != nil {
		return "", err
	}
	text := string(content)
	for _, e := range p.edits {
		line := "\n" + e.after + "\n"
		if !strings.Contains(text, line) {
			return "", fmt.Errorf("%s has no line %q: the shim does not fit this library", p.file, e.after)
		}
		text = strings.Replace(text, line, line+e.insert+"\n", 1)
	}
	return text, nil
}
