"""Administration API under `/admin/`, restricted to operator keys."""

import msgspec

from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.config.administration import (
    AddKeyRequest,
    ChangeResponse,
    ConfigurationResponse,
    FindingsResponse,
    FleetResponse,
    StatusResponse,
    WithdrawalResponse,
    WithdrawKeyRequest,
)
from mulberryhub.config.consistency import is_sha256_hex
from mulberryhub.config.validation import validate_inventory
from mulberryhub.gateway.app import Endpoint
from mulberryhub.gateway.auth import authenticate_operator, presented_key
from mulberryhub.gateway.responses import (
    InvalidInventoryBody,
    error_detail,
    json_response,
)

BOOTSTRAP_OPERATOR_ID = "first-operator"
NOT_READY_RETRY_AFTER_MS = 1_000


class AdminApi:
    """Request handlers of the administration API.

    `bootstrap_key_hash` is the hash of the operator key that is accepted while the
    inventory lists no operators. `status_reports_by_name` holds functions that
    return additional sections of the status, such as the members of the fleet.
    """

    __slots__ = (
        "_replica",
        "_counters",
        "_bootstrap_key_hash",
        "_status_reports_by_name",
    )

    def __init__(
        self, replica, counters, bootstrap_key_hash, status_reports_by_name=None
    ):
        self._replica = replica
        self._counters = counters
        self._bootstrap_key_hash = bootstrap_key_hash
        self._status_reports_by_name = status_reports_by_name or {}

    def endpoints(self):
        """Return the endpoints by path."""
        return {
            "/admin/check": Endpoint("POST", self._check_inventory),
            "/admin/inventory": Endpoint("POST", self._apply_inventory),
            "/admin/configuration": Endpoint("GET", self._get_configuration),
            "/admin/status": Endpoint("GET", self._get_status),
            "/admin/fleet": Endpoint("GET", self._get_fleet),
            "/admin/keys/add": Endpoint("POST", self._add_key),
            "/admin/keys/withdraw": Endpoint("POST", self._withdraw_key),
        }

    def _check_inventory(self, request):
        self.require_operator(request)
        _, findings = validate_inventory(request.read_body())
        return json_response(FindingsResponse(findings.items))

    def _apply_inventory(self, request):
        author = self._require_operator_for_change(request)
        base_offset = _base_offset(request)
        data = request.read_body()
        _, findings = validate_inventory(data)
        if findings.errors:
            return self._invalid_inventory_response(findings)
        return json_response(
            ChangeResponse(self._replica.set_inventory(base_offset, author, data))
        )

    def _get_configuration(self, request):
        self.require_operator(request)
        view = self._replica.current()
        inventory = None if view is None else view.inventory
        replica = self._replica
        response = ConfigurationResponse(replica.offset, inventory, replica.history)
        return json_response(response)

    def _get_status(self, request):
        self.require_operator(request)
        reports = {
            name: report() for name, report in self._status_reports_by_name.items()
        }
        counters = dict(self._counters.by_name)
        return json_response(StatusResponse(self._replica.status(), counters, reports))

    def _get_fleet(self, request):
        self.require_operator(request)
        requested_hash = dict(request.query).get("key_hash", "")
        return json_response(
            FleetResponse(self._replica.router_reports(requested_hash))
        )

    def _add_key(self, request):
        author = self._require_operator_for_change(request)
        body = decode_body(request, AddKeyRequest)
        _require_hash(body.hash)
        offset = self._replica.add_key(body.base, author, body.hash, body.workspace)
        return json_response(ChangeResponse(offset))

    def _withdraw_key(self, request):
        author = self._require_operator_for_change(request)
        body = decode_body(request, WithdrawKeyRequest)
        _require_hash(body.hash)
        withdrawal = self._replica.withdraw_key(author, body.hash)
        status = 200 if withdrawal.is_logged else 202
        return json_response(WithdrawalResponse(withdrawal.offset), status)

    def require_operator(self, request):
        """Return the id of the operator who sent `request`.

        Raise ApiError if the key is not an operator's, or if it cannot be checked
        because the configuration is not confirmed in time.
        """
        if not self._replica.has_operators:
            return self._require_bootstrap_operator(request)
        return authenticate_operator(request, self._replica.wait_for_view()).id

    def _require_operator_for_change(self, request):
        """Return the operator's id; raise ApiError if the operators are not known."""
        author = self.require_operator(request)
        if not self._replica.is_known:
            raise _not_ready_error()
        return author

    def _require_bootstrap_operator(self, request):
        key = presented_key(request)
        digest = key_hash(key)
        is_bootstrap_key = bool(key) and digest == self._bootstrap_key_hash
        if not is_bootstrap_key or self._replica.is_withdrawn(digest):
            raise ApiError(ErrorCode.NOT_OPERATOR, "the key belongs to no operator")
        return BOOTSTRAP_OPERATOR_ID

    def _invalid_inventory_response(self, findings):
        code = ErrorCode.INVALID_INVENTORY
        self._counters.add(f"refusal.{code.label}")
        detail = error_detail(ApiError(code, "the inventory has findings"))
        return json_response(InvalidInventoryBody(detail, findings.items), code.status)


def _not_ready_error():
    message = "the configuration in force is not known yet"
    return ApiError(ErrorCode.NOT_READY, message, retry_after=NOT_READY_RETRY_AFTER_MS)


def _base_offset(request):
    """Return the log offset that the change in `request` is based on."""
    value = dict(request.query).get("base", "")
    try:
        return int(value)
    except ValueError:
        raise ApiError(ErrorCode.BAD_REQUEST, "the query must name the base offset")


def decode_body(request, type_):
    """Return the JSON body of `request` decoded as `type_`.

    Raise ApiError if the body is not valid JSON or does not match the type.
    """
    try:
        return msgspec.json.decode(request.read_body(), type=type_)
    except msgspec.ValidationError as error:
        raise ApiError(ErrorCode.BAD_REQUEST, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(
            ErrorCode.MALFORMED_JSON, "the body is not valid JSON"
        ) from error


def _require_hash(value):
    if not is_sha256_hex(value):
        message = "the hash must be a SHA-256 in lower-case hexadecimal"
        raise ApiError(ErrorCode.BAD_REQUEST, message)
