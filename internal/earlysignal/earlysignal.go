// Package earlysignal ignores SIGHUP while a process starts. A program that reloads its configuration on SIGHUP
// installs its handler after package initialization; before that, SIGHUP would terminate the process, which is the
// default action. The C constructor in this package runs when the program is loaded, before the Go runtime starts. No
// reload is lost, as the configuration has not been read at that time.
package earlysignal

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }

static void restore_hangup(void) { signal(SIGHUP, SIG_DFL); }
*/
import "C"

// RestoreHangup restores the default action of SIGHUP, which terminates the process, for commands that do not serve. It
// must be called before a call of signal.Notify for SIGHUP.
func RestoreHangup() { C.restore_hangup() }
