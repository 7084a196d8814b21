package launcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/joomcode/errorx"
)

// process is one run of the program. Restart replaces it by a new process with
// the same arguments.
type process struct {
	args []string
	cmd  *exec.Cmd
	// frozen reports whether Freeze has suspended the process and Thaw has not yet
	// resumed it.
	frozen bool
	// done is closed once the process has ended.
	done chan struct{}
}

// startProcess starts the program, appends its output to the log of that name
// and registers the process.
func (f *Fleet) startProcess(name string, args ...string) error {
	log, err := os.OpenFile(f.LogPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errorx.Decorate(err, "opening log")
	}
	defer log.Close()
	cmd := exec.Command(f.program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = processAttributes()
	if err := cmd.Start(); err != nil {
		return errorx.Decorate(err, "starting %s", name)
	}
	p := &process{args: args, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	if f.closed {
		p.kill()
	}
	return nil
}

// isClosed reports whether Close has been called.
func (f *Fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// LogPath returns the path of the file to which a process's output is appended.
func (f *Fleet) LogPath(name string) string { return filepath.Join(f.dir, name+".log") }

// findProcess returns the process with the given name, or a *NotFoundError.
func (f *Fleet) findProcess(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		return nil, &NotFoundError{Kind: "process", Name: name}
	}
	return p, nil
}

// PeakBytes returns the largest resident size that a running process has had, or 0 where the
// system does not tell.
func (f *Fleet) PeakBytes(name string) (int64, error) {
	p, err := f.findProcess(name)
	if err != nil {
		return 0, err
	}
	return peakBytes(p.cmd.Process.Pid)
}

// Restart waits until a process has ended and starts it again with the same
// addresses and settings.
func (f *Fleet) Restart(name string) error {
	p, err := f.findProcess(name)
	if err != nil {
		return err
	}
	<-p.done
	return f.startProcess(name, p.args...)
}

// Supervise starts a process again each time that it ends, until Close.
func (f *Fleet) Supervise(name string) error {
	p, err := f.findProcess(name)
	if err != nil {
		return err
	}
	go func() {
		for {
			<-p.done
			if f.isClosed() || f.startProcess(name, p.args...) != nil {
				return
			}
			if p, err = f.findProcess(name); err != nil {
				return
			}
		}
	}()
	return nil
}

// Kill sends SIGKILL to a process and waits until it has ended.
func (f *Fleet) Kill(name string) error {
	p, err := f.findProcess(name)
	if err != nil {
		return err
	}
	p.kill()
	return nil
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze suspends a process with SIGSTOP.
func (f *Fleet) Freeze(name string) error { return f.setFrozen(name, true) }

// Thaw resumes a frozen process with SIGCONT.
func (f *Fleet) Thaw(name string) error { return f.setFrozen(name, false) }

// setFrozen suspends or resumes a process. On Linux, it waits until a suspension has
// taken effect.
func (f *Fleet) setFrozen(name string, frozen bool) error {
	p, err := f.findProcess(name)
	if err != nil {
		return err
	}
	signal := syscall.SIGCONT
	if frozen {
		signal = syscall.SIGSTOP
	}
	f.mu.Lock()
	p.frozen = frozen
	f.mu.Unlock()
	if err := p.cmd.Process.Signal(signal); err != nil {
		// errors.Is does not look into the errors of errorx.
		return fmt.Errorf("signalling %s: %w", name, err)
	}
	if frozen {
		awaitSuspended(p.cmd.Process.Pid)
	}
	return nil
}

// IsRunning reports whether a process exists, has not ended and is not frozen.
func (f *Fleet) IsRunning(name string) bool {
	p, err := f.findProcess(name)
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		return !p.frozen
	}
}

// Stop asks a process with SIGTERM to shut down gracefully. It does not wait for
// the end.
func (f *Fleet) Stop(name string) error {
	p, err := f.findProcess(name)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// Reload asks a process with SIGHUP to read its settings again.
func (f *Fleet) Reload(name string) error {
	p, err := f.findProcess(name)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// ExitCode waits until a process has ended and returns its exit status, which
// is -1 if a signal killed it.
func (f *Fleet) ExitCode(ctx context.Context, name string) (int, error) {
	p, err := f.findProcess(name)
	if err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
		return 0, errors.New(name + " is still running")
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	}
}
