package object

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"gypsumtide"
)

// field decodes one key of a YAML document.
type field struct {
	key      string
	required bool
	set      func(n *yaml.Node) error
}

// namePattern permits only characters that need no quoting in URLs and metric labels. A
// name begins and ends with a letter or digit.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

func checkName(s string) error {
	if !namePattern.MatchString(s) {
		return fmt.Errorf("%q is not a name: use up to 128 letters, digits, '.', '_' and '-', with a letter or digit at both ends", s)
	}
	return nil
}

// scalar returns the text of a scalar node, resolving an alias.
func scalar(n *yaml.Node) (string, error) {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" {
		return "", fmt.Errorf("must be a single value")
	}
	return n.Value, nil
}

func nameField(key string, required bool, dest *string) field {
	return field{key, required, func(n *yaml.Node) error {
		s, err := scalar(n)
		if err != nil {
			return err
		}
		if err := checkName(s); err != nil {
			return err
		}
		*dest = s
		return nil
	}}
}

func namesField(key string, dest *[]string) field {
	return field{key, false, func(n *yaml.Node) error {
		if n.Kind == yaml.AliasNode {
			n = n.Alias
		}
		if n.Kind != yaml.SequenceNode {
			return fmt.Errorf("must be a list of names")
		}
		names := make([]string, 0, len(n.Content))
		for _, item := range n.Content {
			s, err := scalar(item)
			if err != nil {
				return err
			}
			if err := checkName(s); err != nil {
				return err
			}
			if slices.Contains(names, s) {
				return fmt.Errorf("%q is listed twice", s)
			}
			names = append(names, s)
		}
		*dest = names
		return nil
	}}
}

func intField(key string, dest *int, lo, hi int) field {
	return field{key, false, func(n *yaml.Node) error {
		s, err := scalar(n)
		if err != nil {
			return err
		}
		v, err := strconv.Atoi(s)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", s)
		}
		if v < lo || v > hi {
			return fmt.Errorf("%d is outside %d to %d", v, lo, hi)
		}
		*dest = v
		return nil
	}}
}

func floatField(key string, dest *float64, lo, hi float64) field {
	return field{key, false, func(n *yaml.Node) error {
		s, err := scalar(n)
		if err != nil {
			return err
		}
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) {
			return fmt.Errorf("%q is not a number", s)
		}
		if v < lo || v > hi {
			return fmt.Errorf("%s is outside %s to %s", s, formatFloat(lo), formatFloat(hi))
		}
		*dest = v
		return nil
	}}
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// durationField decodes a duration with a unit, such as 250ms or 2s. Fractions of a
// millisecond are dropped.
func durationField(key string, dest *gypsumtide.Millis, lo, hi time.Duration) field {
	return field{key, false, func(n *yaml.Node) error {
		s, err := scalar(n)
		if err != nil {
			return err
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit, such as 250ms or 2s", s)
		}
		if d < lo || d > hi {
			return fmt.Errorf("%s is outside %s to %s", s, lo, hi)
		}
		*dest = gypsumtide.FromDuration(d)
		return nil
	}}
}

// byteUnits lists the units that bytesField accepts.
var byteUnits = []struct {
	suffix string
	shift  uint
}{{"KiB", 10}, {"MiB", 20}, {"GiB", 30}}

// bytesField decodes a number of bytes, or of KiB, MiB or GiB if it has that unit.
func bytesField(key string, dest *int64, lo, hi int64) field {
	return field{key, false, func(n *yaml.Node) error {
		s, err := scalar(n)
		if err != nil {
			return err
		}
		digits, shift := s, uint(0)
		for _, u := range byteUnits {
			if rest, ok := strings.CutSuffix(s, u.suffix); ok {
				digits, shift = strings.TrimSpace(rest), u.shift
			}
		}
		v, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number of bytes, such as 65536, 64KiB or 1MiB", s)
		}
		if v < 0 || v > hi>>shift || v<<shift < lo {
			return fmt.Errorf("%s is outside %d to %d bytes", s, lo, hi)
		}
		*dest = v << shift
		return nil
	}}
}

func enumField(key string, dest *string, values []string) field {
	return field{key, false, func(n *yaml.Node) error {
		s, err := scalar(n)
		if err != nil {
			return err
		}
		if !slices.Contains(values, s) {
			return fmt.Errorf("%q is none of %s%s", s, strings.Join(values, ", "), suggest(s, values))
		}
		*dest = s
		return nil
	}}
}
