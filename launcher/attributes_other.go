//go:build !linux

package launcher

import "syscall"

// processAttributes returns no attributes: only Linux can kill a child with its
// parent.
func processAttributes() *syscall.SysProcAttr { return nil }

// awaitSuspended does nothing where /proc does not show the state of a process.
func awaitSuspended(int) {}
