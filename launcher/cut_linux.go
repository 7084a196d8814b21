package launcher

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// inodePrefix starts the name of a socket among the open files of a process.
const inodePrefix = "socket:["

// dialers returns which of the processes has which local port open, by the port.
func dialers(pids map[string]int) map[int]string {
	owners := make(map[string]string)
	for name, pid := range pids {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			continue
		}
		for _, file := range files {
			if link, err := os.Readlink(file); err == nil && strings.HasPrefix(link, inodePrefix) {
				owners[strings.TrimSuffix(link[len(inodePrefix):], "]")] = name
			}
		}
	}
	ports := make(map[int]string)
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ports
	}
	defer table.Close()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		// The second field is the local address in hexadecimal, the tenth the inode.
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || owners[fields[9]] == "" {
			continue
		}
		_, digits, _ := strings.Cut(fields[1], ":")
		if port, err := strconv.ParseInt(digits, 16, 32); err == nil {
			ports[int(port)] = owners[fields[9]]
		}
	}
	return ports
}
