"""Serves one request from its arrival to its end."""

from mulberryhub.base.logs import module_logger
from mulberryhub.forward.job import Job
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.routes import ConfigurationView, choose_service
from mulberryhub.http.messages import ClientGone, Headers, HttpError

NOT_READY_RETRY = 500  # ms

log = module_logger(__name__)


class Forwarder:
    """Checks requests, admits them and has them relayed."""

    __slots__ = (
        "_beliefs",
        "_dialect",
        "_quotas",
        "_demand",
        "_budget",
        "_relay",
        "_clock",
        "_counters",
        "_view",
    )

    def __init__(
        self, beliefs, dialect, quotas, demand, budget, relay, clock, counters
    ):
        self._beliefs = beliefs
        self._dialect = dialect
        self._quotas = quotas
        self._demand = demand
        self._budget = budget
        self._relay = relay
        self._clock = clock
        self._counters = counters
        self._view = None

    def view(self):
        """Return the ConfigurationView in force, or None before the first."""
        configuration = self._beliefs.configuration
        if configuration is None:
            return None
        if self._view is None or self._view.configuration is not configuration:
            self._view = ConfigurationView(configuration)
        return self._view

    def handle(self, request, connection):
        """Answer `request`; return whether the connection can be used again."""
        call = job = None
        try:
            call = self._dialect.read_call(request)
            job = self._admit(call)
            alive = self._relay.run(job, connection)
        except Refusal as refusal:
            self._note_end(request, call, job, refusal.reason.label)
            return self._refuse(refusal, job, connection)
        except ClientGone:
            self._note_end(request, call, job, "client_gone")
            raise
        except HttpError as error:
            self._note_end(request, call, job, "broken_off", str(error))
            raise
        self._note_served(request, job)
        return alive

    def _admit(self, call):
        view = self.view()
        if view is None:
            raise Refusal(Reason.NOT_READY, NOT_READY_RETRY)
        route = view.route(call.host, call.path)
        if route is None:
            raise Refusal(Reason.UNKNOWN_ROUTE)
        workspace = None
        if not route.is_open and view.workspaces_by_key:
            workspace = view.workspaces_by_key.get(call.key)
            if workspace is None:
                raise Refusal(Reason.UNKNOWN_KEY)
        service = view.services_by_name.get(choose_service(route))
        if service is None:
            raise Refusal(Reason.NO_UPSTREAM, NOT_READY_RETRY)
        end = call.request.arrived + route.timeout
        if call.deadline is not None:
            end = min(end, call.deadline)
        if workspace is not None:
            self._quotas.admit(workspace, request_cost(call, workspace))
        self._budget.record_request(service.name)
        self._demand.note(service, call)
        return Job(call, route, service, workspace, end)

    def _refuse(self, refusal, job, connection):
        if job is not None and job.is_started:
            raise HttpError("refused after the answer began")
        if job is not None and job.workspace is not None and not job.runs:
            cost = request_cost(job.call, job.workspace)
            self._quotas.refund(job.workspace, cost)
        headers = Headers()
        if refusal.retry_after is not None:
            headers = self._dialect.retry_after(refusal.retry_after)
        connection.start_answer(refusal.reason.status, headers, 0)
        return connection.finish_answer()

    def _note_served(self, request, job):
        took = self._clock.now() - request.arrived
        self._counters.add("request.served")
        self._counters.timing("request.time", took)
        log.info(
            "request served",
            request=job.call.id,
            status=job.status,
            route=job.route.name,
            first_ms=job.first_ms,
            took_ms=took,
        )

    def _note_end(self, request, call, job, outcome, cause=None):
        self._counters.add(f"request.{outcome}")
        configuration = self._beliefs.configuration
        log.info(
            "request not served",
            request=None if call is None else call.id,
            outcome=outcome,
            cause=cause,
            route=None if job is None else job.route.name,
            runs=0 if job is None else job.runs,
            answer_began=job is not None and job.is_started,
            configuration=None if configuration is None else configuration.version,
            took_ms=self._clock.now() - request.arrived,
        )


def request_cost(call, workspace):
    """Return what a request counts in the unit of its workspace."""
    if not workspace.counts_tokens:
        return 1
    if call.prompt_tokens is None:
        return workspace.default_tokens
    return call.prompt_tokens + call.output_tokens
