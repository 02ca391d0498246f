"""Sample inventories, decoded or as JSON."""

import msgspec

from mulberryhub.base.digest import key_hash
from mulberryhub.config.inventory import (
    Inventory,
    Key,
    Model,
    Operator,
    Vm,
    Workspace,
)

OPERATOR_KEY = "operator-key"


def small_inventory(rate=100.0, keys=("caller-key",), vms=()):
    return Inventory(
        vms=[Vm(f"vm{i}", "bkk-1", *addresses) for i, addresses in enumerate(vms)],
        models=[Model("m", "1")],
        workspaces=[Workspace("w", rate, 1000.0)],
        keys=[Key(key_hash(key), "w") for key in keys],
        operators=[Operator("ana", key_hash(OPERATOR_KEY))],
    )


def document(**options):
    return msgspec.json.encode(small_inventory(**options))
