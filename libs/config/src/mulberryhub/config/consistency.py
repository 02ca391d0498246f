"""Validates ids, references, ranges and addresses of an inventory.

Types are validated when it is decoded.
"""

import re

SHA256_HEX = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65_535


def is_sha256_hex(value):
    """Return whether `value` is a SHA-256 digest in lower-case hexadecimal."""
    return SHA256_HEX.fullmatch(value) is not None


def check_consistency(inventory, findings):
    """Add a finding for each duplicate id, dangling reference and invalid value."""
    _check_all_unique(inventory, findings)
    _check_vms(inventory, findings)
    _check_upstreams(inventory, findings)
    _check_workspaces(inventory, findings)
    _check_keys(inventory, findings)
    _check_routes(inventory, findings)
    _check_rules(inventory.rules, findings)


def _check_all_unique(inventory, findings):
    _check_unique(inventory.vms, "vms", "id", findings)
    _check_unique(inventory.models, "models", "id", findings)
    _check_unique(inventory.upstreams, "upstreams", "id", findings)
    _check_unique(inventory.workspaces, "workspaces", "id", findings)
    _check_unique(inventory.keys, "keys", "hash", findings)
    _check_unique(inventory.operators, "operators", "id", findings)
    _check_unique(inventory.operators, "operators", "key_hash", findings)
    _check_unique(inventory.routes, "routes", "path", findings)


def _check_unique(items, collection, field, findings):
    first_index_by_value = {}
    for index, item in enumerate(items):
        value = getattr(item, field)
        path = f"$.{collection}[{index}].{field}"
        if value == "":
            findings.error(path, "must not be empty")
        elif value in first_index_by_value:
            first = f"$.{collection}[{first_index_by_value[value]}]"
            findings.error(path, f"{value!r} is already used by {first}")
        first_index_by_value.setdefault(value, index)


def _check_vms(inventory, findings):
    if not inventory.vms:
        findings.warning("$.vms", "no VM is listed")
    for index, vm in enumerate(inventory.vms):
        _check_address(vm.address, f"$.vms[{index}].address", findings)
        _check_address(vm.peer_address, f"$.vms[{index}].peer_address", findings)


def _check_upstreams(inventory, findings):
    model_ids = {model.id for model in inventory.models}
    for index, upstream in enumerate(inventory.upstreams):
        path = f"$.upstreams[{index}]"
        _check_address(upstream.address, f"{path}.address", findings)
        _check_references(
            upstream.models, model_ids, "model", f"{path}.models", findings
        )
        _check_positive(upstream, ("block_tokens", "slots"), path, findings)
        _check_not_negative(upstream, ("prefill_cost",), path, findings)


def _check_workspaces(inventory, findings):
    model_ids = {model.id for model in inventory.models}
    for index, workspace in enumerate(inventory.workspaces):
        path = f"$.workspaces[{index}]"
        _check_references(
            workspace.models, model_ids, "model", f"{path}.models", findings
        )
        _check_not_negative(workspace, ("rate", "burst"), path, findings)
        _check_positive(workspace, ("weight",), path, findings)


def _check_keys(inventory, findings):
    workspace_ids = {workspace.id for workspace in inventory.workspaces}
    operator_hashes = {operator.key_hash for operator in inventory.operators}
    for index, key in enumerate(inventory.keys):
        path = f"$.keys[{index}]"
        _check_hash(key.hash, f"{path}.hash", findings)
        if key.workspace not in workspace_ids:
            findings.error(
                f"{path}.workspace", f"the workspace {key.workspace!r} is not listed"
            )
        if key.hash in operator_hashes:
            findings.error(f"{path}.hash", "the key is also an operator's key")
    for index, operator in enumerate(inventory.operators):
        _check_hash(operator.key_hash, f"$.operators[{index}].key_hash", findings)


def _check_routes(inventory, findings):
    kinds_by_id = {upstream.id: upstream.kind for upstream in inventory.upstreams}
    for index, route in enumerate(inventory.routes):
        path = f"$.routes[{index}]"
        if not route.path.startswith("/"):
            findings.error(f"{path}.path", "must start with '/'")
        if not route.upstreams:
            findings.error(f"{path}.upstreams", "must not be empty")
        _check_references(
            route.upstreams, kinds_by_id, "upstream", f"{path}.upstreams", findings
        )
        for position, upstream in enumerate(route.upstreams):
            if kinds_by_id.get(upstream, "service") != "service":
                findings.error(
                    f"{path}.upstreams[{position}]", f"{upstream!r} is not a service"
                )


def _check_rules(rules, findings):
    fields = ("latency_weight", "recomputation_weight")
    _check_not_negative(rules, fields, "$.rules", findings)
    fields = ("first_token_deadline", "idle_timeout", "loads_at_once")
    _check_positive(rules, fields, "$.rules", findings)


def _check_references(ids, known_ids, item_type, path, findings):
    for index, value in enumerate(ids):
        if value not in known_ids:
            findings.error(
                f"{path}[{index}]", f"the {item_type} {value!r} is not listed"
            )


def _check_not_negative(item, fields, path, findings):
    for field in fields:
        if getattr(item, field) < 0:
            findings.error(f"{path}.{field}", "must not be negative")


def _check_positive(item, fields, path, findings):
    for field in fields:
        if getattr(item, field) <= 0:
            findings.error(f"{path}.{field}", "must be above 0")


def _check_hash(value, path, findings):
    if not is_sha256_hex(value):
        findings.error(path, "must be a SHA-256 in lower-case hexadecimal")


def _check_address(value, path, findings):
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        findings.error(path, f"{value!r} is not host:port")
