package schedule

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/standin/deployment"
	"gypsumtide/internal/standin/load"
)

// root is the root directory of the module.
const root = "../../.."

// buildPrograms builds the programs that a deployment runs and returns their directory.
// If GYPSUMTIDE_BIN is set, it returns that directory instead, whose programs may be
// built with -race.
func buildPrograms(t *testing.T) string {
	t.Helper()
	if bin := os.Getenv("GYPSUMTIDE_BIN"); bin != "" {
		return bin
	}
	dir := t.TempDir()
	for _, name := range deployment.Programs {
		if _, err := os.Stat(filepath.Join(root, "cmd", name)); errors.Is(err, fs.ErrNotExist) {
			t.Fatalf("the command %s does not exist", name)
		}
		out, err := exec.Command("go", "build", "-o", dir+"/", "gypsumtide/cmd/"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
	return dir
}

// backgroundLoad returns a load of stock checks, batches, and reports with stragglers. By
// its rates and mean run times it uses about 11 of the 16 slots.
func backgroundLoad() load.Config {
	return load.Config{Arrivals: "poisson", Rate: 60, ResubmitShare: 0.1, ResubmitAfter: 30, CancelShare: 0.02, CancelAfter: 40, RetryRefused: true, Classes: []load.Class{
		{Name: "stock-check", Service: "stock-check", Team: "shop", Share: 0.94, TasksMin: 1, TasksMax: 3,
			Run: load.RunTime{Kind: "fixed", Mean: 50}, Deadline: 3_000, Hints: "off", NonIdempotent: 0.2},
		{Name: "order-batch", Service: "order-batch", Team: "orders", Share: 0.02, TasksMin: 50, TasksMax: 300,
			Run: load.RunTime{Kind: "exponential", Mean: 20}, Deadline: 6_000, Hints: "right"},
		{Name: "report", Service: "stock-check", Team: "reports", Share: 0.04, TasksMin: 1, TasksMax: 4,
			Run: load.RunTime{Kind: "stragglers", Mean: 60, StragglerShare: 0.1, StragglerFactor: 20}, Deadline: 6_000, Hints: "absent", NonIdempotent: 1},
	}}
}

// runSeed runs the plan of one seed on a new deployment. The directory with the
// logs is kept if the run fails.
func runSeed(t *testing.T, bin string, seed uint64, duration time.Duration, kinds []Kind) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), duration+3*time.Minute)
	defer cancel()
	dir, err := os.MkdirTemp("", fmt.Sprintf("gypsumtide-seed-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	d, err := deployment.Start(ctx, deployment.Config{Bin: bin, Dir: dir, Entries: 3, Workers: 4, Zones: 2, Slots: 4,
		// Runs without link faults have no proxies, because only without a proxy can
		// callers distinguish a refused connection from a broken request.
		Proxies: slices.Contains(kinds, CutLink), ZoneDelay: time.Millisecond, CallerDelay: time.Millisecond, Services: []string{"stock-check", "order-batch"}})
	if err != nil {
		t.Fatalf("start in %s: %v", dir, err)
	}
	res, err := Run(ctx, d, Config{Seed: seed, Duration: duration, MeanGap: 350 * time.Millisecond, Kinds: kinds, Load: backgroundLoad(), Output: t.Output()})
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		t.Fatalf("seed %d in %s: %v", seed, dir, err)
	}
	if err := res.WriteText(t.Output()); err != nil {
		t.Fatal(err)
	}
	if !res.OK() {
		t.Fatalf("seed %d: %d violations, %d problems, logs in %s", seed, len(res.Violations), len(res.Problems), dir)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
}

// Guards against violations when faults of all kinds overlap.
func TestFaults(t *testing.T) { runSeed(t, buildPrograms(t), 1, 12*time.Second, AllKinds) }

// Guards against graceful shutdowns that interrupt requests. No fault that may interrupt
// requests happens, so the checker excuses a broken request only if the entry may not
// have accepted it.
func TestGracefulStops(t *testing.T) {
	runSeed(t, buildPrograms(t), 2, 10*time.Second, GracefulKinds)
}

// TestSeeds runs the seeds from GYPSUMTIDE_FIRST_SEED, or 1, to
// GYPSUMTIDE_SEEDS. Seeds that are divisible by 3 use only the graceful kinds.
func TestSeeds(t *testing.T) {
	lastSeed, err := strconv.Atoi(os.Getenv("GYPSUMTIDE_SEEDS"))
	if err != nil || lastSeed < 1 {
		t.Skip("GYPSUMTIDE_SEEDS is not set to a positive number")
	}
	bin := buildPrograms(t)
	firstSeed, err := strconv.Atoi(cmp.Or(os.Getenv("GYPSUMTIDE_FIRST_SEED"), "1"))
	if err != nil {
		t.Fatal(err)
	}
	for i := firstSeed - 1; i < lastSeed; i++ {
		t.Run(fmt.Sprint("seed-", i+1), func(t *testing.T) {
			kinds := AllKinds
			if i%3 == 2 {
				kinds = GracefulKinds
			}
			runSeed(t, bin, uint64(i+1), 30*time.Second, kinds)
		})
	}
}

// Guards against plans that differ between runs with the same seed, which could
// not reproduce a failure.
func TestPlan(t *testing.T) {
	Convey("A seed determines the plan, which ends all faults before the end of the run and contains every kind", t, func() {
		const duration = 60 * time.Second
		steps := plan(7, AllKinds, duration, 300*time.Millisecond)
		So(reflect.DeepEqual(steps, plan(7, AllKinds, duration, 300*time.Millisecond)), ShouldBeTrue)
		So(reflect.DeepEqual(steps, plan(8, AllKinds, duration, 300*time.Millisecond)), ShouldBeFalse)
		seen := map[Kind]bool{}
		for _, s := range steps {
			seen[s.kind] = true
			So(s.at+s.length, ShouldBeLessThanOrEqualTo, duration-recoveryTime/2)
		}
		So(len(seen), ShouldEqual, len(AllKinds))
	})
}
