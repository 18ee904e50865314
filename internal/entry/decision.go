package entry

import (
	"sync/atomic"

	"github.com/go-logr/logr"
)

// decisionLog logs a sample of the decisions about jobs and tasks, such as routes,
// placements and refusals: every n-th decision, where n is the field every. If every is
// 0, it logs none.
type decisionLog struct {
	logger logr.Logger
	every  uint64
	count  atomic.Uint64
}

func newDecisionLog(log logr.Logger, every int) *decisionLog {
	return &decisionLog{logger: log.V(1).WithName("decision"), every: uint64(every)}
}

// log logs the decision if it is part of the sample.
func (d *decisionLog) log(kind string, keysAndValues ...any) {
	if d.every == 0 || d.count.Add(1)%d.every != 0 {
		return
	}
	d.logger.Info(kind, keysAndValues...)
}
