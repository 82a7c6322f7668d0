package openids

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// tableBytes is the size of the file of a shared registry.
const tableBytes = tableEntries * 8

// OpenShared returns the registry in the file at a path, which is created if there is none. All processes that open it
// share its IDs. It stays open for as long as the process runs.
func OpenShared(path string) (*Registry, error) {
	file, err := openTable(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	memory, err := unix.Mmap(int(file.Fd()), 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	table := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(unsafe.SliceData(memory))), tableEntries)
	return newRegistry(table, monotonicTime), nil
}

// openTable opens the file, and creates it if it is not there. A new file is written in full before it has its name:
// memory that is mapped from a file without room would end the process.
func openTable(path string) (*os.File, error) {
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	defer os.Remove(tempPath)
	if err := os.WriteFile(tempPath, make([]byte, tableBytes), 0o600); err != nil {
		return nil, err
	}
	if err := os.Link(tempPath, path); err != nil && !os.IsExist(err) { // it is there: the former process's
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	if info, err := file.Stat(); err != nil || info.Size() != tableBytes {
		file.Close()
		return nil, fmt.Errorf("%s: not a table of IDs", path)
	}
	return file, nil
}

// monotonicTime returns the time on the machine's monotonic clock.
func monotonicTime() time.Duration {
	var now unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // fails for no valid clock
	return time.Duration(now.Nano())
}
