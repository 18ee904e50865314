// Package settings loads the YAML settings of the programs and validates them.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"go.yaml.in/yaml/v3"
)

// Checker is implemented by the settings of each program.
type Checker interface {
	// Check validates the settings and returns every error found.
	Check() []error
}

// Load decodes the file at path into cfg, which holds the defaults, and validates the
// result. If path is empty, the defaults are kept. The error lists every validation error.
func Load(path string, cfg Checker) error {
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		if err := decode(data, cfg); err != nil {
			return fmt.Errorf("settings: %s: %w", path, err)
		}
	}
	if errs := cfg.Check(); len(errs) > 0 {
		return fmt.Errorf("settings: %w", errors.Join(errs...))
	}
	return nil
}

// decode decodes YAML into cfg. Unknown keys are an error; an empty file is not.
func decode(data []byte, cfg Checker) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(cfg)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
