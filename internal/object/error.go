package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
)

// Error is a fault in the text of a set.
type Error struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// Error implements error.
func (e Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Errors lists every fault of a set in the order of the text.
type Errors []Error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

func (e Errors) sorted(files []File) Errors {
	rank := map[string]int{}
	for i, f := range files {
		rank[f.Name] = i
	}
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(cmp.Compare(rank[a.File], rank[b.File]), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Text, b.Text))
	})
	return e
}

// nearest returns the candidate with the fewest edits from the word.
func nearest(word string, candidates []string) string {
	best, least := "", -1
	for _, c := range candidates {
		if d := levenshtein.Distance(word, c, nil); least < 0 || d < least {
			best, least = c, d
		}
	}
	return best
}

// hint names the nearest candidate, for the end of an error text.
func hint(word string, candidates []string) string {
	if n := nearest(word, candidates); n != "" {
		return fmt.Sprintf(", nearest is %q", n)
	}
	return ""
}
