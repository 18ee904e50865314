// Package deps keeps module requirements that packages under development need.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/agext/levenshtein"
	_ "github.com/go-logr/logr"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/urfave/cli/v3"
	_ "github.com/wcharczuk/go-chart/v2"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
