// Package abuse runs the program as a process on loopback, with the platform emulator beside it, while a crowd of clients exceeds limits. It
// checks what does not depend on the speed of the machine: that the process lives, that its memory and descriptors stay within the settings,
// and that it answers an ordinary request afterwards. All of it is in test files.
package abuse
