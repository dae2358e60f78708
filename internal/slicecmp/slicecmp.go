// Package slicecmp compares slices by identity. Successive snapshots share the lists
// that did not change, so that a value derived from an identical list stays valid.
package slicecmp

// Identical reports whether two slices have the same length and share their memory,
// or are both empty. The elements of slices that are compared this way must not
// change.
func Identical[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
