"""Runs a small fleet on loopback: routers, upstreams and platform stand-ins."""

import json
import tempfile
from pathlib import Path

from benchmarks.ports import free_address
from benchmarks.processes import ProcessGroup
from mulberryhub.base.digest import key_hash

DATA_CENTRES = ("bangkok-1", "bangkok-2", "bangkok-3")
MODEL = "parts-match"
OPERATOR_KEY = "operator-key-of-the-demo"
CALLER_KEYS_BY_WORKSPACE = {
    "installers": "caller-key-of-installers",
    "hotels": "caller-key-of-hotels",
}
ORDER_PATH = "/orders"


class LocalFleet:
    """A context manager that starts a fleet and stops it on exit.

    `routers_by_id` and `engines_by_id` hold the processes of routers and engines;
    `log`, `vm_list`, `kv_cache_store` and `order_worker` those of the other stand-ins.
    Settings and secrets are files in a temporary directory that is deleted on exit.
    """

    def __init__(
        self, routers=3, engines=2, engine_options=(), settings=None, services=True
    ):
        """Choose the sizes of the fleet and allocate the addresses of its routers.

        `engine_options` are command-line options of each engine, `settings` override
        the settings of each router, and `services` adds an order worker and a
        KV cache store.
        """
        self.process_group = ProcessGroup()
        self.directory = tempfile.TemporaryDirectory(prefix="mulberryhub-")
        self.router_ids = [f"vm-{index + 1}" for index in range(routers)]
        self.engine_ids = [f"engine-{index + 1}" for index in range(engines)]
        self.engine_options = engine_options
        self.settings = settings or {}
        self.includes_services = services
        self.addresses_by_id = {id_: free_address() for id_ in self.router_ids}
        self.peer_addresses_by_id = {id_: free_address() for id_ in self.router_ids}
        self.routers_by_id = {}
        self.engines_by_id = {}

    def __enter__(self):
        self.start_standins()
        for id_ in self.router_ids:
            self.start_router(id_)
        return self

    def __exit__(self, *exc):
        self.process_group.__exit__(*exc)
        self.directory.cleanup()

    def start_standins(self):
        """Start the platform stand-ins, the services and the engines."""
        start = self.process_group.start
        self.log = start("mulberryhub.standins.log")
        self.vm_list = start("mulberryhub.standins.vm_list")
        if self.includes_services:
            self.kv_cache_store = start("mulberryhub.standins.kv_cache_store")
            self.order_worker = start("mulberryhub.standins.service")
        for id_ in self.engine_ids:
            self.engines_by_id[id_] = start(
                "mulberryhub.standins.engine", "127.0.0.1:0", *self.engine_options
            )

    def start_router(self, id_):
        """Start or restart the router `id_` on its fixed address."""
        path = self.write_json(f"{id_}.json", self.router_settings(id_))
        process = self.process_group.start("mulberryhub.daemon", "--settings", path)
        self.routers_by_id[id_] = process
        return process

    def write_json(self, name, document):
        """Write `document` as JSON to the temporary directory and return its path."""
        path = Path(self.directory.name) / name
        path.write_text(json.dumps(document))
        return str(path)

    def router_settings(self, id_):
        """Return the settings of the router `id_`."""
        secrets = {"operator_key_hash": key_hash(OPERATOR_KEY)}
        return {
            "vm": id_,
            "data_centre": self.data_centre(self.router_ids.index(id_)),
            "address": self.addresses_by_id[id_],
            "peer_address": self.peer_addresses_by_id[id_],
            "log_address": self.log.address,
            "vm_list_address": self.vm_list.address,
            "secrets_file": self.write_json("secrets.json", secrets),
            "peers": [
                address
                for peer_id, address in self.peer_addresses_by_id.items()
                if peer_id != id_
            ],
            **self.settings,
        }

    def data_centre(self, index):
        """Return the data centre of the VM or upstream with the given index."""
        return DATA_CENTRES[index % len(DATA_CENTRES)]

    def inventory(self):
        """Return the inventory document that describes this fleet."""
        return {
            "vms": self._vm_entries(),
            "models": [{"id": MODEL, "version": "1"}],
            "upstreams": [*self._engine_entries(), *self._service_entries()],
            "workspaces": [
                {"id": id_, "rate": 20_000, "burst": 100_000}
                for id_ in CALLER_KEYS_BY_WORKSPACE
            ],
            "keys": [
                {"hash": key_hash(key), "workspace": id_}
                for id_, key in CALLER_KEYS_BY_WORKSPACE.items()
            ],
            "operators": [{"id": "demo", "key_hash": key_hash(OPERATOR_KEY)}],
            "routes": self._route_entries(),
        }

    def _vm_entries(self):
        return [
            {
                "id": id_,
                "data_centre": self.data_centre(index),
                "address": self.addresses_by_id[id_],
                "peer_address": self.peer_addresses_by_id[id_],
            }
            for index, id_ in enumerate(self.router_ids)
        ]

    def _engine_entries(self):
        return [
            {
                "id": id_,
                "kind": "engine",
                "data_centre": self.data_centre(index),
                "address": process.address,
                "models": [MODEL],
            }
            for index, (id_, process) in enumerate(self.engines_by_id.items())
        ]

    def _route_entries(self):
        if not self.includes_services:
            return []
        return [
            {"path": ORDER_PATH, "upstreams": ["order-worker"], "idempotent": False}
        ]

    def _service_entries(self):
        if not self.includes_services:
            return []
        return [
            {
                "id": "order-worker",
                "kind": "service",
                "data_centre": DATA_CENTRES[0],
                "address": self.order_worker.address,
            },
            {
                "id": "kept-cache",
                "kind": "kept_cache",
                "data_centre": DATA_CENTRES[0],
                "address": self.kv_cache_store.address,
            },
        ]
