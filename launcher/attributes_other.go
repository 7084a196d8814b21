//go:build !linux

package launcher

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }

func awaitSuspended(int) {}
