"""Command line of the development tools: ``python -m kumquat_lab``."""

import typer

from . import check_commands, measure_commands, server_commands

app = typer.Typer(
    help="Stand-ins, load tool and experiments for kumquatrouter.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
for commands in (server_commands, check_commands, measure_commands):
    app.add_typer(commands.app)


if __name__ == "__main__":
    app()
