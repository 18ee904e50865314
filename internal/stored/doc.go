// Package stored implements stored jobs: jobs that are kept in a log
// (gypsumtide.JobLog), so that they continue when their caller disconnects or the
// entry that accepted them fails. An entry is a server process that accepts jobs from
// callers and has their tasks run by workers. It reaches the workers through agents. A
// run is one attempt to carry out a task.
//
// The log is partitioned by job id. The entries form a group, and the log assigns
// each partition to one member of it. This owner of a partition accepts the jobs with
// ids in it, runs their tasks through package dispatch, and answers all requests about
// them. The acceptance of a job, the end of a run that completed its task or failed, and
// the final state of a job take effect only after their record has been appended to the
// log. The first append of an owner begins a new epoch of the partition; the log then
// rejects the appends of former owners, including those that arrive late.
//
// A new owner loads the partition and continues its jobs. It starts no task of a
// job that a former owner accepted until all runs of that owner must have ended: an
// owner acts until the TTL of its group membership expires at the latest, and the
// agents end its runs after they have lost their sessions to it.
package stored
