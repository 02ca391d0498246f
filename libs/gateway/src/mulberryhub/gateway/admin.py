"""The administration API under `/admin/`, for operators' keys only."""

import msgspec

from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import Code, HubError
from mulberryhub.config.administration import (
    AddKeyBody,
    ChangeAnswer,
    ConfigurationAnswer,
    FindingsAnswer,
    FleetAnswer,
    StatusAnswer,
    WithdrawalAnswer,
    WithdrawKeyBody,
)
from mulberryhub.config.consistency import is_hash
from mulberryhub.config.validation import validate_inventory
from mulberryhub.gateway.app import Endpoint
from mulberryhub.gateway.auth import authenticate_operator, presented_key
from mulberryhub.gateway.replies import InvalidBody, error_detail, json_reply

FIRST_OPERATOR = "first-operator"
READY_RETRY = 1_000  # ms


class Administration:
    """Handlers of the administration API.

    `first_key_hash` is that of the operator key which holds while the inventory
    names no operator. `reports_by_part` holds functions whose results `status`
    shows, such as members or allowances.
    """

    __slots__ = ("_replica", "_counters", "_first_key_hash", "_reports_by_part")

    def __init__(self, replica, counters, first_key_hash, reports_by_part=None):
        self._replica = replica
        self._counters = counters
        self._first_key_hash = first_key_hash
        self._reports_by_part = reports_by_part or {}

    def endpoints(self):
        """Return the endpoints by path."""
        return {
            "/admin/check": Endpoint("POST", self._check),
            "/admin/inventory": Endpoint("POST", self._apply),
            "/admin/configuration": Endpoint("GET", self._configuration),
            "/admin/status": Endpoint("GET", self._status),
            "/admin/fleet": Endpoint("GET", self._fleet),
            "/admin/keys/add": Endpoint("POST", self._add_key),
            "/admin/keys/withdraw": Endpoint("POST", self._withdraw_key),
        }

    def _check(self, call):
        self.require_operator(call)
        _, findings = validate_inventory(call.read_body())
        return json_reply(FindingsAnswer(findings.items))

    def _apply(self, call):
        author = self._changing_operator(call)
        base = _base(call)
        data = call.read_body()
        _, findings = validate_inventory(data)
        if findings.errors:
            return self._refuse_inventory(findings)
        return json_reply(ChangeAnswer(self._replica.apply(base, author, data)))

    def _configuration(self, call):
        self.require_operator(call)
        view = self._replica.current()
        inventory = None if view is None else view.inventory
        replica = self._replica
        answer = ConfigurationAnswer(replica.offset, inventory, replica.history)
        return json_reply(answer)

    def _status(self, call):
        self.require_operator(call)
        parts = {name: report() for name, report in self._reports_by_part.items()}
        counters = dict(self._counters.by_name)
        return json_reply(StatusAnswer(self._replica.status(), counters, parts))

    def _fleet(self, call):
        self.require_operator(call)
        wanted = dict(call.query).get("key_hash", "")
        return json_reply(FleetAnswer(self._replica.fleet(wanted)))

    def _add_key(self, call):
        author = self._changing_operator(call)
        body = decode_body(call, AddKeyBody)
        _require_hash(body.hash)
        offset = self._replica.add_key(body.base, author, body.hash, body.workspace)
        return json_reply(ChangeAnswer(offset))

    def _withdraw_key(self, call):
        author = self._changing_operator(call)
        body = decode_body(call, WithdrawKeyBody)
        _require_hash(body.hash)
        withdrawal = self._replica.withdraw_key(author, body.hash)
        status = 200 if withdrawal.is_kept else 202
        return json_reply(WithdrawalAnswer(withdrawal.offset), status)

    def require_operator(self, call):
        """Return the id of the operator of `call`, or raise HubError."""
        if not self._replica.names_operators:
            return self._first_operator(call)
        view = self._replica.current()
        if view is None:
            raise _not_ready()
        return authenticate_operator(call, view).id

    def _changing_operator(self, call):
        """Return the operator; refuse while it is unknown who the operators are."""
        author = self.require_operator(call)
        if not self._replica.is_known:
            raise _not_ready()
        return author

    def _first_operator(self, call):
        key = presented_key(call)
        digest = key_hash(key)
        is_first = bool(key) and digest == self._first_key_hash
        if not is_first or self._replica.is_withdrawn(digest):
            raise HubError(Code.NOT_OPERATOR, "the key belongs to no operator")
        return FIRST_OPERATOR

    def _refuse_inventory(self, findings):
        code = Code.INVALID_INVENTORY
        self._counters.add(f"refusal.{code.label}")
        detail = error_detail(HubError(code, "the inventory has findings"))
        return json_reply(InvalidBody(detail, findings.items), code.status)


def _not_ready():
    message = "the configuration in force is not known yet"
    return HubError(Code.NOT_READY, message, retry_after=READY_RETRY)


def _base(call):
    value = dict(call.query).get("base", "")
    try:
        return int(value)
    except ValueError:
        raise HubError(Code.BAD_REQUEST, "the query must name the base offset")


def decode_body(call, type_):
    """Return the body of `call` as `type_`, or raise HubError."""
    try:
        return msgspec.json.decode(call.read_body(), type=type_)
    except msgspec.ValidationError as error:
        raise HubError(Code.BAD_REQUEST, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise HubError(Code.MALFORMED_JSON, "the body is not valid JSON") from error


def _require_hash(value):
    if not is_hash(value):
        message = "the hash must be a SHA-256 in lower-case hexadecimal"
        raise HubError(Code.BAD_REQUEST, message)
