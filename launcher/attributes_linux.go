package launcher

import "syscall"

// processAttributes ties a process to this one, so that none is left behind.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
