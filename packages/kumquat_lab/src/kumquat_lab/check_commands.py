"""Commands that check the invariants and generate documentation."""

from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from .check_model import run_checks
from .command_runners import JsonFile
from .compare import write_json
from .doc_tables import render_page
from .torture import run_torture

__all__ = ["app"]

app = typer.Typer()


@app.command(name="check-model")
def check_model() -> None:
    """Explore the specifications of the protocols exhaustively."""
    if not run_checks():
        raise typer.Exit(1)


@app.command("doc-tables")
def doc_tables(
    page: Annotated[Path, typer.Argument()] = Path("docs/configuration.md"),
) -> None:
    """Rewrite the generated tables of the configuration page."""
    page.write_text(render_page(page.read_text()))


@app.command()
def torture(
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=1, max=120)] = 30.0,
    hosts: Annotated[int, typer.Option(help="entry hosts for each client account")] = 4,
    fault: Annotated[
        list[str] | None, typer.Option(help="inject only this kind; repeatable")
    ] = None,
    json_file: JsonFile = None,
) -> None:
    """Run random faults under load; exit status 1 on a violated invariant."""
    result = uvloop.run(run_torture(seed, seconds, hosts, only_faults=fault or ()))
    write_json(asdict(result), json_file)
    if result.violated:
        raise typer.Exit(1)
