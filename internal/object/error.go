package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
)

// Error is an error in the YAML text of a set of objects, with its position.
type Error struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// Error implements error.
func (e Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Errors lists every error of a set, ordered by file and line.
type Errors []Error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// sortByPosition sorts e in place by file, in the order of files, then by line and text.
func (e Errors) sortByPosition(files []File) Errors {
	fileOrder := map[string]int{}
	for i, f := range files {
		fileOrder[f.Name] = i
	}
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(cmp.Compare(fileOrder[a.File], fileOrder[b.File]), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Text, b.Text))
	})
	return e
}

// closest returns the candidate with the smallest edit distance to the word, or "" if
// there are no candidates.
func closest(word string, candidates []string) string {
	best, minDistance := "", -1
	for _, c := range candidates {
		if d := levenshtein.Distance(word, c, nil); minDistance < 0 || d < minDistance {
			best, minDistance = c, d
		}
	}
	return best
}

// suggest returns a suffix for an error message that names the closest candidate,
// or "" if there are no candidates.
func suggest(word string, candidates []string) string {
	if n := closest(word, candidates); n != "" {
		return fmt.Sprintf(", nearest is %q", n)
	}
	return ""
}
