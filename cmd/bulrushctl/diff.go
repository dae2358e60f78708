package main

import "strings"

// diffLines compares two texts line by line. Lines of the first text alone
// start with "-", lines of the second alone with "+", common ones with a space.
// It returns nil when the texts are equal.
func diffLines(a, b string) []string {
	if a == b {
		return nil
	}
	x, y := splitLines(a), splitLines(b)
	var out []string
	// The table of common lengths is quadratic, so the equal lines before and
	// after the first and last difference stay out of it.
	for len(x) > 0 && len(y) > 0 && x[0] == y[0] {
		out = append(out, " "+x[0])
		x, y = x[1:], y[1:]
	}
	end := []string{}
	for len(x) > 0 && len(y) > 0 && x[len(x)-1] == y[len(y)-1] {
		end = append([]string{" " + x[len(x)-1]}, end...)
		x, y = x[:len(x)-1], y[:len(y)-1]
	}
	out = append(out, diffMiddle(x, y)...)
	return append(out, end...)
}

// diffMiddle compares lines that differ at both ends.
func diffMiddle(x, y []string) []string {
	common := lcsLengths(x, y)
	var out []string
	i, j := 0, 0
	for i < len(x) || j < len(y) {
		switch {
		case i < len(x) && j < len(y) && x[i] == y[j]:
			out = append(out, " "+x[i])
			i, j = i+1, j+1
		case j == len(y) || (i < len(x) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "-"+x[i])
			i++
		default:
			out = append(out, "+"+y[j])
			j++
		}
	}
	return out
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// lcsLengths returns the length of the longest common subsequence of the
// rests x[i:] and y[j:].
func lcsLengths(x, y []string) [][]int32 {
	out := make([][]int32, len(x)+1)
	for i := range out {
		out[i] = make([]int32, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				out[i][j] = out[i+1][j+1] + 1
			} else {
				out[i][j] = max(out[i+1][j], out[i][j+1])
			}
		}
	}
	return out
}
