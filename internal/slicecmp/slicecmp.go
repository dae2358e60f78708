// Package slicecmp compares slices by identity. Snapshots share lists that did
// not change, so that what was derived from one can be kept with it.
package slicecmp

// Identical reports whether two slices are the same elements in memory. Nobody
// writes to a list that is compared this way.
func Identical[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
