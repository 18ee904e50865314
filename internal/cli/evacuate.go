package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"gypsumtide/internal/object"
	"gypsumtide/internal/operator"
)

// evacuateZone publishes the current objects with an evacuation of the zone added, or
// removed. The publish conflicts if another one comes in between.
func evacuateZone(ctx context.Context, cmd *cli.Command) error {
	zone := cmd.Args().First()
	if zone == "" || cmd.Args().Len() > 1 {
		return errors.New("give the name of one availability zone")
	}
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	edit, state := object.AddEvacuation, "is evacuated"
	if cmd.Bool("end") {
		edit, state = object.RemoveEvacuation, "is no longer evacuated"
	}
	objects, err := edit([]byte(current.Objects), zone)
	if err != nil {
		return err
	}
	response, err := client.Publish(ctx, current.Revision, objects, author(cmd))
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "availability zone %s %s, revision %d published\n", zone, state, response.Revision)
	return nil
}

// checkEndedEvacuations returns an error if the changes end an evacuation, unless the command
// allows it. The files of an operator often lack an evacuation that another one has added.
func checkEndedEvacuations(cmd *cli.Command, changes []object.Change) error {
	if cmd.Bool("end-evacuations") {
		return nil
	}
	for _, c := range changes {
		if c.Kind == object.KindEvacuation && c.Action != object.Added {
			return fmt.Errorf("nothing published: the files would end or change evacuation %s; add it to the files, or use --end-evacuations", c.Name)
		}
	}
	return nil
}

func listEvacuations(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		response, err := client.Evacuations(ctx)
		if err != nil {
			return err
		}
		_, err = writeJSON(cmd, response)
		return err
	}
	nodes, err := client.Nodes(ctx)
	if err != nil {
		return err
	}
	return writeEvacuations(ctx, cmd, client, nodes)
}

// writeEvacuations prints a line for each evacuated zone with the nodes that have not taken
// note, which are those that report an older revision.
func writeEvacuations(ctx context.Context, cmd *cli.Command, client *operator.Client, nodes []operator.Node) error {
	response, err := client.Evacuations(ctx)
	var problem *operator.Problem
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		// An entry of an earlier program version still lists its nodes.
		fmt.Fprintln(cmd.Root().ErrWriter, "the entry does not report evacuations")
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range response.Evacuations {
		var behind []string
		for _, n := range nodes {
			if n.Revision < e.Revision {
				behind = append(behind, n.Name)
			}
		}
		line := fmt.Sprintf("availability zone %s is evacuated since revision %d at %s, %d of %d nodes have taken note",
			e.Zone, e.Revision, timeText(e.Time), len(nodes)-len(behind), len(nodes))
		if len(behind) > 0 {
			line += ", not " + strings.Join(behind, ", ")
		}
		fmt.Fprintln(cmd.Root().Writer, line)
	}
	return nil
}
