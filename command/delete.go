package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/platform"
)

var deleteVerb = &verb{
	name:    "delete",
	summary: "delete a record",
	usage: `[-revision N] KIND NAME

Deletes a record. With -revision it is deleted only if it still has that revision.`,
	run: func(ctx context.Context, i *invocation) error {
		url := i.platformFlag()
		revision := i.flags.Int64("revision", platform.AnyRevision, "delete the record only if it has revision `N`; -1 is any")
		if err := i.parse(2, 2); err != nil {
			return err
		}
		kind, err := parseKind(i.flags.Arg(0))
		if err != nil {
			return err
		}
		p, err := connect(*url)
		if err != nil {
			return err
		}
		name := i.flags.Arg(1)
		if err := p.Delete(ctx, kind, name, *revision); err != nil {
			return errors.Wrapf(err, "%s/%s", kind, name)
		}
		fmt.Fprintf(i.Out, "%s/%s deleted\n", kind, name)
		return nil
	},
}
