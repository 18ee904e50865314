package schedule

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"gypsumtide/internal/standin/deployment"
)

// revision returns the revision of the configuration that an entry has applied.
func revision(ctx context.Context, e *deployment.Process) (uint64, error) {
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	status, data, err := call(ctx, http.MethodGet, e.URL()+"/v1/configuration", nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	return answer.Revision, json.Unmarshal(data, &answer)
}

// publishRace publishes two configurations concurrently on the same base
// revision, as two operators might. At most one may succeed.
func (r *runner) publishRace(ctx context.Context, s step) {
	recordEnd := r.beginFault(s.kind, "operators")
	defer recordEnd(true)
	entries := r.d.Entries()
	a, b := pick(entries, s.target), pick(entries, s.target+1)
	base, err := revision(ctx, a)
	if err != nil {
		r.printf("publish race skipped: read revision at %s: %v", a.Name(), err)
		return
	}
	var g errgroup.Group
	var statuses [2]int
	for i, e := range []*deployment.Process{a, b} {
		g.Go(func() error {
			url := fmt.Sprintf("%s/v1/configuration?base=%d&author=operator-%d", e.URL(), base, i+1)
			objects := fmt.Sprintf("kind: team\nname: shop\nweight: %d\n", s.target%5+i+1)
			status, data, err := call(ctx, http.MethodPut, url, []byte(objects))
			statuses[i] = status
			var accepted struct {
				Revision uint64 `json:"revision"`
			}
			if err == nil && status == http.StatusOK && json.Unmarshal(data, &accepted) == nil {
				r.recordAccepted(accepted.Revision)
			}
			return nil
		})
	}
	// The functions of the group always return nil.
	_ = g.Wait()
	r.printf("publish race on revision %d at %s and %s: statuses %v", base, a.Name(), b.Name(), statuses)
	if statuses[0] == http.StatusOK && statuses[1] == http.StatusOK {
		r.addProblem("two publishes on revision %d succeeded at %s and %s", base, a.Name(), b.Name())
	}
}

// recordAccepted records a revision whose publication succeeded. The highest one
// is kept.
func (r *runner) recordAccepted(rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptedRevision = max(r.acceptedRevision, rev)
}

// reportRevisionDecrease polls the revision at an entry until ctx is done and
// records a problem if it decreases without a restart of the process.
func (r *runner) reportRevisionDecrease(ctx context.Context, e *deployment.Process) error {
	// highest is the highest revision seen in the run lastRun of the process.
	var highest uint64
	lastRun := 0
	for wait(ctx, 100*time.Millisecond) {
		run := e.Runs()
		rev, err := revision(ctx, e)
		if err != nil || run != e.Runs() {
			continue
		}
		if run != lastRun {
			lastRun, highest = run, 0
		}
		if rev < highest {
			r.addProblem("%s went back from revision %d to %d", e.Name(), highest, rev)
		}
		highest = max(highest, rev)
	}
	return ctx.Err()
}

// configurationTimeout is the target time for all entries to apply a
// configuration.
const configurationTimeout = 3 * time.Second

// checkRevision waits until every entry has applied the accepted configuration with
// the highest revision, or a later one. It records a problem for each entry that has not
// applied it within configurationTimeout. It does nothing if none was accepted.
func (r *runner) checkRevision(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	for _, e := range r.d.Entries() {
		for {
			rev, err := revision(ctx, e)
			if err == nil && rev >= r.acceptedRevision || r.acceptedRevision == 0 {
				break
			}
			if !wait(ctx, 50*time.Millisecond) {
				r.addProblem("%s: revision %d in force after the run, but %d was accepted (%v)", e.Name(), rev, r.acceptedRevision, err)
				break
			}
		}
	}
}
