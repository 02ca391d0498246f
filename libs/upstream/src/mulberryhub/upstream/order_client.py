"""Client of the engines' interface for reading model versions and sending orders."""

from mulberryhub.base.logs import module_logger
from mulberryhub.upstream.engine_calls import read_load, send_call
from mulberryhub.upstream.errors import EngineFailure

LOAD_READ_TIMEOUT_MS = 2_000
ORDER_TIMEOUT_MS = 5_000

log = module_logger(__name__)


class OrderClient:
    """Reads model versions from engines and sends orders to them.

    Each request uses a new connection.
    """

    __slots__ = ()

    def read_versions(self, engine):
        """Return the versions on the engine by model, or None if the read fails."""
        try:
            return read_load(engine, LOAD_READ_TIMEOUT_MS).models
        except EngineFailure as failure:
            log.debug("versions on {} cannot be read: {}", engine.id, failure)
            return None

    def send(self, engine, order):
        """Send an order; return the HTTP status, or 0 if there was no response."""
        try:
            return send_call(engine, "POST", "/orders", ORDER_TIMEOUT_MS, order).status
        except EngineFailure as failure:
            log.debug("an order to {} failed: {}", engine.id, failure)
            return 0
