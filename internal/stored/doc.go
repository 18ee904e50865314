// Package stored implements durable jobs, which do not depend on the connection
// of their caller.
//
// The log is partitioned by job id and assigns its partitions to the entries. The
// owner of a partition accepts the jobs with ids in it, runs their tasks through
// package dispatch, and serves all requests on them. The acceptance of a job, the
// end of a task and the completion of a job take effect only after their record
// has been appended. The first append of an owner begins a new epoch of the
// partition; the log then rejects the appends of former owners, including those
// that arrive late.
//
// A new owner loads the partition and continues its jobs. It starts no task of a
// job that a former owner accepted until all runs of that owner must have ended:
// a former owner acts for at most the TTL of its membership, and its runs end with
// its sessions to the agents.
package stored
