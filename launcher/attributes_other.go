//go:build !linux

package launcher

import "syscall"

// processAttributes returns no attributes: only Linux can kill a child with its
// parent.
func processAttributes() *syscall.SysProcAttr { return nil }

// awaitSuspended does nothing where /proc does not show the state of a process.
func awaitSuspended(int) {}

// peakBytes returns 0: only /proc shows the resident size of a process.
func peakBytes(int) (int64, error) { return 0, nil }

// dialers knows of no connection whose it is.
func dialers(map[string]int) map[int]string { return make(map[int]string) }
