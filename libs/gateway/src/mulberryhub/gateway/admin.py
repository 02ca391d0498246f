"""The administration API."""

from mulberryhub.base.digest import key_hash
from mulberryhub.base.errors import Code, HubError
from mulberryhub.gateway.auth import presented_key
from mulberryhub.gateway.replies import json_reply


def apply_inventory(call, replica, operator_key_hash):
    """Set the inventory from the body, based on the offset in the query."""
    if key_hash(presented_key(call)) != operator_key_hash:
        raise HubError(Code.NOT_OPERATOR, "the key belongs to no operator")
    query = dict(call.query)
    offset = replica.apply(int(query["base"]), query["author"], call.read_body())
    return json_reply({"offset": offset})
