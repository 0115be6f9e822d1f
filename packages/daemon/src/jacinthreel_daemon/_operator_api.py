"""HTTP API for jobs and for operators, served by every router.

Job calls are forwarded to the scheduler that owns the shard (`JobCalls`).  Configuration changes
are written to the table service (`ConfigChanger`).  Status is collected from all processes
(`StatusGatherer`).  docs/PROTOCOL.md lists the paths with examples.

Headers of a configuration change: `X-Change-Id` makes retries of the change idempotent; `X-Author`
names the operator; `If-Match` holds a configuration version, and the change is applied only if
that version is the current one.
"""

from __future__ import annotations

import dataclasses
import uuid
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from jacinthreel_common import (
    AUTHOR_HEADER,
    CHANGE_ID_HEADER,
    EXPECTED_VERSION_HEADER,
    ChangeAnswer,
    Config,
    Fault,
    HistoryLine,
    HistoryList,
    Host,
    JobSpec,
    JobState,
    ListJobs,
    Name,
    PresetList,
    PresetName,
    PresetSettings,
    ReadQuery,
    ResultCode,
    Workspace,
    WorkspaceBody,
    ZoneList,
    ZoneOutBody,
    config_history_key,
    convert,
    decode_json,
    encode_json,
)
from jacinthreel_daemon._config_changes import ChangeAccepted, ConfigChanger
from jacinthreel_daemon._config_rules import (
    ActivatePreset,
    BringZoneIn,
    Change,
    ChangeRequest,
    DeleteWorkspace,
    Initialize,
    SetPreset,
    SetWorkspace,
    TakeZoneOut,
    describe_unmet_guarantees,
)
from jacinthreel_daemon._context import RouterContext
from jacinthreel_daemon._http_server import JsonHandler, Route, write_fault
from jacinthreel_daemon._job_calls import MAX_LISTED_JOBS, JobCalls
from jacinthreel_daemon._system_status import StatusGatherer

T = TypeVar("T")
NO_CONFIG_RETRY_AFTER_MS: Final = 2_000
DEFAULT_HISTORY_VERSIONS: Final = 20
MAX_HISTORY_VERSIONS: Final = 500
MAX_AUTHOR_CHARS: Final = 200


@dataclass(slots=True)
class OperatorService:
    """Serves the HTTP API for jobs and operators on one router."""

    context: RouterContext

    def routes(self) -> list[Route]:
        """Returns the paths and their handlers, for the router's HTTP server."""
        services = _Services(
            self.context,
            JobCalls(self.context),
            ConfigChanger(self.context),
            StatusGatherer(self.context),
        )
        shared = {"services": services}
        return [
            (r"/v1/jobs", _JobsHandler, shared),
            (r"/v1/jobs/([^/]+)", _JobHandler, shared),
            (r"/v1/config", _ConfigHandler, shared),
            (r"/v1/config/history", _HistoryHandler, shared),
            (r"/v1/workspaces/([^/]+)", _WorkspaceHandler, shared),
            (r"/v1/zones", _ZonesHandler, shared),
            (r"/v1/zones/([^/]+)/out", _ZoneOutHandler, shared),
            (r"/v1/zones/([^/]+)/in", _ZoneInHandler, shared),
            (r"/v1/presets", _PresetsHandler, shared),
            (r"/v1/presets/([^/]+)", _PresetHandler, shared),
            (r"/v1/presets/([^/]+)/activate", _ActivateHandler, shared),
            (r"/v1/status", _StatusHandler, shared),
        ]


@dataclass(frozen=True, slots=True)
class _Services:
    context: RouterContext
    jobs: JobCalls
    config_changer: ConfigChanger
    status_gatherer: StatusGatherer


class _OperatorHandler(JsonHandler):
    services: _Services

    def initialize(self, services: _Services) -> None:
        self.services = services

    def decode_body(self, kind: type[T]) -> Result[T, Fault]:
        """Decodes the request body as a record of type `kind`; treats an empty body as `{}`."""
        return decode_json(kind, self.request.body or b"{}")

    def respond(self, result: Result[Any, Fault]) -> None:
        """Sends a record as JSON, or a fault as an error response with its result code."""
        if isinstance(result, Failure):
            self._respond_with_fault(result.failure())
            return
        self.set_header("Content-Type", "application/json")
        self.finish(encode_json(result.unwrap()))

    def _respond_with_fault(self, fault: Fault) -> None:
        fields = {"path": self.request.path, "code": fault.code.name, "reason": fault.detail}
        self.services.context.log_event("operator_request_refused", fields)
        self.services.context.telemetry.count(
            f'operator_refusals_total{{code="{fault.code.name}"}}'
        )
        write_fault(self, fault)

    def parse_int_argument(self, name: str, default: int, maximum: int) -> Result[int, Fault]:
        """Parses a query argument as an integer from 1 to `maximum`.

        Errors: OUT_OF_RANGE.
        """
        text = self.get_query_argument(name, str(default))
        if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= maximum:
            detail = f"{name} must be a number from 1 to {maximum}"
            return Failure(Fault(ResultCode.OUT_OF_RANGE, detail))
        return Success(int(text))

    def current_config(self) -> Result[Config, Fault]:
        """Returns the configuration applied in this process.  Errors: NO_CONFIG."""
        applied = self.services.context.config.current()
        if applied is None:
            detail = "no configuration has been received; `jacinthreel init` creates the first one"
            return Failure(Fault(ResultCode.NO_CONFIG, detail, NO_CONFIG_RETRY_AFTER_MS))
        return Success(applied.config)

    async def submit_change(self, change: Result[Change, Fault]) -> None:
        """Submits a configuration change and sends the response."""
        request = change.bind(self._build_change_request)
        if isinstance(request, Failure):
            self.respond(request)
            return
        result = await self.services.config_changer.change(request.unwrap())
        hosts = list(self.services.context.hosts.by_id().values())
        self.respond(result.map(lambda accepted: _build_change_answer(accepted, hosts)))

    def _build_change_request(self, change: Change) -> Result[ChangeRequest, Fault]:
        headers = self.request.headers
        expected = headers.get(EXPECTED_VERSION_HEADER, "").strip().strip('"')
        if expected and not (expected.isascii() and expected.isdigit()):
            detail = f"{EXPECTED_VERSION_HEADER} must be a configuration version number"
            return Failure(Fault(ResultCode.WRONG_TYPE, detail))
        change_id = headers.get(CHANGE_ID_HEADER, "") or uuid.uuid4().hex
        checked_id = convert(Name, change_id)
        if isinstance(checked_id, Failure):
            return Failure(
                Fault(ResultCode.OUT_OF_RANGE, f"{CHANGE_ID_HEADER}: {checked_id.failure().detail}")
            )
        return Success(
            ChangeRequest(
                change=change,
                change_id=change_id,
                author=headers.get(AUTHOR_HEADER, "")[:MAX_AUTHOR_CHARS],
                expected_version=int(expected) if expected else None,
            )
        )


class _JobsHandler(_OperatorHandler):
    async def post(self) -> None:
        """Submits a job."""
        spec = self.decode_body(JobSpec)
        if isinstance(spec, Failure):
            self.respond(spec)
            return
        self.respond(await self.services.jobs.submit(spec.unwrap()))

    async def get(self) -> None:
        """Lists jobs."""
        state = self.get_query_argument("state", "")
        if state and state not in set(JobState):
            self.respond(Failure(Fault(ResultCode.OUT_OF_RANGE, f"unknown job state {state!r}")))
            return
        limit = self.parse_int_argument("limit", MAX_LISTED_JOBS, MAX_LISTED_JOBS)
        if isinstance(limit, Failure):
            self.respond(limit)
            return
        workspace = self.get_query_argument("workspace", "")
        query = ListJobs(workspace=workspace, state=state, limit=limit.unwrap())
        self.respond(await self.services.jobs.list(query))


class _JobHandler(_OperatorHandler):
    async def get(self, job_id: str) -> None:
        """Returns one job."""
        self.respond(await self.services.jobs.show(job_id))

    async def delete(self, job_id: str) -> None:
        """Cancels a job."""
        self.respond(await self.services.jobs.cancel(job_id))


class _ConfigHandler(_OperatorHandler):
    def get(self) -> None:
        """Returns the configuration applied in this process."""
        self.respond(self.current_config())

    async def post(self) -> None:
        """Creates the first configuration; has no effect if one exists."""
        await self.submit_change(Success(Initialize()))


class _HistoryHandler(_OperatorHandler):
    async def get(self) -> None:
        """Lists the latest versions of the configuration, newest first."""
        limit = self.parse_int_argument("limit", DEFAULT_HISTORY_VERSIONS, MAX_HISTORY_VERSIONS)
        config = self.current_config()
        if isinstance(limit, Failure) or isinstance(config, Failure):
            self.respond(limit if isinstance(limit, Failure) else config)
            return
        newest = config.unwrap().version
        oldest = max(1, newest - limit.unwrap() + 1)
        keys = [config_history_key(version) for version in range(oldest, newest + 1)]
        read = await self.services.context.store.read(ReadQuery(keys=keys))
        if isinstance(read, Failure):
            self.respond(read)
            return
        lines: list[HistoryLine] = []
        for row in reversed(read.unwrap().rows):
            summary_fields = {name: row.value.get(name) for name in _HISTORY_FIELDS}
            line = convert(HistoryLine, summary_fields)
            if isinstance(line, Failure):
                continue
            lines.append(line.unwrap())
        self.respond(Success(HistoryList(lines)))


class _WorkspaceHandler(_OperatorHandler):
    async def put(self, name: str) -> None:
        """Creates or replaces a workspace."""
        body = self.decode_body(WorkspaceBody)
        await self.submit_change(body.bind(lambda record: _build_set_workspace(name, record)))

    async def delete(self, name: str) -> None:
        """Deletes a workspace; rejected with WORKSPACE_IN_USE while it has unended jobs."""
        in_use = await self.services.jobs.has_unended_jobs(name)
        if isinstance(in_use, Failure):
            self.respond(in_use)
            return
        if in_use.unwrap():
            detail = f"workspace {name!r} has jobs that have not ended"
            self.respond(Failure(Fault(ResultCode.WORKSPACE_IN_USE, detail)))
            return
        await self.submit_change(Success(DeleteWorkspace(name)))


class _ZonesHandler(_OperatorHandler):
    async def get(self) -> None:
        """Lists the availability zones."""
        status_gatherer = self.services.status_gatherer
        shard = await status_gatherer.fetch_shard_status()
        zones = self.current_config().map(
            lambda config: ZoneList(
                config.version, status_gatherer.list_zones(config, shard.value_or(None))
            )
        )
        self.respond(zones)


class _ZoneOutHandler(_OperatorHandler):
    async def post(self, zone: str) -> None:
        """Takes an availability zone out of service."""
        body = self.decode_body(ZoneOutBody)
        await self.submit_change(
            body.map(lambda record: TakeZoneOut(zone, record.reason, record.drain_ms))
        )


class _ZoneInHandler(_OperatorHandler):
    async def post(self, zone: str) -> None:
        """Returns an availability zone to service."""
        await self.submit_change(Success(BringZoneIn(zone)))


class _PresetsHandler(_OperatorHandler):
    def get(self) -> None:
        """Lists the presets."""
        self.respond(
            self.current_config().map(
                lambda config: PresetList(config.preset, config.version, config.presets)
            )
        )


class _PresetHandler(_OperatorHandler):
    def get(self, name: str) -> None:
        """Returns the settings of a preset."""
        preset, config = _parse_preset(name), self.current_config()
        self.respond(preset.bind(lambda key: config.map(lambda current: current.presets[key])))

    async def put(self, name: str) -> None:
        """Replaces the settings of a preset."""
        preset, body = _parse_preset(name), self.decode_body(PresetSettings)
        await self.submit_change(
            preset.bind(lambda key: body.map(lambda settings: SetPreset(key, settings)))
        )


class _ActivateHandler(_OperatorHandler):
    async def post(self, name: str) -> None:
        """Makes a preset the active one."""
        await self.submit_change(_parse_preset(name).map(ActivatePreset))


class _StatusHandler(_OperatorHandler):
    async def get(self) -> None:
        """Returns the status of the whole region."""
        self.respond(Success(await self.services.status_gatherer.gather()))


_HISTORY_FIELDS = [item.name for item in dataclasses.fields(HistoryLine)]


def _build_set_workspace(name: str, body: WorkspaceBody) -> Result[Change, Fault]:
    data = {"name": name, "guarantee": body.guarantee, "weight": body.weight}
    return convert(Workspace, msgspec.to_builtins(data)).map(SetWorkspace)


def _parse_preset(name: str) -> Result[PresetName, Fault]:
    if name not in set(PresetName):
        return Failure(Fault(ResultCode.UNKNOWN_PRESET, f"unknown preset {name!r}"))
    return Success(PresetName(name))


def _build_change_answer(accepted: ChangeAccepted, hosts: list[Host]) -> ChangeAnswer:
    unheld = describe_unmet_guarantees(accepted.config, hosts)
    return ChangeAnswer(accepted.version, accepted.change_id, accepted.changed, unheld)
