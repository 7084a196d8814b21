package cmd

import "errors"

// Exit statuses of every command.
const (
	statusOK       = 0
	statusFailure  = 1
	statusBadInput = 2
	statusConflict = 3
	statusUnknown  = 4
	statusRefused  = 5
)

// statusHelp describes the exit statuses in the help of commands.
const statusHelp = `Exit status: 0 done, 1 failed (not accepted), 2 bad input, 3 conflict with
another change, 4 outcome unknown, 5 refused or not authorized.`

// statusError wraps an error with the exit status of the process.
type statusError struct {
	status int
	err    error
}

// Error implements error.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *statusError) Unwrap() error { return e.err }

// badInput wraps err with the exit status statusBadInput.
func badInput(err error) error { return &statusError{status: statusBadInput, err: err} }

// exitStatus returns the process's exit status for an error.
func exitStatus(err error) int {
	var status *statusError
	switch {
	case err == nil:
		return statusOK
	case errors.As(err, &status):
		return status.status
	}
	return statusFailure
}
