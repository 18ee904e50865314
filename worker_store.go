package gypsumtide

import "context"

// WorkerStore persists what an agent has to know about its worker after a restart.
type WorkerStore interface {
	// SaveWorker saves the worker's description from its last heartbeat, so that a
	// restarted agent does not have to wait for the next one.
	SaveWorker(ctx context.Context, host string, info WorkerInfo) error
	// MarkStoredJobs records permanently that the worker of the host is sent tasks of
	// stored jobs.
	MarkStoredJobs(ctx context.Context, host string) error
	// LoadWorker returns the saved worker, or nil, and whether the host is marked.
	LoadWorker(ctx context.Context, host string) (info *WorkerInfo, marked bool, err error)
}
