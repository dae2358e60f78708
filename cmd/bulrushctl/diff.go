package main

import "strings"

// diffLines compares two texts line by line. Lines only in the first text start
// with "-", lines only in the second with "+", common lines with a space. It
// returns nil if the texts are equal.
func diffLines(a, b string) []string {
	if a == b {
		return nil
	}
	x, y := splitLines(a), splitLines(b)
	var out []string
	// The table of LCS lengths has quadratic size, so the equal lines before the
	// first and after the last difference are left out of it.
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

// diffMiddle compares what remains after common leading and trailing lines are
// removed.
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

// lcsLengths returns a table whose entry [i][j] is the length of the longest
// common subsequence of x[i:] and y[j:].
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
