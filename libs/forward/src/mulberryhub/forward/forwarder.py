"""Handles client requests: authentication, admission, relay and outcome logging."""

from mulberryhub.base.logs import module_logger
from mulberryhub.forward.job import Job
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.remaining_time import stop_refusal
from mulberryhub.forward.routes import ConfigurationView, choose_service
from mulberryhub.http.messages import (
    ClientDisconnected,
    Headers,
    HttpError,
    ServerEnding,
)

NOT_READY_RETRY_AFTER_MS = 500

log = module_logger(__name__)


class Forwarder:
    """Authenticates and admits client requests and relays their answers."""

    __slots__ = (
        "_fleet_state",
        "_dialect",
        "_quotas",
        "_demand",
        "_budget",
        "_stream_versions",
        "_relay",
        "_clock",
        "_counters",
        "_view",
    )

    def __init__(
        self,
        fleet_state,
        dialect,
        quotas,
        demand,
        budget,
        stream_versions,
        relay,
        clock,
        counters,
    ):
        self._fleet_state = fleet_state
        self._dialect = dialect
        self._quotas = quotas
        self._demand = demand
        self._budget = budget
        self._stream_versions = stream_versions
        self._relay = relay
        self._clock = clock
        self._counters = counters
        self._view = None

    def view(self):
        """Return a ConfigurationView of the current configuration, or None."""
        configuration = self._fleet_state.configuration
        if configuration is None:
            return None
        if self._view is None or self._view.configuration is not configuration:
            self._view = ConfigurationView(configuration)
        return self._view

    def handle(self, request, connection):
        """Answer `request`; return whether the connection can be reused."""
        call = job = None
        try:
            call = self._dialect.read_call(request)
            job = self._admit(call)
            connection.limit_writing(job.deadline)
            self._stream_versions.find_origin(job)
            is_reusable = self._relay.run(job, connection)
        except Refusal as refusal:
            return self._refuse(refusal, request, call, job, connection)
        except ServerEnding:
            return self._refuse(stop_refusal(job), request, call, job, connection)
        except ClientDisconnected:
            self._record_not_served(request, call, job, "client_gone")
            raise
        except HttpError as error:
            self._record_not_served(request, call, job, "broken_off", str(error))
            raise
        self._record_served(request, job)
        return is_reusable

    def _admit(self, call):
        view = self.view()
        if view is None:
            raise Refusal(Reason.NOT_READY, NOT_READY_RETRY_AFTER_MS)
        route = view.route(call.host, call.path)
        if route is None:
            raise Refusal(Reason.UNKNOWN_ROUTE)
        workspace = None
        if view.configuration.requires_keys and not route.is_open:
            workspace = view.workspaces_by_key.get(call.api_key)
            if workspace is None:
                raise Refusal(Reason.UNKNOWN_KEY)
        service = view.services_by_name.get(choose_service(route))
        if service is None:
            raise Refusal(Reason.NO_UPSTREAM, NOT_READY_RETRY_AFTER_MS)
        deadline = call.request.arrived_at + route.timeout
        if call.deadline is not None:
            deadline = min(deadline, call.deadline)
        if workspace is not None:
            self._quotas.admit(workspace, request_cost(call, workspace))
        self._budget.record_request(service.name)
        self._demand.record(service, call)
        quota_weight = view.quota_weight(workspace)
        return Job(call, route, service, workspace, deadline, quota_weight)

    def _refuse(self, refusal, request, call, job, connection):
        self._record_not_served(request, call, job, refusal.reason.label)
        return self._send_refusal(refusal, job, connection)

    def _send_refusal(self, refusal, job, connection):
        if not connection.can_send_head():
            raise HttpError("request was refused after its answer had begun")
        if job is not None and job.workspace is not None and not job.runs:
            cost = request_cost(job.call, job.workspace)
            self._quotas.refund(job.workspace, cost)
        headers = Headers()
        if refusal.retry_after is not None:
            headers = self._dialect.retry_after(refusal.retry_after)
        connection.start_response(refusal.reason.status, headers, 0)
        return connection.finish_response()

    def _record_served(self, request, job):
        duration = self._clock.now() - request.arrived_at
        self._counters.add("request.served")
        self._counters.timing("request.time", duration)
        log.info(
            "request served",
            request=job.call.id,
            status=job.status,
            route=job.route.name,
            first_ms=job.first_byte_ms,
            took_ms=duration,
            **_delivered(job),
        )

    def _record_not_served(self, request, call, job, outcome, cause=None):
        self._counters.add(f"request.{outcome}")
        configuration = self._fleet_state.configuration
        log.info(
            "request not served",
            request=None if call is None else call.id,
            outcome=outcome,
            cause=cause,
            route=None if job is None else job.route.name,
            runs=0 if job is None else job.runs,
            answer_began=job is not None and job.is_answer_started,
            **_delivered(job),
            configuration=None if configuration is None else configuration.version,
            took_ms=self._clock.now() - request.arrived_at,
        )


def _delivered(job):
    """Return the log fields that tell what the client of a stream got, none if not one.

    They are the number of events, the id of the last and the upstream that sent it.
    """
    if job is None or not job.is_stream:
        return {}
    return {
        "events": job.event_count,
        "last_event": job.last_event_id,
        "last_event_from": job.last_event_upstream_id,
    }


def request_cost(call, workspace):
    """Return the cost of a request in the billing unit of its workspace.

    The unit is either requests or tokens.
    """
    if not workspace.counts_tokens:
        return 1
    if call.prompt_tokens is None:
        return workspace.default_tokens
    return call.prompt_tokens + call.output_tokens
