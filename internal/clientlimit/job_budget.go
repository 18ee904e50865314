package clientlimit

import "sync"

const (
	// jobShare is the share of the memory for jobs in progress.
	jobShare = 0.15
	// jobByteCost is the cost of a byte of a job's payloads, or of the results of an answer: the
	// payload, its message to a worker, the result, the answer and their garbage.
	jobByteCost = 6
	// jobDivisor is the share of the free part that a job may take if more than half of the
	// budget is taken, so that large jobs leave room for small ones.
	jobDivisor = 4
)

// JobBudget bounds the memory of jobs in progress and of answers that are being sent. It is safe for
// concurrent use.
type JobBudget struct {
	limit int64

	mu   sync.Mutex
	cost int64
}

// NewJobBudget returns a JobBudget with its share of the machine's memory.
func NewJobBudget(l Limits) *JobBudget {
	return &JobBudget{limit: int64(jobShare * l.withDefaults().memory())}
}

// Admit reports whether there is room for a job whose payloads, or an answer whose results, have n
// bytes. If so, the caller must call release once the job has ended and its answer is written. Any
// job is admitted while at most half of the budget is taken, so that the largest legal one is
// refused only beside many others.
func (b *JobBudget) Admit(n int64) (release func(), ok bool) {
	cost := n * jobByteCost
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cost > b.limit/2 && cost > (b.limit-b.cost)/jobDivisor {
		return nil, false
	}
	b.cost += cost
	return func() { b.release(cost) }, true
}

func (b *JobBudget) release(cost int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cost -= cost
}
