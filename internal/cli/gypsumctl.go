package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"gypsumtide"
	"gypsumtide/internal/object"
	"gypsumtide/internal/operator"
	"gypsumtide/internal/program"
)

// operatorTimeout limits a request to an entry. It is longer than an entry waits for
// the log.
const operatorTimeout = 10 * time.Second

// Gypsumctl returns the command line of gypsumctl, the operators' client.
func Gypsumctl() *cli.Command {
	authorFlag := &cli.StringFlag{Name: "author", Usage: "`NAME` that the history shows as the author; default is the user who runs the command"}
	files := &cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Required: true, TakesFile: true, Usage: "`FILE` with objects, or - for standard input (repeatable)"}
	return &cli.Command{
		Name:    "gypsumctl",
		Usage:   "publish and inspect the configuration, manage nodes and read decision logs",
		Version: program.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Value: "http://127.0.0.1:7001", Usage: "`URL` of an entry", Sources: cli.EnvVars("GYPSUMTIDE_ENTRY")},
			&cli.BoolFlag{Name: "json", Usage: "print the response of the entry as JSON; applies to get, history, explain, nodes and evacuations"},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the shared key of the entry; needed for changes if the entry has one", Sources: cli.EnvVars("GYPSUMTIDE_KEY_FILE")},
		},
		Commands: []*cli.Command{
			{
				Name: "apply", Usage: "check the files as one set and publish it", Action: applySet,
				Flags: []cli.Flag{
					files,
					&cli.Uint64Flag{Name: "base", Usage: "`REVISION` that the set replaces; default is the current one"},
					authorFlag,
					&cli.BoolFlag{Name: "end-evacuations", Usage: "publish files that lack an evacuation in force, which ends it"},
				},
			},
			{Name: "diff", Usage: "show what the files would change", Flags: []cli.Flag{files}, Action: diffSet},
			{Name: "get", Usage: "print the current objects", Action: getSet},
			{Name: "history", Usage: "list the most recent publishes", Action: listHistory},
			{
				Name: "explain", Usage: "show which objects apply to a service and a team, and why", Action: explain,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
					&cli.StringFlag{Name: "team", Usage: "`NAME` of the team"},
				},
			},
			{
				Name: "evacuate", Usage: "publish the current objects with an evacuation of an availability zone, in which no task may start then", ArgsUsage: "ZONE", Action: evacuateZone,
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "end", Usage: "publish them without the evacuation instead"},
					authorFlag,
				},
			},
			{Name: "evacuations", Usage: "list evacuated availability zones, and the nodes that have not taken note", Action: listEvacuations},
			{Name: "nodes", Usage: "list entries and agents", Action: listNodes},
			{Name: "drain", Usage: "make an entry or agent accept no new work and finish its work in progress", ArgsUsage: "NODE", Action: drainNode},
			{Name: "retire", Usage: "record that the host of an agent is permanently removed", ArgsUsage: "AGENT", Action: retireAgent},
			{Name: "trace", Usage: "print the decision lines of a job from the logs of several processes; ID is that of the job or of its request", ArgsUsage: "ID FILE...", Action: traceJob},
			{
				Name: "log-summary", Usage: "count the jobs that ended in each second, by outcome and reason", ArgsUsage: "FILE...", Action: summarizeLogs,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "plot", Usage: "also plot the counts as SVG to `FILE`"},
					&cli.BoolFlag{Name: "breakdown", Usage: "print the outcomes by route, number of tasks, availability zone and entry instead"},
				},
			},
			versionCommand("gypsumctl"),
		},
	}
}

func operatorClient(cmd *cli.Command) (*operator.Client, error) {
	key := ""
	if path := cmd.String("key-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("key-file: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	return operator.NewClient(cmd.String("entry"), &http.Client{Timeout: operatorTimeout}, key), nil
}

// readSet reads the files given by --file and checks them as one set. It returns
// their joined text and the parsed set.
func readSet(cmd *cli.Command) ([]byte, *object.Set, error) {
	var files []object.File
	for _, path := range cmd.StringSlice("file") {
		var data []byte
		var err error
		if path == "-" {
			data, err = io.ReadAll(cmd.Root().Reader)
		} else {
			data, err = os.ReadFile(path)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("read objects: %w", err)
		}
		files = append(files, object.File{Name: path, Data: data})
	}
	set, err := object.Parse(files...)
	if err != nil {
		return nil, nil, err
	}
	return object.Join(files), set, nil
}

// readCurrent fetches the current configuration and parses its objects.
func readCurrent(ctx context.Context, client *operator.Client) (operator.ConfigurationResponse, *object.Set, error) {
	current, err := client.Configuration(ctx)
	if err != nil {
		return operator.ConfigurationResponse{}, nil, err
	}
	set, err := object.Parse(object.File{Name: fmt.Sprintf("revision-%d", current.Revision), Data: []byte(current.Objects)})
	if err != nil {
		return operator.ConfigurationResponse{}, nil, fmt.Errorf("parse the current objects: %w", err)
	}
	return current, set, nil
}

func applySet(ctx context.Context, cmd *cli.Command) error {
	objects, set, err := readSet(cmd)
	if err != nil {
		return err
	}
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	base := cmd.Uint64("base")
	if !cmd.IsSet("base") {
		current, currentSet, err := readCurrent(ctx, client)
		if err != nil {
			return err
		}
		if bytes.Equal([]byte(current.Objects), objects) {
			fmt.Fprintf(cmd.Root().Writer, "revision %d has the same text, nothing published\n", current.Revision)
			return nil
		}
		changes := object.Diff(currentSet, set)
		writeChanges(cmd.Root().Writer, changes)
		if err := checkEndedEvacuations(cmd, changes); err != nil {
			return err
		}
		base = current.Revision
	}
	response, err := client.Publish(ctx, base, objects, author(cmd))
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "revision %d published\n", response.Revision)
	return nil
}

func author(cmd *cli.Command) string {
	if name := cmd.String("author"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func writeChanges(w io.Writer, changes []object.Change) {
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "no object changes")
	}
}

func diffSet(ctx context.Context, cmd *cli.Command) error {
	_, set, err := readSet(cmd)
	if err != nil {
		return err
	}
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	_, currentSet, err := readCurrent(ctx, client)
	if err != nil {
		return err
	}
	writeChanges(cmd.Root().Writer, object.Diff(currentSet, set))
	return nil
}

func getSet(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	if done, err := writeJSON(cmd, current); done {
		return err
	}
	w := cmd.Root().Writer
	if current.Revision == 0 {
		fmt.Fprintln(w, "# revision 0: nothing published, the defaults apply")
		return nil
	}
	fmt.Fprintf(w, "# revision %d by %s at %s\n", current.Revision, current.Author, timeText(current.Time))
	if current.Error != "" {
		fmt.Fprintf(w, "# the entry cannot parse this revision and keeps using an older one: %s\n", strings.ReplaceAll(current.Error, "\n", "\n# "))
	}
	fmt.Fprint(w, current.Objects)
	return nil
}

// writeJSON prints the response as JSON if --json is set, and reports whether it did.
func writeJSON(cmd *cli.Command, response any) (done bool, err error) {
	if !cmd.Bool("json") {
		return false, nil
	}
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	return true, enc.Encode(response)
}

func timeText(m gypsumtide.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}

func listHistory(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	history, err := client.History(ctx)
	if err != nil {
		return err
	}
	if done, err := writeJSON(cmd, history); done {
		return err
	}
	return writeTable(cmd.Root().Writer, "TIME\tAUTHOR\tBASE\tRESULT", len(history), func(i int) string {
		e := history[i]
		result := fmt.Sprintf("revision %d", e.Revision)
		if !e.Accepted {
			result = fmt.Sprintf("conflict with revision %d", e.Revision)
		}
		return fmt.Sprintf("%s\t%s\t%d\t%s", timeText(e.Time), e.Author, e.Base, result)
	})
}

func explain(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	e, err := client.Explain(ctx, cmd.String("service"), cmd.String("team"))
	if err != nil {
		return err
	}
	if done, err := writeJSON(cmd, e); done {
		return err
	}
	w := cmd.Root().Writer
	fmt.Fprintf(w, "revision %d\npool %s: placement %s, queue %s, overcommit %d, reserve-short-percent %d\n",
		e.Revision, e.Pool.Name, e.Pool.Placement, e.Pool.Queue, e.Pool.Overcommit, e.Pool.ReserveShortPercent)
	for _, l := range e.Limits {
		fmt.Fprintf(w, "limit %s: %s\n", l.Name, limitText(l))
	}
	fmt.Fprintln(w, "because")
	for _, reason := range e.Reasons {
		fmt.Fprintf(w, "  %s\n", reason)
	}
	return nil
}

func limitText(l object.Limit) string {
	var parts []string
	if l.Rate > 0 {
		parts = append(parts, fmt.Sprintf("rate %g/s with burst %d", l.Rate, l.Burst))
	}
	if l.Concurrency > 0 {
		parts = append(parts, fmt.Sprintf("concurrency %d", l.Concurrency))
	}
	if l.QueueLength > 0 {
		parts = append(parts, fmt.Sprintf("queue-length %d", l.QueueLength))
	}
	return strings.Join(parts, ", ")
}

func listNodes(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	nodes, err := client.Nodes(ctx)
	if err != nil {
		return err
	}
	if done, err := writeJSON(cmd, nodes); done {
		return err
	}
	if err := writeEvacuations(ctx, cmd, client, nodes); err != nil {
		return err
	}
	return writeTable(cmd.Root().Writer, "NAME\tKIND\tZONE\tRACK\tSTATE\tREVISION\tSHARDS\tSLOTS\tRUNNING\tQUEUED", len(nodes), func(i int) string {
		n := nodes[i]
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d", n.Name, n.Kind, n.Zone, n.Rack, n.State, n.Revision, n.Shards, n.Slots, n.Running, n.Queued)
	})
}

func writeTable(w io.Writer, header string, rows int, row func(i int) string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for i := range rows {
		fmt.Fprintln(t, row(i))
	}
	return t.Flush()
}

func drainNode(ctx context.Context, cmd *cli.Command) error {
	return nodeAction(ctx, cmd, (*operator.Client).Drain, "drains")
}

func retireAgent(ctx context.Context, cmd *cli.Command) error {
	return nodeAction(ctx, cmd, (*operator.Client).Retire, "is retired")
}

// nodeAction calls act with the node that the argument names, and prints the name
// followed by result.
func nodeAction(ctx context.Context, cmd *cli.Command, act func(*operator.Client, context.Context, string) error, result string) error {
	name := cmd.Args().First()
	if name == "" || cmd.Args().Len() > 1 {
		return errors.New("give the name of one node")
	}
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	if err := act(client, ctx, name); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s %s\n", name, result)
	return nil
}
