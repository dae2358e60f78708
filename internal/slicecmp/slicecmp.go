// Package slicecmp compares slices by identity. Successive snapshots of the control
// state share the lists that did not change: if a list is identical to the former one,
// a value derived from it is still valid.
package slicecmp

// Identical reports whether two slices have the same length and share their memory,
// or are both empty. The elements of slices that are compared this way must not
// change.
func Identical[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
