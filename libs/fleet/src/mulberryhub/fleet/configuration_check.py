"""Validates a configuration before an operator sends it.

Addresses changes that routers would accept but could not serve: all findings are
reported at once, with paths in the field names of `mulberryhub.fleet.records`. What
makes requests fail or is ambiguous is an error; what has no effect is a warning.
Messages never contain API keys.
"""

from mulberryhub.fleet.records import RequestKind

POSITIVE_ROUTE_FIELDS = ("timeout", "target_latency")
NATURAL_ROUTE_FIELDS = ("target_gap",)
NATURAL_SERVICE_FIELDS = ("slots", "kv_capacity")
NATURAL_WORKSPACE_FIELDS = ("rate", "burst", "default_tokens")
POSITIVE_LIMITS = ("header_bytes", "header_time", "idle_time")
NATURAL_LIMITS = ("body_bytes",)


def check_configuration(configuration, findings):
    """Add a finding for each invalid, unused or contradictory entry."""
    _check_unique_names(configuration.routes, "routes", findings)
    _check_unique_names(configuration.services, "services", findings)
    _check_unique_names(configuration.workspaces, "workspaces", findings)
    _check_unique_prefixes(configuration.routes, findings)
    services_by_name = {service.name: service for service in configuration.services}
    for index, route in enumerate(configuration.routes):
        path = f"$.routes[{index}]"
        _check_targets(route, services_by_name, path, findings)
        _check_route_limits(route, path, findings)
    _check_services(configuration, findings)
    _check_keys(configuration, findings)
    for index, workspace in enumerate(configuration.workspaces):
        _check_quota(workspace, f"$.workspaces[{index}]", findings)
    _check_client_limits(configuration.limits, findings)


def check_version(configuration, in_force, findings):
    """Add an error unless `configuration` is newer than the one in force.

    Routers keep the one with the higher version, so the change would have no effect.
    """
    if configuration.version <= in_force.version:
        findings.error(
            "$.version", f"must be above {in_force.version}, the version in force"
        )


def _check_unique_names(items, collection, findings):
    first_index_by_name = {}
    for index, item in enumerate(items):
        path = f"$.{collection}[{index}].name"
        first_index = first_index_by_name.setdefault(item.name, index)
        if not item.name:
            findings.error(path, "must not be empty")
        elif first_index != index:
            findings.error(
                path, f"{item.name!r} is already used by entry {first_index}"
            )


def _check_unique_prefixes(routes, findings):
    first_by_host_and_prefix = {}
    for index, route in enumerate(routes):
        path = f"$.routes[{index}].path_prefix"
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            findings.error(path, f"{prefix!r} must begin and end with '/'")
        host_and_prefix = (route.host.lower(), prefix)
        first = first_by_host_and_prefix.setdefault(host_and_prefix, index)
        if first != index:
            findings.error(path, f"entry {first} has the same host and prefix")


def _check_targets(route, services_by_name, path, findings):
    weights = [target.weight for target in route.targets]
    if not route.targets:
        findings.error(f"{path}.targets", "must not be empty")
    elif min(weights) >= 0 and sum(weights) == 0:
        findings.error(f"{path}.targets", "the weights sum to 0")
    for index, target in enumerate(route.targets):
        target_path = f"{path}.targets[{index}]"
        service = services_by_name.get(target.service)
        if service is None:
            message = f"the service {target.service!r} is not listed"
            findings.error(f"{target_path}.service", message)
        elif service.cache_address:
            message = f"{target.service!r} is a KV cache store and serves no requests"
            findings.error(f"{target_path}.service", message)
        if target.weight < 0:
            findings.error(f"{target_path}.weight", "must not be negative")
        elif target.weight == 0 and sum(weights) > 0:
            findings.warning(f"{target_path}.weight", "0: the target gets no requests")


def _check_route_limits(route, path, findings):
    _check_positive(route, POSITIVE_ROUTE_FIELDS, path, findings)
    _check_not_negative(route, NATURAL_ROUTE_FIELDS, path, findings)
    for field in ("target_latency", "target_gap"):
        if getattr(route, field) > route.timeout > 0:
            findings.warning(f"{path}.{field}", "is above the timeout of the route")
    if route.max_attempts < 1:
        findings.warning(f"{path}.max_attempts", "has the same effect as 1")
    is_resumed = route.kind is RequestKind.STREAMING and route.is_resumable
    if route.max_attempts > 1 and not (
        route.kind is RequestKind.IDEMPOTENT or is_resumed
    ):
        message = "has no effect: neither idempotent nor a stream that is resumed"
        findings.warning(f"{path}.max_attempts", message)
    if route.is_resumable and route.kind is not RequestKind.STREAMING:
        message = "has no effect: the route is not a streaming one"
        findings.warning(f"{path}.is_resumable", message)


def _check_services(configuration, findings):
    used = {
        target.service for route in configuration.routes for target in route.targets
    }
    for index, service in enumerate(configuration.services):
        path = f"$.services[{index}]"
        _check_not_negative(service, NATURAL_SERVICE_FIELDS, path, findings)
        if service.name not in used and not service.cache_address:
            findings.warning(path, f"no route uses the service {service.name!r}")
        for field in NATURAL_SERVICE_FIELDS:
            if service.models and getattr(service, field) == 0:
                findings.warning(f"{path}.{field}", "is 0 although models are listed")


def _check_keys(configuration, findings):
    if configuration.requires_keys and not configuration.workspaces:
        findings.warning("$.workspaces", "is empty: no request has a valid key")
    first_index_by_key = {}
    for index, workspace in enumerate(configuration.workspaces):
        path = f"$.workspaces[{index}].keys"
        if not workspace.keys:
            findings.warning(path, "is empty: no request can use the workspace")
        elif not configuration.requires_keys:
            findings.warning(path, "are not used: the list of workspaces is absent")
        for position, key in enumerate(workspace.keys):
            first_index = first_index_by_key.setdefault(key, index)
            if first_index != index:
                message = f"the key is already used by entry {first_index}"
                findings.error(f"{path}[{position}]", message)


def _check_quota(workspace, path, findings):
    _check_not_negative(workspace, NATURAL_WORKSPACE_FIELDS, path, findings)
    if workspace.default_tokens > 0 and not workspace.counts_tokens:
        message = "has no effect: the workspace is limited by requests"
        findings.warning(f"{path}.default_tokens", message)
    default_cost = workspace.default_tokens if workspace.counts_tokens else 1
    if workspace.rate > 0 and workspace.burst == 0:
        findings.warning(f"{path}.burst", "is 0 although there is a rate")
    elif workspace.rate > 0 and 0 < workspace.burst < default_cost:
        message = (
            f"is below {default_cost}, the cost of a request without a token count"
        )
        findings.warning(f"{path}.burst", message)
    elif workspace.rate == 0 and workspace.burst > 0:
        findings.warning(f"{path}.rate", "is 0 although there is a burst")


def _check_client_limits(limits, findings):
    _check_positive(limits, POSITIVE_LIMITS, "$.limits", findings)
    _check_not_negative(limits, NATURAL_LIMITS, "$.limits", findings)
    if 0 < limits.idle_time < limits.header_time:
        findings.warning("$.limits.idle_time", "is below the time for the header")


def _check_positive(item, fields, path, findings):
    for field in fields:
        if getattr(item, field) <= 0:
            findings.error(f"{path}.{field}", "must be above 0")


def _check_not_negative(item, fields, path, findings):
    for field in fields:
        if getattr(item, field) < 0:
            findings.error(f"{path}.{field}", "must not be negative")
