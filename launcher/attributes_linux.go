package launcher

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
	"time"
)

// processAttributes ties a process to this one, so that none is left behind.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// awaitSuspended returns once every thread of a process has stopped, which may
// be a while after the signal.
func awaitSuspended(pid int) {
	for deadline := time.Now().Add(suspendBound); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return
		}
		// The state follows the command's name, which is in parentheses.
		rest := stat[bytes.LastIndexByte(stat, ')')+1:]
		if bytes.HasPrefix(rest, []byte(" T")) {
			return
		}
	}
}

const suspendBound = 5 * time.Second
