// Package settings reads the YAML settings of the programs and lists every
// error in them.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"go.yaml.in/yaml/v3"
)

// Checker is implemented by each program's settings.
type Checker interface {
	// Check returns every error found.
	Check() []error
}

// Load reads the file at path over the defaults in cfg. An empty path keeps
// the defaults. The error lists every fault found.
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

func decode(data []byte, cfg Checker) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(cfg)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
