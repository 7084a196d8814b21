package launcher

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
	"time"
)

// processAttributes returns attributes that make the kernel kill the child when
// this process ends, so that no child process is left behind.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// awaitSuspended waits until the kernel reports a process as stopped. A stop
// signal has taken effect only when every thread has stopped, which may be a
// while after the signal was sent. awaitSuspended also returns when the process
// has ended or suspendTimeout has passed.
func awaitSuspended(pid int) {
	for deadline := time.Now().Add(suspendTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
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

// peakBytes returns the largest resident size that a process has had.
func peakBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	var kib int64
	if _, err := fmt.Fscan(bytes.NewReader(rest), &kib); err != nil {
		return 0, err
	}
	return kib << 10, nil
}

const suspendTimeout = 5 * time.Second
