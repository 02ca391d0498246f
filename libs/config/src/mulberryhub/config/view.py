"""Indexed view of the configuration in force, for lookups while serving requests."""


class ConfigView:
    """The inventory at a log offset, and the keys added and withdrawn since.

    `keys_by_hash` has the keys of the inventory, which take precedence, and
    `added_keys`, except withdrawn keys and keys of unknown workspaces.
    `withdrawn_hashes` are hashes of keys that must be refused even if an inventory
    lists them.
    """

    __slots__ = (
        "offset",
        "inventory",
        "keys_by_hash",
        "withdrawn_hashes",
        "workspaces_by_id",
        "models_by_id",
        "upstreams_by_id",
        "vms_by_id",
        "operators_by_hash",
        "routes_by_path",
        "engines",
        "engines_by_model",
    )

    def __init__(self, offset, inventory, withdrawn_hashes=frozenset(), added_keys=()):
        self.offset = offset
        self.inventory = inventory
        self.withdrawn_hashes = withdrawn_hashes
        self.workspaces_by_id = {item.id: item for item in inventory.workspaces}
        self.keys_by_hash = {
            key.hash: key
            for key in [*added_keys, *inventory.keys]
            if key.hash not in withdrawn_hashes
            and key.workspace in self.workspaces_by_id
        }
        self.models_by_id = {item.id: item for item in inventory.models}
        self.upstreams_by_id = {item.id: item for item in inventory.upstreams}
        self.vms_by_id = {item.id: item for item in inventory.vms}
        self.operators_by_hash = {
            item.key_hash: item
            for item in inventory.operators
            if item.key_hash not in withdrawn_hashes
        }
        self.routes_by_path = {item.path: item for item in inventory.routes}
        self.engines = [item for item in inventory.upstreams if item.kind == "engine"]
        self.engines_by_model = _engines_by_model(self.engines)

    def engines_for(self, model_id):
        """Return the engines that serve `model_id`, always the same list object."""
        return self.engines_by_model.get(model_id, [])


def _engines_by_model(engines):
    engines_by_model = {}
    for engine in engines:
        for model_id in engine.models:
            engines_by_model.setdefault(model_id, []).append(engine)
    return engines_by_model
