// Package soak runs the program as separate processes on loopback, with the platform emulator beside them, and stops
// the processes under load while callers keep their connections open. All of it is in test files.
package soak
