"""Entry point of the `jacinthreel` command: runs it and maps errors to exit statuses."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import cyclopts

from jacinthreel_cli._config_commands import init, preset_app, workspace_app, zone_app
from jacinthreel_cli._exit import CommandError, ExitStatus
from jacinthreel_cli._explain import explain
from jacinthreel_cli._job_commands import job_app
from jacinthreel_cli._request_commands import codes_app, request_app
from jacinthreel_cli._session import Common, Session
from jacinthreel_cli._summary import summary
from jacinthreel_cli._top import top
from jacinthreel_cli._views import render_status
from jacinthreel_common import SystemStatus

app = cyclopts.App(
    name="jacinthreel",
    help="Operates jacinthreel: jobs, workspaces, availability zones and presets.",
)
app.command(init)
app.command(explain)
app.command(summary)
app.command(top)
for group in (job_app, workspace_app, zone_app, preset_app, request_app, codes_app):
    app.command(group)


@app.command
def status(*, common: Common | None = None) -> None:
    """Shows hosts, the shard owner, workers, zones, workspaces and the job queue."""
    session = Session(common)
    session.show(session.get(SystemStatus, "/v1/status"), render_status)


def run(arguments: Sequence[str]) -> ExitStatus:
    """Runs one command and returns its exit status; errors are printed to stderr."""
    try:
        app(list(arguments), exit_on_error=False, result_action="return_none")
    except cyclopts.CycloptsError:
        return ExitStatus.USAGE
    except CommandError as error:
        sys.stderr.write("\n".join(error.stderr_lines()) + "\n")
        return error.status
    except KeyboardInterrupt:
        sys.stderr.write("interrupted\n")
        return ExitStatus.UNKNOWN
    return ExitStatus.DONE


def main() -> None:
    """Runs the command in `sys.argv` and exits with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
